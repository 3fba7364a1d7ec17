package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// runSchedule simulates the schedule of a seed and checks the invariants.
func runSchedule(seed uint64, disabled safeguard) results {
	s := newSchedule(seed, disabled)
	for range 2 + s.rng.IntN(4) {
		s.After(s.between(0, faultPeriod), s.injectFault)
	}
	for operator := range operatorCount {
		s.After(s.between(500*time.Millisecond, time.Second), func() { s.makeChange(operator, 1) })
	}
	s.Run(scheduleDuration, never)
	s.check()
	return s.results
}

// injectFault starts a random fault that ends after a random duration.
func (s *schedule) injectFault() {
	p := s.processes[s.rng.IntN(len(s.processes))]
	duration := s.between(200*time.Millisecond, 4*time.Second)
	switch s.rng.IntN(5) {
	case 0:
		s.store.outage = true
		s.After(duration, func() { s.store.outage = false })
	case 1:
		p.up = false
		p.incarnation++
		s.After(duration, func() {
			if !p.up {
				p.start()
			}
		})
	case 2:
		p.pausedUntil = s.Now().Add(duration)
	case 3: // one process is disconnected from all others
		for _, other := range s.processes {
			s.disconnect(p.index, other.index, duration)
		}
	case 4: // the processes are split into two groups
		for _, a := range s.processes {
			for _, b := range s.processes {
				if a.index%2 == 0 && b.index%2 == 1 {
					s.disconnect(a.index, b.index, duration)
				}
			}
		}
	}
}

func (s *schedule) disconnect(a, b int, duration time.Duration) {
	pair := pairOf(a, b)
	s.disconnected[pair] = true
	s.After(duration, func() { delete(s.disconnected, pair) })
}

// makeChange submits the nth change of an operator and then its next ones. Each operator
// sets the weight of a business of its own.
func (s *schedule) makeChange(operator, n int) {
	if n > changesPerOperator {
		return
	}
	s.store.read(config.Key(deploymentName), func(value []byte, _ int64, ok bool) {
		next := func() { s.After(s.between(100*time.Millisecond, time.Second), func() { s.makeChange(operator, n+1) }) }
		r, err := config.DecodeRecord(value)
		if !ok || err != nil {
			s.After(300*time.Millisecond, func() { s.makeChange(operator, n) })
			return
		}
		s.submit(s.changeRequest(operator, n, r.Revision), 0, next)
	})
}

