package batchrun

import (
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// sinks are the buffers that receive the events of partial texts besides the job itself. They
// are called under the lock of the job, so that events arrive in order.
type sinks []*textlog.Buffer

// sinksOf returns the buffers that receive the events of a job's texts.
func (o *Owner) sinksOf(j *ownedJob) sinks {
	var s sinks
	if j.token == 0 {
		return s // this process's text log holds the texts that the job's owner sent
	}
	if o.Texts != nil && o.Switches.On(mechanism.TextJournal) {
		s = append(s, o.Texts.Buffer)
	}
	if o.Copier.StandbyFor != nil && o.Switches.On(mechanism.TextCopies) {
		s = append(s, o.Copier.buffer)
	}
	return s
}

func (s sinks) begin(j *ownedJob) {
	texts := j.job.Texts()
	for _, buffer := range s {
		buffer.Begin(j.id, j.token, texts)
	}
}

func (s sinks) event(j *ownedJob, item string, id int64, data []byte, version int64) {
	for _, buffer := range s {
		buffer.Event(j.id, j.token, item, id, data, version)
	}
}

// ended records the effect of a finished run on an item's text.
func (s sinks) ended(j *ownedJob, i int, runOutcome batch.RunOutcome) {
	item, eventCount := j.job.Spec.Items[i].ID, j.job.EventCount(i)
	for _, buffer := range s {
		switch {
		case runOutcome == batch.RunComplete && eventCount > 0:
			buffer.Complete(j.id, j.token, item, eventCount)
		case runOutcome == batch.RunFailed, runOutcome == batch.RunVersionMismatch:
			buffer.Restart(j.id, j.token, item)
		}
	}
}

// scored records the score of an item's text that has the given number of events.
func (s sinks) scored(j *ownedJob, item string, eventCount int64, score string) {
	for _, buffer := range s {
		buffer.Add(j.id, j.token, batch.TextPart{Item: item, First: eventCount + 1, Complete: true, Score: score})
	}
}
