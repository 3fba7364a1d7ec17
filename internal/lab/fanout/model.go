// Package fanout simulates in virtual time how the store's changes reach all processes of a
// fleet, with the decisions of policy/fanout: at a restart of all, and while processes are
// killed, paused or cut off. It counts the calls to the store and the bytes that it sends, and
// checks that each process that is not disturbed itself knows a declaration in time.
package fanout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/fanout"
)

// The fleet: a fifth of the processes are workers, spread over the failure domains.
const (
	domainCount        = 5
	processesPerWorker = 5
)

// Times of the network, the store and the processes.
const (
	linkDelay     = 500 * time.Microsecond // one way, between processes
	storeDelay    = 4 * time.Millisecond   // answer of the store
	storeRate     = 125e6                  // bytes per second of the store's link
	workerRate    = 75e6                   // bytes per second of a worker's link
	watchTimeout  = time.Second            // of a root's watch of the store
	callMargin    = 500 * time.Millisecond // how much longer than its wait a call may take
	overdueDelay  = 300 * time.Millisecond // until an unanswered call to the store goes through a peer
	peersAsked    = 4                      // peers that are asked for such a call
	rootTTL       = 1300 * time.Millisecond
	startDelayMax = 300 * time.Millisecond // processes start within this time of each other
	entryStart    = 120 * time.Millisecond // from the start of a process to its first call
	workerStart   = 40 * time.Millisecond
)

// Sizes of answers in bytes.
const (
	memberBytes      = 300
	endpointBytes    = 450
	declarationBytes = 60_000
	smallBytes       = 1_000
	endpoints        = 360
	entriesPerDomain = 30 // registered entries
	topicCount       = 4  // declarations, endpoints, members, assignments: one call each
	plainShare       = 8  // an entry needs one in so many endpoints
)

// process is one process of the fleet. Roots and relays also serve others.
type process struct {
	index    int
	source   fanout.Source
	worker   bool
	role     fanout.Role
	follower *fanout.Follower
	sources  []*process

	run         int // counts starts; what belongs to an earlier run is ignored
	up          bool
	cut         bool // from the store
	isolated    bool // from the store and all processes
	paused      bool
	disturbedAt time.Time // last moment at which one of these changed or held

	listed   bool
	version  int
	syncedAt time.Time // age of the data
	readyAt  time.Time // first complete data of this run
	linkFree time.Time // when the link has sent all queued answers
	waiters  []func()  // calls that wait for a change
}

// Model is a fleet with its store.
type Model struct {
	t         *timeline.Timeline
	random    *rand.Rand // draws of the processes and the network
	faults    *rand.Rand // draws of the schedule, which do not depend on the decisions
	processes []*process
	roots     []*process
	relays    []*process
	direct    bool // each process lists everything from the store at its start

	version   int
	storeFree time.Time
	Calls     int         // calls to the store
	Bytes     float64     // sent by the store
	perSecond map[int]int // calls by second
	Misses    int         // declarations that an undisturbed process learned too late
	Checks    int
}

// newModel returns a fleet of n processes, none of which runs yet.
func newModel(n int, seed uint64) *Model {
	m := &Model{t: timeline.New(), random: rand.New(rand.NewPCG(seed, uint64(n))), faults: rand.New(rand.NewPCG(seed, 0)), perSecond: map[int]int{}, version: 1}
	var workers []fanout.Worker
	var workerOf []*process
	for i := range n {
		p := &process{index: i, worker: i%processesPerWorker == 0}
		p.source = fanout.Source{Name: fmt.Sprintf("process-%d", i), Domain: fmt.Sprintf("domain-%d", i/processesPerWorker%domainCount)}
		m.processes = append(m.processes, p)
		if p.worker {
			workers = append(workers, fanout.Worker(p.source))
			workerOf = append(workerOf, p)
		}
	}
	tree := fanout.Plan(workers)
	for _, at := range tree.Roots {
		workerOf[at].role = fanout.Root
		m.roots = append(m.roots, workerOf[at])
	}
	for _, at := range tree.Relays {
		workerOf[at].role = fanout.Relay
		m.relays = append(m.relays, workerOf[at])
	}
	for _, p := range m.processes {
		p.sources = m.sourcesOf(p)
	}
	return m
}

// sourcesOf returns the processes that p follows, in the order in which it asks them.
func (m *Model) sourcesOf(p *process) []*process {
	if p.role == fanout.Relay || len(m.relays) == 0 {
		return m.roots
	}
	relays := make([]fanout.Source, len(m.relays))
	for i, r := range m.relays {
		relays[i] = r.source
	}
	var sources []*process
	for _, at := range fanout.Order(p.source, relays) {
		sources = append(sources, m.relays[at])
	}
	return sources
}

// startAll starts every process within startDelayMax.
func (m *Model) startAll() {
	for _, p := range m.processes {
		m.start(p, time.Duration(m.random.Float64()*float64(startDelayMax)))
	}
}

// start starts a process after a delay.
func (m *Model) start(p *process, after time.Duration) {
	m.t.After(after, func() {
		p.run++
		run := p.run
		m.disturb(p)
		p.up, p.listed, p.version, p.syncedAt, p.readyAt, p.waiters = true, false, 0, time.Time{}, time.Time{}, nil
		p.follower = &fanout.Follower{Role: p.role, Random: m.random.Float64}
		boot := entryStart
		if p.worker {
			boot = workerStart
		}
		m.t.After(boot, func() {
			if p.run != run {
				return
			}
			m.callStore(p, 0.1, smallBytes, func(bool) { // the published tree
				switch {
				case p.role == fanout.Root:
					m.followStore(p, run)
				case m.direct:
					m.list(p, run, func() { m.step(p, run) })
				default:
					m.step(p, run)
				}
			})
		})
	})
}

