package batchrun

import (
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
	kept []*batch.Job     // with their durable results, oldest first
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

// keep keeps the results of a job that was ended, so that readers of it make no
// calls to the store: at forty machines each made one for each such job.
func (e *endedJobs) keep(now time.Time, job *batch.Job) {
	for len(e.kept) > 0 && (len(e.kept) >= mostKept || now.Sub(e.kept[0].Spec.Submitted) > e.life) {
		e.kept = e.kept[1:]
	}
	e.kept = append(e.kept, job)
}

// results returns the kept job, or nil.
func (e *endedJobs) results(id string) *batch.Job {
	for _, job := range e.kept {
		if job.Spec.ID == id {
			return job
		}
	}
	return nil
}
