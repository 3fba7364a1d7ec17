package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// maxBodyBytes is the largest request body of any service; a service may
	// declare a smaller one.
	maxBodyBytes = 8 << 20
	// shutdownDelay is how long a stopping entry still answers new connections,
	// so that the balancer sees it unready before it refuses.
	shutdownDelay = time.Second
)

// Endpoint is one endpoint as the entry reaches it, through its agent.
type Endpoint interface {
	// ID is the instance id of the endpoint's agent.
	ID() string
	// Target pins the requests sent next to the agent process that answers now.
	Target() wire.Target
	// Call calls a method of the agent on the standing connection. ErrNotSent
	// means that the agent certainly never saw the call.
	Call(ctx context.Context, method string, args, reply any) error
	// CallFresh calls on a new connection, for when the standing one is silent.
	CallFresh(ctx context.Context, method string, args, reply any) error
}

// ErrNotSent is returned by an Endpoint whose connection could not be made.
var ErrNotSent = errors.New("entry: call was not sent")

// ErrGone is the ErrNotSent of an address where nobody listens: the agent's
// process is gone, and with it what it remembered of earlier requests.
var ErrGone = errors.WithMessage(ErrNotSent, "entry: the agent is gone")

// Picker chooses endpoints. Business is whose request it is: behind a fair
// queue a request waits for its own business's others. Prefix is a hash of the prompt's beginning, for
// cache affinity; exclude lists endpoints that this request tried already.
type Picker interface {
	Pick(service, business string, prefix uint64, exclude []string) (Endpoint, bool)
	// Find returns the endpoint of an agent, unless it may not be given work.
	Find(id string) (Endpoint, bool)
}

// Config gives the configuration in force; nil until one is known.
type Config interface {
	Current() *decl.Deployment
}

// Quarantine knows the requests that crash their endpoints.
type Quarantine interface {
	// Blocked tells whether no endpoint may run the request.
	Blocked(service string, fingerprint uint64) bool
	// StartCopy admits one copy of the request to an endpoint; Leave must follow.
	// With admitted false, refusal tells why.
	StartCopy(ctx context.Context, v RequestCopy) (a Admission, refusal wire.Answer, admitted bool)
	// ReportCrash notes a crash while the request ran; it comes before Leave.
	ReportCrash(s wire.Suspicion)
	// EndCopy ends a copy that was admitted to the endpoint.
	EndCopy(v RequestCopy, endpoint string, answered bool)
}

// RequestCopy is a copy of a request that wants to run at an endpoint.
type RequestCopy struct {
	Service     string
	Fingerprint uint64
	Endpoint    string               // where it wants to run
	Hedge       bool                 // apart from the copy that runs, if it may
	Rollout     bool                 // placed by the rollout scheduler, which others do not follow
	Usable      func(id string) bool // tells whether another endpoint may be given work

	waited time.Duration // since it wanted to enter
}

// Admission tells how a copy has to run.
type Admission struct {
	Endpoint string // where; not always where it wanted to
	Alone    bool   // with nothing beside it, since it may crash the endpoint
}

// RetryBudget keeps retries a share of each business's requests.
type RetryBudget interface {
	Earn(business string)
	Spend(business string) bool
}

// Dependencies are what an entry's callers' side is made of.
type Dependencies struct {
	Config     Config
	Picker     Picker
	Claimer    Claimer
	Quarantine Quarantine
	Retries    RetryBudget
	Hedge      Hedger
}

// Hedger tells when a second attempt of an idempotent request is worth it.
type Hedger interface {
	// Delay is how long to wait for the first attempt; 0 means never hedge.
	Delay(class string) time.Duration
	// Observe notes an answered attempt's latency.
	Observe(class string, latency time.Duration)
}

// Server serves callers.
type Server struct {
	settings settings.Settings
	log      *logrus.Logger
	metrics  metrics.Registry
	deps     Dependencies
	http     *fasthttp.Server
	leaving  atomic.Bool
	active   atomic.Int64                // callers' requests being served
	callers  atomic.Pointer[callerIndex] // of the deployment in force when one was last asked for
}

// New prepares an entry's callers' side.
func New(s settings.Settings, log *logrus.Logger, registry metrics.Registry, deps Dependencies) *Server {
	e := &Server{settings: s, log: log, metrics: registry, deps: deps}
	e.http = &fasthttp.Server{
		Handler:               e.handle,
		ErrorHandler:          e.badRequest,
		Name:                  "siskinloom",
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		ReadTimeout:           time.Minute,
		IdleTimeout:           5 * time.Minute,
		CloseOnShutdown:       true,
	}
	return e
}

// Ready tells whether the entry takes callers: it holds a configuration and is
// not leaving.
func (e *Server) Ready() bool {
	return !e.leaving.Load() && e.deps.Config.Current() != nil
}

// Leaving tells whether a graceful stop has begun.
func (e *Server) Leaving() bool {
	return e.leaving.Load()
}

// ServeHTTP serves callers on the listener until ctx ends, then finishes the
// requests in flight within the stop timeout.
func (e *Server) ServeHTTP(ctx context.Context, listener net.Listener) error {
	var group errgroup.Group
	group.Go(func() error { return e.http.Serve(listener) })
	events.EntryServing.Log(e.log, logrus.Fields{"http": listener.Addr().String()})
	<-ctx.Done()
	e.leaving.Store(true)
	events.EntryLeaving.Log(e.log, logrus.Fields{"active": e.active.Load()})
	time.Sleep(shutdownDelay)
	stopCtx, cancel := context.WithTimeout(context.Background(), e.settings.StopTimeout)
	defer cancel()
	if err := e.http.ShutdownWithContext(stopCtx); err != nil {
		return errors.Wrap(err, "entry: graceful stop")
	}
	return group.Wait()
}
