package batchrun

import (
	"context"
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

// MarkedUnresponsive reports whether a process was found unresponsive.
func (f *Frontend) MarkedUnresponsive(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found := f.unresponsive[name]
	return found
}

// Unpack decodes texts as they are sent between processes.
func Unpack(raw []byte) error {
	_, err := unpack[[]batch.TextPart](raw)
	return err
}

// Pack encodes texts as they are sent between processes.
var Pack = pack

// DecodeRecords decodes a value of the store as each kind of record.
func DecodeRecords(raw []byte) {
	var record jobRecord
	_ = decode(raw, &record)
	var assignment assignmentRecord
	_ = decode(raw, &assignment)
	_, _ = joinSpec([]kv.Record{{Value: raw}}, 1)
	_, _ = joinDone([]kv.Record{{Value: raw}})
}

// EncodeRecord returns a job's record as it is stored.
func EncodeRecord(owner string, total int) ([]byte, error) {
	return encode(jobRecord{Owner: owner, Model: "m", Total: total, Parts: 1})
}

// IsStandbyFor reports whether a process is the standby for a job.
func IsStandbyFor(o *Owner, job string) bool {
	o.Standby.mu.Lock()
	defer o.Standby.mu.Unlock()
	return o.Standby.jobs[job] != nil
}

// HasStandbyRun reports whether a process has a run of a job that it does not own.
func HasStandbyRun(o *Owner, job string) bool {
	o.Standby.mu.Lock()
	defer o.Standby.mu.Unlock()
	j := o.Standby.jobs[job]
	return j != nil && j.run != nil
}

// StandbyResultCount returns how many results a process has generated for a job that it does
// not own.
func StandbyResultCount(o *Owner, job string) int {
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

// StandbyIsRunning reports whether a process generates results for a job that it does not own.
func StandbyIsRunning(o *Owner, job string) bool {
	for _, j := range o.Standby.running() {
		if j.id == job {
			return true
		}
	}
	return false
}

// OwnedJob is a job that a process runs.
type OwnedJob = ownedJob

// AddOwnedJob adds a job with one running item to a process that isn't running.
func AddOwnedJob(o *Owner, spec *batch.Spec) *OwnedJob {
	j := &ownedJob{id: spec.ID, token: 1, job: batch.NewJob(spec, nil)}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs[j.id] = j
	j.job.StartRun(0)
	o.sinksOf(j).begin(j)
	return j
}

// GenerateEvents adds events to the text of a job's first item, up to the given one.
func GenerateEvents(o *Owner, j *OwnedJob, last int64) {
	for id := j.job.EventCount(0) + 1; id <= last; id++ {
		j.mu.Lock()
		data := []byte(fmt.Sprint("e", id))
		j.job.AddEvent(0, id, data, j.job.Spec.MinVersion)
		o.sinksOf(j).event(j, j.job.Spec.Items[0].ID, id, data, j.job.Spec.MinVersion)
		j.mu.Unlock()
	}
}

// CopyTexts sends the new events of all jobs to their standbys.
func CopyTexts(o *Owner) { o.Copier.copyAll(context.Background()) }

// UnpackParts decodes the parts of texts of a message.
func UnpackParts(raw []byte) ([]batch.TextPart, error) { return unpack[[]batch.TextPart](raw) }

// SpeedMeter measures the speed of an engine during a run.
type SpeedMeter = speedMeter

// ObserveEvent records an event of a run.
func ObserveEvent(m *SpeedMeter, now time.Time, others func() int) (seconds, meanOthers float64, measured bool) {
	return m.observe(now, others)
}

// SpeedMessages returns the encoded speeds that an owner sends now, by receiver.
func SpeedMessages(o *Owner, now time.Time, service string, others []string, otherBytes int) map[string][]byte {
	return o.speedMessages(now, service, others, otherBytes)
}

// ReceiveLoad has an owner receive a load message.
func ReceiveLoad(o *Owner, args LoadArgs) error {
	return (&Service{owner: o}).Load(args, &struct{}{})
}

// CheckSpeeds logs and counts changes of speeds.
func CheckSpeeds(o *Owner, now time.Time) { o.checkSpeeds(now) }

// Pace measures the time between a run's events.
type Pace = pace

// ObservePaceEvent records an event of a run, and returns what the run measured lately.
func ObservePaceEvent(p *Pace, now time.Time) endpoints.Measured {
	p.observe(now)
	return p.recent()
}

// ReportedLoad returns the sum of the loads that other owners sent.
func ReportedLoad(o *Owner) schedule.Load { return o.loads.total(time.Now()) }

// StoreJob stores a job that is assigned to an owner.
func StoreJob(ctx context.Context, store kv.TransactionalStore, id, owner string) error {
	t, err := acceptance(id, jobRecord{Owner: owner, Submitted: time.Now(), Total: 1}, [][]byte{{1}})
	if err != nil {
		return err
	}
	_, err = store.Commit(ctx, t)
	return err
}
