package batch

import "time"

// RunStart is a run to be started.
type RunStart struct {
	Index           int
	ResumeAfter     int64  // resume after this event; 0: from the start
	PreviousEngine  string // engine of the run before, to be avoided
	RequiredVersion int64  // the only version that may go on with the text; 0: any
}

// Candidate is the item of a job that should start next.
type Candidate struct {
	Index         int
	RemainingWork float64 // events that its text is expected to have yet
	Spare         bool    // its group is one that the trainer can do without
}

// SetEstimator has the job estimate its texts by what is known of lengths, and add to it.
func (j *Job) SetEstimator(l Estimator) {
	j.lengths = l
	for i := range j.items {
		j.estimate(i)
	}
}

func (j *Job) estimate(i int) {
	j.items[i].rest = j.lengths.RemainingWork(&j.Spec.Items[i], j.items[i].lastEvent)
}

// Next returns the item to start next: of a group that is waited for before one
// of a group that is not, and among those the one whose text has most to come.
// A straggler that starts late holds up its whole group.
func (j *Job) Next(now time.Time) (Candidate, bool) {
	best := -1
	for i := range j.items {
		it := &j.items[i]
		if j.closed || it.phase != waiting || now.Before(it.notBefore) {
			continue
		}
		if best < 0 || j.before(i, best) {
			best = i
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return Candidate{Index: best, RemainingWork: j.items[best].rest, Spare: j.Spare(best)}, true
}

func (j *Job) before(a, b int) bool {
	if j.options.SubmissionOrder {
		return a < b
	}
	if j.Spare(a) != j.Spare(b) {
		return j.Spare(b)
	}
	if j.items[a].rest != j.items[b].rest {
		return j.items[a].rest > j.items[b].rest
	}
	return j.Spec.Items[a].LengthHint > j.Spec.Items[b].LengthHint
}

// Spare tells whether the trainer can do without an item.
func (j *Job) Spare(i int) bool { return j.spare[j.Spec.Items[i].Group] }

// StartRun marks a waiting item as running.
func (j *Job) StartRun(i int) RunStart {
	it := &j.items[i]
	it.phase = running
	start := RunStart{Index: i, ResumeAfter: it.lastEvent, PreviousEngine: it.lastAt}
	if j.Spec.SingleVersion && len(it.versions) > 0 {
		start.RequiredVersion = it.versions[0]
	}
	return start
}

// Postpone puts a started item back without a run, as no engine may have it.
func (j *Job) Postpone(i int, until time.Time) {
	it := &j.items[i]
	if it.phase == running {
		it.phase = waiting
		it.notBefore = until
	}
}

// RemainingWork returns the events that an item's text is expected to have yet; 0 if it
// is complete.
func (j *Job) RemainingWork(i int) float64 {
	it := &j.items[i]
	if it.phase != waiting && it.phase != running {
		return 0
	}
	j.estimate(i)
	return it.rest
}

// TotalRemainingWork returns the events that the job's texts are expected to have yet, and
// those of the longest that its trainer waits for.
func (j *Job) TotalRemainingWork() (sum, longest float64) {
	if j.closed {
		return 0, 0
	}
	for i := range j.items {
		it := &j.items[i]
		if it.phase != waiting && it.phase != running {
			continue
		}
		sum += it.rest
		if !j.Spare(i) {
			longest = max(longest, it.rest)
		}
	}
	return sum, longest
}
