package batch

import (
	"slices"
	"time"
)

// Timeline shows how the time of a completed step was spent. All durations are measured
// from the submission of the step.
type Timeline struct {
	Elapsed         time.Duration // until enough groups were complete
	HalfStarted     time.Duration // until half of the items that were started had their first run
	AllStarted      time.Duration // until all items that were started had their first run
	LastItem        string        // item whose result completed the step
	LastItemEvents  int64         // events of its text
	LastItemStarted time.Duration // until its first run
	LastItemRuns    int           // number of its runs
	LastItemEngine  string        // engine of its last run
}

// RunPlaced records that an engine was chosen for a started run.
func (j *Job) RunPlaced(now time.Time, i int) {
	it := &j.items[i]
	it.runs++
	if it.firstRunAt.IsZero() {
		it.firstRunAt = now
	}
}

// StepCompleted returns the timeline of the job's step once WantGroups groups are complete.
// It returns it only once.
func (j *Job) StepCompleted(now time.Time) (Timeline, bool) {
	if j.stepReported || j.Spec.WantGroups <= 0 || j.completeGroups < j.Spec.WantGroups {
		return Timeline{}, false
	}
	j.stepReported = true
	t := Timeline{Elapsed: now.Sub(j.Spec.Submitted)}
	var started []time.Duration
	for i := range j.items {
		if first := j.items[i].firstRunAt; !first.IsZero() {
			started = append(started, first.Sub(j.Spec.Submitted))
		}
	}
	if len(started) > 0 {
		slices.Sort(started)
		t.HalfStarted, t.AllStarted = started[len(started)/2], started[len(started)-1]
	}
	last := j.byID[j.decided[len(j.decided)-1].Item]
	it := &j.items[last]
	t.LastItem, t.LastItemEvents, t.LastItemRuns, t.LastItemEngine = j.Spec.Items[last].ID, it.lastEvent, it.runs, it.lastEngine
	if !it.firstRunAt.IsZero() {
		t.LastItemStarted = it.firstRunAt.Sub(j.Spec.Submitted)
	}
	return t, true
}
