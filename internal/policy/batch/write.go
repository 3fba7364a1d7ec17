package batch

import (
	"slices"
	"time"
)

const (
	// partGather is how long results of groups that are not whole wait to be
	// written where single groups are written: a trainer has no use for them yet, and
	// written as they come each is a call.
	partGather = time.Second
	// stepGather is how long results wait for their step to be whole. A trainer
	// trains on a whole step; one that has just read some results reads again half
	// a second later, one that finds none is answered the moment there are some. An
	// owner that is lost loses no more work than this.
	stepGather = 2 * time.Second
	// dueMargin before a step is due its results are written group by group, so
	// that what is whole is read in time though the step is not.
	dueMargin = 500 * time.Millisecond
)

// PendingResults returns the results that are decided and not yet durable, with the
// position of the first.
func (j *Job) PendingResults() (position int, results []Result) {
	return j.listed, j.decided[j.listed:]
}

// WriteDue tells whether the undurable results should be written now.
func (j *Job) WriteDue(now time.Time) bool {
	_, results := j.PendingResults()
	if len(results) == 0 {
		return false
	}
	if j.Spec.WantGroups <= 0 || j.left == 0 {
		return true
	}
	if j.unwrittenSince.IsZero() {
		j.unwrittenSince = now
	}
	if j.waitsForStep(now) {
		return now.Sub(j.lastWritten()) >= stepGather
	}
	return now.Sub(j.unwrittenSince) >= partGather || j.makesGroupWhole(results)
}

// waitsForStep tells whether the trainer has no use yet for what is undurable.
func (j *Job) waitsForStep(now time.Time) bool {
	if j.options.WriteByGroup || j.whole >= j.Spec.WantGroups {
		return false
	}
	return j.Spec.Due.IsZero() || now.Before(j.Spec.Due.Add(-dueMargin))
}

// CompleteGroups returns how many groups have a result for each of their items.
func (j *Job) CompleteGroups() int { return j.whole }

// lastWritten is when results were last written, or else when the first came.
func (j *Job) lastWritten() time.Time {
	if j.written.IsZero() {
		return j.unwrittenSince
	}
	return j.written
}

func (j *Job) makesGroupWhole(results []Result) bool {
	return slices.ContainsFunc(results, func(r Result) bool {
		return j.groups[j.Spec.Items[j.byID[r.Item]].Group].left == 0
	})
}

// MarkDurable notes that the first n results are durable; readers may see them.
func (j *Job) MarkDurable(now time.Time, n int) {
	j.listed = max(j.listed, n)
	j.unwrittenSince = time.Time{}
	j.written = now
}

// DurableResults returns the durable results from a position on.
func (j *Job) DurableResults(from int) []Result {
	if from >= j.listed {
		return nil
	}
	return j.decided[max(0, from):j.listed]
}
