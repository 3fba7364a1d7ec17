package config

import (
	"fmt"
	"math"
	"time"

	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/gossip"
)

// The reference fleet has the long-term target size of a deployment.
const (
	referenceEntries        = 370
	referenceAgents         = 1300
	referenceRestartsPerDay = 420 // of all 1,670 processes
	referenceDuties         = 64
	failureDomains          = 3
	entriesPerAgent         = 3 // entries that exchange heartbeats with an agent
	fleetHeartbeatInterval  = time.Second
	fleetTickInterval       = 200 * time.Millisecond
	memberListInterval      = 5 * time.Second
	messageLossRate         = 0.01
	gossipFanout            = 3
)

// fleet simulates a large deployment: the configuration followers of all processes and the
// duty keepers of the entries.
type fleet struct {
	*clock
	configStore *store[int64] // holds only the revision, under the key "c"
	leaseStore  *store[duties.Record]
	nodes       []*fleetNode
	entries     []*fleetNode
	peers       []config.Peer
	members     []duties.Member
	dutyNames   []string
	byID        map[string]*fleetNode

	agentHeartbeatInterval time.Duration // between an entry's heartbeats to an agent
	regionCutOff           bool          // the first region is disconnected from the others
	serviceCutOff          bool          // while the region is cut off, it can't reach the service either
}

// fleetNode is an entry or an agent.
type fleetNode struct {
	fleet        *fleet
	self         config.Peer
	isEntry      bool
	index        int
	region       int
	up           bool
	incarnation  int
	kvCalls      int // entries only
	follower     *config.Follower
	keeper       *duties.Keeper
	otherEntries []gossip.Peer // entries only
	partners     *gossip.Partners
	agents       []*fleetNode // entries only
}

func newFleet(seed uint64, entries, agents int) *fleet {
	return newFleetWithDomains(seed, entries, agents, failureDomains)
}

func newFleetWithDomains(seed uint64, entries, agents, domains int) *fleet {
	c := newClock(seed)
	f := &fleet{clock: c, configStore: newStore[int64](c, storeFaults{}), leaseStore: newStore[duties.Record](c, storeFaults{}), byID: map[string]*fleetNode{}, agentHeartbeatInterval: fleetHeartbeatInterval}
	for i := range referenceDuties {
		f.dutyNames = append(f.dutyNames, fmt.Sprint("duty-", i))
	}
	for i := range entries + agents {
		n := &fleetNode{fleet: f, self: config.Peer{ID: fmt.Sprintf("i%04d", i), Domain: fmt.Sprint(i % domains)}, isEntry: i < entries, index: i, region: i % domains / domainsPerRegion}
		f.nodes = append(f.nodes, n)
		f.byID[n.self.ID] = n
		if n.isEntry {
			f.entries = append(f.entries, n)
			f.peers = append(f.peers, n.self)
			f.members = append(f.members, duties.Member{ID: n.self.ID, Address: n.self.ID, Domain: n.self.Domain})
		}
	}
	for i, n := range f.nodes[entries:] {
		for k := range entriesPerAgent {
			entry := f.entries[(i*entriesPerAgent+k*(entries/entriesPerAgent)+k)%entries]
			entry.agents = append(entry.agents, n)
		}
	}
	for _, n := range f.entries {
		for _, other := range f.entries {
			if other != n {
				n.otherEntries = append(n.otherEntries, gossip.Peer{ID: other.self.ID, Domain: other.self.Domain})
			}
		}
	}
	f.configStore.values["c"], f.configStore.revisions["c"] = 1, 1
	return f
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		f.After(f.between(0, fleetHeartbeatInterval), n.start)
	}
}

func (n *fleetNode) start() {
	now := n.fleet.Now()
	n.incarnation++
	n.up = true
	n.partners = gossip.NewPartners(n.self.Domain)
	n.follower = config.NewFollower(config.DefaultFollowerConfig(), n.self, n.isEntry, now, n.fleet.rng)
	n.follower.SetEntries(now, deploymentName, n.fleet.peers)
	if !n.isEntry {
		n.repeat(fleetTickInterval, func() { n.follower.Tick(n.fleet.Now(), n.fleet.rng) })
		return
	}
	n.keeper = duties.New(duties.DefaultConfig(), n.fleet.members[n.index], fmt.Sprint(n.incarnation))
	n.keeper.SetNames(now, n.fleet.dutyNames)
	n.keeper.SetMembers(now, n.fleet.members)
	n.repeat(fleetTickInterval, n.tick)
	n.repeat(fleetHeartbeatInterval, n.gossip)
	n.repeat(n.fleet.agentHeartbeatInterval, n.heartbeatAgents)
	n.repeat(memberListInterval, func() { n.keeper.SetMembers(n.fleet.Now(), n.memberList()) })
}