// kill ends a process. Its connections are reset.
func (m *Model) kill(p *process) {
	p.run++
	p.up = false
	m.disturb(p)
	m.wake(p)
}

func (m *Model) disturb(p *process) { p.disturbedAt = m.t.Now() }

// reachesStore reports whether the direct path of p works.
func (p *process) reachesStore() bool { return !p.cut && !p.isolated && !p.paused }

// callStore makes one call to the store, which counts by its price and sends an answer. If p is
// cut off, peers make it. done tells whether there was an answer.
func (m *Model) callStore(p *process, price float64, bytes float64, done func(ok bool)) {
	if !p.isolated && !p.paused {
		m.count(price) // the store also counts calls that it refuses
	}
	if p.reachesStore() {
		now := m.t.Now()
		m.Bytes += bytes
		if m.storeFree.Before(now) {
			m.storeFree = now
		}
		m.storeFree = m.storeFree.Add(time.Duration(bytes / storeRate * float64(time.Second)))
		m.t.After(m.storeFree.Sub(now)+storeDelay, func() { done(true) })
		return
	}
	if p.isolated || p.paused {
		m.t.After(callMargin, func() { done(false) })
		return
	}
	m.t.After(overdueDelay, func() {
		for range peersAsked {
			peer := m.processes[m.random.IntN(len(m.processes))]
			if peer.up && peer.reachesStore() {
				m.callStore(peer, price, bytes, done)
				return
			}
		}
		done(false)
	})
}

// count counts a call by its price in the current second. Prices are added in tenths.
func (m *Model) count(price float64) {
	tenths := int(price * 10)
	m.Calls += tenths
	m.perSecond[int(m.t.Now().Unix())] += tenths
}

// listBytes returns the size of all topics. If each process listed everything, all entries would
// be registered.
func (m *Model) listBytes() int {
	members := len(m.processes)
	if !m.direct {
		members = min(members, members/processesPerWorker+domainCount*entriesPerDomain)
	}
	return members*memberBytes + endpoints*endpointBytes + declarationBytes
}

// list lists all topics from the store.
func (m *Model) list(p *process, run int, done func()) {
	bytes := float64(m.listBytes())
	m.count(topicCount - 1)
	m.callStore(p, 1, bytes, func(ok bool) {
		if p.run != run {
			return
		}
		if ok {
			m.synced(p, m.version, m.t.Now())
		}
		done()
	})
}

// followStore lets a root list and watch the store.
func (m *Model) followStore(p *process, run int) {
	if p.run != run {
		return
	}
	if !p.listed {
		m.list(p, run, func() { m.followStore(p, run) })
		return
	}
	known, began := p.version, m.t.Now()
	m.count(topicCount) // a watch of each topic
	var poll func()
	poll = func() {
		switch {
		case p.run != run:
		case m.version == known && m.t.Now().Sub(began) < watchTimeout:
			m.onChange(watchTimeout-m.t.Now().Sub(began), poll)
		case p.reachesStore():
			m.t.After(storeDelay, func() {
				if p.run == run {
					m.synced(p, m.version, m.t.Now())
					m.followStore(p, run)
				}
			})
		default:
			m.callStore(p, 1, smallBytes, func(ok bool) {
				if p.run != run {
					return
				}
				if ok {
					m.synced(p, m.version, m.t.Now())
				}
				m.followStore(p, run)
			})
		}
	}
	poll()
}

// onChange calls fn when the store changes, or after a time.
func (m *Model) onChange(after time.Duration, fn func()) {
	const checkInterval = 20 * time.Millisecond // resolution of a watch
	m.t.After(min(after, checkInterval), fn)
}

// step executes the next action of a follower.
func (m *Model) step(p *process, run int) {
	if p.run != run {
		return
	}
	if p.paused {
		m.t.After(callMargin, func() { m.step(p, run) })
		return
	}
	action := p.follower.Next(m.t.Now(), func() fanout.Fleet {
		return fanout.Fleet{Sources: len(p.sources), HasRelays: len(m.relays) > 0 && !m.direct, Processes: len(m.processes)}
	})
	switch action.Kind {
	case fanout.AskSource:
		m.ask(p, p.sources[p.follower.Source()], action.Wait, run)
	case fanout.AskStore, fanout.FollowStore:
		if !p.listed {
			m.list(p, run, func() { m.step(p, run) })
			return
		}
		m.callStore(p, 1, smallBytes, func(ok bool) { // one call tells whether the store answers
			if !ok {
				m.t.After(fanout.RetryInterval, func() { m.step(p, run) })
				return
			}
			m.count(topicCount)
			if p.run == run {
				m.synced(p, m.version, m.t.Now())
			}
			m.t.After(watchTimeout, func() { m.step(p, run) })
		})
	case fanout.Pause:
		m.t.After(action.Wait, func() { m.step(p, run) })
	}
}

// synced gives a process the state of a version, which it learned from data of an age.
func (m *Model) synced(p *process, version int, at time.Time) {
	changed := !p.listed || version > p.version
	p.listed, p.version = true, max(p.version, version)
	if at.After(p.syncedAt) {
		p.syncedAt = at
	}
	if p.readyAt.IsZero() {
		p.readyAt = m.t.Now()
	}
	if p.follower != nil {
		p.follower.SetSynced()
	}
	if changed {
		m.wake(p)
	}
}

// wake lets the calls that wait at a process go on.
func (m *Model) wake(p *process) {
	waiters := p.waiters
	p.waiters = nil
	for _, fn := range waiters {
		m.t.After(0, fn)
	}
}
