// Package agent is the runtime of the process beside one endpoint. The agent is
// the only way to its endpoint: requests queue here, orders pass here, and what
// became of a request is asked here.
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
	evictEvery = 5 * time.Second
	probeEvery = time.Second
	// probesToDown is how many probes in a row must fail before the endpoint is
	// told as down; a single lost probe must not empty a failure domain.
	probesToDown = 2
	// linger keeps the inner protocol up after the last request of a graceful
	// stop, so that readers of a stream fetch its end.
	linger = time.Second
	// listedFor outlasts the longest pause between two entries' reads of the
	// list and the heartbeats that repeat it.
	listedFor  = 2 * time.Minute
	drainCheck = 50 * time.Millisecond
)

// Agent serves one endpoint.
type Agent struct {
	settings    settings.Settings
	log         *logrus.Logger
	metrics     metrics.Registry
	incarnation string
	started     time.Time

	endpoint *endpoint
	requests *requestTable
	claims   *claimTable
	queue    *Queue
	fences   *fences
	crashes  *crashes
	orders   *OrderHandler
	caches   *caches
	conf     *confstate.Holder
	inner    *tlsconf.Inner
	traffic  *traffic.Meter
	innerErr error        // of reading the files of inner; Run returns it
	leaving  atomic.Bool  // a graceful stop has begun
	listedAt atomic.Int64 // agent uptime at which an entry last told that the list says it leaves; 0: never
	down     atomic.Bool
	version  atomic.Int64 // weight version that the endpoint reported last
	role     atomic.Value // string: the engine's role as last reported

}

// New prepares an agent; Run serves.
func New(s settings.Settings, log *logrus.Logger, registry metrics.Registry) *Agent {
	a := &Agent{
		settings:    s,
		log:         log,
		metrics:     registry,
		incarnation: ulid.Make().String(),
		started:     time.Now(),
		endpoint:    newEndpoint(s.Endpoint),
		requests:    newRequestTable(),
		claims:      newClaimTable(),
		queue:       NewQueue(s.Service, registry),
		fences:      newFences(),
		crashes:     newCrashes(s.ID),
	}
	a.traffic = traffic.NewMeter(registry)
	a.inner, a.innerErr = tlsconf.NewInner(s.TLS)
	a.caches = newCaches(a.endpoint, a.inner.Dial)
	a.orders = NewOrderHandler(OrderHandlerOptions{
		Incarnation: a.incarnation,
		Endpoint:    s.Endpoint,
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

// Configure puts a deployment's declaration in force for the requests queueing
// here.
func (a *Agent) Configure(d decl.Deployment) { a.queue.Configure(d) }

func (a *Agent) uptime() time.Duration {
	return time.Since(a.started)
}

// Ready tells whether the agent takes new requests.
func (a *Agent) Ready() bool {
	return !a.isLeaving() && !a.down.Load()
}

// isLeaving tells whether the agent takes no new requests, by its own stop or
// because the platform's list says it leaves. The list may be wrong: unless
// entries repeat its word, it is forgotten.
func (a *Agent) isLeaving() bool {
	told := time.Duration(a.listedAt.Load())
	return a.leaving.Load() || (told > 0 && a.uptime()-told < listedFor)
}

// Run serves until ctx ends, then stops gracefully: it announces that it
// leaves, refuses new requests, and ends once those in flight have finished or
// the stop timeout has passed.
func (a *Agent) Run(ctx context.Context) error {
	if a.innerErr != nil {
		return errors.Wrap(a.innerErr, "agent")
	}
	listener, err := a.inner.Listen(a.settings.Inner)
	if err != nil {
		return errors.Wrap(err, "agent")
	}
	return a.Serve(ctx, a.traffic.Listener(traffic.Inner, listener))
}

// Serve is Run on a listener of the caller's.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(wire.AgentService, &rpcServer{a}); err != nil {
		return errors.Wrap(err, "agent")
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return a.accept(background, listener, server) })
	group.Go(func() error { return every(background, evictEvery, func() { a.evict(a.uptime()) }) })
	group.Go(func() error { return a.probe(background) })
	group.Go(func() error { return a.orders.ServeWeights(background) })
	group.Go(func() error { return a.conf.Run(background) })
	events.AgentServing.Log(a.log, logrus.Fields{"inner": listener.Addr().String(), "endpoint": a.settings.Endpoint})
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

// drain refuses new requests and waits for those in flight.
func (a *Agent) drain() {
	a.leaving.Store(true)
	a.queue.Drain()
	events.AgentLeaving.Log(a.log, logrus.Fields{"running": a.requests.running()})
	end := time.Now().Add(a.settings.StopTimeout)
	for a.requests.running() > 0 && time.Now().Before(end) {
		time.Sleep(drainCheck)
	}
	time.Sleep(linger)
}

// probe watches the endpoint's health and weight version.
func (a *Agent) probe(ctx context.Context) error {
	failed := 0
	return every(ctx, probeEvery, func() {
		if a.endpoint.alive() {
			failed = 0
		} else {
			failed++
		}
		a.setDown(failed >= probesToDown)
		if ctx.Err() != nil {
			return // a stopping process need not wait for a slow endpoint
		}
		asked := time.Now()
		if load, err := a.endpoint.load(); err == nil {
			a.version.Store(load.WeightVersion)
			a.role.Store(load.Role)
			a.orders.RecordReport(load, asked)
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
	event.Log(a.log, logrus.Fields{"endpoint": a.settings.Endpoint})
}

// load is what rides on every reply.
func (a *Agent) load() wire.Load {
	load := a.queue.Load()
	load.QueuedSeconds += a.orders.RemainingLoadTime().Seconds()
	load.WeightVersion = a.version.Load()
	load.Leaving = a.isLeaving()
	load.Down = a.down.Load()
	return load
}

// every calls fn at once and then in intervals until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func()) error {
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
