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
	written // the text is complete and wants its score
	scoring
	ended // its result is decided
)

const (
	// refusedPause is the wait after an engine had no room: about the time in
	// which one of its slots comes free.
	refusedPause = 40 * time.Millisecond
	// failedPause is the wait after a run broke off, so that an engine which
	// resets every connection does not take all of the owner's time.
	failedPause = 20 * time.Millisecond
)

type itemState struct {
	phase         phase
	notBefore     time.Time
	failures      int // answers that the item failed
	scores        scores
	text          [][]byte // data of the events so far
	lastEvent     int64
	versions      []int64   // that generated an event, in order of appearance
	eventVersions []int64   // that generated the event at the same place of the text
	rest          float64   // events that are expected yet
	lastAt        string    // engine of the last run
	firstRun      time.Time // when its first run began
	runs          int
}

// Job is a batch job under way. It is not safe for concurrent use.
type Job struct {
	Spec    *Spec
	items   []itemState
	byID    map[string]int
	groups  map[string]*group
	spare   map[string]bool // groups that the trainer can do without
	lengths Estimator
	options Options

	decided        []Result  // results in the order of their positions
	listed         int       // of them, known to be durable
	unwrittenSince time.Time // since when some of them wait to be written; zero: none, or not looked at
	written        time.Time // when some of them were last found durable
	left           int       // items that are not ended
	whole          int       // groups without an item that is not ended
	closed         bool
	noted          bool // that the step is whole
}

type group struct {
	left int
}

// Options change how a job is run. The zero value is how it is usually run.
type Options struct {
	SubmissionOrder bool // items start as they are listed, not the longest first
	NoSpare         bool // no group starts after the others
	WriteByGroup    bool // results are written when their group is whole, not their step
}

// Configure sets the job's options before anything of it is started.
func (j *Job) Configure(o Options) {
	j.options = o
	if o.NoSpare {
		j.spare = nil
	}
}

// NewJob starts a job with the results that are already durable.
func NewJob(spec *Spec, durable []Result) *Job {
	j := &Job{Spec: spec, items: make([]itemState, len(spec.Items)), byID: map[string]int{}, groups: map[string]*group{}, left: len(spec.Items)}
	for i := range spec.Items {
		j.byID[spec.Items[i].ID] = i
		name := spec.Items[i].Group
		if j.groups[name] == nil {
			j.groups[name] = &group{}
		}
		j.groups[name].left++
	}
	for _, r := range durable {
		j.take(r)
	}
	j.listed = len(j.decided)
	j.spare = spareGroups(spec)
	j.SetEstimator(NewLengthEstimator())
	return j
}

func (j *Job) take(r Result) {
	if i, found := j.byID[r.Item]; found {
		j.end(i, r)
	}
}

func (j *Job) end(i int, r Result) {
	it := &j.items[i]
	if it.phase == ended {
		return
	}
	it.phase = ended
	it.text, it.eventVersions = nil, nil
	j.left--
	g := j.groups[j.Spec.Items[i].Group]
	g.left--
	if g.left == 0 {
		j.whole++
	}
	j.decided = append(j.decided, r)
}

// AddEvent takes in one event of a run. False means that the run does not
// continue the text and must be ended.
func (j *Job) AddEvent(i int, id int64, data []byte, version int64) bool {
	it := &j.items[i]
	if it.phase != running || id != it.lastEvent+1 || version < j.Spec.MinVersion {
		return false
	}
	if j.Spec.SingleVersion && len(it.versions) > 0 && it.versions[0] != version {
		return false
	}
	it.lastEvent = id
	it.text = append(it.text, data)
	it.eventVersions = append(it.eventVersions, version)
	if !slices.Contains(it.versions, version) {
		it.versions = append(it.versions, version)
	}
	return true
}

// RunOutcome is how a run ended.
type RunOutcome int

// The ends of runs.
const (
	RunComplete        RunOutcome = iota // the stream ended after its last event
	RunInterrupted                       // it broke off, or its engine fell silent
	RunRefused                           // it certainly did not run
	RunFailed                            // the engine answered that it failed
	RunImpossible                        // the engine answered that the item can never be done
	RunVersionMismatch                   // its weights do not fit the text so far
	RunCancelledToMove                   // this side ended it, as others would be faster
)

// RunEnded takes in the end of an item's run at an engine.
func (j *Job) RunEnded(now time.Time, i int, how RunOutcome, engine string) {
	it := &j.items[i]
	if it.phase != running {
		return
	}
	it.phase = waiting
	it.lastAt = engine
	defer j.estimate(i)
	switch how {
	case RunComplete:
		j.lengths.Observe(&j.Spec.Items[i], it.lastEvent)
		j.textComplete(i)
	case RunCancelledToMove:
	case RunInterrupted:
		it.notBefore = now.Add(failedPause)
	case RunRefused:
		it.notBefore = now.Add(refusedPause)
	case RunVersionMismatch:
		it.restart()
		it.notBefore = now.Add(failedPause)
	case RunFailed:
		it.failures++
		it.restart()
		if it.failures >= max(1, j.Spec.MaxAttempts) {
			j.abort(i)
		}
	case RunImpossible:
		j.abort(i)
	}
}

func (it *itemState) restart() {
	it.text, it.lastEvent, it.versions, it.eventVersions = nil, 0, nil, nil
}

func (j *Job) textComplete(i int) {
	it := &j.items[i]
	if len(it.text) == 0 {
		it.restart() // an empty stream is no text
		return
	}
	it.phase = written
	if j.Spec.Items[i].Scorer == nil {
		j.complete(i, "")
	}
}

func (j *Job) complete(i int, score string) {
	it := &j.items[i]
	j.end(i, Result{Item: j.Spec.Items[i].ID, State: Completed, Output: bytes.Join(it.text, []byte("\n")), Versions: slices.Clone(it.versions), Score: score})
}

func (j *Job) abort(i int) {
	j.end(i, Result{Item: j.Spec.Items[i].ID, State: Aborted})
}

// Expire gives up what has not begun to be scored once the items' time is over,
// and tells whether anything changed.
func (j *Job) Expire(now time.Time) bool {
	if j.closed || j.Spec.Expires.IsZero() || now.Before(j.Spec.Expires) {
		return false
	}
	before := j.left
	for i := range j.items {
		if j.items[i].phase != ended {
			j.abort(i)
		}
	}
	return j.left != before
}

// Total returns the number of items.
func (j *Job) Total() int { return len(j.items) }

// Finished tells whether every item has its durable result.
func (j *Job) Finished() bool { return j.left == 0 && j.listed == len(j.decided) }

// Close ends the job: nothing more starts.
func (j *Job) Close() { j.closed = true }

// Closed tells whether the job was ended.
func (j *Job) Closed() bool { return j.closed }

// Body returns an unlisted item's body.
func (j *Job) Body(id string) ([]byte, bool) {
	i, found := j.byID[id]
	if !found || j.closed {
		return nil, false
	}
	return j.Spec.Items[i].Body, true
}

// IsUnlisted tells whether the item is part of the job and has no durable result.
func (j *Job) IsUnlisted(id string) bool {
	if _, found := j.byID[id]; !found {
		return false
	}
	for _, r := range j.decided[:j.listed] {
		if r.Item == id {
			return false
		}
	}
	return true
}

// Counts tells how many items are in each stage, for logs and metrics.
func (j *Job) Counts() (wait, run, score, done int) {
	for i := range j.items {
		switch j.items[i].phase {
		case waiting:
			wait++
		case running:
			run++
		case written, scoring:
			score++
		case ended:
			done++
		}
	}
	return wait, run, score, done
}
