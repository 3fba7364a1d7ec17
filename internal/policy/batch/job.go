package batch

import (
	"bytes"
	"slices"
	"time"
)

type phase int

const (
	waiting phase = iota
	running
	generated // the text is complete and is to be scored
	scoring
	ended // the result is decided
)

const (
	// refusalBackoff is the delay after an engine or a scorer refused a request: about the
	// time until one of an engine's slots becomes free.
	refusalBackoff = 40 * time.Millisecond
	// interruptionBackoff is the delay after a run was interrupted, so that an engine which
	// resets every connection does not take up all of the owner's time.
	interruptionBackoff = 20 * time.Millisecond
	// freeInterruptions is the number of interruptions in a row after which the delay grows: a burst
	// of crashes interrupts a harmless item several times, but one under which each endpoint ends
	// must not end them as fast as it can be placed.
	freeInterruptions = 3
	// minCrashBackoff and maxCrashBackoff bound that delay. The item is owed, and a step waits for it.
	minCrashBackoff = 125 * time.Millisecond
	maxCrashBackoff = time.Second
)

// interruptionDelay returns the delay after a number of interruptions in a row without progress.
func interruptionDelay(n int) time.Duration {
	if n <= freeInterruptions {
		return interruptionBackoff
	}
	delay := minCrashBackoff
	for range n - freeInterruptions - 1 {
		if delay *= 2; delay >= maxCrashBackoff {
			return maxCrashBackoff
		}
	}
	return delay
}

type itemState struct {
	phase         phase
	notBefore     time.Time // earliest time of the next run or scoring call
	failures      int       // runs that the engine reported as failed
	interruptions int       // runs in a row that were interrupted before an event
	scoringCalls  scoringCalls
	text          [][]byte // data of the events so far
	lastEvent     int64
	versions      []int64   // distinct weight versions of the events, in order of appearance
	eventVersions []int64   // weight version of each event in text
	remaining     float64   // expected number of remaining events
	lastEngine    string    // engine of the last run
	firstRunAt    time.Time // when the first run was placed on an engine
	runs          int
}

// Job is the state of an open batch job. It is not safe for concurrent use.
type Job struct {
	Spec      *Spec
	items     []itemState
	byID      map[string]int
	groups    map[string]*group
	spare     map[string]bool // groups that the trainer does not need
	estimator Estimator
	options   Options

	decided        []Result  // results in the order of their positions
	durableCount   int       // number of leading decided results known to be durable
	pendingSince   time.Time // since when results wait to be written, as noticed by WriteDue; zero if none
	lastWriteAt    time.Time // when results were last marked durable
	unfinished     int       // items that have no result yet
	completeGroups int       // groups in which every item has a result
	closed         bool
	stepReported   bool // StepCompleted has returned the timeline
}

type group struct {
	unfinished int // items that have no result yet
}

// Options change how a job is run. The zero value is the default behaviour.
type Options struct {
	SubmissionOrder bool // items start in the order of the submission, not the longest first
	NoSpare         bool // no group is treated as spare and started after the others
	WriteByGroup    bool // results are written when their group is complete, not when their step is
}

// Configure sets the job's options. It must be called before any item is started.
func (j *Job) Configure(o Options) {
	j.options = o
	if o.NoSpare {
		j.spare = nil
	}
}

// NewJob returns a job of which the given results are already durable.
func NewJob(spec *Spec, durable []Result) *Job {
	j := &Job{Spec: spec, items: make([]itemState, len(spec.Items)), byID: map[string]int{}, groups: map[string]*group{}, unfinished: len(spec.Items)}
	for i := range spec.Items {
		j.byID[spec.Items[i].ID] = i
		name := spec.Items[i].Group
		if j.groups[name] == nil {
			j.groups[name] = &group{}
		}
		j.groups[name].unfinished++
	}
	for _, r := range durable {
		j.addDurable(r)
	}
	j.durableCount = len(j.decided)
	j.spare = spareGroups(spec)
	j.SetEstimator(NewLengthEstimator())
	return j
}

func (j *Job) addDurable(r Result) {
	if i, found := j.byID[r.Item]; found {
		j.finish(i, r)
	}
}

func (j *Job) finish(i int, r Result) {
	it := &j.items[i]
	if it.phase == ended {
		return
	}
	it.phase = ended
	it.text, it.eventVersions = nil, nil
	j.unfinished--
	g := j.groups[j.Spec.Items[i].Group]
	g.unfinished--
	if g.unfinished == 0 {
		j.completeGroups++
	}
	j.decided = append(j.decided, r)
}

// AddEvent adds one event of a run to the item's text. It returns false if the event
// does not continue the text, in which case the caller must end the run.
func (j *Job) AddEvent(i int, id int64, data []byte, version int64) bool {
	it := &j.items[i]
	if it.phase != running || id != it.lastEvent+1 || version < j.Spec.MinVersion {
		return false
	}
	if j.Spec.SingleVersion && len(it.versions) > 0 && it.versions[0] != version {
		return false
	}
	it.interruptions = 0
	it.lastEvent = id
	it.text = append(it.text, data)
	it.eventVersions = append(it.eventVersions, version)
	if !slices.Contains(it.versions, version) {
		it.versions = append(it.versions, version)
	}
	return true
}