func (s *schedule) changeRequest(operator, n int, expected int64) config.Request {
	name := fmt.Sprint("business-", operator)
	return config.Request{
		Deployment: deploymentName, Expected: expected, Operator: fmt.Sprint(operator), ChangeID: fmt.Sprintf("%d-%d", operator, n),
		Action: config.ActionApply, Now: s.Now(),
		Edit: func(current *decl.Deployment) *decl.Deployment {
			next := decl.Deployment{Name: deploymentName}
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

// submit sends a change to a random entry, as siskinctl does. If the outcome is unknown or
// no answer arrives, it repeats the change under the same change ID. A failed repeat says
// nothing about the outcome of earlier requests, so the change stays unknown.
func (s *schedule) submit(r config.Request, repeats int, done func()) {
	p := s.processes[s.rng.IntN(scheduleEntries)]
	answered := false
	retry := func() {
		if answered {
			return
		}
		answered = true
		s.lastVerdicts[r.ChangeID] = config.Unknown
		if repeats < maxRepeats {
			s.submit(r, repeats+1, done)
			return
		}
		done()
	}
	s.After(4*time.Second, retry) // if the entry has crashed or its answer is lost
	if !p.up || !p.follower.MayAccept(s.Now()) {
		s.After(200*time.Millisecond, retry)
		return
	}
	sentAt := s.Now()
	runAttempt(s, p, r, func(result config.Result) {
		if result.Record.Revision > 0 {
			p.handleRecord(result.Record, sentAt)
		}
		s.refusedLogs.appendOutcome(p, r, result.Verdict)
		if answered {
			return
		}
		uncertain := repeats > 0 && s.disabled != unknownAfterRepeat
		if result.Verdict == config.Unknown || result.Verdict == config.Failed && uncertain {
			s.After(200*time.Millisecond, retry)
			return
		}
		answered = true
		s.lastVerdicts[r.ChangeID] = result.Verdict
		done()
	})
}

// runAttempt executes the steps of an attempt at an entry and calls done with the result.
// It stops if the entry's incarnation ends.
func runAttempt(s *schedule, p *process, r config.Request, done func(config.Result)) {
	incarnation := p.incarnation
	attempt, first := config.NewAttempt(r)
	var execute func(config.Step)
	next := func(step func() config.Step) { p.runIfAlive(incarnation, func() { execute(step()) }) }
	reads := 0
	execute = func(step config.Step) {
		switch step.Kind {
		case config.StepDone:
			done(step.Result)
		case config.StepRead:
			reads++
			s.store.read(step.Key, func(value []byte, revision int64, ok bool) {
				record, err := config.DecodeRecord(value)
				next(func() config.Step { return attempt.ReadDone(record, revision, ok && err == nil) })
			})
		case config.StepArchive:
			s.store.compareAndSwap(step.Key, 0, step.Value, func(outcome storeOutcome, value []byte, _ int64) {
				entries, err := config.DecodeArchive(value)
				next(func() config.Step { return attempt.ArchiveDone(entries, outcome <= conflict && err == nil) })
			})
		default:
			s.store.compareAndSwap(step.Key, step.Expected, step.Value, func(outcome storeOutcome, _ []byte, _ int64) {
				next(func() config.Step { return attempt.WriteDone(s.writeOutcome(outcome)) })
			})
		}
	}
	execute(first)
}

func (s *schedule) writeOutcome(outcome storeOutcome) config.WriteOutcome {
	switch outcome {
	case swapped:
		return config.WriteSwapped
	case conflict:
		return config.WriteConflict
	case notApplied:
		return config.WriteNotApplied
	default:
		if s.disabled == indeterminateWrites {
			return config.WriteNotApplied
		}
		return config.WriteIndeterminate
	}
}

// check compares the record with the verdicts that were reported to the operators.
func (s *schedule) check() {
	results := &s.results
	results.schedules = 1
	r, err := config.DecodeRecord(s.store.values[config.Key(deploymentName)])
	if err != nil {
		results.torn++
		return
	}
	entries := map[string]int{}
	revisions := map[int64]int{}
	for _, a := range r.Trail {
		entries[a.ChangeID]++
		revisions[a.Revision]++
	}
	for revision := int64(1); revision <= s.newestRevision; revision++ {
		if revisions[revision] != 1 {
			results.auditMissing++
		}
	}
	results.auditMissing += s.refusedLogs.miscounted()
	for id, verdict := range s.lastVerdicts {
		switch verdict {
		case config.Accepted:
			results.accepted++
			if entries[id] != 1 {
				results.lostAccepts++
			}
		case config.Conflict, config.Failed:
			if entries[id] != 0 {
				results.falseRefusals++
			}
		case config.Unknown:
			results.unknownChanges++
		}
	}
	s.checkContents(r)
}

// checkContents checks that the configuration contains the last accepted change of each
// operator.
func (s *schedule) checkContents(r config.Record) {
	lastChange := map[string]string{}
	for _, a := range r.Trail {
		lastChange["business-"+a.Operator] = a.ChangeID
	}
	for _, b := range r.Deployment.Businesses {
		if want := fmt.Sprintf("%s-%g", b.Name[len("business-"):], b.Weight); lastChange[b.Name] != want {
			s.results.lostAccepts++
		}
		delete(lastChange, b.Name)
	}
	s.results.lostAccepts += len(lastChange)
}
