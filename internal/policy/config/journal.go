package config

import (
	"math/rand/v2"
	"time"
)

// JournalConfig holds the parameters of a Journal.
type RefusedLogConfig struct {
	FirstWriteDelay time.Duration // from the first refused change to its write
	WriteInterval   time.Duration // between the beginnings of two batches
	RetryDelay      time.Duration // after a batch that another writer was before
	MaxGroups       int           // waiting, of operators and of strangers each; the rest is counted
}

// DefaultJournalConfig returns the parameters that siskinloomd uses.
func DefaultRefusedLogConfig() RefusedLogConfig {
	return RefusedLogConfig{FirstWriteDelay: time.Second, WriteInterval: 10 * time.Second, RetryDelay: time.Second, MaxGroups: 32}
}

// Journal collects the changes that one entry refused, or whose outcome it does
// not know, and decides when to write them to the platform's service. Like ones
// are one group, so that a flood costs two calls per interval and bounded memory
// here and there. It has no part in accepted changes, which have their audit
// entry in the record. It is not safe for concurrent use.
type RefusedLog struct {
	config     RefusedLogConfig
	deployment string
	writer     string // this run of the entry

	waiting []RefusedChanges
	dropped int64 // changes that found no place among the waiting
	batch   *batch
	number  int64 // of the last batch
	busy    bool  // a call is under way
	next    time.Time
}

// batch is what is being written. It does not change until it is known to be in
// the record, as an earlier write of it may still arrive.
type batch struct {
	groups  []RefusedChanges
	dropped int64
}

// NewJournal returns an empty journal. The writer differs for each run.
func NewRefusedLog(config RefusedLogConfig, deployment, writer string) *RefusedLog {
	return &RefusedLog{config: config, deployment: deployment, writer: writer}
}

// Note takes in one change.
func (j *RefusedLog) Append(now time.Time, r RefusedChanges) {
	r.UnixMilli, r.LastMilli, r.Count = now.UnixMilli(), now.UnixMilli(), 1
	if j.Unwritten() == 0 {
		j.notBefore(now.Add(j.config.FirstWriteDelay))
	}
	var added bool
	if j.waiting, added = addGroup(j.waiting, r.clean(), j.config.MaxGroups); !added {
		j.dropped++
	}
}

func (j *RefusedLog) notBefore(t time.Time) {
	if t.After(j.next) {
		j.next = t
	}
}

// Unwritten is how many changes are not known to be in the record.
func (j *RefusedLog) Unwritten() int64 {
	n := j.Waiting()
	if j.batch != nil {
		n += j.batch.dropped + total(j.batch.groups)
	}
	return n
}

// Waiting is how many changes are in no batch yet, so certainly not in the
// record.
func (j *RefusedLog) Waiting() int64 {
	return j.dropped + total(j.waiting)
}

// Tick returns the first step of a write that is due; else StepDone.
func (j *RefusedLog) Tick(now time.Time) Step {
	if now.Before(j.next) {
		return Step{Kind: StepDone}
	}
	return j.Flush(now)
}

// Flush begins a write of what waits, whether due or not; StepDone: nothing
// does, or a write is under way.
func (j *RefusedLog) Flush(now time.Time) Step {
	if j.busy || j.Unwritten() == 0 {
		return Step{Kind: StepDone}
	}
	if j.batch == nil {
		j.batch = &batch{groups: j.waiting, dropped: j.dropped}
		j.waiting, j.dropped = nil, 0
		j.number++
	}
	j.busy = true
	j.next = now.Add(j.config.WriteInterval)
	return Step{Kind: StepRead, Key: refusedKey(j.deployment, j.writer)}
}

// Read takes in the record; ok false means that it could not be read.
func (j *RefusedLog) ReadDone(record RefusedRecord, keyRevision int64, ok bool) Step {
	if !ok {
		j.busy = false
		return Step{Kind: StepDone}
	}
	if record.has(j.writer, j.number) {
		return j.written()
	}
	next := record.with(j.writer, j.number, j.batch.groups, j.batch.dropped)
	return Step{Kind: StepWrite, Key: refusedKey(j.deployment, j.writer), Expected: keyRevision, Value: encode(next)}
}

// Wrote takes in what became of the write.
func (j *RefusedLog) WriteDone(now time.Time, outcome WriteOutcome, rnd *rand.Rand) Step {
	switch outcome {
	case WriteSwapped:
		return j.written()
	case WriteConflict:
		// Apart from each other, writers that met once do not meet again.
		j.next = now.Add(j.config.RetryDelay + time.Duration(rnd.Int64N(int64(j.config.RetryDelay)+1)))
	}
	j.busy = false
	return Step{Kind: StepDone}
}

func (j *RefusedLog) written() Step {
	j.batch, j.busy = nil, false
	return Step{Kind: StepDone}
}
