// Package pool keeps an entry's connections to a limited number of agents, exchanges
// heartbeats with them, and selects agents for requests.
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
	// tickInterval is the interval at which the connections are checked. It adds to
	// the time until a silent connection is detected.
	tickInterval  = 50 * time.Millisecond
	dialTimeout   = 2 * time.Second
	notifyTimeout = 2 * time.Second
	roleAgent     = "agent"
	roleEntry     = "entry"
)

// InstanceLister reads the platform's list of instances, which lags behind the actual
// state.
type InstanceLister interface {
	Instances(ctx context.Context, deployment string) ([]kv.Instance, error)
}

// Options holds the dependencies and settings of a pool. Dial, FillRequest and
// HandleReply may be nil.
type Options struct {
	ID                string // of this instance
	Deployment        string
	Domain            string
	HeartbeatInterval time.Duration // minimum on an idle connection; 0: the default of the settings
	Lister            InstanceLister
	Log               *logrus.Logger
	Metrics           metrics.Registry // may be nil

	// Dial connects to an agent's address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// FillRequest adds this entry's information to a heartbeat, and HandleReply
	// processes an agent's reply. Both are called concurrently.
	FillRequest func(*wire.HeartbeatRequest)
	HandleReply func(wire.HeartbeatReply)
}

// Pool keeps connections to a limited number of agents and selects agents for
// requests. It implements entry.Picker and entry.EngineLister and is safe for
// concurrent use.
//
// Locks are acquired in the order peer, pool, shard.
type Pool struct {
	opts Options

	mu      sync.Mutex
	table   *membership.Table
	peers   map[string]*peer
	shards  map[string]*shard // by service
	entries []string          // IDs of the entries on the list, sorted
	listLen int               // number of instances on the list
	drained map[string]bool   // IDs of the instances that operators drained
	rng     *rand.Rand
	ctx     context.Context // of Run; cancels background calls
}

// New returns a pool without agents. Run adds them.
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

// incCounter increments the counter "pool.<name>".
func (p *Pool) incCounter(name string) {
	metrics.GetOrRegisterCounter("pool."+name, p.opts.Metrics).Inc(1)
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Run reads the list, sends heartbeats and checks the connections until ctx ends.
// Then it closes all connections.
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

// Configure stops sending requests to the instances that operators drained.
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
		p.updateLeaving(peer)
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

// Agent returns an agent that this entry is connected to, even if it must not get
// requests.
func (p *Pool) Agent(id string) (entry.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[id]
	return peer, ok
}

// Engines implements entry.EngineLister.
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

// AgentStatus is the status of an agent as siskinctl shows it.
type AgentStatus struct {
	ID      string
	Address string
	Domain  string
	Service string
	State   string
	Load    wire.Load
}

// Snapshot returns the status of the agents that this entry stays connected to,
// sorted by ID.
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

// EachAgent calls fn for every agent that has answered a heartbeat, with its service.
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

// updateLeaving sets whether the peer must not get new requests, because it is
// leaving, gone or drained. p.mu must be held.
func (p *Pool) updateLeaving(peer *peer) {
	m := p.table.Get(peer.id)
	leaving := m == nil || p.drained[peer.id]
	if m != nil {
		state := m.State()
		leaving = leaving || state == membership.Leaving || state == membership.Gone
	}
	peer.shard.setLeaving(peer, leaving)
}

// tickPeers advances the membership table and the peers until ctx ends.
func (p *Pool) tickPeers(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.mu.Lock()
			p.applyChanges(p.table.Tick(now))
			p.mu.Unlock()
			for _, peer := range p.allPeers() {
				peer.tick(now)
			}
		}
	}
}

// heartbeat returns the heartbeat to send to an agent.
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

// handleHeartbeatReply applies an agent's reply to the membership table.
func (p *Pool) handleHeartbeatReply(peer *peer, reply wire.HeartbeatReply) {
	report := membership.SelfReport{
		From:        reply.From,
		Incarnation: reply.Target.Incarnation,
		Uptime:      reply.Target.Uptime,
		Leaving:     reply.Load.Leaving,
	}
	p.mu.Lock()
	p.applyChanges(p.table.ApplyReport(time.Now(), peer.id, report))
	if reply.From != peer.id {
		p.updateConnections()
	} else {
		p.updateLeaving(peer)
	}
	p.mu.Unlock()
	if p.opts.HandleReply != nil {
		p.opts.HandleReply(reply)
	}
}

// markUnresponsive records that an agent answers on no connection.
func (p *Pool) markUnresponsive(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyChanges(p.table.MarkUnresponsive(time.Now(), id))
}
