// Package weights measures the rollout of weights in virtual time: a fleet with
// limited links for its duration and capacity, and many small fleets with faults
// for what must always hold. The decisions are those of internal/policy/weights.
package weights

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// Fleet describes the fleet whose rollout is timed.
type Fleet struct {
	Engines         int
	Domains         int
	VersionBytes    float64 // of a version
	Chunks          int
	StoreRate       float64 // bytes per second of the whole store
	LinkRate        float64 // bytes per second of each instance, each way
	Latency         time.Duration
	LoadTime        time.Duration // mean time an engine takes to load; it does not serve meanwhile
	LoadTimeJitter  float64       // of the load time, each way, as a share
	LoadFailureRate float64       // share of loads that fail
	CapacityFloor   float64       // declared capacity floor
	Distribution    weights.Distribution
	SilentAgents    int           // agents that fall silent, with their engines, during the fetch
	OwnerCrashAt    time.Duration // when the owner dies; 0: never
	TakeoverTime    time.Duration // from then until its successor begins
	Seed            uint64

	// FromStore and LoadAtOnce make the baseline: every agent fetches everything from
	// the store, and every engine loads as soon as all agents are ready.
	FromStore  bool
	LoadAtOnce bool
}

// ReferenceFleet is the fleet of the bounds: 1,300 engines in 8 failure domains.
func ReferenceFleet() Fleet {
	return Fleet{
		Engines:         1300,
		Domains:         8,
		VersionBytes:    2 << 30,
		Chunks:          64,
		StoreRate:       2e9,
		LinkRate:        1.25e9,
		Latency:         time.Millisecond,
		LoadTime:        1500 * time.Millisecond,
		LoadTimeJitter:  0.2,
		LoadFailureRate: 0.01,
		CapacityFloor:   0.75,
		Distribution:    weights.DefaultConfig().Distribution,
		Seed:            1,
	}
}

// FleetResult is what a fleet's rollout took.
type FleetResult struct {
	Seconds         float64 // from the announcement to the last engine's load
	FetchSeconds    float64 // seconds until every agent held the version
	MinServingShare float64 // least share of engines serving at any moment
	StoreBytes      float64 // sent by the store
	Orders          int     // that the owners gave, repeats included
	Done            bool
}

const (
	fleetTick     = 50 * time.Millisecond // the owner's, as in the entry
	fleetLimit    = time.Hour
	baselineTicks = 5 * time.Second
	fleetVersion  = 2
	orderLimit    = 2 * time.Second // as the owner waits for a silent agent
	deathAfter    = 1500 * time.Millisecond
)

// fleet is one run.
type fleet struct {
	Fleet
	clock   *timeline.Timeline
	began   time.Time
	rng     *rand.Rand
	rollout *weights.Rollout // of the living owner; nil between two
	epoch   int64            // of that owner
	members []weights.Member
	store   link
	nodes   []*node
	byID    map[string]*node
	byAddr  map[string]*node
	loading int
	holding int
	done    int // living engines that have loaded the version
	dead    int
	result  FleetResult
}

// link is one direction of a network interface; transfers queue on it.
type link struct {
	rate float64
	free time.Time
}

// Run rolls one version out.
func (f Fleet) Run() FleetResult {
	r := &fleet{
		Fleet:  f,
		clock:  timeline.New(),
		rng:    rand.New(rand.NewPCG(f.Seed, 0)),
		store:  link{rate: f.StoreRate},
		byID:   map[string]*node{},
		byAddr: map[string]*node{},
	}
	r.began = r.clock.Now()
	r.result.MinServingShare = 1
	r.addNodes()
	r.own(1)
	r.clock.After(deathAfter, r.kill)
	if f.OwnerCrashAt > 0 {
		r.clock.After(f.OwnerCrashAt, func() { r.rollout = nil })
		r.clock.After(f.OwnerCrashAt+f.TakeoverTime, func() { r.own(2) })
	}
	took := r.clock.Run(fleetLimit, func() bool { return r.done == r.living() })
	r.result.Seconds = took.Seconds()
	r.result.Done = r.done == r.living()
	return r.result
}

// own begins the rollout of an owner, which knows nothing of another's.
func (r *fleet) own(epoch int64) {
	config := weights.DefaultConfig()
	config.Duty, config.Epoch = weights.Duty("fleet"), epoch
	r.epoch = epoch
	config.CapacityFloor, config.Distribution = r.CapacityFloor, r.Distribution
	config.PrepareTimeout = fleetLimit
	r.rollout = weights.NewRollout(config)
	r.rollout.SetMembers(r.members, r.clock.Now())
	r.rollout.SetTarget(weights.Key{Model: "model"}, fleetVersion)
	r.tick(r.rollout)
}

func (r *fleet) addNodes() {
	r.members = make([]weights.Member, r.Engines)
	for i := range r.members {
		m := weights.Member{
			ID:      fmt.Sprintf("engine-%04d", i),
			Address: fmt.Sprintf("agent-%04d", i),
			Domain:  fmt.Sprintf("domain-%d", i%r.Domains),
			Serving: true,
		}
		n := newNode(r, m.ID)
		r.members[i] = m
		r.nodes = append(r.nodes, n)
		r.byID[m.ID] = n
		r.byAddr[m.Address] = n
	}
}

func (r *fleet) living() int { return r.Engines - r.dead }

// kill silences agents spread over the fleet, some near the roots of the trees.
func (r *fleet) kill() {
	for i := range r.SilentAgents {
		r.nodes[i*r.Engines/r.SilentAgents].dead = true
		r.dead++
	}
}

// tick steps an owner until it dies.
func (r *fleet) tick(owner *weights.Rollout) {
	atOnce := r.LoadAtOnce && r.clock.Now().Sub(r.began) > baselineTicks
	if r.rollout != owner || atOnce { // the baseline's loads need no owner
		return
	}
	for _, send := range owner.Step(r.clock.Now()) {
		r.result.Orders++
		n := r.byID[send.Engine]
		r.clock.After(r.Latency, func() { n.handle(send.Order) })
		r.clock.After(orderLimit, func() {
			// Only a dead agent's orders have no reply; another's is ignored as late.
			if n.dead {
				owner.HandleReply(send.Engine, send.Order, wire.OrderReply{}, false, r.clock.Now())
			}
		})
	}
	r.clock.After(fleetTick, func() { r.tick(owner) })
}

// reply brings an agent's reply to the owner that gave the order, if it lives.
func (r *fleet) reply(id string, o wire.Order, reply wire.OrderReply) {
	r.clock.After(r.Latency, func() {
		if r.rollout != nil && r.epoch == o.Fence.Epoch {
			r.rollout.HandleReply(id, o, reply, true, r.clock.Now())
		}
	})
}

// transfer runs fn once a chunk has passed both links, each of which carries one
// chunk at a time.
func (r *fleet) transfer(from, to *link, fn func()) {
	bytes := r.VersionBytes / float64(r.Chunks)
	start := r.clock.Now()
	if from.free.After(start) {
		start = from.free
	}
	sent := start.Add(seconds(bytes / from.rate))
	from.free = sent
	begin := start
	if to.free.After(begin) {
		begin = to.free
	}
	end := begin.Add(seconds(bytes / to.rate))
	if end.Before(sent) {
		end = sent
	}
	to.free = end
	r.clock.After(end.Sub(r.clock.Now())+r.Latency, fn)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (r *fleet) setLoading(change int) {
	r.loading += change
	r.result.MinServingShare = min(r.result.MinServingShare, 1-float64(r.loading)/float64(r.Engines))
}
