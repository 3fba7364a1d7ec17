package batchrun

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// maxRemovedAssignments limits the deleted assignments that are remembered. Each is needed only for
	// the second that loading a job takes.
	maxRemovedAssignments = 256
	// maxRetainedJobs limits the jobs whose results are retained, at half a megabyte each.
	// Results of older jobs are read from the store.
	maxRetainedJobs = 16
)

// formerJobs holds what an owner remembers of jobs that it no longer owns. It is protected by
// the owner's lock.
type formerJobs struct {
	ttl       time.Duration
	removedAt map[string]int64  // revision at which the assignment was deleted, by job
	ended     map[string]bool   // jobs that are known to have ended, not moved
	retained  []retainedResults // oldest first
}

func newFormerJobs(ttl time.Duration) *formerJobs {
	return &formerJobs{ttl: ttl, removedAt: map[string]int64{}, ended: map[string]bool{}}
}

// recordRemoved records that an assignment was deleted, so that a job that is still being
// loaded does not start afterwards.
func (e *formerJobs) recordRemoved(id string, revision int64) {
	if len(e.removedAt) >= maxRemovedAssignments {
		e.removedAt = map[string]int64{}
		e.ended = map[string]bool{}
	}
	e.removedAt[id] = max(e.removedAt[id], revision)
}

// recordEnded records that a job was ended.
func (e *formerJobs) recordEnded(id string) { e.ended[id] = true }

// removedSince reports whether a job's assignment was deleted at or after the given mark.
func (e *formerJobs) removedSince(id string, mark int64) bool { return e.removedAt[id] >= mark }

// retainedResults holds the durable results of a job that this process no longer owns.
type retainedResults struct {
	id        string
	submitted time.Time
	total     int
	results   []batch.Result
}

// retain stores the results of a job, so that its readers cause no calls to the store.
func (e *formerJobs) retain(now time.Time, k retainedResults) {
	e.forget(k.id)
	for len(e.retained) > 0 && (len(e.retained) >= maxRetainedJobs || now.Sub(e.retained[0].submitted) > e.ttl) {
		e.retained = e.retained[1:]
	}
	e.retained = append(e.retained, k)
}

// forget drops the retained results of a job that this process adopts again. They are those
// from when it lost the job before, and fewer than readers may have seen since.
func (e *formerJobs) forget(id string) {
	e.retained = slices.DeleteFunc(e.retained, func(old retainedResults) bool { return old.id == id })
}

// results returns the retained results of a job.
func (e *formerJobs) results(id string) (retainedResults, bool) {
	for _, k := range e.retained {
		if k.id == id {
			return k, true
		}
	}
	return retainedResults{}, false
}

// fromPosition returns the results from a position on.
func (k *retainedResults) fromPosition(position int) []batch.Result {
	if position >= len(k.results) {
		return nil
	}
	return k.results[max(0, position):]
}
