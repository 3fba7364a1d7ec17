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
	loadRate          = 430 // non-idempotent requests per second
	loadDuration      = 30 * time.Second
	loadRetryWindow   = 4 * time.Second // short, so that buckets are dropped within the run
	loadAgents        = 9
	slotsPerLoadAgent = 4
	loadAnswerBytes   = 200
	loadDeadline      = 2 * time.Second
)

// claimLoad simulates a steady load on the partitions of a deployment, without faults,
// and counts the writes to the key-value service.
type claimLoad struct {
	clock       *clock
	partitions  []*loadPartition
	slotFreeAt  []time.Time // by slot of an agent
	writes      int
	bytes       int
	claimDelays []time.Duration               // from arrival to dispatch
	arrived     map[int64]time.Time           // by waiter
	unserved    int                           // calls whose outcome is not "answered"
	outcomes    map[int64]wire.Outcome        // by waiter
	results     map[wire.ClaimRef]wire.Answer // results that the agents keep
	stopped     bool                          // no more calls arrive
}

// loadPartition is a partition of the load with its own key-value service.
type loadPartition struct {
	load          *claimLoad
	partition     *claims.Partition
	store         *store
	crashed       bool // the owner has crashed
	onQueryAgents func(claims.QueryAgents)
}

// runClaimLoad simulates the load with the given numbers of partitions and agents.
func runClaimLoad(partitions, agents int, interval time.Duration) *claimLoad {
	l := newClaimLoad(430, partitions, agents, interval)
	l.clock.runUntil(l.clock.now.Add(loadDuration))
	return l
}

func newClaimLoad(seed uint64, partitions, agents int, interval time.Duration) *claimLoad {
	c := newClock(seed)
	l := &claimLoad{
		clock:      c,
		slotFreeAt: make([]time.Time, agents*slotsPerLoadAgent),
		arrived:    map[int64]time.Time{},
		outcomes:   map[int64]wire.Outcome{},
		results:    map[wire.ClaimRef]wire.Answer{},
	}
	for i := range partitions {
		name := fmt.Sprintf("claims/%d", i)
		config := claims.DefaultConfig(name, name, "owner")
		config.CommitInterval = interval
		p := &loadPartition{load: l, partition: claims.New(config), store: newStore(c)}
		l.partitions = append(l.partitions, p)
		p.step(claims.Acquired{Epoch: 1, Until: c.now.Add(time.Hour)})
	}
	c.after(time.Second, func() { l.arrive(1) })
	return l
}

// arrive submits the call with the number id and schedules the next one. The calls form
// a Poisson process, and each has its own key.
func (l *claimLoad) arrive(id int64) {
	if l.stopped {
		return
	}
	l.submit(id, id)
	gap := time.Duration(l.clock.random.ExpFloat64() / loadRate * float64(time.Second))
	l.clock.after(gap, func() { l.arrive(id + 1) })
}

// submit submits the request with the number id for a waiter.
func (l *claimLoad) submit(id, waiter int64) {
	key := claims.NewKey("caller", fmt.Sprint(id))
	l.arrived[waiter] = l.clock.now
	l.partitions[key.Partition(len(l.partitions))].step(claims.Submitted{
		Waiter:      waiter,
		Key:         key,
		Fingerprint: 1,
		Deadline:    l.clock.now.Add(loadDeadline),
		Window:      loadRetryWindow,
	})
}

func (p *loadPartition) step(e claims.Event) {
	if p.crashed {
		return
	}
	c := p.load.clock
	for _, action := range p.partition.Step(c.now, e) {
		p.execute(action)
	}
	if at, ok := p.partition.NextWake(); ok {
		c.after(max(at.Sub(c.now), 0), func() {
			if due, ok := p.partition.NextWake(); ok && !due.After(c.now) {
				p.step(claims.Tick{})
			}
		})
	}
}

func (p *loadPartition) execute(action claims.Action) {
	l := p.load
	roundTrip := l.clock.between(2*time.Millisecond, 5*time.Millisecond)
	switch a := action.(type) {
	case claims.Read:
		l.clock.after(roundTrip, func() { p.step(claims.ReadDone{Record: p.store.get(a.Key)}) })
	case claims.Write:
		l.writes++
		l.bytes += len(a.Value)
		l.clock.after(roundTrip, func() {
			swapped, current := p.store.swap(a)
			p.step(claims.WriteDone{ID: a.ID, Swapped: swapped, Current: current})
		})
	case claims.Delete:
		l.writes++
	case claims.Run:
		l.claimDelays = append(l.claimDelays, l.clock.now.Sub(l.arrived[a.Waiter]))
		l.serve(p, a)
	case claims.QueryAgents:
		p.onQueryAgents(a)
	case claims.Reply:
		l.outcomes[a.Waiter] = a.Answer.Outcome
		if a.Answer.Outcome != wire.Answered {
			l.unserved++
		}
	}
}

// serve runs a request on a random slot.
func (l *claimLoad) serve(p *loadPartition, r claims.Run) {
	slot := l.clock.random.IntN(len(l.slotFreeAt))
	start := l.clock.now
	if l.slotFreeAt[slot].After(start) {
		start = l.slotFreeAt[slot]
	}
	end := start.Add(l.clock.between(5*time.Millisecond, 50*time.Millisecond))
	l.slotFreeAt[slot] = end
	l.clock.after(end.Sub(l.clock.now), func() {
		answer := wire.Answer{Outcome: wire.Answered, Status: 200, Body: make([]byte, loadAnswerBytes)}
		l.results[r.Claim] = answer
		p.step(claims.Settled{Key: r.Key, Answer: answer})
	})
}

func (l *claimLoad) writesPerSecond() float64 {
	return float64(l.writes) / loadDuration.Seconds()
}

// delayQuantile returns a quantile of the delay that claims add, in milliseconds.
func (l *claimLoad) delayQuantile(q float64) float64 {
	slices.Sort(l.claimDelays)
	index := min(int(q*float64(len(l.claimDelays))), len(l.claimDelays)-1)
	return float64(l.claimDelays[index]) / float64(time.Millisecond)
}

func measureClaimWrites() ([]bounds.Figure, error) {
	l := runClaimLoad(claims.DefaultPartitions, loadAgents, claims.DefaultCommitInterval)
	manyAgents := runClaimLoad(claims.DefaultPartitions, 10*loadAgents, claims.DefaultCommitInterval)
	return []bounds.Figure{
		{Name: "claims.kv_writes_per_s", Value: l.writesPerSecond()},
		{Name: "claims.kv_writes_per_s_10x_agents", Value: manyAgents.writesPerSecond()},
		// The baseline makes one write for each claim and one for each result.
		{Name: "claims.kv_writes_per_s.baseline", Value: 2 * float64(len(l.claimDelays)) / loadDuration.Seconds()},
		{Name: "claims.wait_p50_ms", Value: l.delayQuantile(0.5)},
		{Name: "claims.wait_p99_ms", Value: l.delayQuantile(0.99)},
		{Name: "claims.unserved", Value: float64(l.unserved)},
	}, nil
}
