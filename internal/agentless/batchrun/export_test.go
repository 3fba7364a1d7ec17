package batchrun

import (
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// Distrusted tells whether a process was found silent lately.
func (d *Frontend) MarkedUnresponsive(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := d.unresponsive[name]
	return found
}

// Unpack reads texts as they go between processes.
func Unpack(raw []byte) error {
	_, err := unpack[[]batch.TextPart](raw)
	return err
}

// Pack writes texts as they go between processes.
var Pack = pack

// DecodeRecords reads a value of the store as each of its kinds.
func DecodeRecords(raw []byte) {
	var record jobRecord
	_ = decode(raw, &record)
	var mark assignmentRecord
	_ = decode(raw, &mark)
	_, _ = joinSpec([]kv.Record{{Value: raw}}, 1)
	_, _ = joinDone([]kv.Record{{Value: raw}})
}

// EncodeRecord returns a job's record as the store holds it.
func EncodeRecord(owner string, total int) ([]byte, error) {
	return encode(jobRecord{Owner: owner, Model: "m", Total: total, Parts: 1})
}

// Guards tells whether a process stands by for a job.
func Guards(o *Owner, job string) bool {
	o.Standby.mu.Lock()
	defer o.Standby.mu.Unlock()
	return o.Standby.jobs[job] != nil
}

// RunsFor tells whether a process runs a job that it does not own.
func RunsFor(o *Owner, job string) bool {
	o.Standby.mu.Lock()
	defer o.Standby.mu.Unlock()
	j := o.Standby.jobs[job]
	return j != nil && j.run != nil
}

// MadeFor returns how many results a process has of a job that it does not own.
func MadeFor(o *Owner, job string) int {
	o.Standby.mu.Lock()
	defer o.Standby.mu.Unlock()
	j := o.Standby.jobs[job]
	if j == nil || j.run == nil {
		return 0
	}
	j.run.mu.Lock()
	defer j.run.mu.Unlock()
	_, results := j.run.job.PendingResults()
	return len(results)
}

// RunsNow tells whether a process generates for a job that it does not own.
func RunsNow(o *Owner, job string) bool {
	for _, j := range o.Standby.running() {
		if j.id == job {
			return true
		}
	}
	return false
}