// memberList returns all members, including those that are down, as in a list that lags
// behind. Alive tells which of them the node can reach.
func (n *fleetNode) memberList() []duties.Member {
	all := append([]duties.Member(nil), n.fleet.members...)
	for i, other := range n.fleet.entries {
		all[i].Alive = other.up && !n.fleet.disconnected(n, other)
	}
	return all
}

func (n *fleetNode) stop() {
	n.up = false
	n.incarnation++
}

// repeat calls fn at an interval, with a random initial delay, until the incarnation ends.
func (n *fleetNode) repeat(interval time.Duration, fn func()) {
	incarnation := n.incarnation
	var next func()
	next = func() {
		if n.incarnation == incarnation {
			fn()
			n.fleet.After(interval, next)
		}
	}
	n.fleet.After(n.fleet.between(0, interval), next)
}

func (n *fleetNode) tick() {
	now := n.fleet.Now()
	n.satisfy(n.follower.Tick(now, n.fleet.rng))
	for _, action := range n.keeper.Tick(now, n.fleet.rng) {
		n.execute(action)
	}
}

// execute executes a keeper's call to the service.
func (n *fleetNode) execute(a duties.Action) {
	n.kvCalls++
	incarnation := n.incarnation
	if !n.fleet.reachesService(n) {
		n.fleet.After(storeTimeout, func() { n.failCall(incarnation, a) })
		return
	}
	if a.Kind == duties.Read {
		n.fleet.leaseStore.read(a.Duty, func(r duties.Record, revision int64, ok bool) {
			if n.incarnation == incarnation {
				n.keeper.ReadDone(n.fleet.Now(), a.Duty, r, revision, ok)
			}
		})
		return
	}
	n.fleet.leaseStore.compareAndSwap(a.Duty, a.Expected, a.Record, func(outcome storeOutcome, r duties.Record, revision int64) {
		if n.incarnation == incarnation {
			n.keeper.WriteDone(n.fleet.Now(), a, dutyOutcome(outcome), r, revision)
		}
	})
}

// failCall ends a call to a service that the node cannot reach.
func (n *fleetNode) failCall(incarnation int, a duties.Action) {
	switch {
	case n.incarnation != incarnation:
	case a.Kind == duties.Read:
		n.keeper.ReadDone(n.fleet.Now(), a.Duty, duties.Record{}, 0, false)
	default:
		n.keeper.WriteDone(n.fleet.Now(), a, duties.Indeterminate, duties.Record{}, 0)
	}
}

func (n *fleetNode) inCutRegion() bool {
	return n.region == 0
}

// disconnected reports whether two nodes cannot reach each other.
func (f *fleet) disconnected(a, b *fleetNode) bool {
	return f.regionCutOff && a.inCutRegion() != b.inCutRegion()
}

func (f *fleet) reachesService(n *fleetNode) bool {
	return !f.regionCutOff || !f.serviceCutOff || !n.inCutRegion()
}

func dutyOutcome(outcome storeOutcome) duties.Outcome {
	return [...]duties.Outcome{swapped: duties.Swapped, conflict: duties.Conflict, notApplied: duties.NotApplied, indeterminate: duties.Indeterminate}[outcome]
}

// satisfy executes what the follower needs.
func (n *fleetNode) satisfy(need config.Need) {
	incarnation := n.incarnation
	switch need.Kind {
	case config.NeedRead:
		n.kvCalls++
		if !n.fleet.reachesService(n) {
			return
		}
		sentAt := n.fleet.Now()
		n.fleet.configStore.read("c", func(revision int64, _ int64, ok bool) {
			if n.incarnation == incarnation && ok {
				n.apply(revision)
				n.follower.Stored(n.fleet.Now(), sentAt, revision)
			}
		})
	case config.NeedFetch:
		peer := n.fleet.byID[need.Peer]
		n.call(peer, func() int64 { r, _ := peer.follower.Revision(n.fleet.Now()); return r }, n.apply)
	}
}

