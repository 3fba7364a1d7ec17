// Package weights measures the rollout of weights in virtual time. A large fleet
// with limited links yields the duration of a rollout and the serving capacity
// during it. Many small fleets with faults check the invariants. The decisions
// are those of internal/policy/weights.
package weights

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// Fleet describes a fleet whose rollout is measured.
type Fleet struct {
	Engines         int
	Domains         int
	VersionBytes    float64 // size of a version
	Chunks          int
	StoreRate       float64 // bytes per second that the store sends in total
	LinkRate        float64 // bytes per second of each instance in each direction
	Latency         time.Duration
	LoadTime        time.Duration // mean time an engine takes to load; it does not serve during a load
	LoadTimeJitter  float64       // largest deviation from LoadTime, as a share of it
	LoadFailureRate float64       // share of loads that fail
	CapacityFloor   float64       // least share of engines that must keep serving
	Distribution    weights.Distribution
	SilentAgents    int           // number of agents that stop answering, with their engines, during the fetch
	OwnerCrashAt    time.Duration // time from the start to the crash of the owner; 0: no crash
	TakeoverTime    time.Duration // time from the crash until the successor starts
	Seed            uint64

	// FromStore and LoadAtOnce select the baseline: every agent fetches all chunks
	// from the store, and all engines load as soon as every agent has the version.
	FromStore  bool
	LoadAtOnce bool
}

// ReferenceFleet returns the fleet that the bounds apply to: 1,300 engines in 8
// failure domains.
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

// FleetResult is the result of a fleet's rollout.
type FleetResult struct {
	Seconds         float64 // from the announcement to the end of the last engine's load
	FetchSeconds    float64 // until every live agent had all chunks of the version
	MinServingShare float64 // lowest share of engines that served at any time
	StoreBytes      float64 // bytes sent by the store
	Orders          int     // orders sent by the owners, including repeats
	Done            bool    // every live engine has loaded the version
}

const (
	ownerStepInterval     = 50 * time.Millisecond // as in the entry
	fleetTimeout          = time.Hour
	baselinePreparePeriod = 5 * time.Second // after which the owner of the baseline stops
	fleetVersion          = 2
	orderTimeout          = 2 * time.Second // after which the owner regards an agent as silent
	agentsSilentAt        = 1500 * time.Millisecond
)

// fleetRun is the state of one rollout over a fleet.
type fleetRun struct {
	Fleet
	clock        *timeline.Timeline
	startedAt    time.Time
	rng          *rand.Rand
	rollout      *weights.Rollout // of the current owner; nil after its crash until the successor starts
	epoch        int64            // of the current owner
	members      []weights.Member
	store        link
	nodes        []*node
	byID         map[string]*node
	byAddress    map[string]*node
	loadingCount int // engines that are loading
	fetchedCount int // agents that have all chunks
	loadedCount  int // engines that have loaded the version
	silentCount  int
	result       FleetResult
}

// link is one direction of a network interface. It carries one transfer at a time;
// further ones queue.
type link struct {
	rate   float64   // bytes per second
	freeAt time.Time // end of the last queued transfer
}

// Run rolls out one version and returns the result.
func (f Fleet) Run() FleetResult {
	r := &fleetRun{
		Fleet:     f,
		clock:     timeline.New(),
		rng:       rand.New(rand.NewPCG(f.Seed, 0)),
		store:     link{rate: f.StoreRate},
		byID:      map[string]*node{},
		byAddress: map[string]*node{},
	}
	r.startedAt = r.clock.Now()
	r.result.MinServingShare = 1
	r.addNodes()
	r.startOwner(1)
	r.clock.After(agentsSilentAt, r.silenceAgents)
	if f.OwnerCrashAt > 0 {
		r.clock.After(f.OwnerCrashAt, func() { r.rollout = nil })
		r.clock.After(f.OwnerCrashAt+f.TakeoverTime, func() { r.startOwner(2) })
	}
	took := r.clock.Run(fleetTimeout, func() bool { return r.loadedCount == r.liveCount() })
	r.result.Seconds = took.Seconds()
	r.result.Done = r.loadedCount == r.liveCount()
	return r.result
}

// startOwner starts an owner with a new rollout, which has no state from the
// previous owner.
func (r *fleetRun) startOwner(epoch int64) {
	config := weights.DefaultConfig()
	config.Duty, config.Epoch = weights.Duty("fleet"), epoch
	r.epoch = epoch
	config.CapacityFloor, config.Distribution = r.CapacityFloor, r.Distribution
	config.PrepareTimeout = fleetTimeout
	r.rollout = weights.NewRollout(config)
	r.rollout.SetMembers(r.members, r.clock.Now())
	r.rollout.SetTarget(weights.Key{Model: "model"}, fleetVersion)
	r.tick(r.rollout)
}

func (r *fleetRun) addNodes() {
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
		r.byAddress[m.Address] = n
	}
}

func (r *fleetRun) liveCount() int { return r.Engines - r.silentCount }

// silenceAgents stops agents spread evenly over the fleet, some of them near the
// roots of the distribution trees.
func (r *fleetRun) silenceAgents() {
	for i := range r.SilentAgents {
		r.nodes[i*r.Engines/r.SilentAgents].silent = true
		r.silentCount++
	}
}

// tick calls Step of an owner at every interval until the owner crashes.
func (r *fleetRun) tick(owner *weights.Rollout) {
	atOnce := r.LoadAtOnce && r.clock.Now().Sub(r.startedAt) > baselinePreparePeriod
	if r.rollout != owner || atOnce { // the owner takes no part in the baseline's loads
		return
	}
	for _, send := range owner.Step(r.clock.Now()) {
		r.result.Orders++
		n := r.byID[send.Engine]
		r.clock.After(r.Latency, func() { n.handle(send.Order) })
		r.clock.After(orderTimeout, func() {
			// Only orders to silent agents stay without a reply. The reply of a live
			// agent arrives in any case, so no timeout is reported for it.
			if n.silent {
				owner.HandleReply(send.Engine, send.Order, wire.OrderReply{}, false, r.clock.Now())
			}
		})
	}
	r.clock.After(ownerStepInterval, func() { r.tick(owner) })
}

// reply delivers an agent's reply to the owner that sent the order, unless that
// owner has crashed.
func (r *fleetRun) reply(id string, o wire.Order, reply wire.OrderReply) {
	r.clock.After(r.Latency, func() {
		if r.rollout != nil && r.epoch == o.Fence.Epoch {
			r.rollout.HandleReply(id, o, reply, true, r.clock.Now())
		}
	})
}

// transfer calls fn when a chunk has passed both links, each of which carries one
// chunk at a time.
func (r *fleetRun) transfer(from, to *link, fn func()) {
	bytes := r.VersionBytes / float64(r.Chunks)
	start := r.clock.Now()
	if from.freeAt.After(start) {
		start = from.freeAt
	}
	sent := start.Add(seconds(bytes / from.rate))
	from.freeAt = sent
	begin := start
	if to.freeAt.After(begin) {
		begin = to.freeAt
	}
	end := begin.Add(seconds(bytes / to.rate))
	if end.Before(sent) {
		end = sent
	}
	to.freeAt = end
	r.clock.After(end.Sub(r.clock.Now())+r.Latency, fn)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (r *fleetRun) addLoading(delta int) {
	r.loadingCount += delta
	r.result.MinServingShare = min(r.result.MinServingShare, 1-float64(r.loadingCount)/float64(r.Engines))
}
