package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/dutyrun"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/entry/pool"
	"siskinloom.example/siskinloom/internal/feedrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/peers"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/rpcconn"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/tlsconf"
	"siskinloom.example/siskinloom/internal/traffic"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// handOverLimit bounds the hand-over of duties at a planned stop; past it
	// their leases lapse by themselves.
	handOverLimit = 3 * time.Second
	// closeLimit is how much of it calls may wait for their claims to be written;
	// in an outage they cannot be, and the rest is for the duties.
	closeLimit = handOverLimit / 2
)

// entryProcess holds an entry's parts.
type entryProcess struct {
	*process
	ctx     context.Context // of the background work; ends after the callers' side
	store   *kv.Client
	lister  *kv.Lister
	holder  *confstate.State
	keeper  *dutyrun.Keeper
	pool    *pool.Pool
	peers   *peers.Peers
	claims  *entry.Claims
	poison  *entry.PoisonQuarantine
	weights *entry.Weights
	feeds   *feedrun.Feeds
	retries *entry.RetryPolicy
	server  *entry.Server
	heard   *heardAgents

	mu      sync.Mutex
	reach   reach
	pushing map[string]bool // agents that configuration is being brought to
}

// listeners are the addresses that an entry serves on.
type listeners struct {
	inner, grpc net.Listener
}

func (p *process) runEntry(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e, err := p.newEntry(background)
	if err != nil {
		return err
	}
	defer e.close()
	l, err := p.listen()
	if err != nil {
		return err
	}
	var group errgroup.Group
	if err := p.serveObserve(background, &group, e.ready); err != nil {
		return err
	}
	e.startBackground(background, &group, l)
	if e.awaitReady(ctx) {
		err = e.serveCallers(ctx)
	}
	e.leave(background)
	stop()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// awaitReady waits until callers may come; false if ctx ended first.
func (e *entryProcess) awaitReady(ctx context.Context) bool {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !e.ready() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// serveCallers listens only now: a caller that reached an entry which has just
// started would be refused, and a repeat of a non-idempotent request even told
// "unknown"; a connection that is not accepted goes to another entry at once.
func (e *entryProcess) serveCallers(ctx context.Context) error {
	listener, err := tlsconf.ListenCaller(e.settings.TLS, e.settings.HTTP, tlsconf.HTTP1)
	if err != nil {
		return errors.Wrap(err, "daemon: http")
	}
	return e.server.ServeHTTP(ctx, listener)
}

func (p *process) listen() (l listeners, err error) {
	if l.inner, err = p.inner.Listen(p.settings.Inner); err != nil {
		return l, errors.Wrap(err, "daemon: inner")
	}
	l.inner = p.traffic.Listener(traffic.Inner, l.inner)
	if l.grpc, err = tlsconf.ListenCaller(p.settings.TLS, p.settings.GRPC, tlsconf.HTTP2); err != nil {
		return l, errors.Wrap(err, "daemon: grpc")
	}
	return l, nil
}

// countedDial counts the bytes of connections to the platform.
func (p *process) countedDial(use traffic.Use) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithContextDialer(p.traffic.Dial(use, rpcconn.Dial)),
		grpc.WithTransportCredentials(p.platform),
	}
}

