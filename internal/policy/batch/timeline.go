package batch

import (
	"slices"
	"time"
)

// Timeline is what the time of a step that became whole consisted of. Times count
// from its submission.
type Timeline struct {
	Took       time.Duration // until enough groups had all their results
	HalfBegun  time.Duration // until half of the items that began had begun
	LastBegun  time.Duration // until the last of them had
	LastItem   string        // the item whose result made the step whole
	LastEvents int64         // of its text
	LastBegan  time.Duration // when its first run began
	LastRuns   int           // how many runs it took
	LastEngine string        // of its last run
}

// Started notes that an engine was chosen for a run that was begun.
func (j *Job) Started(now time.Time, i int) {
	it := &j.items[i]
	it.runs++
	if it.firstRun.IsZero() {
		it.firstRun = now
	}
}

// StepWhole returns the timeline of the job's step, once, when enough of its groups
// have a result for each item.
func (j *Job) StepWhole(now time.Time) (Timeline, bool) {
	if j.noted || j.Spec.WantGroups <= 0 || j.whole < j.Spec.WantGroups {
		return Timeline{}, false
	}
	j.noted = true
	t := Timeline{Took: now.Sub(j.Spec.Submitted)}
	var begun []time.Duration
	for i := range j.items {
		if first := j.items[i].firstRun; !first.IsZero() {
			begun = append(begun, first.Sub(j.Spec.Submitted))
		}
	}
	if len(begun) > 0 {
		slices.Sort(begun)
		t.HalfBegun, t.LastBegun = begun[len(begun)/2], begun[len(begun)-1]
	}
	last := j.byID[j.decided[len(j.decided)-1].Item]
	it := &j.items[last]
	t.LastItem, t.LastEvents, t.LastRuns, t.LastEngine = j.Spec.Items[last].ID, it.lastEvent, it.runs, it.lastAt
	if !it.firstRun.IsZero() {
		t.LastBegan = it.firstRun.Sub(j.Spec.Submitted)
	}
	return t, true
}
