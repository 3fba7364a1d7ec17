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
	phase      phase
	notBefore  time.Time
	failures   int      // answers that the item failed
	scoreFails int      // answers that its scoring failed
	text       [][]byte // data of the events so far
	lastEvent  int64
	versions   []int64 // that generated an event, in order of appearance
	lastAt     string  // engine of the last run
	scoreAt    string  // endpoint of the last score
}

// Job is a batch job under way. It is not safe for concurrent use.
type Job struct {
	Spec   *Spec
	items  []itemState
	byID   map[string]int
	order  []int // indices of items, the ones to start first in front
	groups map[string]*group

	decided        []Result  // results in the order of their positions
	listed         int       // of them, known to be durable
	unwrittenSince time.Time // since when some of them wait to be written; zero: none, or not looked at
	left           int       // items that are not ended
	closed         bool
}

type group struct {
	left    int
	aborted bool
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
	j.order = startOrder(spec)
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
	it.text = nil
	j.left--
	g := j.groups[j.Spec.Items[i].Group]
	g.left--
	g.aborted = g.aborted || r.State == Aborted
	j.decided = append(j.decided, r)
}

// Start is a run to be started.
type Start struct {
	Index  int
	After  int64  // resume after this event; 0: from the start
	Last   string // engine of the run before, to be avoided
	Single int64  // the only version that may go on with the text; 0: any
}

// Urgency orders jobs: those that can still be in time come before those that
// are late, the earlier due first.
func (j *Job) Urgency(now time.Time) (late bool, due time.Time) {
	return now.After(j.Spec.Due.Add(readSlack)), j.Spec.Due
}

// readSlack is how long after it is due a result still counts as in time: its
// reader polls about twice a second.
const readSlack = 700 * time.Millisecond

// NextStart returns the item to run next and marks it as running.
func (j *Job) NextStart(now time.Time) (Start, bool) {
	if j.closed {
		return Start{}, false
	}
	kept := j.order[:0]
	found := -1
	for _, i := range j.order {
		it := &j.items[i]
		if it.phase == ended {
			continue
		}
		kept = append(kept, i)
		if found < 0 && it.phase == waiting && !now.Before(it.notBefore) {
			found = i
		}
	}
	j.order = kept
	if found < 0 {
		return Start{}, false
	}
	it := &j.items[found]
	it.phase = running
	start := Start{Index: found, After: it.lastEvent, Last: it.lastAt}
	if j.Spec.SingleVersion && len(it.versions) > 0 {
		start.Single = it.versions[0]
	}
	return start, true
}

// Postpone puts a started item back without a run, as no engine may have it.
func (j *Job) Postpone(i int, until time.Time) {
	it := &j.items[i]
	if it.phase == running {
		it.phase = waiting
		it.notBefore = until
	}
}

// Event takes in one event of a run. False means that the run does not
// continue the text and must be ended.
func (j *Job) Event(i int, id int64, data []byte, version int64) bool {
	it := &j.items[i]
	if it.phase != running || id != it.lastEvent+1 || version < j.Spec.MinVersion {
		return false
	}
	if j.Spec.SingleVersion && len(it.versions) > 0 && it.versions[0] != version {
		return false
	}
	it.lastEvent = id
	it.text = append(it.text, data)
	if !slices.Contains(it.versions, version) {
		it.versions = append(it.versions, version)
	}
	return true
}

// RunEnd is how a run ended.
type RunEnd int

// The ends of runs.
const (
	RunComplete   RunEnd = iota // the stream ended after its last event
	RunBroke                    // it broke off, or its engine fell silent
	RunRefused                  // it certainly did not run
	RunFailed                   // the engine answered that it failed
	RunImpossible               // the engine answered that the item can never be done
	RunOffVersion               // its weights do not fit the text so far
	RunMoved                    // this side ended it, as others would be faster
)

// Ended takes in the end of an item's run at an engine.
func (j *Job) Ended(now time.Time, i int, how RunEnd, engine string) {
	it := &j.items[i]
	if it.phase != running {
		return
	}
	it.phase = waiting
	it.lastAt = engine
	switch how {
	case RunComplete:
		j.textComplete(i)
	case RunMoved:
	case RunBroke:
		it.notBefore = now.Add(failedPause)
	case RunRefused:
		it.notBefore = now.Add(refusedPause)
	case RunOffVersion:
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
	it.text, it.lastEvent, it.versions = nil, 0, nil
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

// NextScore returns the index of an item whose text wants its score, with the
// endpoint that failed it last, and marks it as being scored.
func (j *Job) NextScore(now time.Time) (index int, last string, ok bool) {
	if j.closed {
		return 0, "", false
	}
	for _, i := range j.order {
		it := &j.items[i]
		if it.phase == written && !now.Before(it.notBefore) {
			it.phase = scoring
			return i, it.scoreAt, true
		}
	}
	return 0, "", false
}

// ScoreEnd is how a scoring call ended.
type ScoreEnd int

// The ends of scoring calls.
const (
	ScoreGiven     ScoreEnd = iota
	ScoreFailed             // the scorer answered that it failed
	ScoreUnsettled          // no whole answer came, or the call was refused
)

// Scored takes in the end of a scoring call. attempts is how many answers of
// failure the scorer's route allows.
func (j *Job) Scored(now time.Time, i int, how ScoreEnd, score, endpoint string, attempts int) {
	it := &j.items[i]
	if it.phase != scoring {
		return
	}
	it.scoreAt = endpoint
	switch how {
	case ScoreGiven:
		j.complete(i, score)
		return
	case ScoreFailed:
		it.scoreFails++
		if it.scoreFails >= max(1, attempts, j.Spec.MaxAttempts) {
			j.abort(i)
			return
		}
	case ScoreUnsettled:
		it.notBefore = now.Add(refusedPause)
	}
	it.phase = written
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

// Undurable returns the results that are decided and not yet durable, with the
// position of the first.
func (j *Job) Undurable() (position int, results []Result) {
	return j.listed, j.decided[j.listed:]
}

// partGather is how long results of groups that are not whole wait to be
// written. A trainer has no use for them yet; written as they came they made
// half of an owner's writes. An owner that dies loses that much work.
const partGather = time.Second

// WriteDue tells whether the undurable results should be written now: one of
// them makes its group whole, or the oldest has waited long enough.
func (j *Job) WriteDue(now time.Time) bool {
	_, results := j.Undurable()
	if len(results) == 0 {
		return false
	}
	if j.Spec.WantGroups <= 0 || j.left == 0 {
		return true
	}
	if j.unwrittenSince.IsZero() {
		j.unwrittenSince = now
	}
	if now.Sub(j.unwrittenSince) >= partGather {
		return true
	}
	return slices.ContainsFunc(results, func(r Result) bool {
		return j.groups[j.Spec.Items[j.byID[r.Item]].Group].left == 0
	})
}

// Durable notes that the first n results are durable; readers may see them.
func (j *Job) Durable(n int) {
	j.listed = max(j.listed, n)
	j.unwrittenSince = time.Time{}
}

// Readable returns the durable results from a position on.
func (j *Job) Readable(from int) []Result {
	if from >= j.listed {
		return nil
	}
	return j.decided[max(0, from):j.listed]
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

// Unlisted tells whether the item is part of the job and has no durable result.
func (j *Job) Unlisted(id string) bool {
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
