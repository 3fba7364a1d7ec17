package config

import (
	"math/rand/v2"
	"time"
)

// RefusedLogConfig holds the parameters of a RefusedLog.
type RefusedLogConfig struct {
	FirstWriteDelay time.Duration // from the first refused change to its write
	WriteInterval   time.Duration // between the starts of two batches
	RetryDelay      time.Duration // after a batch that lost to another writer's
	MaxGroups       int           // most waiting groups, of known operators and of unknown callers each; the rest is only counted
}

// DefaultRefusedLogConfig returns the parameters that siskinloomd uses.
func DefaultRefusedLogConfig() RefusedLogConfig {
	return RefusedLogConfig{FirstWriteDelay: time.Second, WriteInterval: 10 * time.Second, RetryDelay: time.Second, MaxGroups: 32}
}

// RefusedLog collects the changes that one entry refused or whose outcome it does
// not know, and decides when to write them to the key-value service. Like changes
// form one group, so that a flood costs two calls per interval and bounded memory
// in the entry and in the service. Accepted changes are not logged here; they have
// their audit entry in the record. It is not safe for concurrent use.
type RefusedLog struct {
	config     RefusedLogConfig
	deployment string
	writer     string // identifies this run of the entry

	waiting []RefusedChanges
	dropped int64 // changes that exceeded the limit of waiting groups
	batch   *batch
	number  int64 // of the last batch
	busy    bool  // a call is in flight
	next    time.Time
}

// batch is what is being written. It does not change until it is known to be in
// the record, since an earlier write of it may still take effect.
type batch struct {
	groups  []RefusedChanges
	dropped int64
}

// NewRefusedLog returns an empty log. Each run of an entry uses another writer.
func NewRefusedLog(config RefusedLogConfig, deployment, writer string) *RefusedLog {
	return &RefusedLog{config: config, deployment: deployment, writer: writer}
}

// Append adds one change.
func (l *RefusedLog) Append(now time.Time, r RefusedChanges) {
	r.UnixMilli, r.LastMilli, r.Count = now.UnixMilli(), now.UnixMilli(), 1
	if l.Unwritten() == 0 {
		l.delayUntil(now.Add(l.config.FirstWriteDelay))
	}
	var added bool
	if l.waiting, added = addGroup(l.waiting, r.sanitized(), l.config.MaxGroups); !added {
		l.dropped++
	}
}

// delayUntil delays the next write until t unless it is later already.
func (l *RefusedLog) delayUntil(t time.Time) {
	if t.After(l.next) {
		l.next = t
	}
}

// Unwritten returns how many changes are not known to be in the record.
func (l *RefusedLog) Unwritten() int64 {
	n := l.Waiting()
	if l.batch != nil {
		n += l.batch.dropped + total(l.batch.groups)
	}
	return n
}

// Waiting returns how many changes are in no batch yet and therefore certainly not
// in the record.
func (l *RefusedLog) Waiting() int64 {
	return l.dropped + total(l.waiting)
}

// Tick returns the first step of a write if one is due, else StepDone.
func (l *RefusedLog) Tick(now time.Time) Step {
	if now.Before(l.next) {
		return Step{Kind: StepDone}
	}
	return l.Flush(now)
}

// Flush starts a write of the waiting changes, whether due or not. It returns
// StepDone if nothing waits or a write is in progress.
func (l *RefusedLog) Flush(now time.Time) Step {
	if l.busy || l.Unwritten() == 0 {
		return Step{Kind: StepDone}
	}
	if l.batch == nil {
		l.batch = &batch{groups: l.waiting, dropped: l.dropped}
		l.waiting, l.dropped = nil, 0
		l.number++
	}
	l.busy = true
	l.next = now.Add(l.config.WriteInterval)
	return Step{Kind: StepRead, Key: refusedKey(l.deployment, l.writer)}
}

// ReadDone processes the record that was read; ok is false if it could not be read.
func (l *RefusedLog) ReadDone(record RefusedRecord, keyRevision int64, ok bool) Step {
	if !ok {
		l.busy = false
		return Step{Kind: StepDone}
	}
	if record.hasBatch(l.writer, l.number) {
		return l.written()
	}
	next := record.withBatch(l.writer, l.number, l.batch.groups, l.batch.dropped)
	return Step{Kind: StepWrite, Key: refusedKey(l.deployment, l.writer), Expected: keyRevision, Value: encode(next)}
}

// WriteDone processes the outcome of the write.
func (l *RefusedLog) WriteDone(now time.Time, outcome WriteOutcome, rnd *rand.Rand) Step {
	switch outcome {
	case WriteSwapped:
		return l.written()
	case WriteConflict:
		// A random delay keeps two writers that collided from colliding again.
		l.next = now.Add(l.config.RetryDelay + time.Duration(rnd.Int64N(int64(l.config.RetryDelay)+1)))
	}
	l.busy = false
	return Step{Kind: StepDone}
}

func (l *RefusedLog) written() Step {
	l.batch, l.busy = nil, false
	return Step{Kind: StepDone}
}