func (p *process) newEntry(background context.Context) (*entryProcess, error) {
	e := &entryProcess{process: p, ctx: background, retries: entry.NewRetryPolicy(), heard: &heardAgents{all: map[string]heardAgent{}}, pushing: map[string]bool{}}
	var err error
	if e.store, err = kv.NewClient(kv.Options{Address: p.settings.Platform, Writer: p.settings.ID, CallsPerSec: p.settings.CallsPerSec, Metrics: p.metrics, OnState: p.platformState, Dial: p.countedDial(traffic.KeyValue)}); err != nil {
		return nil, err
	}
	if e.lister, err = kv.NewLister(p.settings.Platform, p.countedDial(traffic.List)...); err != nil {
		return nil, err
	}
	e.peers = peers.New(peers.Options{
		ID: p.settings.ID, Address: p.settings.Inner, Domain: p.settings.FailureDomain,
		Deployment: p.settings.Deployment, HeartbeatInterval: p.settings.HeartbeatInterval,
		Dial:          peers.Dial(p.traffic.Dial(traffic.Peers, p.inner.Dial)),
		ExtendRequest: func(r *wire.HeartbeatRequest) { r.Quarantine = e.poison.List() },
		ExtendReply:   func(r *wire.HeartbeatReply) { r.Quarantine = e.poison.List() },
		OnQuarantine:  func(_ string, q []wire.QuarantineEntry) { e.poison.ApplyHeartbeat(nil, q) },
	})
	e.poison = entry.NewPoisonQuarantine(p.settings.ID, e.peers, p.log)
	e.holder = confstate.New(confstate.Options{
		Deployment: p.settings.Deployment,
		Self:       config.Peer{ID: p.settings.ID, Domain: p.settings.FailureDomain},
		Entry:      true,
		Store:      e.store,
		Fetch:      e.peers.Fetch,
		Log:        p.log,
		Config:     config.DefaultFollowerConfig(),
	})
	e.keeper = dutyrun.New(dutyrun.Options{
		Store:      e.store,
		Deployment: p.settings.Deployment,
		Self:       duties.Member{ID: p.settings.ID, Address: p.settings.Inner, Domain: p.settings.FailureDomain},
		Names:      e.dutyNames,
		Members:    e.peers.Members,
		Log:        p.log,
		Config:     dutiesConfig(),
		Offer:      e.peers.Offer,
		Probe:      e.peers.Probe,
	})
	e.peers.Attach(e.holder, e.keeper)
	e.pool = pool.New(pool.Options{
		Metrics: e.metrics,
		ID:      p.settings.ID, Deployment: p.settings.Deployment, Domain: p.settings.FailureDomain,
		Heartbeat: p.settings.HeartbeatInterval, Lister: e.peers.WrapLister(e.lister), Log: p.log,
		Dial:    p.traffic.Dial(traffic.Agents, p.inner.Dial),
		Request: e.toAgent, Reply: e.agentReplied,
	})
	e.reach.usable = func(service string) bool { return len(e.pool.Engines(service)) > 0 }
	e.wireServer()
	e.holder.OnApply(e.apply)
	return e, nil
}

// dutiesConfig lets weights change hands as soon as their owner is gone: agents
// refuse an older owner's orders, so two at once do no harm.
func dutiesConfig() duties.Config {
	c := duties.DefaultConfig()
	c.EarlyTakeoverPrefixes = []string{weights.DutyPrefix}
	return c
}

func (e *entryProcess) wireServer() {
	e.server = entry.New(e.settings, e.log, e.metrics, entry.Dependencies{
		Config:     e,
		Picker:     e.pool,
		Claimer:    claimer{e},
		Quarantine: e.poison,
		Retries:    e.retries,
		Hedge:      e.retries,
	})
	e.claims = entry.NewClaims(entry.ClaimsOptions{
		Store:      e.store,
		Duties:     e.keeper,
		Peers:      e.peers,
		Dispatch:   e.server.Dispatch,
		Agents:     e.plainAgents,
		Deployment: e.settings.Deployment,
		Instance:   e.settings.ID,
		Log:        e.log,
		Metrics:    e.metrics,
	})
	e.weights = entry.NewWeights(entry.WeightsOptions{
		Store:      e.store,
		Duties:     e.keeper,
		Config:     e,
		Instances:  e.peers.CachedLister(),
		Dial:       rpcpool.DialFunc(e.traffic.Dial(traffic.Agents, e.inner.Dial)),
		Deployment: e.settings.Deployment,
		Log:        e.log,
	})
	e.feeds = feedrun.New(feedrun.Options{
		Instance:  e.settings.ID,
		Store:     e.store,
		Duties:    e.keeper,
		Peers:     e.peers,
		Config:    e.holder,
		Generator: e.server,
		Scorer:    e.server,
		Caches:    e.server,
		Engines:   e.pool,
		Versions:  e.weights,
		Log:       e.log,
		Metrics:   e.metrics,
	})
}

