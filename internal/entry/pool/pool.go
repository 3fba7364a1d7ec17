// Package pool keeps an entry's connections to a bounded part of the agents,
// hears their heartbeats, and chooses among them.
package pool

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/choose"
	"siskinloom.example/siskinloom/internal/policy/membership"
	"siskinloom.example/siskinloom/internal/rpcconn"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodHeartbeat = wire.AgentService + ".Heartbeat"
	// tickEvery is how often connections are judged; it adds to the time in
	// which a silent one is found.
	tickEvery   = 50 * time.Millisecond
	dialLimit   = 2 * time.Second
	notifyLimit = 2 * time.Second
	roleAgent   = "agent"
	roleEntry   = "entry"
)

// InstanceLister reads the platform's lagging list of instances.
type InstanceLister interface {
	Instances(ctx context.Context, deployment string) ([]kv.Instance, error)
}

// Options are what a pool is made of. Dial, Request and Reply may be nil.
type Options struct {
	ID                string // of this instance
	Deployment        string
	Domain            string
	HeartbeatInterval time.Duration // between heartbeats on an idle connection at least; 0: the default of the settings
	Lister            InstanceLister
	Log               *logrus.Logger
	Metrics           metrics.Registry // may be nil

	// Dial connects to an agent's address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// FillRequest adds what this entry knows to a heartbeat, Reply takes in what
	// an agent answered. Both are called from many goroutines.
	FillRequest func(*wire.HeartbeatRequest)
	HandleReply func(wire.HeartbeatReply)
}

// Pool keeps connections to a bounded part of the agents and chooses among
// them. It implements entry.Picker and entry.Fleet and is safe for concurrent use.
//
// Locks are taken in the order peer, pool, shard.
type Pool struct {
	opts Options

	mu      sync.Mutex
	table   *membership.Table
	peers   map[string]*peer
	shards  map[string]*shard // by service
	entries []string          // ids of the entries that the list names, sorted
	listed  int               // instances on the list
	drained map[string]bool   // taken out by operators
	rng     *rand.Rand
	ctx     context.Context // of Run; ends every call in the background
}

// New prepares a pool; Run fills it.
func New(opts Options) *Pool {
	if opts.HeartbeatInterval <= 0 {
		opts.HeartbeatInterval = settings.DefaultHeartbeatInterval
	}
	if opts.Dial == nil {
		opts.Dial = rpcconn.Dial
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	p := &Pool{
		opts:    opts,
		table:   membership.New(membership.DefaultConfig()),
		peers:   map[string]*peer{},
		shards:  map[string]*shard{},
		drained: map[string]bool{},
		rng:     rand.New(rand.NewPCG(seedOf(opts.ID), uint64(time.Now().UnixNano()))),
		ctx:     context.Background(),
	}
	metrics.NewRegisteredFunctionalGauge("pool.agents", opts.Metrics, func() int64 { return int64(len(p.allPeers())) })
	metrics.NewRegisteredFunctionalGauge("pool.usable", opts.Metrics, p.countUsable)
	return p
}

func (p *Pool) countUsable() int64 {
	usable := int64(0)
	for _, peer := range p.allPeers() {
		if peer.shard.usable(peer) {
			usable++
		}
	}
	return usable
}

func (p *Pool) count(name string) {
	metrics.GetOrRegisterCounter("pool."+name, p.opts.Metrics).Inc(1)
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Run reads the list, sends heartbeats and judges connections until ctx ends;
// then it closes every connection.
func (p *Pool) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error { return p.pollList(ctx) })
	group.Go(func() error { return p.tickPeers(ctx) })
	err := group.Wait()
	for _, peer := range p.allPeers() {
		peer.close()
	}
	return err
}

// Configure takes out the instances that operators drained.
func (p *Pool) Configure(d decl.Deployment) {
	drained := map[string]bool{}
	for _, id := range d.DrainInstances {
		drained[id] = true
	}
	p.mu.Lock()
	p.drained = drained
	p.mu.Unlock()
	for _, peer := range p.allPeers() {
		p.mu.Lock()
		p.place(peer)
		p.mu.Unlock()
	}
}

