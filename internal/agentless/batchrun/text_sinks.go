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
	if j.mark == 0 {
		return s // this process stores its owner's texts
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
		buffer.Begin(j.id, j.mark, texts)
	}
}

func (s sinks) event(j *ownedJob, item string, id int64, data []byte, version int64) {
	for _, buffer := range s {
		buffer.Event(j.id, j.mark, item, id, data, version)
	}
}

// ended records the effect of a finished run on an item's text.
func (s sinks) ended(j *ownedJob, i int, how batch.RunOutcome) {
	item, made := j.job.Spec.Items[i].ID, j.job.EventCount(i)
	for _, buffer := range s {
		switch {
		case how == batch.RunComplete && made > 0:
			buffer.Complete(j.id, j.mark, item, made)
		case how == batch.RunFailed, how == batch.RunVersionMismatch:
			buffer.Restart(j.id, j.mark, item)
		}
	}
}

// scored records the score of an item's text; made is its number of events.
func (s sinks) scored(j *ownedJob, item string, made int64, score string) {
	for _, buffer := range s {
		buffer.Add(j.id, j.mark, batch.TextPart{Item: item, First: made + 1, Complete: true, Score: score})
	}
}
