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
	// dutyReleaseTimeout limits how long a planned stop waits for duties to be handed
	// over. After it their leases expire.
	dutyReleaseTimeout = 3 * time.Second
	// claimsCloseTimeout is the part of dutyReleaseTimeout in which calls may wait
	// until their claims are written. Claims cannot be written during an outage; the
	// rest of the time is for releasing the duties.
	claimsCloseTimeout = dutyReleaseTimeout / 2
)

// entryProcess holds the components of an entry.
type entryProcess struct {
	*process
	ctx         context.Context // context of the background work; ends after the server for callers has stopped
	store       *kv.Client
	lister      *kv.Lister
	configState *confstate.State
	keeper      *dutyrun.Keeper
	pool        *pool.Pool
	peers       *peers.Peers
	claims      *entry.Claims
	poison      *entry.PoisonQuarantine
	weights     *entry.Weights
	feeds       *feedrun.Feeds
	retries     *entry.RetryPolicy
	server      *entry.Server
	reports     *agentReports

	mu        sync.Mutex
	readiness endpointReadiness
	pushing   map[string]bool // IDs of the agents that a configuration is being sent to
}

// listeners are an entry's listeners for other processes, and for operators and
// trainers.
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
	if err := p.serveMetrics(background, &group, e.ready); err != nil {
		return err
	}
	e.startBackground(background, &group, l)
	if e.awaitReady(ctx) {
		err = e.serveCallers(ctx)
	}
	e.shutDown(background)
	stop()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// awaitReady blocks until the entry is ready to serve callers. It returns false if
// ctx ended first.
func (e *entryProcess) awaitReady(ctx context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
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

// serveCallers serves callers until ctx ends. It opens the listener only once the
// entry is ready. An entry that has just started would refuse requests, and would
// answer the repeat of a non-idempotent request with "unknown", whereas a caller
// whose connection is not accepted tries another entry at once.
func (e *entryProcess) serveCallers(ctx context.Context) error {
	listener, err := tlsconf.ListenCaller(e.settings.TLS, e.settings.HTTPAddress, tlsconf.HTTP1, e.intake.Listen)
	if err != nil {
		return errors.Wrap(err, "daemon: http")
	}
	return e.server.ServeHTTP(ctx, listener)
}

// listen opens the listeners of an entry, except the one for callers.
func (p *process) listen() (l listeners, err error) {
	if l.inner, err = p.inner.Listen(p.settings.InnerAddress); err != nil {
		return l, errors.Wrap(err, "daemon: inner")
	}
	l.inner = p.traffic.Listener(traffic.Inner, l.inner)
	if l.grpc, err = tlsconf.ListenCaller(p.settings.TLS, p.settings.GRPCAddress, tlsconf.HTTP2, p.calls.Listen); err != nil {
		return l, errors.Wrap(err, "daemon: grpc")
	}
	return l, nil
}

// platformDialOptions returns options for connections to the platform that count
// the transferred bytes.
func (p *process) platformDialOptions(use traffic.Use) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithContextDialer(p.traffic.Dial(use, rpcconn.Dial)),
		grpc.WithTransportCredentials(p.platformCreds),
	}
}

// newEntry creates the components of an entry. The context background ends after the
// server for callers has stopped.
func (p *process) newEntry(background context.Context) (*entryProcess, error) {
	e := &entryProcess{process: p, ctx: background, retries: entry.NewRetryPolicy(), reports: &agentReports{all: map[string]agentReport{}}, pushing: map[string]bool{}}
	var err error
	if e.store, err = kv.NewClient(kv.Options{Address: p.settings.PlatformAddress, Writer: p.settings.ID, CallsPerSec: p.settings.CallsPerSec, Metrics: p.metrics, OnState: p.logPlatformState, Dial: p.platformDialOptions(traffic.KeyValue)}); err != nil {
		return nil, err
	}
	if e.lister, err = kv.NewLister(p.settings.PlatformAddress, p.platformDialOptions(traffic.InstanceList)...); err != nil {
		return nil, err
	}
	e.peers = peers.New(peers.Options{
		ID: p.settings.ID, Address: p.settings.InnerAddress, Domain: p.settings.FailureDomain,
		Deployment: p.settings.Deployment, HeartbeatInterval: p.settings.HeartbeatInterval,
		Dial:          peers.Dial(p.traffic.Dial(traffic.Peers, p.inner.Dial)),
		ExtendRequest: func(r *wire.HeartbeatRequest) { r.Quarantine = e.poison.List() },
		ExtendReply:   func(r *wire.HeartbeatReply) { r.Quarantine = e.poison.List() },
		OnQuarantine:  func(_ string, q []wire.QuarantineEntry) { e.poison.ApplyHeartbeat(nil, q) },
	})
	e.poison = entry.NewPoisonQuarantine(p.settings.ID, e.peers, p.log)
	e.configState = confstate.New(confstate.Options{
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
		Self:       duties.Member{ID: p.settings.ID, Address: p.settings.InnerAddress, Domain: p.settings.FailureDomain},
		Names:      e.dutyNames,
		Members:    e.peers.Members,
		Log:        p.log,
		Config:     dutiesConfig(),
		Offer:      e.peers.Offer,
		Probe:      e.peers.Probe,
	})
	e.peers.Attach(e.configState, e.keeper)
	e.pool = pool.New(pool.Options{
		Metrics: e.metrics,
		ID:      p.settings.ID, Deployment: p.settings.Deployment, Domain: p.settings.FailureDomain,
		HeartbeatInterval: p.settings.HeartbeatInterval, Lister: e.peers.WrapLister(e.lister), Log: p.log,
		Dial:        p.traffic.Dial(traffic.Agents, p.inner.Dial),
		FillRequest: e.fillAgentRequest, HandleReply: e.handleAgentReply,
	})
	e.readiness.hasEngine = func(service string) bool { return len(e.pool.Engines(service)) > 0 }
	e.newServer()
	e.configState.OnApply(e.apply)
	return e, nil
}

