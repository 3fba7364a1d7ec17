package config

import (
	"fmt"
	"math"
	"time"

	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/gossip"
)

// The letter's size, and a tenth of it.
const (
	letterEntries = 370
	letterAgents  = 1300
	// restartsADay are the letter's restarts at its size of 1,670 processes.
	restartsADay = 420
	fleetDuties  = 64
	zones        = 3
	watchersOf   = 3 // entries that keep each agent
	fleetBeat    = time.Second
	fleetTick    = 200 * time.Millisecond
	membersEvery = 5 * time.Second
	messageLoss  = 0.01
	fanout       = 3
)

// fleet is a deployment at scale: followers of every process, and keepers of
// the entries' duties.
type fleet struct {
	*world
	conf    *store[int64] // holds the revision alone
	leases  *store[duties.Record]
	nodes   []*fleetNode
	entries []*fleetNode
	peers   []config.Peer
	members []duties.Member
	names   []string
	byID    map[string]*fleetNode

	agentBeat time.Duration // between an entry's heartbeats to an agent
	cut       bool          // the first region is cut off from the others
	noService bool          // and then from the platform's service
}

type fleetNode struct {
	f        *fleet
	self     config.Peer
	entry    bool
	index    int
	region   int
	up       bool
	life     int
	kvCalls  int // entries only
	follower *config.Follower
	keeper   *duties.Keeper
	others   []gossip.Peer // entries only
	partners *gossip.Partners
	agents   []*fleetNode // entries only
}

func newFleet(seed uint64, entries, agents int) *fleet {
	return newFleetOver(seed, entries, agents, zones)
}

func newFleetOver(seed uint64, entries, agents, domains int) *fleet {
	w := newWorld(seed)
	f := &fleet{world: w, conf: newStore[int64](w, storeFaults{}), leases: newStore[duties.Record](w, storeFaults{}), byID: map[string]*fleetNode{}, agentBeat: fleetBeat}
	for i := range fleetDuties {
		f.names = append(f.names, fmt.Sprint("duty-", i))
	}
	for i := range entries + agents {
		n := &fleetNode{f: f, self: config.Peer{ID: fmt.Sprintf("i%04d", i), Domain: fmt.Sprint(i % domains)}, entry: i < entries, index: i, region: i % domains / regionDomains}
		f.nodes = append(f.nodes, n)
		f.byID[n.self.ID] = n
		if n.entry {
			f.entries = append(f.entries, n)
			f.peers = append(f.peers, n.self)
			f.members = append(f.members, duties.Member{ID: n.self.ID, Address: n.self.ID, Domain: n.self.Domain})
		}
	}
	for i, n := range f.nodes[entries:] {
		for k := range watchersOf {
			keeper := f.entries[(i*watchersOf+k*(entries/watchersOf)+k)%entries]
			keeper.agents = append(keeper.agents, n)
		}
	}
	for _, n := range f.entries {
		for _, p := range f.entries {
			if p != n {
				n.others = append(n.others, gossip.Peer{ID: p.self.ID, Domain: p.self.Domain})
			}
		}
	}
	f.conf.values["c"], f.conf.revisions["c"] = 1, 1
	return f
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		f.After(f.between(0, fleetBeat), n.start)
	}
}

func (n *fleetNode) start() {
	now := n.f.Now()
	n.life++
	n.up = true
	n.partners = gossip.NewPartners(n.self.Domain)
	n.follower = config.NewFollower(config.DefaultFollowerConfig(), n.self, n.entry, now, n.f.rnd)
	n.follower.SetEntries(now, deployment, n.f.peers)
	if !n.entry {
		n.every(fleetTick, func() { n.follower.Tick(n.f.Now(), n.f.rnd) })
		return
	}
	n.keeper = duties.New(duties.DefaultConfig(), n.f.members[n.index], fmt.Sprint(n.life))
	n.keeper.SetNames(now, n.f.names)
	n.keeper.SetMembers(now, n.f.members)
	n.every(fleetTick, n.tick)
	n.every(fleetBeat, n.gossip)
	n.every(n.f.agentBeat, n.beatAgents)
	n.every(membersEvery, func() { n.keeper.SetMembers(n.f.Now(), n.signsOfLife()) })
}

// signsOfLife are the members as the lagging list names them, the dead included.
func (n *fleetNode) signsOfLife() []duties.Member {
	all := append([]duties.Member(nil), n.f.members...)
	for i, other := range n.f.entries {
		all[i].Alive = other.up && !n.f.apart(n, other)
	}
	return all
}

func (n *fleetNode) stop() {
	n.up = false
	n.life++
}

func (n *fleetNode) every(interval time.Duration, fn func()) {
	life := n.life
	var next func()
	next = func() {
		if n.life == life {
			fn()
			n.f.After(interval, next)
		}
	}
	n.f.After(n.f.between(0, interval), next)
}

func (n *fleetNode) tick() {
	now := n.f.Now()
	n.meet(n.follower.Tick(now, n.f.rnd))
	for _, action := range n.keeper.Tick(now, n.f.rnd) {
		n.carryOut(action)
	}
}

func (n *fleetNode) carryOut(a duties.Action) {
	n.kvCalls++
	life := n.life
	if !n.f.reachesService(n) {
		n.f.After(storeTimeout, func() { n.unanswered(life, a) })
		return
	}
	if a.Kind == duties.Read {
		n.f.leases.read(a.Duty, func(r duties.Record, revision int64, ok bool) {
			if n.life == life {
				n.keeper.ReadDone(n.f.Now(), a.Duty, r, revision, ok)
			}
		})
		return
	}
	n.f.leases.swap(a.Duty, a.Expected, a.Record, func(o outcome, r duties.Record, revision int64) {
		if n.life == life {
			n.keeper.WriteDone(n.f.Now(), a, dutyOutcome(o), r, revision)
		}
	})
}

