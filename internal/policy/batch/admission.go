package batch

import "time"

const (
	// ownerShare is the share of a process's memory for the jobs that it owns. When other owners are
	// lost, it takes over theirs, which can't be refused any more.
	ownerShare = 1.0 / 6
	// pendingTTL is how long a job that was admitted counts before the process has adopted it. The
	// submission is written within seconds, or was not accepted.
	pendingTTL = 10 * time.Second
)

// Admission decides whether the owner of jobs has memory for another one. It is not safe for
// concurrent use.
type Admission struct {
	limit   int64 // bytes; 0: not bounded
	pending map[string]pendingJob
}

// pendingJob is a job that was admitted and has not been adopted.
type pendingJob struct {
	size  int64
	until time.Time
}

// NewAdmission returns the admission of a process with so much memory; 0: not bounded.
func NewAdmission(memoryBytes int64) *Admission {
	return &Admission{limit: int64(ownerShare * float64(memoryBytes)), pending: map[string]pendingJob{}}
}

// Admit returns whether a process that owns jobs of the given total size can take another one. A job
// of any size is admitted if there is no other.
func (a *Admission) Admit(now time.Time, owned int64, job string, size int64) bool {
	for id, p := range a.pending {
		if id == job || !now.Before(p.until) {
			delete(a.pending, id)
			continue
		}
		owned += p.size
	}
	if a.limit > 0 && owned > 0 && owned+size > a.limit {
		return false
	}
	a.pending[job] = pendingJob{size: size, until: now.Add(pendingTTL)}
	return true
}

// Adopted records that the process owns a job.
func (a *Admission) Adopted(job string) { delete(a.pending, job) }
