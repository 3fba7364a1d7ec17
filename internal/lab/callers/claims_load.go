package callers

import (
	"fmt"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	loadRate     = 430 // non-idempotent requests a second
	loadTime     = 30 * time.Second
	loadWindow   = 4 * time.Second // short, so that buckets are dropped within the run
	loadAgents   = 9
	loadSlots    = 4
	loadBody     = 200 // bytes of an answer
	loadDeadline = 2 * time.Second
)

// claimLoad plays a steady load over the partitions of a deployment, without
// faults, and counts the calls to the service.
type claimLoad struct {
	clock    *clock
	parts    []*loadPart
	agents   []time.Time // when each slot is free
	writes   int
	bytes    int
	waits    []time.Duration // from arrival to dispatch
	arrived  map[int64]time.Time
	unserved int // answered otherwise than by a run
	replies  map[int64]wire.Outcome
	ran      map[wire.ClaimRef]wire.Answer // what the agents remember
	stopped  bool                          // no more calls arrive
}

type loadPart struct {
	load    *claimLoad
	machine *claims.Partition
	kv      *fakeKV
	crashed bool
	asked   func(claims.QueryAgents)
}

// runLoad plays the load with the number of partitions and of agents.
func runLoad(partitions, agents int, interval time.Duration) *claimLoad {
	l := newClaimLoad(430, partitions, agents, interval)
	l.clock.runUntil(l.clock.now.Add(loadTime))
	return l
}

func newClaimLoad(seed uint64, partitions, agents int, interval time.Duration) *claimLoad {
	c := newClock(seed)
	l := &claimLoad{
		clock:   c,
		agents:  make([]time.Time, agents*loadSlots),
		arrived: map[int64]time.Time{},
		replies: map[int64]wire.Outcome{},
		ran:     map[wire.ClaimRef]wire.Answer{},
	}
	for i := range partitions {
		name := fmt.Sprintf("claims/%d", i)
		config := claims.DefaultConfig(name, name, "owner")
		config.CommitInterval = interval
		p := &loadPart{load: l, machine: claims.New(config), kv: newFakeKV(c)}
		l.parts = append(l.parts, p)
		p.step(claims.Acquired{Epoch: 1, Until: c.now.Add(time.Hour)})
	}
	c.after(time.Second, func() { l.arrive(1) })
	return l
}

// arrive is a Poisson stream of calls, each with a key of its own.
func (l *claimLoad) arrive(id int64) {
	if l.stopped {
		return
	}
	l.submit(id, id)
	gap := time.Duration(l.clock.random.ExpFloat64() / loadRate * float64(time.Second))
	l.clock.after(gap, func() { l.arrive(id + 1) })
}

// submit has a waiter wait for the call with the number id.
func (l *claimLoad) submit(id, waiter int64) {
	key := claims.NewKey("caller", fmt.Sprint(id))
	l.arrived[waiter] = l.clock.now
	l.parts[key.Partition(len(l.parts))].step(claims.Submitted{
		Waiter:      waiter,
		Key:         key,
		Fingerprint: 1,
		Deadline:    l.clock.now.Add(loadDeadline),
		Window:      loadWindow,
	})
}

func (p *loadPart) step(e claims.Event) {
	if p.crashed {
		return
	}
	c := p.load.clock
	for _, action := range p.machine.Step(c.now, e) {
		p.carryOut(action)
	}
	if at, ok := p.machine.NextWake(); ok {
		c.after(max(at.Sub(c.now), 0), func() {
			if due, ok := p.machine.NextWake(); ok && !due.After(c.now) {
				p.step(claims.Tick{})
			}
		})
	}
}

func (p *loadPart) carryOut(action claims.Action) {
	l := p.load
	roundTrip := l.clock.between(2*time.Millisecond, 5*time.Millisecond)
	switch a := action.(type) {
	case claims.Read:
		l.clock.after(roundTrip, func() { p.step(claims.ReadDone{Record: p.kv.get(a.Key)}) })
	case claims.Write:
		l.writes++
		l.bytes += len(a.Value)
		l.clock.after(roundTrip, func() {
			swapped, current := p.kv.swap(a)
			p.step(claims.WriteDone{ID: a.ID, Swapped: swapped, Current: current})
		})
	case claims.Delete:
		l.writes++
	case claims.Run:
		l.waits = append(l.waits, l.clock.now.Sub(l.arrived[a.Waiter]))
		l.serve(p, a)
	case claims.QueryAgents:
		p.asked(a)
	case claims.Reply:
		l.replies[a.Waiter] = a.Answer.Outcome
		if a.Answer.Outcome != wire.Answered {
			l.unserved++
		}
	}
}

// serve runs a call on the slot of an agent drawn at random.
func (l *claimLoad) serve(p *loadPart, r claims.Run) {
	slot := l.clock.random.IntN(len(l.agents))
	start := l.clock.now
	if l.agents[slot].After(start) {
		start = l.agents[slot]
	}
	end := start.Add(l.clock.between(5*time.Millisecond, 50*time.Millisecond))
	l.agents[slot] = end
	l.clock.after(end.Sub(l.clock.now), func() {
		answer := wire.Answer{Outcome: wire.Answered, Status: 200, Body: make([]byte, loadBody)}
		l.ran[r.Claim] = answer
		p.step(claims.Settled{Key: r.Key, Answer: answer})
	})
}

func (l *claimLoad) writesPerSecond() float64 {
	return float64(l.writes) / loadTime.Seconds()
}

// waitQuantile returns a quantile of the time that claims add, in milliseconds.
func (l *claimLoad) waitQuantile(q float64) float64 {
	slices.Sort(l.waits)
	at := min(int(q*float64(len(l.waits))), len(l.waits)-1)
	return float64(l.waits[at]) / float64(time.Millisecond)
}

func measureClaimWrites() ([]bounds.Figure, error) {
	l := runLoad(claims.DefaultPartitions, loadAgents, claims.DefaultCommitInterval)
	many := runLoad(claims.DefaultPartitions, 10*loadAgents, claims.DefaultCommitInterval)
	return []bounds.Figure{
		{Name: "claims.kv_writes_per_s", Value: l.writesPerSecond()},
		{Name: "claims.kv_writes_per_s_10x_agents", Value: many.writesPerSecond()},
		// A write for each claim and one for each result.
		{Name: "claims.kv_writes_per_s.baseline", Value: 2 * float64(len(l.waits)) / loadTime.Seconds()},
		{Name: "claims.wait_p50_ms", Value: l.waitQuantile(0.5)},
		{Name: "claims.wait_p99_ms", Value: l.waitQuantile(0.99)},
		{Name: "claims.unserved", Value: float64(l.unserved)},
	}, nil
}