// unanswered ends a call of a service that is not reached.
func (n *fleetNode) unanswered(life int, a duties.Action) {
	switch {
	case n.life != life:
	case a.Kind == duties.Read:
		n.keeper.ReadDone(n.f.Now(), a.Duty, duties.Record{}, 0, false)
	default:
		n.keeper.WriteDone(n.f.Now(), a, duties.Indeterminate, duties.Record{}, 0)
	}
}

func (n *fleetNode) inCutRegion() bool {
	return n.region == 0
}

// apart tells whether a cut lies between two nodes.
func (f *fleet) apart(a, b *fleetNode) bool {
	return f.cut && a.inCutRegion() != b.inCutRegion()
}

func (f *fleet) reachesService(n *fleetNode) bool {
	return !f.cut || !f.noService || !n.inCutRegion()
}

func dutyOutcome(o outcome) duties.Outcome {
	return [...]duties.Outcome{swapped: duties.Swapped, refused: duties.Conflict, notSent: duties.NotApplied, unclear: duties.Indeterminate}[o]
}

func (n *fleetNode) meet(need config.Need) {
	life := n.life
	switch need.Kind {
	case config.NeedRead:
		n.kvCalls++
		if !n.f.reachesService(n) {
			return
		}
		sent := n.f.Now()
		n.f.conf.read("c", func(revision int64, _ int64, ok bool) {
			if n.life == life && ok {
				n.apply(revision)
				n.follower.Stored(n.f.Now(), sent, revision)
			}
		})
	case config.NeedFetch:
		peer := n.f.byID[need.Peer]
		n.call(peer, func() int64 { r, _ := peer.follower.Revision(n.f.Now()); return r }, n.apply)
	}
}

// call sends a message and its answer, either of which may be lost.
func (n *fleetNode) call(to *fleetNode, ask func() int64, answered func(int64)) {
	n.send(to, func() {
		reply := ask()
		to.send(n, func() { answered(reply) })
	})
}

func (n *fleetNode) send(to *fleetNode, fn func()) {
	if n.f.chance(messageLoss) || n.f.apart(n, to) {
		return
	}
	life := to.life
	n.f.After(n.f.between(time.Millisecond, 3*time.Millisecond), func() {
		if to.up && to.life == life {
			fn()
		}
	})
}

func (n *fleetNode) apply(revision int64) {
	if have, _ := n.follower.Revision(n.f.Now()); revision <= have {
		return
	}
	n.follower.Applied(n.f.Now(), revision)
	if n.entry {
		n.gossip() // told at once, not with the next round
	}
}

func (n *fleetNode) beatAgents() {
	for _, agent := range n.agents {
		n.heartbeat(agent)
	}
}

func (n *fleetNode) gossip() {
	for _, peer := range n.partners.Choose(n.f.rnd, n.others, fanout) {
		n.heartbeat(n.f.byID[peer.ID])
	}
}

func (n *fleetNode) heartbeat(to *fleetNode) {
	sent := n.f.Now()
	news := n.follower.Status(sent) // Sent is zero: the receiver does not know
	n.send(to, func() {
		to.meet(to.follower.Heard(n.f.Now(), news))
		reply := to.follower.Status(n.f.Now())
		reply.SentAt = sent
		to.send(n, func() {
			if to.entry {
				n.meet(n.follower.Heard(n.f.Now(), reply))
			}
			if have, _ := n.follower.Revision(n.f.Now()); have > reply.Revision && !to.entry {
				n.send(to, func() { to.apply(have) })
			}
		})
	})
}

// restartNow and then restarts a process at the letter's rate for the size.
func (f *fleet) restartNowAndThen(rate float64) {
	mean := 24 * time.Hour / time.Duration(math.Max(1, rate))
	var next func()
	next = func() {
		n := f.nodes[f.rnd.IntN(len(f.nodes))]
		if n.up {
			n.stop()
			f.After(2*time.Second, n.start)
		}
		f.After(time.Duration(f.rnd.ExpFloat64()*float64(mean)), next)
	}
	f.After(time.Duration(f.rnd.ExpFloat64()*float64(mean)), next)
}

// accept puts the next revision in the record, as an entry does that accepts a
// change, and returns how long until every process that takes work has it.
func (f *fleet) accept() time.Duration {
	next := f.conf.values["c"] + 1
	f.conf.take("c", f.conf.revisions["c"], next)
	began := f.Now()
	for {
		by := f.entries[f.rnd.IntN(len(f.entries))]
		if by.up && by.follower.MayAccept(began) {
			by.apply(next)
			break
		}
	}
	for f.Now().Sub(began) < time.Minute {
		f.Run(50*time.Millisecond, never)
		if !f.anyBehind(next) {
			break
		}
	}
	return f.Now().Sub(began)
}

func (f *fleet) anyBehind(revision int64) bool {
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		if have, _ := n.follower.Revision(f.Now()); have < revision && n.follower.Ready(f.Now()) {
			return true
		}
	}
	return false
}

// serving tells whether every process takes work and every duty has a holder.
func (f *fleet) serving() bool {
	now := f.Now()
	held := map[string]bool{}
	for _, n := range f.nodes {
		if !n.up || !n.follower.Ready(now) {
			return false
		}
		if !n.entry {
			continue
		}
		for _, name := range f.names {
			if !held[name] && n.keeper.LeaseState(now, name) == duties.Holder {
				held[name] = true
			}
		}
	}
	return len(held) == len(f.names)
}
