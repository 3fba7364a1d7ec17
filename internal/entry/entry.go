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
	"siskinloom.example/siskinloom/internal/intake"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// maxBodyBytes is the largest request body of any service; a service may
	// declare a smaller one.
	maxBodyBytes = 8 << 20
	// readTimeout limits how long a request may take to arrive.
	readTimeout = time.Minute
	// shutdownDelay is how long a stopping entry still accepts new connections, so
	// that the load balancer sees it unready before connections are refused.
	shutdownDelay = time.Second
)

// Endpoint is one endpoint, which the entry reaches through its agent.
type Endpoint interface {
	// ID returns the instance ID of the endpoint's agent.
	ID() string
	// Target returns the agent process that answers now. A request with this
	// target is refused by any other process.
	Target() wire.Target
	// Call calls a method of the agent on the existing connection. ErrNotSent
	// means that the agent certainly never received the call.
	Call(ctx context.Context, method string, args, reply any) error
	// CallFresh calls a method on a new connection, for use when the existing one
	// does not answer.
	CallFresh(ctx context.Context, method string, args, reply any) error
}

// ErrNotSent is returned by an Endpoint if no connection could be established.
var ErrNotSent = errors.New("entry: call was not sent")

// ErrGone is an ErrNotSent returned if nothing listens at the agent's address:
// the process has ended, and its record of earlier requests is lost.
var ErrGone = errors.WithMessage(ErrNotSent, "entry: the agent is gone")

// Picker chooses endpoints.
type Picker interface {
	// Pick chooses an endpoint of the service, or returns false if there is none.
	// business is the business that the request belongs to: in a fair queue a
	// request waits behind the other requests of its business. prefix is a hash of
	// the start of the prompt, for cache affinity. exclude lists the endpoints that
	// the request has already been sent to.
	Pick(service, business string, prefix uint64, exclude []string) (Endpoint, bool)
	// Find returns the endpoint of an agent, or false if it must not get requests.
	Find(id string) (Endpoint, bool)
}

// Config provides the configuration in force.
type Config interface {
	// Current returns the configuration in force, or nil until one is known.
	Current() *decl.Deployment
}

// Quarantine limits where requests that may crash their endpoints can run.
type Quarantine interface {
	// Blocked reports whether the request must not run at any endpoint.
	Blocked(service string, fingerprint uint64) bool
	// StartCopy admits one copy of the request to an endpoint. If admitted is true,
	// EndCopy must be called; otherwise refusal is the answer to the request.
	StartCopy(ctx context.Context, c RequestCopy) (a Admission, refusal wire.Answer, admitted bool)
	// ReportCrash records a crash while the request ran. It must be called before
	// EndCopy.
	ReportCrash(s wire.Suspicion)
	// EndCopy ends a copy that was admitted to the endpoint.
	EndCopy(c RequestCopy, endpoint string, answered bool)
}

// RequestCopy is a copy of a request that is to run at an endpoint.
type RequestCopy struct {
	Service     string
	Fingerprint uint64
	Endpoint    string               // preferred endpoint
	Hedge       bool                 // runs at another endpoint than the first copy, if allowed
	Rollout     bool                 // placed by the rollout scheduler; other copies need not run at the same endpoint
	Usable      func(id string) bool // whether another endpoint may get requests

	waited time.Duration // time since StartCopy was called
}

// Admission is where and how an admitted copy must run.
type Admission struct {
	Endpoint string // where to run; may differ from RequestCopy.Endpoint
	Alone    bool   // with no other request beside it, since it may crash the endpoint
}

// RetryBudget limits the retries of each business to a ratio of its requests.
type RetryBudget interface {
	Earn(business string)
	Spend(business string) bool
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Config      Config
	Picker      Picker
	Claimer     Claimer
	Quarantine  Quarantine
	RetryBudget RetryBudget
	Hedger      Hedger
}

// Hedger decides when to hedge an idempotent request with a second attempt.
type Hedger interface {
	// Delay returns how long to wait for the first attempt before hedging. 0 means
	// that requests of the class are not hedged.
	Delay(class string) time.Duration
	// Observe records the latency of an answered attempt.
	Observe(class string, latency time.Duration)
}

// Server is the HTTP server for callers.
type Server struct {
	settings settings.Settings
	log      *logrus.Logger
	metrics  metrics.Registry
	deps     Dependencies
	http     *fasthttp.Server
	leaving  atomic.Bool
	active   atomic.Int64                // requests in progress
	callers  atomic.Pointer[callerIndex] // index of the deployment that was in force at the last request
}

// New returns a server that serves callers once ServeHTTP is called.
func New(s settings.Settings, log *logrus.Logger, registry metrics.Registry, deps Dependencies) *Server {
	e := &Server{settings: s, log: log, metrics: registry, deps: deps}
	e.http = &fasthttp.Server{
		Handler:               e.handle,
		ErrorHandler:          e.badRequest,
		Name:                  "siskinloom",
		ConnState:             intake.FastConnState,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		// The library reads no more of a body than is not counted; readBody reads the rest.
		StreamRequestBody:            true,
		MaxRequestBodySize:           intake.FreeBodyBytes,
		DisablePreParseMultipartForm: true,
		IdleTimeout:                  5 * time.Minute,
		CloseOnShutdown:              true,
	}
	return e
}

// Ready reports whether the entry accepts callers' requests: it has a
// configuration and is not stopping.
func (e *Server) Ready() bool {
	return !e.leaving.Load() && e.deps.Config.Current() != nil
}

// Leaving reports whether a graceful stop has begun.
func (e *Server) Leaving() bool {
	return e.leaving.Load()
}

// ServeHTTP serves callers on the listener until ctx ends. It then waits for the
// requests in flight, for at most the stop timeout.
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
