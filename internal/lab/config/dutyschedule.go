package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/policy/duties"
)

const (
	dutySchedules  = 2000
	dutyEntries    = 3
	dutyCount      = 3
	dutyActs       = 150 * time.Millisecond
	dutyFaultsEnd  = 20 * time.Second
	dutyEnd        = 50 * time.Second
	clockDrift     = 0.04 // clocks run apart by up to twice this
	crashSchedules = 300
	offerLoss      = 0.05
	offerLate      = 0.1
)

// dutyVariant is a deliberate fault of the host.
type dutyVariant int

const (
	dutiesWhole dutyVariant = iota
	noFence                 // receivers do not compare epochs
	longLease               // a lease is counted from long after its write was sent
)

// dutyVerdicts are what the judge counts.
type dutyVerdicts struct {
	acts         int
	twoEffective int // acts that took effect after one of a later holder, or beside another holder of the epoch
	overlaps     int // moments at which two unpaused processes held a lease
	unheld       int // duties without a holder at the end
}

// dutySchedule is a run of a few keepers under faults drawn from a seed.
type dutySchedule struct {
	*world
	variant   dutyVariant
	leases    *store[duties.Record]
	members   []duties.Member
	procs     []*dutyProc
	receivers map[string]duties.Record // highest epoch that acted, and its holder
	verdicts  dutyVerdicts
}

// dutyProc is one entry. Its clock runs at its own rate and steps do not touch
// it, as it is the monotonic one.
type dutyProc struct {
	s      *dutySchedule
	index  int
	life   int
	up     bool
	paused time.Time
	rate   float64
	keeper *duties.Keeper
	prompt bool // looks again after each answer, as the runtime does
	silent bool // makes no offers
}

func newDutySchedule(seed uint64, v dutyVariant) *dutySchedule {
	w := newWorld(seed)
	s := &dutySchedule{world: w, variant: v, receivers: map[string]duties.Record{}}
	s.leases = newStore[duties.Record](w, storeFaults{loseRequest: 0.03, loseAnswer: 0.05, delay: 0.03})
	for i := range dutyEntries {
		s.members = append(s.members, duties.Member{ID: fmt.Sprint("e", i), Address: fmt.Sprint(i), Domain: fmt.Sprint(i), Alive: true})
		s.procs = append(s.procs, &dutyProc{s: s, index: i, rate: 1 + clockDrift*(2*w.rnd.Float64()-1)})
	}
	for _, p := range s.procs {
		p.start()
	}
	return s
}

// faulty tells whether calls and messages may be lost.
func (s *dutySchedule) faulty() bool { return s.leases.faults != storeFaults{} }

func dutyNames() []string {
	var names []string
	for i := range dutyCount {
		names = append(names, fmt.Sprint("duty-", i))
	}
	return names
}

// clock is the process's own monotonic clock.
func (p *dutyProc) clock() time.Time {
	origin := time.Unix(0, 0)
	return origin.Add(time.Duration(float64(p.s.Now().Sub(origin)) * p.rate))
}

func (p *dutyProc) start() {
	p.life++
	p.up = true
	p.keeper = duties.New(duties.DefaultConfig(), p.s.members[p.index], fmt.Sprint(p.life))
	p.keeper.SetNames(p.clock(), dutyNames())
	p.keeper.SetMembers(p.clock(), p.s.members)
	p.every(fleetTick, p.tick)
	p.every(dutyActs, p.act)
}

func (p *dutyProc) do(life int, fn func()) {
	if p.life != life || !p.up {
		return
	}
	if wait := p.paused.Sub(p.s.Now()); wait > 0 {
		p.s.After(wait, func() { p.do(life, fn) })
		return
	}
	fn()
}

func (p *dutyProc) every(interval time.Duration, fn func()) {
	life := p.life
	var next func()
	next = func() {
		p.do(life, fn)
		if p.life == life {
			p.s.After(interval, next)
		}
	}
	p.s.After(p.s.between(0, interval), next)
}

func (p *dutyProc) tick() {
	for _, a := range p.keeper.Tick(p.clock(), p.s.rnd) {
		life := p.life
		if a.Kind == duties.Read {
			p.s.leases.read(a.Duty, func(r duties.Record, revision int64, ok bool) {
				p.do(life, func() {
					p.keeper.ReadDone(p.clock(), a.Duty, r, revision, ok)
					p.answered()
				})
			})
			continue
		}
		p.s.leases.swap(a.Duty, a.Expected, a.Record, func(o outcome, r duties.Record, revision int64) {
			p.do(life, func() {
				if p.s.variant == longLease {
					a.Sent = p.clock().Add(6 * time.Second)
				}
				p.keeper.WriteDone(p.clock(), a, dutyOutcome(o), r, revision)
				p.offer()
				p.answered()
			})
		})
	}
}

