// Package gate serves callers' requests: it picks endpoints, retries and hedges requests
// where their route allows it, and reports for each failed request whether it may have run.
package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/payload"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/policy/retry"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

const (
	// defaultTimeout applies to a request if its route has no timeout.
	defaultTimeout = 30 * time.Second
	// hedgeObjectiveShare is the share of the route's latency objective after which a
	// second endpoint is asked. With a larger share the second answer comes too late; with
	// a smaller one, ordinary slow requests double their load.
	hedgeObjectiveShare = 0.4
	// nextHedgeObjectiveShare is the share of the objective between further hedged
	// attempts, if the second endpoint is slow too.
	nextHedgeObjectiveShare = 0.25
	// minHedgeDelay is a lower bound of the hedge delays, so that a route with a tiny
	// objective doesn't hedge every request.
	minHedgeDelay = 30 * time.Millisecond
	// retryRatio is the number of retries allowed per request to a service. A higher ratio
	// would add load just when an overloaded service has no capacity to spare.
	retryRatio = 0.2
	// retriesPerSecond is the rate of retries allowed in addition, so that a process with
	// few requests can retry one that hits a slow endpoint: from the ratio alone it earns
	// one retry per five requests. The rate is small compared to what one endpoint serves.
	retriesPerSecond = 0.5
	// minRetryAfter and retryAfterJitter give the delay after which a refused caller
	// should retry. By then another process, or an endpoint that was full, can serve the
	// request. The jitter keeps callers that were refused together from retrying together.
	minRetryAfter    = 50 * time.Millisecond
	retryAfterJitter = 100 * time.Millisecond
	// notReadyRetryAfter is the delay while this process has no declaration from the store,
	// or may lack the newest one.
	notReadyRetryAfter = 300 * time.Millisecond
)

// Request is a caller's request.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query
	Path        string
	Host        string
	Header      http.Header // passed on to the endpoint
	Body        payload.Body
	Arrived     time.Time
	Timeout     time.Duration // how long the caller waits; 0: unknown
	Model       string        // empty: any endpoint of the service may serve it
	ResumeAfter int64         // ID of the event after which a stream resumes; 0: from its start

	Customer string // customer on whose behalf it is sent; empty: none
	Priority int    // of the customer or else the route; 0 is the highest
}

// fingerprint returns a hash of the request's content. It is the same for each time that a
// caller sends the request again, and for each service that a route may send it to.
func (r *Request) fingerprint() uint64 {
	return poison.FingerprintSegments(r.Body.Segments(), r.Method, r.Host, r.Target)
}

// End says how a request ended.
type End int

// The ends of a request. Each implies whether the caller may safely repeat the request.
const (
	Answered     End = iota // an endpoint answered
	NoRoute                 // no route matches; it did not run
	NotReady                // this process doesn't know the declaration in force; it did not run
	Unauthorized            // it carries no customer's key; it did not run
	Refused                 // it did not run and will not run later
	Unknown                 // it may have run
	TimedOut                // its timeout passed; it may have run
	Cancelled               // the caller closed the request
	Interrupted             // the answer was cut off after its headers were sent
	Quarantined             // it did not run, as endpoints ended under requests with its content
)

// Outcome is what is sent to the caller.
type Outcome struct {
	End        End
	RetryAfter time.Duration // with Refused, NotReady and Quarantined: delay before the caller should retry
	Reason     string        // with Refused by a queue: why
	Status     int           // with Answered
	Header     http.Header
	Body       []byte

	answers *answerLease // memory of Body; nil: none
}

// Release returns the memory of the body. It must be called once the body has been written or is not
// needed.
func (o *Outcome) Release() {
	if o.answers != nil {
		o.answers.release()
	}
}