// dutiesConfig allows an early takeover of weight duties once their holder is
// unreachable. This is safe because agents reject orders with an outdated fencing
// token, so two holders at the same time do no harm.
func dutiesConfig() duties.Config {
	c := duties.DefaultConfig()
	c.EarlyTakeoverPrefixes = []string{weights.DutyPrefix}
	return c
}

// newServer creates the server for callers and the components that call it or that
// it calls.
func (e *entryProcess) newServer() {
	e.server = entry.New(e.settings, e.log, e.metrics, entry.Dependencies{
		Config:      e,
		Picker:      e.pool,
		Claimer:     claimer{e},
		Quarantine:  e.poison,
		RetryBudget: e.retries,
		Hedger:      e.retries,
	})
	e.claims = entry.NewClaims(entry.ClaimsOptions{
		Store:      e.store,
		Duties:     e.keeper,
		Peers:      e.peers,
		Dispatch:   e.server.Dispatch,
		Agents:     e.eachPlainAgent,
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
		Config:    e.configState,
		Generator: e.server,
		Scorer:    e.server,
		Caches:    e.server,
		Engines:   e.pool,
		Versions:  e.weights,
		Log:       e.log,
		Metrics:   e.metrics,
	})
}

// Current implements entry.Config. It returns nil while this process cannot prove
// that its configuration is current.
func (e *entryProcess) Current() *decl.Deployment {
	if !e.configState.Ready() {
		return nil
	}
	return e.configState.Current()
}

// ready reports whether the entry can serve callers: its configuration is proven to
// be current, and it has endpoints of the declared services or has waited for them
// long enough.
func (e *entryProcess) ready() bool {
	if !e.server.Ready() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readiness.ready(time.Now(), e.Current())
}

// apply passes a new configuration to the components that keep values derived from
// it.
func (e *entryProcess) apply(d *decl.Deployment, _ int64) {
	e.pool.Configure(*d)
	e.retries.Configure(*d)
}

// eachPlainAgent calls fn for each agent of a plain service. Only plain services
// run claimed requests.
func (e *entryProcess) eachPlainAgent(fn func(entry.Endpoint)) {
	d := e.configState.Current()
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

// dutyNames returns the names of the duties that exist in the current configuration.
func (e *entryProcess) dutyNames() []string {
	names := entry.ClaimDuties()
	d := e.configState.Current()
	if d == nil {
		return names
	}
	for _, f := range d.Feeds {
		names = append(names, wire.FeedDuty(d.Name, f.Name))
	}
	return append(names, entry.WeightDuties(d)...)
}

// startBackground starts all components but the server for callers.
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
	group.Go(func() error { return e.configState.Run(ctx) })
	group.Go(func() error { return e.keeper.Run(ctx) })
	group.Go(func() error { return e.weights.Run(ctx) })
	group.Go(func() error { return e.pool.Run(ctx) })
	group.Go(func() error { return e.feeds.Run(ctx) })
}

// shutDown hands over the duties after the server for callers has stopped, and
// finishes the claimed requests in flight, whose results go to the next owner. It
// takes at least one heartbeat interval, so that entries that still call this one
// learn the next owner.
func (e *entryProcess) shutDown(ctx context.Context) {
	e.peers.Leave()
	e.releaseDuties(ctx)
	minimumWait := time.After(e.settings.HeartbeatInterval)
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopTimeout)
	defer cancel()
	_ = e.claims.Drain(ctx)
	<-minimumWait
}

// releaseDuties closes the claims and releases the duties.
func (e *entryProcess) releaseDuties(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, dutyReleaseTimeout)
	defer cancel()
	closeCtx, cancelClose := context.WithTimeout(ctx, claimsCloseTimeout)
	defer cancelClose()
	_ = e.claims.Close(closeCtx)
	_ = e.keeper.Stop(ctx)
}

func (e *entryProcess) close() {
	_ = e.store.Close()
	_ = e.lister.Close()
}

// claimer implements entry.Claimer with the claims that are created after the
// server. It breaks the dependency cycle between the server, which claims requests,
// and the claims, which dispatch requests through the server.
type claimer struct{ e *entryProcess }

// Do implements entry.Claimer.
func (c claimer) Do(ctx context.Context, call wire.Request, class decl.Class, dispatch entry.Dispatch) wire.Answer {
	return c.e.claims.Do(ctx, call, class, dispatch)
}
