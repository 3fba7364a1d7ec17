package batchrun

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// maxRemovedAssignments limits the deleted assignments that are remembered. Each is needed
	// only for the second that loading a job takes.
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
func (f *formerJobs) recordRemoved(id string, revision int64) {
	if len(f.removedAt) >= maxRemovedAssignments {
		f.removedAt = map[string]int64{}
		f.ended = map[string]bool{}
	}
	f.removedAt[id] = max(f.removedAt[id], revision)
}

// recordEnded records that a job was ended.
func (f *formerJobs) recordEnded(id string) { f.ended[id] = true }

// removedSince reports whether a job's assignment was deleted at or after the given revision.
func (f *formerJobs) removedSince(id string, revision int64) bool {
	return f.removedAt[id] >= revision
}

// retainedResults holds the durable results of a job that this process no longer owns.
type retainedResults struct {
	id        string
	submitted time.Time
	total     int
	results   []batch.Result
}

// retain stores the results of a job, so that its readers cause no calls to the store.
func (f *formerJobs) retain(now time.Time, r retainedResults) {
	f.forget(r.id)
	for len(f.retained) > 0 && (len(f.retained) >= maxRetainedJobs || now.Sub(f.retained[0].submitted) > f.ttl) {
		f.retained = f.retained[1:]
	}
	f.retained = append(f.retained, r)
}

// forget drops the retained results of a job that this process adopts again. They are those
// from when it lost the job before, and fewer than readers may have seen since.
func (f *formerJobs) forget(id string) {
	f.retained = slices.DeleteFunc(f.retained, func(old retainedResults) bool { return old.id == id })
}

// results returns the retained results of a job.
func (f *formerJobs) results(id string) (retainedResults, bool) {
	for _, r := range f.retained {
		if r.id == id {
			return r, true
		}
	}
	return retainedResults{}, false
}

// fromPosition returns the results from a position on.
func (r *retainedResults) fromPosition(position int) []batch.Result {
	if position >= len(r.results) {
		return nil
	}
	return r.results[max(0, position):]
}
