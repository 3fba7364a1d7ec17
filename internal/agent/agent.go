// Package agent is the runtime of the process beside one endpoint. The agent is
// the only client of its endpoint: it queues requests, passes on weight orders,
// and reports the outcome of requests.
package agent

import (
	"context"
	"net"
	"net/rpc"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/tlsconf"
	"siskinloom.example/siskinloom/internal/traffic"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	evictInterval = 5 * time.Second
	probeInterval = time.Second
	// probeFailureThreshold is how many consecutive probes must fail before the
	// endpoint is reported as down. A single lost probe must not empty a
	// failure domain.
	probeFailureThreshold = 2
	// shutdownDelay is how long a graceful stop keeps the inner protocol up
	// after the last request, so that readers of a stream can fetch its end.
	shutdownDelay = time.Second
	// listedLeavingTTL is how long a heartbeat's statement that the list says
	// this agent leaves stays in force. It is longer than the longest interval
	// between the reads of the list by two entries, plus the interval of the
	// heartbeats with which they repeat the statement.
	listedLeavingTTL  = 2 * time.Minute
	drainPollInterval = 50 * time.Millisecond
)

// Agent serves one endpoint.
type Agent struct {
	settings    settings.Settings
	log         *logrus.Logger
	metrics     metrics.Registry
	incarnation string
	started     time.Time

	endpoint        *endpointClient
	requests        *requestTable
	claims          *claimTable
	queue           *Queue
	fences          *fenceTable
	crashes         *crashTracker
	orders          *OrderHandler
	cacheTransfers  *cacheTransfers
	conf            *confstate.State
	inner           *tlsconf.Inner
	traffic         *traffic.Meter
	innerErr        error        // from loading the certificate files of inner; returned by Run
	leaving         atomic.Bool  // a graceful stop has started
	listedLeavingAt atomic.Int64 // agent uptime of the last heartbeat which said that the list says this agent leaves; 0: never
	down            atomic.Bool
	version         atomic.Int64 // weight version last reported by the endpoint
	role            atomic.Value // string: the engine's role as last reported

}

// New returns an agent for the endpoint of the settings. Run serves it.
func New(s settings.Settings, log *logrus.Logger, registry metrics.Registry) *Agent {
	a := &Agent{
		settings:    s,
		log:         log,
		metrics:     registry,
		incarnation: ulid.Make().String(),
		started:     time.Now(),
		endpoint:    newEndpointClient(s.EndpointAddress),
		requests:    newRequestTable(),
		claims:      newClaimTable(),
		queue:       NewQueue(s.Service, registry),
		fences:      newFenceTable(),
		crashes:     newCrashTracker(s.ID),
	}
	a.traffic = traffic.NewMeter(registry)
	a.inner, a.innerErr = tlsconf.NewInner(s.TLS)
	a.cacheTransfers = newCacheTransfers(a.endpoint, a.inner.Dial)
	a.orders = NewOrderHandler(OrderHandlerOptions{
		Incarnation: a.incarnation,
		Endpoint:    s.EndpointAddress,
		Store:       weightStore(s),
		DataDir:     s.DataDir,
		Dial:        a.inner.Dial,
		Log:         log,
		Metrics:     registry,
	})
	a.conf = confstate.New(confstate.Options{
		Deployment: s.Deployment,
		Self:       config.Peer{ID: s.ID, Domain: s.FailureDomain},
		Log:        log,
		Config:     config.DefaultFollowerConfig(),
	})
	a.conf.OnApply(func(d *decl.Deployment, _ int64) { a.Configure(*d) })
	return a
}

// Configure applies a deployment's declaration to the request queue.
func (a *Agent) Configure(d decl.Deployment) { a.queue.Configure(d) }

func (a *Agent) uptime() time.Duration {
	return time.Since(a.started)
}

// Ready reports whether the agent accepts new requests.
func (a *Agent) Ready() bool {
	return !a.isLeaving() && !a.down.Load()
}

// isLeaving reports whether the agent refuses new requests, either because of
// its own stop or because the platform's list says that it leaves. The list may
// be wrong, so the statement expires after listedLeavingTTL unless entries
// repeat it.
func (a *Agent) isLeaving() bool {
	lastListed := time.Duration(a.listedLeavingAt.Load())
	return a.leaving.Load() || (lastListed > 0 && a.uptime()-lastListed < listedLeavingTTL)
}

// Run serves until ctx is done and then stops gracefully: it announces that it
// leaves, refuses new requests, and returns once the requests in flight have
// finished or the stop timeout has passed.
func (a *Agent) Run(ctx context.Context) error {
	if a.innerErr != nil {
		return errors.Wrap(a.innerErr, "agent")
	}
	listener, err := a.inner.Listen(a.settings.InnerAddress)
	if err != nil {
		return errors.Wrap(err, "agent")
	}
	return a.Serve(ctx, a.traffic.Listener(traffic.Inner, listener))
}

// Serve is Run on the given listener.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(wire.AgentService, &rpcServer{a}); err != nil {
		return errors.Wrap(err, "agent")
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return a.accept(background, listener, server) })
	group.Go(func() error { return runPeriodically(background, evictInterval, func() { a.evict(a.uptime()) }) })
	group.Go(func() error { return a.probe(background) })
	group.Go(func() error { return a.orders.ServeWeights(background) })
	group.Go(func() error { return a.conf.Run(background) })
	events.AgentServing.Log(a.log, logrus.Fields{"inner": listener.Addr().String(), "endpoint": a.settings.EndpointAddress})
	<-ctx.Done()
	a.drain()
	stop()
	_ = listener.Close()
	return group.Wait()
}

func (a *Agent) accept(ctx context.Context, listener net.Listener, server *rpc.Server) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "agent")
		}
		go server.ServeConn(conn)
	}
}

// drain refuses new requests and waits for those in flight, at most for the
// stop timeout.
func (a *Agent) drain() {
	a.leaving.Store(true)
	a.queue.Drain()
	events.AgentLeaving.Log(a.log, logrus.Fields{"running": a.requests.running()})
	end := time.Now().Add(a.settings.StopTimeout)
	for a.requests.running() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	time.Sleep(shutdownDelay)
}

// probe polls the endpoint's health, weight version and role.
func (a *Agent) probe(ctx context.Context) error {
	failed := 0
	return runPeriodically(ctx, probeInterval, func() {
		if a.endpoint.alive() {
			failed = 0
		} else {
			failed++
		}
		a.setDown(failed >= probeFailureThreshold)
		if ctx.Err() != nil {
			return // a stopping process doesn't wait for a slow endpoint
		}
		sentAt := time.Now()
		if load, err := a.endpoint.load(); err == nil {
			a.version.Store(load.WeightVersion)
			a.role.Store(load.Role)
			a.orders.RecordReport(load, sentAt)
		}
	})
}

func (a *Agent) setDown(down bool) {
	if a.down.Swap(down) == down {
		return
	}
	event := events.EndpointUp
	if down {
		event = events.EndpointDown
	}
	event.Log(a.log, logrus.Fields{"endpoint": a.settings.EndpointAddress})
}

// load returns the load that is sent with every reply.
func (a *Agent) load() wire.Load {
	load := a.queue.Load()
	load.QueuedSeconds += a.orders.RemainingLoadTime().Seconds()
	load.WeightVersion = a.version.Load()
	load.Leaving = a.isLeaving()
	load.Down = a.down.Load()
	return load
}

// runPeriodically calls fn immediately and then once per interval until ctx is
// done.
func runPeriodically(ctx context.Context, interval time.Duration, fn func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func itoa(n int64) string {
	return strconv.FormatInt(n, 10)
}