// Gate serves requests. It is safe for concurrent use.
type Gate struct {
	Switches   *mechanism.Switches    // set before first use; may be nil
	Quarantine *quarantine.Quarantine // refuses requests under which endpoints end; nil: none is refused
	Usage      *usagerun.Counter      // counts the requests that endpoints started to run; nil: not counted
	// Confirm returns whether the declaration in force in this process is known to be the newest one
	// of a moment that lies no longer back than a declaration may take to be in force. It may ask the
	// store. nil: always.
	Confirm func(context.Context) bool
	// DeclarationAge returns how long ago the declaration in force in this process was known to be
	// the newest one, for the log; nil: not known.
	DeclarationAge func() time.Duration
	// Reclaim closes the connection of a caller that does not take its answer, and returns false if there
	// is none; nil: there is never one.
	Reclaim func() bool
	Shares  Shares // limits this process's requests to each service; nil: only by what it learns itself

	answers   answerMemory
	directory *directory.Directory
	sender    dispatch.Sender
	log       *logrus.Logger
	latency   metrics.Timer
	ends      [Quarantined + 1]metrics.Counter
	hedges    metrics.Counter
	retries   metrics.Counter
	registry  metrics.Registry

	queuesMu sync.RWMutex
	queues   map[string]*serviceQueue // by service; in use where customers are declared
	leaveBy  time.Time                // end of the process; zero: not known

	mu        sync.Mutex
	budget    *retry.Budget
	lastGrant map[string]time.Time // time of the last grant of retries by service
}

// New returns a gate that sends requests to the directory's endpoints.
func New(d *directory.Directory, s dispatch.Sender, log *logrus.Logger, registry metrics.Registry) *Gate {
	g := &Gate{
		directory: d, sender: s, log: log, registry: registry, queues: map[string]*serviceQueue{}, budget: retry.NewBudget(), lastGrant: map[string]time.Time{},
		latency: metrics.GetOrRegisterTimer("gate.request", registry),
		hedges:  metrics.GetOrRegisterCounter("gate.hedges", registry),
		retries: metrics.GetOrRegisterCounter("gate.retries", registry),
	}
	for end, name := range endNames {
		g.ends[end] = metrics.GetOrRegisterCounter("gate.end."+name, registry)
	}
	return g
}

// endNames are the names of the ends in metrics and logs. The published names of Cancelled
// and Interrupted are "left" and "broken-off".
var endNames = [...]string{"answered", "no-route", "not-ready", "unauthorized", "refused", "unknown", "timed-out", "left", "broken-off", "quarantined"}

// Table returns the routes of the declaration in force, or nil while this process knows
// none. A request is served by one table from its arrival to its end.
func (g *Gate) Table() *routes.Table { return g.directory.Table() }

// timeoutOf returns the timeout of a route's requests.
func timeoutOf(route *deployment.Route) time.Duration {
	if route.Timeout <= 0 {
		return defaultTimeout
	}
	return route.Timeout
}

// Deadline returns the time until which a request on a route may be served that arrived at the given
// time and whose caller waits for timeout; 0: not known.
func Deadline(route *deployment.Route, arrived time.Time, timeout time.Duration) time.Time {
	limit := timeoutOf(route)
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	return arrived.Add(limit)
}

// remaining returns the time until the deadline of the request.
func (r *Request) remaining(route *deployment.Route, now time.Time) time.Duration {
	return Deadline(route, r.Arrived, r.Timeout).Sub(now)
}

// Serve serves a request whose answer is buffered and passed on as a whole.
func (g *Gate) Serve(ctx context.Context, route *deployment.Route, r *Request) Outcome {
	usage := g.Usage.Enter(r.Customer)
	defer usage.Leave()
	remaining := r.remaining(route, time.Now())
	limited, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	e := g.newExecution(route, r)
	e.results = make(chan attempt, route.MaxAttempts)
	e.earnRetries()
	outcome, quarantined := e.quarantineOutcome()
	if !quarantined {
		outcome = e.run(limited)
	}
	if started := e.startedAt(); !started.IsZero() {
		usage.CountStart(started)
	}
	if ctx.Err() != nil && (outcome.End == TimedOut || outcome.End == Refused && e.queue != nil) {
		outcome = Outcome{End: Cancelled}
	}
	g.logOutcome(route, r, e, outcome)
	return outcome.holding(e.answers)
}

// holding returns o with the memory of its body, which is released at once if it has none.
func (o Outcome) holding(answers *answerLease) Outcome {
	if o.End != Answered {
		answers.release()
		return o
	}
	o.answers = answers
	return o
}

// earnRetries adds to the retry budget of a service for one request and for the time since
// the last one.
func (g *Gate) earnRetries(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetRatio(service, retryRatio)
	g.budget.Earn(service)
	now := time.Now()
	if last, found := g.lastGrant[service]; found {
		g.budget.Grant(service, retriesPerSecond*now.Sub(last).Seconds())
	}
	g.lastGrant[service] = now
}