// Pick implements entry.Picker.
func (p *Pool) Pick(service, business string, prefix uint64, exclude []string) (entry.Endpoint, bool) {
	p.mu.Lock()
	s := p.shards[service]
	p.mu.Unlock()
	if s == nil {
		return nil, false
	}
	peer := s.choose(choose.Request{Now: time.Now(), Business: business, Prefix: prefix, Exclude: exclude})
	return peer, peer != nil
}

// Find implements entry.Picker.
func (p *Pool) Find(id string) (entry.Endpoint, bool) {
	p.mu.Lock()
	peer := p.peers[id]
	p.mu.Unlock()
	if peer == nil || !peer.shard.usable(peer) {
		return nil, false
	}
	return peer, true
}

// Agent returns an agent that this entry keeps, whether or not it may be given work.
func (p *Pool) Agent(id string) (entry.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[id]
	return peer, ok
}

// Engines implements entry.Fleet.
func (p *Pool) Engines(service string) []entry.EngineState {
	p.mu.Lock()
	s := p.shards[service]
	p.mu.Unlock()
	if s == nil {
		return nil
	}
	engines := s.engines()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range engines {
		if peer := p.peers[engines[i].ID]; peer != nil {
			engines[i].Address = peer.address
		}
	}
	return engines
}

// AgentStatus is what siskinctl shows of one agent.
type AgentStatus struct {
	ID      string
	Address string
	Domain  string
	Service string
	State   string
	Load    wire.Load
}

// Snapshot lists the agents that this entry keeps, ordered by id.
func (p *Pool) Snapshot() []AgentStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []AgentStatus
	for _, in := range p.table.ConnectionCandidates() {
		peer := p.peers[in.ID]
		if peer == nil {
			continue
		}
		all = append(all, AgentStatus{
			ID:      in.ID,
			Address: in.Address,
			Domain:  in.Domain,
			Service: in.Service,
			State:   p.table.Get(in.ID).State().String(),
			Load:    peer.shard.load(peer),
		})
	}
	return all
}

// EachAgent calls fn for every agent that has answered, with its service.
func (p *Pool) EachAgent(fn func(service string, agent entry.Endpoint)) {
	for _, peer := range p.allPeers() {
		if peer.Target().Incarnation != "" {
			fn(peer.service, peer)
		}
	}
}

func (p *Pool) allPeers() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*peer, 0, len(p.peers))
	for _, peer := range p.peers {
		all = append(all, peer)
	}
	return all
}

// place tells the shard what the peer may be given. The caller holds the lock.
func (p *Pool) place(peer *peer) {
	m := p.table.Get(peer.id)
	leaving := m == nil || p.drained[peer.id]
	if m != nil {
		state := m.State()
		leaving = leaving || state == membership.Leaving || state == membership.Gone
	}
	peer.shard.setLeaving(peer, leaving)
}

func (p *Pool) tickPeers(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.mu.Lock()
			p.apply(p.table.Tick(now))
			p.mu.Unlock()
			for _, peer := range p.allPeers() {
				peer.tick(now)
			}
		}
	}
}

// heartbeat returns the heartbeat for one agent.
func (p *Pool) heartbeat(peer *peer) wire.HeartbeatRequest {
	req := wire.HeartbeatRequest{From: p.opts.ID, Domain: p.opts.Domain, Peers: len(peer.shard.engines())}
	p.mu.Lock()
	req.ListedLeaving = p.table.ListedLeaving(peer.id)
	p.mu.Unlock()
	if p.opts.FillRequest != nil {
		p.opts.FillRequest(&req)
	}
	return req
}

// heard takes an agent's word into account.
func (p *Pool) heard(peer *peer, reply wire.HeartbeatReply) {
	word := membership.SelfReport{
		From:        reply.From,
		Incarnation: reply.Target.Incarnation,
		Uptime:      reply.Target.Uptime,
		Leaving:     reply.Load.Leaving,
	}
	p.mu.Lock()
	p.apply(p.table.ApplyReport(time.Now(), peer.id, word))
	if reply.From != peer.id {
		p.rewatch()
	} else {
		p.place(peer)
	}
	p.mu.Unlock()
	if p.opts.HandleReply != nil {
		p.opts.HandleReply(reply)
	}
}

// silent takes the verdict that an agent answers on no connection.
func (p *Pool) silent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.table.MarkUnresponsive(time.Now(), id))
}
