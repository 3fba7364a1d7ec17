package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/policy/duties"
)

const (
	dutyScheduleCount    = 2000
	dutyEntries          = 3
	dutyCount            = 3
	dutyActInterval      = 150 * time.Millisecond
	dutyFaultPeriod      = 20 * time.Second
	dutyScheduleDuration = 50 * time.Second
	maxClockDrift        = 0.04 // of one clock; the rates of two clocks differ by up to twice this
	crashScheduleCount   = 300
	offerLossRate        = 0.05
	lateOfferRate        = 0.1
)

// dutySafeguard is a safeguard that a schedule of duties can run without, to show that
// the checks detect the violations that follow.
type dutySafeguard int

const (
	noDutySafeguard dutySafeguard = iota // every safeguard is enabled
	epochCheck                           // receivers reject acts with an epoch lower than the highest they have accepted
	leaseFromSend                        // a lease starts when its write is sent; without it, long afterwards
)

// dutyResults counts the violations and the acts of schedules of duties.
type dutyResults struct {
	acts         int // acts that receivers accepted
	twoEffective int // accepted acts that followed one with a higher epoch, or one of another process with the same epoch
	overlaps     int // other processes, up and not paused, that also held the lease when an act was sent
	unheld       int // duties without a holder at the end
}

// dutySchedule simulates the entries that compete for a few duties, under the faults of a
// seed.
type dutySchedule struct {
	*clock
	disabled  dutySafeguard
	leases    *store[duties.Record]
	members   []duties.Member
	processes []*dutyProcess
	lastActs  map[string]duties.Record // by duty; highest epoch that acted, and its holder
	results   dutyResults
}

// dutyProcess is an entry. Its clock is monotonic and runs at a rate of its own.
type dutyProcess struct {
	schedule       *dutySchedule
	index          int
	incarnation    int
	up             bool
	pausedUntil    time.Time
	clockRate      float64
	keeper         *duties.Keeper
	tickAfterCalls bool // calls tick after each answer, as the runtime does
	noOffers       bool // sends no offers
}

func newDutySchedule(seed uint64, disabled dutySafeguard) *dutySchedule {
	c := newClock(seed)
	s := &dutySchedule{clock: c, disabled: disabled, lastActs: map[string]duties.Record{}}
	s.leases = newStore[duties.Record](c, storeFaults{lostRequest: 0.03, lostAnswer: 0.05, lateRequest: 0.03})
	for i := range dutyEntries {
		s.members = append(s.members, duties.Member{ID: fmt.Sprint("e", i), Address: fmt.Sprint(i), Domain: fmt.Sprint(i), Alive: true})
		s.processes = append(s.processes, &dutyProcess{schedule: s, index: i, clockRate: 1 + maxClockDrift*(2*c.rng.Float64()-1)})
	}
	for _, p := range s.processes {
		p.start()
	}
	return s
}

// faultsActive reports whether calls and messages may be lost.
func (s *dutySchedule) faultsActive() bool { return s.leases.faults != storeFaults{} }

func dutyNames() []string {
	var names []string
	for i := range dutyCount {
		names = append(names, fmt.Sprint("duty-", i))
	}
	return names
}

// now returns the time of the process's monotonic clock.
func (p *dutyProcess) now() time.Time {
	origin := time.Unix(0, 0)
	return origin.Add(time.Duration(float64(p.schedule.Now().Sub(origin)) * p.clockRate))
}

func (p *dutyProcess) start() {
	p.incarnation++
	p.up = true
	p.keeper = duties.New(duties.DefaultConfig(), p.schedule.members[p.index], fmt.Sprint(p.incarnation))
	p.keeper.SetNames(p.now(), dutyNames())
	p.keeper.SetMembers(p.now(), p.schedule.members)
	p.repeat(fleetTickInterval, p.tick)
	p.repeat(dutyActInterval, p.act)
}

// runIfAlive calls fn unless the incarnation has ended. If the process is paused, it does
// so after the pause.
func (p *dutyProcess) runIfAlive(incarnation int, fn func()) {
	if p.incarnation != incarnation || !p.up {
		return
	}
	if remaining := p.pausedUntil.Sub(p.schedule.Now()); remaining > 0 {
		p.schedule.After(remaining, func() { p.runIfAlive(incarnation, fn) })
		return
	}
	fn()
}

// repeat calls fn at an interval, with a random initial delay, until the incarnation ends.
func (p *dutyProcess) repeat(interval time.Duration, fn func()) {
	incarnation := p.incarnation
	var next func()
	next = func() {
		p.runIfAlive(incarnation, fn)
		if p.incarnation == incarnation {
			p.schedule.After(interval, next)
		}
	}
	p.schedule.After(p.schedule.between(0, interval), next)
}

func (p *dutyProcess) tick() {
	for _, a := range p.keeper.Tick(p.now(), p.schedule.rng) {
		incarnation := p.incarnation
		if a.Kind == duties.Read {
			p.schedule.leases.read(a.Duty, func(r duties.Record, revision int64, ok bool) {
				p.runIfAlive(incarnation, func() {
					p.keeper.ReadDone(p.now(), a.Duty, r, revision, ok)
					p.callDone()
				})
			})
			continue
		}
		p.schedule.leases.compareAndSwap(a.Duty, a.Expected, a.Record, func(outcome storeOutcome, r duties.Record, revision int64) {
			p.runIfAlive(incarnation, func() {
				if p.schedule.disabled == leaseFromSend {
					a.Sent = p.now().Add(6 * time.Second)
				}
				p.keeper.WriteDone(p.now(), a, dutyOutcome(outcome), r, revision)
				p.sendOffers()
				p.callDone()
			})
		})
	}
}

