package batch

import (
	"slices"
	"time"
)

// Timeline is what the time of a step that became whole consisted of. Times count
// from its submission.
type Timeline struct {
	Elapsed         time.Duration // until enough groups had all their results
	HalfStarted     time.Duration // until half of the items that began had begun
	AllStarted      time.Duration // until the last of them had
	LastItem        string        // the item whose result made the step whole
	LastItemEvents  int64         // of its text
	LastItemStarted time.Duration // when its first run began
	LastItemRuns    int           // how many runs it took
	LastItemEngine  string        // of its last run
}

// RunPlaced notes that an engine was chosen for a run that was begun.
func (j *Job) RunPlaced(now time.Time, i int) {
	it := &j.items[i]
	it.runs++
	if it.firstRun.IsZero() {
		it.firstRun = now
	}
}

// StepCompleted returns the timeline of the job's step, once, when enough of its groups
// have a result for each item.
func (j *Job) StepCompleted(now time.Time) (Timeline, bool) {
	if j.noted || j.Spec.WantGroups <= 0 || j.whole < j.Spec.WantGroups {
		return Timeline{}, false
	}
	j.noted = true
	t := Timeline{Elapsed: now.Sub(j.Spec.Submitted)}
	var begun []time.Duration
	for i := range j.items {
		if first := j.items[i].firstRun; !first.IsZero() {
			begun = append(begun, first.Sub(j.Spec.Submitted))
		}
	}
	if len(begun) > 0 {
		slices.Sort(begun)
		t.HalfStarted, t.AllStarted = begun[len(begun)/2], begun[len(begun)-1]
	}
	last := j.byID[j.decided[len(j.decided)-1].Item]
	it := &j.items[last]
	t.LastItem, t.LastItemEvents, t.LastItemRuns, t.LastItemEngine = j.Spec.Items[last].ID, it.lastEvent, it.runs, it.lastAt
	if !it.firstRun.IsZero() {
		t.LastItemStarted = it.firstRun.Sub(j.Spec.Submitted)
	}
	return t, true
}
