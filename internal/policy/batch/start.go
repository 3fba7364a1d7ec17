package batch

import "time"

// RunStart describes a run to start.
type RunStart struct {
	Index           int
	ResumeAfter     int64  // ID of the event to resume after; 0 to generate from the beginning
	PreviousEngine  string // engine of the item's previous run, to be avoided
	RequiredVersion int64  // the only weight version that may continue the text; 0 for any
}

// Candidate is the item of a job that should start next.
type Candidate struct {
	Index         int
	RemainingWork float64 // expected number of remaining events
	Spare         bool    // the trainer does not need the item's group
}

// SetEstimator sets the estimator of text lengths, which the job consults and to which it
// reports complete texts, and updates the estimates of all items.
func (j *Job) SetEstimator(l Estimator) {
	j.estimator = l
	for i := range j.items {
		j.estimate(i)
	}
}

func (j *Job) estimate(i int) {
	j.items[i].remaining = j.estimator.RemainingWork(&j.Spec.Items[i], j.items[i].lastEvent)
}

// Next returns the item to start next. Spare items come after all others; among either
// kind, the item with the most remaining events comes first, as a long item that starts
// late delays its whole group. With Options.SubmissionOrder, items start in that order.
func (j *Job) Next(now time.Time) (Candidate, bool) {
	best := -1
	for i := range j.items {
		it := &j.items[i]
		if j.closed || it.phase != waiting || now.Before(it.notBefore) {
			continue
		}
		if best < 0 || j.startsBefore(i, best) {
			best = i
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return Candidate{Index: best, RemainingWork: j.items[best].remaining, Spare: j.Spare(best)}, true
}

func (j *Job) startsBefore(a, b int) bool {
	if j.options.SubmissionOrder {
		return a < b
	}
	if j.Spare(a) != j.Spare(b) {
		return j.Spare(b)
	}
	if j.items[a].remaining != j.items[b].remaining {
		return j.items[a].remaining > j.items[b].remaining
	}
	return j.Spec.Items[a].LengthHint > j.Spec.Items[b].LengthHint
}

// Spare reports whether the trainer does not need an item.
func (j *Job) Spare(i int) bool { return j.spare[j.Spec.Items[i].Group] }

// StartRun marks a waiting item as running and returns its run.
func (j *Job) StartRun(i int) RunStart {
	it := &j.items[i]
	it.phase = running
	return RunStart{Index: i, ResumeAfter: it.lastEvent, PreviousEngine: it.lastEngine, RequiredVersion: j.RequiredVersion(i)}
}

// RequiredVersion returns the only weight version that may continue an item's text, 0 if any may.
func (j *Job) RequiredVersion(i int) int64 {
	if it := &j.items[i]; j.Spec.SingleVersion && len(it.versions) > 0 {
		return it.versions[0]
	}
	return 0
}

// Postpone makes a running item wait again until the given time. Callers use it if no
// engine can take the run that StartRun returned.
func (j *Job) Postpone(i int, until time.Time) {
	it := &j.items[i]
	if it.phase == running {
		it.phase = waiting
		it.notBefore = until
	}
}

// RemainingWork returns the expected number of remaining events of an item's text, or 0
// if the text is complete.
func (j *Job) RemainingWork(i int) float64 {
	it := &j.items[i]
	if it.phase != waiting && it.phase != running {
		return 0
	}
	j.estimate(i)
	return it.remaining
}

// TotalRemainingWork returns the expected number of remaining events of the job's texts,
// and that of the longest text that its trainer waits for.
func (j *Job) TotalRemainingWork() (sum, longest float64) {
	if j.closed {
		return 0, 0
	}
	for i := range j.items {
		it := &j.items[i]
		if it.phase != waiting && it.phase != running {
			continue
		}
		sum += it.remaining
		if !j.Spare(i) {
			longest = max(longest, it.remaining)
		}
	}
	return sum, longest
}
