package config

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/policy/config"
)

const refusedLogTickInterval = 100 * time.Millisecond

// refusedLogConfig has shorter times than the product, so that several batches are written
// within a schedule.
var refusedLogConfig = config.RefusedLogConfig{FirstWriteDelay: 300 * time.Millisecond, WriteInterval: time.Second, RetryDelay: 200 * time.Millisecond, MaxGroups: 2}

// refusedLogs holds the logs of the refused and unknown changes of a schedule. It has its
// own source of random numbers, so that it does not influence the rest of the schedule.
type refusedLogs struct {
	*clock
	store    *store[[]byte]
	logs     []*config.RefusedLog // one for each incarnation of an entry
	appended int64                // changes appended to the logs
}

func newRefusedLogs(s *schedule, seed uint64) *refusedLogs {
	c := &clock{Timeline: s.Timeline, rng: rand.New(rand.NewPCG(seed, 0x10e7))}
	return &refusedLogs{clock: c, store: newStore[[]byte](c, storeFaults{lostRequest: 0.08, lostAnswer: 0.12, lateRequest: 0.08})}
}

// start gives an entry that starts a new log and writes the log periodically.
func (l *refusedLogs) start(p *process) {
	p.refusedLog = config.NewRefusedLog(refusedLogConfig, deploymentName, p.incarnationName())
	l.logs = append(l.logs, p.refusedLog)
	incarnation := p.incarnation
	var next func()
	next = func() {
		p.runIfAlive(incarnation, func() { l.execute(p, p.refusedLog.Tick(p.schedule.Now())) })
		if p.incarnation == incarnation {
			l.After(refusedLogTickInterval, next)
		}
	}
	l.After(l.between(0, refusedLogTickInterval), next)
}

// appendOutcome appends a change to an entry's log unless it was accepted or had no effect.
func (l *refusedLogs) appendOutcome(p *process, r config.Request, verdict config.Verdict) {
	outcome := config.OutcomeRefused
	switch verdict {
	case config.Accepted, config.Unchanged:
		return
	case config.Unknown:
		outcome = config.OutcomeUnknown
	}
	l.appended++
	p.refusedLog.Append(p.schedule.Now(), config.RefusedChanges{Operator: r.Operator, Action: r.Action, Outcome: outcome, ChangeID: r.ChangeID})
}

// execute executes a step of an entry's log. It stops if the entry's incarnation ends.
func (l *refusedLogs) execute(p *process, step config.Step) {
	incarnation, log := p.incarnation, p.refusedLog
	l.store.outage = p.schedule.store.outage
	switch step.Kind {
	case config.StepRead:
		l.store.read(step.Key, func(value []byte, revision int64, ok bool) {
			record, err := config.DecodeRefused(value)
			if p.schedule.disabled == markCheck {
				record.Marks = nil
			}
			p.runIfAlive(incarnation, func() { l.execute(p, log.ReadDone(record, revision, ok && err == nil)) })
		})
	case config.StepWrite:
		l.store.compareAndSwap(step.Key, step.Expected, step.Value, func(outcome storeOutcome, _ []byte, _ int64) {
			p.runIfAlive(incarnation, func() { l.execute(p, log.WriteDone(p.schedule.Now(), p.schedule.writeOutcome(outcome), l.rng)) })
		})
	}
}

// miscounted returns the number of changes that are neither in the record nor known to
// wait in a log, or that are in the record more than once. A batch whose answer was lost
// may be both in the record and in a log.
func (l *refusedLogs) miscounted() int {
	stored, unwritten, waiting := int64(0), int64(0), int64(0)
	for _, value := range l.store.values {
		record, err := config.DecodeRefused(value)
		if err != nil {
			return int(l.appended)
		}
		stored += record.Total()
	}
	for _, log := range l.logs {
		unwritten += log.Unwritten()
		waiting += log.Waiting()
	}
	minStored := l.appended - unwritten // the logs know that these are stored
	maxStored := l.appended - waiting
	return int(max(0, minStored-stored) + max(0, stored-maxStored))
}