// Current implements entry.Config: no configuration while this process cannot
// prove that the one it holds is current.
func (e *entryProcess) Current() *decl.Deployment {
	if !e.holder.Ready() {
		return nil
	}
	return e.holder.Current()
}

// ready tells whether callers may come: the configuration is proved current and
// its services have endpoints here.
func (e *entryProcess) ready() bool {
	if !e.server.Ready() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.ready(time.Now(), e.Current())
}

// apply puts a configuration in force in the parts that keep their own view.
func (e *entryProcess) apply(d *decl.Deployment, _ int64) {
	e.pool.Configure(*d)
	e.retries.Configure(*d)
}

// plainAgents calls fn for the agents of the services that run claimed requests.
func (e *entryProcess) plainAgents(fn func(entry.Endpoint)) {
	d := e.holder.Current()
	if d == nil {
		return
	}
	plain := map[string]bool{}
	for _, s := range d.Services {
		plain[s.Name] = s.Kind == decl.KindPlain
	}
	e.pool.EachAgent(func(service string, agent entry.Endpoint) {
		if plain[service] {
			fn(agent)
		}
	})
}

// dutyNames lists the duties that exist under the configuration in force.
func (e *entryProcess) dutyNames() []string {
	names := entry.ClaimDuties()
	d := e.holder.Current()
	if d == nil {
		return names
	}
	for _, f := range d.Feeds {
		names = append(names, wire.FeedDuty(d.Name, f.Name))
	}
	return append(names, entry.WeightDuties(d)...)
}

// startBackground starts all but the callers' side.
func (e *entryProcess) startBackground(ctx context.Context, group *errgroup.Group, l listeners) {
	services := map[string]any{
		wire.ClaimService:  e.claims.Server(),
		wire.PoisonService: e.poison.Server(),
		wire.FeedService:   e.feeds.Server(),
		inspectService:     &inspect{e},
	}
	group.Go(func() error { return e.peers.Serve(ctx, l.inner, services) })
	group.Go(func() error { return e.serveGRPC(ctx, l.grpc) })
	group.Go(func() error { return e.peers.Run(ctx) })
	group.Go(func() error { return e.holder.Run(ctx) })
	group.Go(func() error { return e.keeper.Run(ctx) })
	group.Go(func() error { return e.weights.Run(ctx) })
	group.Go(func() error { return e.pool.Run(ctx) })
	group.Go(func() error { return e.feeds.Run(ctx) })
}

// leave hands the duties over after the callers' side has ended, and finishes
// the claimed requests in flight: their results go to the next owner. It stays
// for one heartbeat at least, so that entries whose calls still come here learn
// who the next owner is.
func (e *entryProcess) leave(ctx context.Context) {
	e.peers.Leave()
	e.handOver(ctx)
	stay := time.After(e.settings.HeartbeatInterval)
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopTimeout)
	defer cancel()
	_ = e.claims.Drain(ctx)
	<-stay
}

func (e *entryProcess) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	closing, done := context.WithTimeout(ctx, closeLimit)
	defer done()
	_ = e.claims.Close(closing)
	_ = e.keeper.Stop(ctx)
}

func (e *entryProcess) close() {
	_ = e.store.Close()
	_ = e.lister.Close()
}

// claimer breaks the circle between claims, which dispatch through the server,
// and the server, which claims.
type claimer struct{ e *entryProcess }

// Do implements entry.Claimer.
func (c claimer) Do(ctx context.Context, call wire.Request, class decl.Class, dispatch entry.Dispatch) wire.Answer {
	return c.e.claims.Do(ctx, call, class, dispatch)
}
