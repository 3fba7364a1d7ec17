package batchrun

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// mostEnded bounds the marks remembered as removedAt; one is of use for the second
	// that loading a job takes.
	maxEndedJobs = 256
	// mostKept bounds the ended jobs whose results are retained, at half a megabyte
	// each; older ones are read from the store.
	maxRetainedJobs = 16
)

// endedJobs is what an owner remembers of jobs it no longer has. It is guarded
// by the owner's lock.
type endedJobs struct {
	ttl       time.Duration
	removedAt map[string]int64  // revision at which the mark went, by job
	ended     map[string]bool   // jobs that are known to have ended, not moved
	retained  []retainedResults // oldest first
}

func newEndedJobs(ttl time.Duration) *endedJobs {
	return &endedJobs{ttl: ttl, removedAt: map[string]int64{}, ended: map[string]bool{}}
}

// note remembers that a mark went: a job that is still being loaded then must
// not begin after it.
func (e *endedJobs) recordRemoved(id string, revision int64) {
	if len(e.removedAt) >= maxEndedJobs {
		e.removedAt = map[string]int64{}
		e.ended = map[string]bool{}
	}
	e.removedAt[id] = max(e.removedAt[id], revision)
}

// end notes that a job was ended.
func (e *endedJobs) recordEnded(id string) { e.ended[id] = true }

func (e *endedJobs) removedSince(id string, mark int64) bool { return e.removedAt[id] >= mark }

// keptResults are an ended job's durable results.
type retainedResults struct {
	id        string
	submitted time.Time
	total     int
	results   []batch.Result
}

// keep keeps the results of a job that was ended, so that readers of it make no
// calls to the store.
func (e *endedJobs) retain(now time.Time, k retainedResults) {
	e.forget(k.id)
	for len(e.retained) > 0 && (len(e.retained) >= maxRetainedJobs || now.Sub(e.retained[0].submitted) > e.ttl) {
		e.retained = e.retained[1:]
	}
	e.retained = append(e.retained, k)
}

// forget drops what is retained of a job that this process takes on again: it is what it
// had when it lost the job before, and less than what readers will have seen.
func (e *endedJobs) forget(id string) {
	e.retained = slices.DeleteFunc(e.retained, func(old retainedResults) bool { return old.id == id })
}

// results returns what is retained of a job.
func (e *endedJobs) results(id string) (retainedResults, bool) {
	for _, k := range e.retained {
		if k.id == id {
			return k, true
		}
	}
	return retainedResults{}, false
}

// from returns the results from a position on.
func (k *retainedResults) fromPosition(position int) []batch.Result {
	if position >= len(k.results) {
		return nil
	}
	return k.results[max(0, position):]
}
