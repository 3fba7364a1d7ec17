package batchrun

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// mostEnded bounds the marks remembered as gone; one is of use for the second
	// that loading a job takes.
	mostEnded = 256
	// mostKept bounds the ended jobs whose results are kept, at half a megabyte
	// each; older ones are read from the store.
	mostKept = 16
)

// endedJobs is what an owner remembers of jobs it no longer has. It is guarded
// by the owner's lock.
type endedJobs struct {
	life time.Duration
	gone map[string]int64 // revision at which the mark went, by job
	done map[string]bool  // jobs that are known to have ended, not moved
	kept []keptResults    // oldest first
}

func newEndedJobs(life time.Duration) *endedJobs {
	return &endedJobs{life: life, gone: map[string]int64{}, done: map[string]bool{}}
}

// note remembers that a mark went: a job that is still being loaded then must
// not begin after it.
func (e *endedJobs) note(id string, revision int64) {
	if len(e.gone) >= mostEnded {
		e.gone = map[string]int64{}
		e.done = map[string]bool{}
	}
	e.gone[id] = max(e.gone[id], revision)
}

// end notes that a job was ended.
func (e *endedJobs) end(id string) { e.done[id] = true }

func (e *endedJobs) since(id string, mark int64) bool { return e.gone[id] >= mark }

// keptResults are an ended job's durable results.
type keptResults struct {
	id        string
	submitted time.Time
	total     int
	results   []batch.Result
}

// keep keeps the results of a job that was ended, so that readers of it make no
// calls to the store.
func (e *endedJobs) keep(now time.Time, k keptResults) {
	e.forget(k.id)
	for len(e.kept) > 0 && (len(e.kept) >= mostKept || now.Sub(e.kept[0].submitted) > e.life) {
		e.kept = e.kept[1:]
	}
	e.kept = append(e.kept, k)
}

// forget drops what is kept of a job that this process takes on again: it is what it
// had when it lost the job before, and less than what readers will have seen.
func (e *endedJobs) forget(id string) {
	e.kept = slices.DeleteFunc(e.kept, func(old keptResults) bool { return old.id == id })
}

// results returns what is kept of a job.
func (e *endedJobs) results(id string) (keptResults, bool) {
	for _, k := range e.kept {
		if k.id == id {
			return k, true
		}
	}
	return keptResults{}, false
}

// from returns the results from a position on.
func (k *keptResults) from(position int) []batch.Result {
	if position >= len(k.results) {
		return nil
	}
	return k.results[max(0, position):]
}
