package config

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/policy/config"
)

const journalTick = 100 * time.Millisecond

// journalSettings let a schedule's seconds hold several batches.
var journalSettings = config.RefusedLogConfig{FirstWriteDelay: 300 * time.Millisecond, WriteInterval: time.Second, RetryDelay: 200 * time.Millisecond, MaxGroups: 2}

// journals are the refused and unknown changes of a schedule. They draw from a
// random source of their own, so that they do not change what else happens.
type journals struct {
	*world
	store *store[[]byte]
	all   []*config.RefusedLog // of every life of an entry
	noted int64
}

func newJournals(s *schedule, seed uint64) *journals {
	w := &world{Timeline: s.Timeline, rnd: rand.New(rand.NewPCG(seed, 0x10e7))}
	return &journals{world: w, store: newStore[[]byte](w, storeFaults{loseRequest: 0.08, loseAnswer: 0.12, delay: 0.08})}
}

// begin gives an entry that starts its journal.
func (j *journals) begin(p *proc) {
	p.journal = config.NewRefusedLog(journalSettings, deployment, p.lifeName())
	j.all = append(j.all, p.journal)
	life := p.life
	var next func()
	next = func() {
		p.do(life, func() { j.carryOut(p, p.journal.Tick(p.s.Now())) })
		if p.life == life {
			j.After(journalTick, next)
		}
	}
	j.After(j.between(0, journalTick), next)
}

// note takes in how a change ended at an entry.
func (j *journals) note(p *proc, r config.Request, v config.Verdict) {
	outcome := config.OutcomeRefused
	switch v {
	case config.Accepted, config.Unchanged:
		return
	case config.Unknown:
		outcome = config.OutcomeUnknown
	}
	j.noted++
	p.journal.Append(p.s.Now(), config.RefusedChanges{Operator: r.Operator, Action: r.Action, Outcome: outcome, ChangeID: r.ChangeID})
}

// carryOut does a step of the life that began it; one that dies leaves its call.
func (j *journals) carryOut(p *proc, step config.Step) {
	life, journal := p.life, p.journal
	j.store.out = p.s.store.out
	switch step.Kind {
	case config.StepRead:
		j.store.read(step.Key, func(value []byte, revision int64, ok bool) {
			record, err := config.DecodeRefused(value)
			if p.s.variant == forgetMarks {
				record.Marks = nil
			}
			p.do(life, func() { j.carryOut(p, journal.ReadDone(record, revision, ok && err == nil)) })
		})
	case config.StepWrite:
		j.store.swap(step.Key, step.Expected, step.Value, func(o outcome, _ []byte, _ int64) {
			p.do(life, func() { j.carryOut(p, journal.WriteDone(p.s.Now(), p.s.writeOutcome(o), j.rnd)) })
		})
	}
}

// missing is how many changes are neither in the trail nor known to wait with
// an entry, or are in it twice. A batch whose answer was lost may be in both.
func (j *journals) missing() int {
	stored, waiting, certain := int64(0), int64(0), int64(0)
	for _, value := range j.store.values {
		record, err := config.DecodeRefused(value)
		if err != nil {
			return int(j.noted)
		}
		stored += record.Total()
	}
	for _, journal := range j.all {
		waiting += journal.Unwritten()
		certain += journal.Waiting()
	}
	least := j.noted - waiting // what journals know to be stored
	most := j.noted - certain
	return int(max(0, least-stored) + max(0, stored-most))
}
