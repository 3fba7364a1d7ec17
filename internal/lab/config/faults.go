package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// runSchedule plays one seeded schedule to its end and judges it.
func runSchedule(seed uint64, v variant) verdicts {
	s := newSchedule(seed, v)
	for range 2 + s.rnd.IntN(4) {
		s.After(s.between(0, faultsEnd), s.fault)
	}
	for o := range operators {
		s.After(s.between(500*time.Millisecond, time.Second), func() { s.operate(o, 1) })
	}
	s.Run(scheduleEnd, never)
	s.judge()
	return s.verdicts
}

// fault begins a fault that ends by itself.
func (s *schedule) fault() {
	p := s.procs[s.rnd.IntN(len(s.procs))]
	lasts := s.between(200*time.Millisecond, 4*time.Second)
	switch s.rnd.IntN(5) {
	case 0:
		s.store.out = true
		s.After(lasts, func() { s.store.out = false })
	case 1:
		p.up = false
		p.life++
		s.After(lasts, func() {
			if !p.up {
				p.start()
			}
		})
	case 2:
		p.paused = s.Now().Add(lasts)
	case 3: // one process is cut off from all others
		for _, q := range s.procs {
			s.cutOff(p.index, q.index, lasts)
		}
	case 4: // two sides
		for _, a := range s.procs {
			for _, b := range s.procs {
				if a.index%2 == 0 && b.index%2 == 1 {
					s.cutOff(a.index, b.index, lasts)
				}
			}
		}
	}
}

func (s *schedule) cutOff(a, b int, lasts time.Duration) {
	pair := pairOf(a, b)
	s.cut[pair] = true
	s.After(lasts, func() { delete(s.cut, pair) })
}

// operate has an operator make its nth change and, in the end, the next. Each
// operator sets the weight of a business of its own.
func (s *schedule) operate(o, n int) {
	if n > changesEach {
		return
	}
	s.store.read(config.Key(deployment), func(value []byte, _ int64, ok bool) {
		again := func() { s.After(s.between(100*time.Millisecond, time.Second), func() { s.operate(o, n+1) }) }
		r, err := config.DecodeRecord(value)
		if !ok || err != nil {
			s.After(300*time.Millisecond, func() { s.operate(o, n) })
			return
		}
		s.submit(s.request(o, n, r.Revision), 0, again)
	})
}

func (s *schedule) request(o, n int, expected int64) config.Request {
	name := fmt.Sprint("business-", o)
	return config.Request{
		Deployment: deployment, Expected: expected, Operator: fmt.Sprint(o), ChangeID: fmt.Sprintf("%d-%d", o, n),
		Action: config.ActionApply, Now: s.Now(),
		Edit: func(current *decl.Deployment) *decl.Deployment {
			next := decl.Deployment{Name: deployment}
			for _, b := range current.Businesses {
				if b.Name != name {
					next.Businesses = append(next.Businesses, b)
				}
			}
			next.Businesses = append(next.Businesses, decl.Business{Name: name, Weight: float64(n)})
			return &next
		},
	}
}

// submit sends a change to some entry, as siskinctl does: one whose outcome is
// unknown, or that was not answered, is repeated under its change id. That a
// repeat failed says nothing about the earlier tries, so it stays unknown.
func (s *schedule) submit(r config.Request, tries int, then func()) {
	p := s.procs[s.rnd.IntN(scheduleEntries)]
	answered := false
	retry := func() {
		if answered {
			return
		}
		answered = true
		s.told[r.ChangeID] = config.Unknown
		if tries < repeats {
			s.submit(r, tries+1, then)
			return
		}
		then()
	}
	s.After(4*time.Second, retry) // the entry died, or its answer was lost
	if !p.up || !p.follower.MayAccept(s.Now()) {
		s.After(200*time.Millisecond, retry)
		return
	}
	began := s.Now()
	runAttempt(s, p, r, func(result config.Result) {
		if result.Record.Revision > 0 {
			p.stored(result.Record, began)
		}
		s.journals.note(p, r, result.Verdict)
		if answered {
			return
		}
		doubt := tries > 0 && s.variant != trustRepeats
		if result.Verdict == config.Unknown || result.Verdict == config.Failed && doubt {
			s.After(200*time.Millisecond, retry)
			return
		}
		answered = true
		s.told[r.ChangeID] = result.Verdict
		then()
	})
}

// runAttempt carries out an attempt's steps at an entry, as long as it lives.
func runAttempt(s *schedule, p *proc, r config.Request, end func(config.Result)) {
	life := p.life
	attempt, first := config.NewAttempt(r)
	var carryOut func(config.Step)
	next := func(step func() config.Step) { p.do(life, func() { carryOut(step()) }) }
	reads := 0
	carryOut = func(step config.Step) {
		switch step.Kind {
		case config.StepDone:
			end(step.Result)
		case config.StepRead:
			reads++
			s.store.read(step.Key, func(value []byte, revision int64, ok bool) {
				record, err := config.DecodeRecord(value)
				next(func() config.Step { return attempt.ReadDone(record, revision, ok && err == nil) })
			})
		case config.StepArchive:
			s.store.swap(step.Key, 0, step.Value, func(o outcome, value []byte, _ int64) {
				entries, err := config.DecodeArchive(value)
				next(func() config.Step { return attempt.ArchiveDone(entries, o <= refused && err == nil) })
			})
		default:
			s.store.swap(step.Key, step.Expected, step.Value, func(o outcome, _ []byte, _ int64) {
				next(func() config.Step { return attempt.WriteDone(s.writeOutcome(o)) })
			})
		}
	}
	carryOut(first)
}

func (s *schedule) writeOutcome(o outcome) config.WriteOutcome {
	switch o {
	case swapped:
		return config.WriteSwapped
	case refused:
		return config.WriteConflict
	case notSent:
		return config.WriteNotApplied
	default:
		if s.variant == unclearFails {
			return config.WriteNotApplied
		}
		return config.WriteIndeterminate
	}
}

// judge holds the record against what operators were told.
func (s *schedule) judge() {
	v := &s.verdicts
	v.schedules = 1
	r, err := config.DecodeRecord(s.store.values[config.Key(deployment)])
	if err != nil {
		v.torn++
		return
	}
	entries := map[string]int{}
	revisions := map[int64]int{}
	for _, a := range r.Trail {
		entries[a.ChangeID]++
		revisions[a.Revision]++
	}
	for revision := int64(1); revision <= s.newest; revision++ {
		if revisions[revision] != 1 {
			v.auditMissing++
		}
	}
	v.auditMissing += s.journals.missing()
	for id, verdict := range s.told {
		switch verdict {
		case config.Accepted:
			v.accepted++
			if entries[id] != 1 {
				v.lostAccepts++
			}
		case config.Conflict, config.Failed:
			if entries[id] != 0 {
				v.falseRefusals++
			}
		case config.Unknown:
			v.unsettled++
		}
	}
	s.judgeContent(r)
}

// judgeContent checks that the last accepted change of each operator stands.
func (s *schedule) judgeContent(r config.Record) {
	last := map[string]string{}
	for _, a := range r.Trail {
		last["business-"+a.Operator] = a.ChangeID
	}
	for _, b := range r.Deployment.Businesses {
		if want := fmt.Sprintf("%s-%g", b.Name[len("business-"):], b.Weight); last[b.Name] != want {
			s.verdicts.lostAccepts++
		}
		delete(last, b.Name)
	}
	s.verdicts.lostAccepts += len(last)
}
