package batch

import (
	"slices"
	"time"
)

const (
	// groupWriteDelay is how long results of incomplete groups wait to be written when
	// results are written group by group: a trainer cannot use them yet, and writing each
	// result on its own costs a call to the store per result.
	groupWriteDelay = time.Second
	// stepWriteDelay is how long results wait for their step to be complete. A trainer
	// trains on a complete step. A trainer that has just read some results reads again half
	// a second later, whereas one that finds none gets an answer as soon as there are some,
	// so early results of a step delay the read of the complete step. The delay also bounds
	// the work that is lost with a failed owner.
	stepWriteDelay = 2 * time.Second
	// dueMargin is how long before a step is due its results are written group by group, so
	// that the trainer can read the complete groups in time even if the step is incomplete.
	dueMargin = 500 * time.Millisecond
)

// PendingResults returns the results that are not durable yet, and the position of the
// first of them.
func (j *Job) PendingResults() (position int, results []Result) {
	return j.durableCount, j.decided[j.durableCount:]
}

// WriteDue reports whether the pending results should be written now.
func (j *Job) WriteDue(now time.Time) bool {
	_, results := j.PendingResults()
	if len(results) == 0 {
		return false
	}
	if j.Spec.WantGroups <= 0 || j.unfinished == 0 {
		return true
	}
	if j.pendingSince.IsZero() {
		j.pendingSince = now
	}
	if j.waitsForStep(now) {
		return now.Sub(j.writeDelayStart()) >= stepWriteDelay
	}
	return now.Sub(j.pendingSince) >= groupWriteDelay || j.completesGroup(results)
}

// waitsForStep reports whether pending results wait for their step to be complete, as the
// trainer cannot use them before.
func (j *Job) waitsForStep(now time.Time) bool {
	if j.options.WriteByGroup || j.completeGroups >= j.Spec.WantGroups {
		return false
	}
	return j.Spec.Due.IsZero() || now.Before(j.Spec.Due.Add(-dueMargin))
}

// CompleteGroups returns the number of groups in which every item has a result.
func (j *Job) CompleteGroups() int { return j.completeGroups }

// writeDelayStart returns the time from which stepWriteDelay counts: that of the last
// write, or that of the first pending result if nothing was written yet.
func (j *Job) writeDelayStart() time.Time {
	if j.lastWriteAt.IsZero() {
		return j.pendingSince
	}
	return j.lastWriteAt
}

func (j *Job) completesGroup(results []Result) bool {
	return slices.ContainsFunc(results, func(r Result) bool {
		return j.groups[j.Spec.Items[j.byID[r.Item]].Group].unfinished == 0
	})
}

// MarkDurable records that the first n results are durable, which makes them visible to
// readers.
func (j *Job) MarkDurable(now time.Time, n int) {
	j.durableCount = max(j.durableCount, n)
	j.pendingSince = time.Time{}
	j.lastWriteAt = now
}

// DurableResults returns the durable results, starting at position from.
func (j *Job) DurableResults(from int) []Result {
	if from >= j.durableCount {
		return nil
	}
	return j.decided[max(0, from):j.durableCount]
}