// spendRetry takes a retry from the budget of a service and returns whether there was one.
func (g *Gate) spendRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Spend(service)
}

// logOutcome logs and counts the end of a request.
func (g *Gate) logOutcome(route *deployment.Route, r *Request, e *execution, o Outcome) {
	g.ends[o.End].Inc(1)
	if o.End == Answered {
		g.latency.UpdateSince(r.Arrived)
	}
	event := events.RequestAnswered
	switch o.End {
	case Answered:
	case Cancelled:
		event = events.RequestCancelled
	case NoRoute, NotReady, Unauthorized, Refused, Quarantined:
		event = events.RequestRefused
	default:
		event = events.RequestUnknown
	}
	fields := logrus.Fields{
		"request": r.ID, "route": route.Name, "service": e.service, "end": endNames[o.End], "status": o.Status,
		"tried": e.allTried(), "ms": time.Since(r.Arrived).Milliseconds(), "retry_after_ms": o.RetryAfter.Milliseconds(),
	}
	if event == events.RequestUnknown || o.End == Quarantined {
		fields["fingerprint"] = poison.FormatFingerprint(e.fingerprint)
	}
	if o.Reason != "" {
		fields["reason"], fields["customer"] = o.Reason, r.Customer
	}
	if e.returns > 0 {
		fields["returns"] = e.returns
	}
	event.Log(g.log, fields)
}

// LogMalformed logs a request that is answered as malformed, or as larger than the operator
// allows.
func (g *Gate) LogMalformed(id string, status int, why string) {
	events.RequestMalformed.Log(g.log, logrus.Fields{"request": id, "status": status, "error": why})
}

// ConfirmedTable returns the routes in force once they are known to be recent enough to deny a
// request, or nil if that is not known. A process without recent contact to the store may lack the
// newest routes and keys, and a caller takes a denial as final. It gets NotReadyOutcome instead, and
// its retry can reach an up-to-date process.
func (g *Gate) ConfirmedTable(ctx context.Context) *routes.Table {
	if g.Confirm != nil && !g.Confirm(ctx) {
		return nil
	}
	return g.directory.Table()
}

// LogRejected logs and counts a request that ends before it is served: end is NoRoute, NotReady
// or Unauthorized.
func (g *Gate) LogRejected(id, host, path string, end End) {
	g.ends[end].Inc(1)
	version := int64(0)
	if table := g.directory.Table(); table != nil {
		version = table.Declaration.Version
	}
	fields := logrus.Fields{"request": id, "host": host, "path": path, "end": endNames[end], "declaration": version}
	if g.DeclarationAge != nil {
		fields["declaration_age_ms"] = g.DeclarationAge().Milliseconds()
	}
	events.RequestRefused.Log(g.log, fields)
}

// refusal returns the outcome of a request that certainly did not run. The caller should
// retry once an endpoint of the service may be tried again.
func (g *Gate) refusal(service string) Outcome {
	wait := minRetryAfter + rand.N(retryAfterJitter)
	if soonest := g.directory.TimeUntilAvailable(service, time.Now()); soonest > wait {
		wait = soonest
	}
	return Outcome{End: Refused, RetryAfter: wait}
}

// NotReadyOutcome returns the outcome while this process knows no declaration, or may lack the
// newest one.
func NotReadyOutcome() Outcome { return Outcome{End: NotReady, RetryAfter: notReadyRetryAfter} }

// pickEndpoint picks an endpoint for the next attempt, or returns nil if none is available.
func (g *Gate) pickEndpoint(service string, r *Request, tried, only []string) *directory.Pick {
	return g.directory.Pick(service, endpoints.Request{Now: time.Now(), Tried: tried, Only: only, Model: r.Model})
}

// endpointRequest returns the request as it is sent to an endpoint.
func (r *Request) endpointRequest(remaining time.Duration) *dispatch.Request {
	return &dispatch.Request{
		ID: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body,
		Timeout: remaining, ResumeAfter: r.ResumeAfter, Urgency: -1, Customer: r.Customer,
	}
}

// promisesNotRun returns whether a status tells a caller that its request has not run and never
// will. An endpoint may use such a status for a request that it ran; only Answer.NotRun is certain.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