func (p *dutyProc) answered() {
	if p.prompt {
		p.tick()
	}
}

// offer sends the offers that are due. Some are lost and some come very late.
func (p *dutyProc) offer() {
	for _, o := range p.keeper.Offers() {
		if p.silent || p.s.faulty() && p.s.chance(offerLoss) {
			continue
		}
		delay := p.s.between(time.Millisecond, 5*time.Millisecond)
		if p.s.faulty() && p.s.chance(offerLate) {
			delay = p.s.between(time.Second, 12*time.Second)
		}
		for _, q := range p.s.procs {
			if p.s.members[q.index].ID == o.To[0].ID {
				life := q.life
				p.s.After(delay, func() { q.do(life, func() { q.offered(o) }) })
			}
		}
	}
}

func (p *dutyProc) offered(o duties.Offer) {
	if p.keeper.Offered(p.clock(), o.Duty, o.Epoch) {
		p.answered()
	}
}

// act has the process do each duty's work that it holds. Between its look at
// the lease and the act's arrival it may be paused.
func (p *dutyProc) act() {
	for _, name := range dutyNames() {
		owner, mine := p.keeper.KnownHolder(p.clock(), name)
		if !mine {
			continue
		}
		for _, other := range p.s.procs {
			if other != p && other.up && p.s.Now().After(other.paused) && other.keeper.LeaseState(other.clock(), name) == duties.Holder {
				p.s.verdicts.overlaps++
			}
		}
		delay := p.s.between(time.Millisecond, 5*time.Millisecond)
		if p.s.chance(0.02) {
			delay = p.s.between(time.Second, 12*time.Second)
		}
		by := fmt.Sprint(p.index, "-", p.life)
		p.s.After(delay, func() { p.s.receive(name, owner.Epoch, by) })
	}
}

// receive is what an act's receiver does: it refuses an epoch below the highest
// it has seen.
func (s *dutySchedule) receive(name string, epoch int64, by string) {
	seen := s.receivers[name]
	if epoch < seen.Epoch && s.variant != noFence {
		return
	}
	s.verdicts.acts++
	if epoch < seen.Epoch || epoch == seen.Epoch && by != seen.Boot {
		s.verdicts.twoEffective++
		return
	}
	s.receivers[name] = duties.Record{Epoch: epoch, Boot: by}
}

func (s *dutySchedule) fault() {
	p := s.procs[s.rnd.IntN(len(s.procs))]
	lasts := s.between(200*time.Millisecond, 9*time.Second)
	switch s.rnd.IntN(4) {
	case 0:
		s.leases.out = true
		s.After(lasts, func() { s.leases.out = false })
	case 1:
		p.crash()
		s.After(lasts, func() {
			if !p.up {
				p.start()
			}
		})
	case 2:
		p.paused = s.Now().Add(lasts)
	case 3:
		p.keeper.Stop()
		s.After(2*time.Second, p.crash)
		s.After(2*time.Second+lasts, func() {
			if !p.up {
				p.start()
			}
		})
	}
}

func (p *dutyProc) crash() {
	p.up = false
	p.life++
}

func (s *dutySchedule) holder(name string) *dutyProc {
	for _, p := range s.procs {
		if p.up && p.keeper.LeaseState(p.clock(), name) == duties.Holder {
			return p
		}
	}
	return nil
}

// runDutySchedule plays one seeded schedule.
func runDutySchedule(seed uint64, v dutyVariant) dutyVerdicts {
	s := newDutySchedule(seed, v)
	for range 3 + s.rnd.IntN(5) {
		s.After(s.between(0, dutyFaultsEnd), s.fault)
	}
	s.Run(dutyEnd, never)
	for _, name := range dutyNames() {
		if s.holder(name) == nil {
			s.verdicts.unheld++
		}
	}
	return s.verdicts
}

func runDutySchedules(n int, v dutyVariant) dutyVerdicts {
	var all dutyVerdicts
	for seed := range n {
		one := runDutySchedule(uint64(seed), v)
		all.acts += one.acts
		all.twoEffective += one.twoEffective
		all.overlaps += one.overlaps
		all.unheld += one.unheld
	}
	return all
}

// gapAfterCrash returns how long a duty stands without a holder after its
// holder has crashed at some moment, with no other fault.
func gapAfterCrash(seed uint64) time.Duration {
	s := newDutySchedule(seed, dutiesWhole)
	s.leases.faults = storeFaults{}
	s.Run(s.between(8*time.Second, 12*time.Second), never)
	name := dutyNames()[0]
	p := s.holder(name)
	if p == nil {
		return dutyEnd
	}
	p.crash()
	began := s.Now()
	for s.holder(name) == nil && s.Now().Sub(began) < dutyEnd {
		s.Run(50*time.Millisecond, never)
	}
	return s.Now().Sub(began)
}