// call calls handle at the receiver and done with its result at the caller. The request or
// the reply may be lost.
func (n *fleetNode) call(to *fleetNode, handle func() int64, done func(int64)) {
	n.send(to, func() {
		reply := handle()
		to.send(n, func() { done(reply) })
	})
}

func (n *fleetNode) send(to *fleetNode, fn func()) {
	if n.fleet.chance(messageLossRate) || n.fleet.disconnected(n, to) {
		return
	}
	incarnation := to.incarnation
	n.fleet.After(n.fleet.between(time.Millisecond, 3*time.Millisecond), func() {
		if to.up && to.incarnation == incarnation {
			fn()
		}
	})
}

func (n *fleetNode) apply(revision int64) {
	if current, _ := n.follower.Revision(n.fleet.Now()); revision <= current {
		return
	}
	n.follower.Applied(n.fleet.Now(), revision)
	if n.isEntry {
		n.gossip() // distributes the revision without waiting for the next round
	}
}

func (n *fleetNode) heartbeatAgents() {
	for _, agent := range n.agents {
		n.heartbeat(agent)
	}
}

func (n *fleetNode) gossip() {
	for _, peer := range n.partners.Choose(n.fleet.rng, n.otherEntries, gossipFanout) {
		n.heartbeat(n.fleet.byID[peer.ID])
	}
}

func (n *fleetNode) heartbeat(to *fleetNode) {
	sentAt := n.fleet.Now()
	status := n.follower.Status(sentAt) // SentAt is zero: the receiver does not know it
	n.send(to, func() {
		to.satisfy(to.follower.StatusReceived(n.fleet.Now(), status))
		reply := to.follower.Status(n.fleet.Now())
		reply.SentAt = sentAt
		to.send(n, func() {
			if to.isEntry {
				n.satisfy(n.follower.StatusReceived(n.fleet.Now(), reply))
			}
			if current, _ := n.follower.Revision(n.fleet.Now()); current > reply.Revision && !to.isEntry {
				n.send(to, func() { to.apply(current) })
			}
		})
	})
}

// scheduleRestarts restarts random processes at random intervals, on average perDay times
// a day.
func (f *fleet) scheduleRestarts(perDay float64) {
	meanInterval := 24 * time.Hour / time.Duration(math.Max(1, perDay))
	var next func()
	next = func() {
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		if n.up {
			n.stop()
			f.After(2*time.Second, n.start)
		}
		f.After(time.Duration(f.rng.ExpFloat64()*float64(meanInterval)), next)
	}
	f.After(time.Duration(f.rng.ExpFloat64()*float64(meanInterval)), next)
}

// changeConfig stores the next revision, as an entry does that accepts a change, and
// returns the time until every process that takes work has it.
func (f *fleet) changeConfig() time.Duration {
	revision := f.configStore.values["c"] + 1
	f.configStore.applyWrite("c", f.configStore.revisions["c"], revision)
	began := f.Now()
	for {
		entry := f.entries[f.rng.IntN(len(f.entries))]
		if entry.up && entry.follower.MayAccept(began) {
			entry.apply(revision)
			break
		}
	}
	for f.Now().Sub(began) < time.Minute {
		f.Run(50*time.Millisecond, never)
		if !f.anyReadyBehind(revision) {
			break
		}
	}
	return f.Now().Sub(began)
}

// anyReadyBehind reports whether a process takes work under an older revision.
func (f *fleet) anyReadyBehind(revision int64) bool {
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		if current, _ := n.follower.Revision(f.Now()); current < revision && n.follower.Ready(f.Now()) {
			return true
		}
	}
	return false
}

// allServing reports whether every process takes work and every duty has a holder.
func (f *fleet) allServing() bool {
	now := f.Now()
	held := map[string]bool{}
	for _, n := range f.nodes {
		if !n.up || !n.follower.Ready(now) {
			return false
		}
		if !n.isEntry {
			continue
		}
		for _, name := range f.dutyNames {
			if !held[name] && n.keeper.LeaseState(now, name) == duties.Holder {
				held[name] = true
			}
		}
	}
	return len(held) == len(f.dutyNames)
}