// RunOutcome is the way in which a run of an item ended.
type RunOutcome int

// The outcomes of runs.
const (
	RunComplete        RunOutcome = iota // the stream ended after its last event
	RunInterrupted                       // the stream broke off, or the engine stopped responding
	RunRefused                           // the run certainly did not start
	RunFailed                            // the engine reported a failure
	RunImpossible                        // the engine reported that the item can never be generated
	RunVersionMismatch                   // the engine's weight version cannot continue the text so far
	RunCancelledToMove                   // this process cancelled the run, as another engine is faster or has fewer requests
	RunUnsendable                        // the item can't be sent to any engine
	RunOverlong                          // the engine sent more events than a text can have
)

// RunEnded records that an item's run at an engine ended. The item is then scored,
// retried or aborted, or gets its result.
func (j *Job) RunEnded(now time.Time, i int, outcome RunOutcome, engine string) {
	it := &j.items[i]
	if it.phase != running {
		return
	}
	it.phase = waiting
	it.lastEngine = engine
	defer j.estimate(i)
	switch outcome {
	case RunComplete:
		j.estimator.Observe(&j.Spec.Items[i], it.lastEvent)
		j.finishText(i)
	case RunCancelledToMove:
	case RunInterrupted:
		it.interruptions++
		it.notBefore = now.Add(interruptionDelay(it.interruptions))
	case RunRefused:
		it.notBefore = now.Add(refusalBackoff)
	case RunOverlong:
		it.resetText()
		it.interruptions++
		it.notBefore = now.Add(interruptionDelay(it.interruptions))
	case RunVersionMismatch:
		it.resetText()
		it.notBefore = now.Add(interruptionBackoff)
	case RunFailed:
		it.failures++
		it.resetText()
		if it.failures >= max(1, j.Spec.MaxAttempts) {
			j.abort(i)
		}
	case RunImpossible:
		j.abort(i)
	case RunUnsendable:
		j.waitForExpiry(i)
	}
}

// waitForExpiry lets an item that can't be served wait until its job expires, because a result
// may not be aborted before. If the job never expires, the item is aborted at once.
func (j *Job) waitForExpiry(i int) {
	if j.Spec.Expires.IsZero() {
		j.abort(i)
		return
	}
	j.items[i].notBefore = j.Spec.Expires
}

func (it *itemState) resetText() {
	it.text, it.lastEvent, it.versions, it.eventVersions = nil, 0, nil, nil
}

func (j *Job) finishText(i int) {
	it := &j.items[i]
	if len(it.text) == 0 {
		it.resetText() // a stream without events does not count as a text
		return
	}
	it.phase = generated
	if j.Spec.Items[i].Scorer == nil {
		j.complete(i, "")
	}
}

func (j *Job) complete(i int, score string) {
	it := &j.items[i]
	j.finish(i, Result{Item: j.Spec.Items[i].ID, State: Completed, Output: bytes.Join(it.text, []byte("\n")), Versions: slices.Clone(it.versions), Score: score})
}

func (j *Job) abort(i int) {
	j.finish(i, Result{Item: j.Spec.Items[i].ID, State: Aborted})
}

// Expire aborts every item without a result once the job has expired. It reports
// whether it aborted any.
func (j *Job) Expire(now time.Time) bool {
	if j.closed || j.Spec.Expires.IsZero() || now.Before(j.Spec.Expires) {
		return false
	}
	before := j.unfinished
	for i := range j.items {
		if j.items[i].phase != ended {
			j.abort(i)
		}
	}
	return j.unfinished != before
}

// Total returns the number of items.
func (j *Job) Total() int { return len(j.items) }

// Finished reports whether every item has a durable result.
func (j *Job) Finished() bool { return j.unfinished == 0 && j.durableCount == len(j.decided) }

// Close closes the job: no further run or scoring call starts.
func (j *Job) Close() { j.closed = true }

// Closed reports whether the job was closed.
func (j *Job) Closed() bool { return j.closed }

// Body returns the body of an item. It returns false if the job has no such item or
// is closed.
func (j *Job) Body(id string) ([]byte, bool) {
	i, found := j.byID[id]
	if !found || j.closed {
		return nil, false
	}
	return j.Spec.Items[i].Body, true
}

// IsUnlisted reports whether the item is part of the job and has no durable result.
func (j *Job) IsUnlisted(id string) bool {
	if _, found := j.byID[id]; !found {
		return false
	}
	for _, r := range j.decided[:j.durableCount] {
		if r.Item == id {
			return false
		}
	}
	return true
}

// Counts returns, for logs and metrics, the number of items that wait for a run, that run,
// whose text is complete but not scored, and that have a result.
func (j *Job) Counts() (wait, run, score, done int) {
	for i := range j.items {
		switch j.items[i].phase {
		case waiting:
			wait++
		case running:
			run++
		case generated, scoring:
			score++
		case ended:
			done++
		}
	}
	return wait, run, score, done
}