func (p *dutyProcess) callDone() {
	if p.tickAfterCalls {
		p.tick()
	}
}

// sendOffers sends the keeper's offers. While faults are active, some are lost and some
// arrive late.
func (p *dutyProcess) sendOffers() {
	for _, o := range p.keeper.Offers() {
		if p.noOffers || p.schedule.faultsActive() && p.schedule.chance(offerLossRate) {
			continue
		}
		delay := p.schedule.between(time.Millisecond, 5*time.Millisecond)
		if p.schedule.faultsActive() && p.schedule.chance(lateOfferRate) {
			delay = p.schedule.between(time.Second, 12*time.Second)
		}
		for _, other := range p.schedule.processes {
			if p.schedule.members[other.index].ID == o.To[0].ID {
				incarnation := other.incarnation
				p.schedule.After(delay, func() { other.runIfAlive(incarnation, func() { other.handleOffer(o) }) })
			}
		}
	}
}

func (p *dutyProcess) handleOffer(o duties.Offer) {
	if p.keeper.Offered(p.now(), o.Duty, o.Epoch) {
		p.callDone()
	}
}

// act sends an act for each duty that the process holds. Some acts arrive late, as if the
// process were paused between checking its lease and acting.
func (p *dutyProcess) act() {
	for _, name := range dutyNames() {
		holder, holds := p.keeper.KnownHolder(p.now(), name)
		if !holds {
			continue
		}
		for _, other := range p.schedule.processes {
			if other != p && other.up && p.schedule.Now().After(other.pausedUntil) && other.keeper.LeaseState(other.now(), name) == duties.Holder {
				p.schedule.results.overlaps++
			}
		}
		delay := p.schedule.between(time.Millisecond, 5*time.Millisecond)
		if p.schedule.chance(0.02) {
			delay = p.schedule.between(time.Second, 12*time.Second)
		}
		actor := fmt.Sprint(p.index, "-", p.incarnation)
		p.schedule.After(delay, func() { p.schedule.receive(name, holder.Epoch, actor) })
	}
}

// receive is the receiver of an act. It rejects an epoch that is lower than the highest it
// has accepted.
func (s *dutySchedule) receive(name string, epoch int64, actor string) {
	last := s.lastActs[name]
	if epoch < last.Epoch && s.disabled != epochCheck {
		return
	}
	s.results.acts++
	if epoch < last.Epoch || epoch == last.Epoch && actor != last.Boot {
		s.results.twoEffective++
		return
	}
	s.lastActs[name] = duties.Record{Epoch: epoch, Boot: actor}
}

// injectFault starts a random fault: an outage of the service, a crash, a pause or a
// planned stop.
func (s *dutySchedule) injectFault() {
	p := s.processes[s.rng.IntN(len(s.processes))]
	duration := s.between(200*time.Millisecond, 9*time.Second)
	switch s.rng.IntN(4) {
	case 0:
		s.leases.outage = true
		s.After(duration, func() { s.leases.outage = false })
	case 1:
		p.crash()
		s.After(duration, func() {
			if !p.up {
				p.start()
			}
		})
	case 2:
		p.pausedUntil = s.Now().Add(duration)
	case 3:
		p.keeper.Stop()
		s.After(2*time.Second, p.crash)
		s.After(2*time.Second+duration, func() {
			if !p.up {
				p.start()
			}
		})
	}
}

func (p *dutyProcess) crash() {
	p.up = false
	p.incarnation++
}

// holder returns the process that holds a duty, or nil.
func (s *dutySchedule) holder(name string) *dutyProcess {
	for _, p := range s.processes {
		if p.up && p.keeper.LeaseState(p.now(), name) == duties.Holder {
			return p
		}
	}
	return nil
}

// runDutySchedule simulates the schedule of a seed.
func runDutySchedule(seed uint64, disabled dutySafeguard) dutyResults {
	s := newDutySchedule(seed, disabled)
	for range 3 + s.rng.IntN(5) {
		s.After(s.between(0, dutyFaultPeriod), s.injectFault)
	}
	s.Run(dutyScheduleDuration, never)
	for _, name := range dutyNames() {
		if s.holder(name) == nil {
			s.results.unheld++
		}
	}
	return s.results
}

// runDutySchedules simulates the schedules with the seeds 0 to n-1 and adds up the results.
func runDutySchedules(n int, disabled dutySafeguard) dutyResults {
	var sum dutyResults
	for seed := range n {
		results := runDutySchedule(uint64(seed), disabled)
		sum.acts += results.acts
		sum.twoEffective += results.twoEffective
		sum.overlaps += results.overlaps
		sum.unheld += results.unheld
	}
	return sum
}

// gapAfterCrash returns how long a duty has no holder after its holder crashes at a random
// time, without other faults.
func gapAfterCrash(seed uint64) time.Duration {
	s := newDutySchedule(seed, noDutySafeguard)
	s.leases.faults = storeFaults{}
	s.Run(s.between(8*time.Second, 12*time.Second), never)
	name := dutyNames()[0]
	p := s.holder(name)
	if p == nil {
		return dutyScheduleDuration
	}
	p.crash()
	began := s.Now()
	for s.holder(name) == nil && s.Now().Sub(began) < dutyScheduleDuration {
		s.Run(50*time.Millisecond, never)
	}
	return s.Now().Sub(began)
}
