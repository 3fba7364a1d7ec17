// Package gate serves callers' requests: it finds the route, chooses endpoints,
// repeats what may be repeated and says truthfully of what failed whether it
// may have run.
package gate

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/retry"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

const (
	// defaultWait bounds a request whose caller and route name no time.
	defaultWait = 30 * time.Second
	// hedgeShare of the objective passes before a second endpoint is asked: later,
	// the second answer would come too late; earlier, ordinary slow requests
	// double their load.
	hedgeShare = 0.4
	// hedgeAgainShare of the objective passes before one more is asked, where the
	// second is as slow.
	hedgeAgainShare = 0.25
	// shortestHedge keeps hedges off routes with a tiny objective.
	shortestHedge = 30 * time.Millisecond
	// retryShare of a route's requests may be sent a second time. More would add
	// load just when an overloaded service has none to spare.
	retryShare = 0.2
	// retriesASecond may be sent besides, so that a process with a request now and
	// then can repeat one that met a slow endpoint: from the share alone it earns a
	// retry with every fifth request. Small beside what one endpoint serves.
	retriesASecond = 0.5
	// firstReturn and returnSpread give the time after which a refused caller
	// should come back, spread so that those refused together do not return
	// together. Another process, or an endpoint that was full, can serve it by then.
	firstReturn  = 50 * time.Millisecond
	returnSpread = 100 * time.Millisecond
	// noDeclarationReturn is for a process that has not heard from the store yet.
	noDeclarationReturn = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 64 << 20
)

// Request is a caller's request.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query
	Path        string
	Host        string
	Header      http.Header // to be passed on
	Body        []byte
	Arrived     time.Time
	Timeout     time.Duration // how long the caller waits; 0: not said
	Model       string        // empty: no model is needed
	ResumeAfter int64         // a stream goes on after this event

	Customer string // on whose behalf; empty: nobody's
}

// End is how a request ended.
type End int

// The ends. Each tells whether the request may be repeated safely.
const (
	Answered     End = iota // with an endpoint's answer
	NoRoute                 // no route allows it
	NotReady                // this process does not know the declaration in force; it did not run
	Unauthorized            // it bears no key of a customer
	Refused                 // it did not run and never will
	Unknown                 // it may have run
	TimedOut                // its time is over; it may have run
	Cancelled               // the caller left
	Interrupted             // the answer broke off after it began
)

// Outcome is what the caller is told.
type Outcome struct {
	End        End
	RetryAfter time.Duration // with Refused and NotReady: when to come back
	Status     int           // with Answered
	Header     http.Header
	Body       []byte
}

// Gate is safe for concurrent use.
type Gate struct {
	Switches *mechanism.Switches // set before first use; may be nil
	Usage    *usagerun.Counter   // counts what endpoints began to run; nil: nothing does
	// Current tells whether the declaration in force here may be the newest; nil: always.
	Current func() bool

	directory *directory.Directory
	sender    dispatch.Sender
	log       *logrus.Logger
	latency   metrics.Timer
	ends      [Interrupted + 1]metrics.Counter
	hedges    metrics.Counter
	retries   metrics.Counter

	mu     sync.Mutex
	budget *retry.Budget
	earned map[string]time.Time // last grant by service
}

// New returns a gate.
func New(d *directory.Directory, s dispatch.Sender, log *logrus.Logger, registry metrics.Registry) *Gate {
	g := &Gate{
		directory: d, sender: s, log: log, budget: retry.NewBudget(), earned: map[string]time.Time{},
		latency: metrics.GetOrRegisterTimer("gate.request", registry),
		hedges:  metrics.GetOrRegisterCounter("gate.hedges", registry),
		retries: metrics.GetOrRegisterCounter("gate.retries", registry),
	}
	for end, name := range endNames {
		g.ends[end] = metrics.GetOrRegisterCounter("gate.end."+name, registry)
	}
	return g
}

var endNames = [...]string{"answered", "no-route", "not-ready", "unauthorized", "refused", "unknown", "timed-out", "left", "broken-off"}

// Table returns the declaration in force by which a request is served from its
// arrival to its end, nil while this process knows none.
func (g *Gate) Table() *routes.Table { return g.directory.Table() }

// left returns how long an answer is still of use.
func (r *Request) left(route *deployment.Route, now time.Time) time.Duration {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultWait
	}
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return limit - now.Sub(r.Arrived)
}

// Serve serves a request whose answer is passed on as a whole.
func (g *Gate) Serve(ctx context.Context, route *deployment.Route, r *Request) Outcome {
	counted := g.Usage.Enter(r.Customer)
	defer counted.Leave()
	left := r.left(route, time.Now())
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	c := &course{gate: g, route: route, request: r, service: routes.SelectService(route, r.ID), ended: make(chan attempt, route.MaxAttempts)}
	g.earn(c.service)
	outcome := c.run(limited)
	if began := c.began(); !began.IsZero() {
		counted.CountStart(began)
	}
	if outcome.End == TimedOut && ctx.Err() != nil {
		outcome = Outcome{End: Cancelled}
	}
	g.note(route, r, c, outcome)
	return outcome
}

func (g *Gate) earn(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetRatio(service, retryShare)
	g.budget.Earn(service)
	now := time.Now()
	if last, found := g.earned[service]; found {
		g.budget.Grant(service, retriesASecond*now.Sub(last).Seconds())
	}
	g.earned[service] = now
}

func (g *Gate) spend(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Spend(service)
}

func (g *Gate) note(route *deployment.Route, r *Request, c *course, o Outcome) {
	g.ends[o.End].Inc(1)
	if o.End == Answered {
		g.latency.UpdateSince(r.Arrived)
	}
	event := events.RequestAnswered
	switch o.End {
	case Answered:
	case Cancelled:
		event = events.RequestLeft
	case NoRoute, NotReady, Unauthorized, Refused:
		event = events.RequestRefused
	default:
		event = events.RequestUnknown
	}
	event.Log(g.log, logrus.Fields{
		"request": r.ID, "route": route.Name, "service": c.service, "end": endNames[o.End], "status": o.Status,
		"tried": c.tried, "ms": time.Since(r.Arrived).Milliseconds(), "retry_after_ms": o.RetryAfter.Milliseconds(),
	})
}

// LogMalformed logs a request that is answered as malformed, or as larger than the
// operator allows.
func (g *Gate) LogMalformed(id string, status int, why string) {
	events.RequestBad.Log(g.log, logrus.Fields{"request": id, "status": status, "error": why})
}

// Deny returns the outcome of a request that the declaration in force here does not
// allow: End is NoRoute or Unauthorized. A process that has not heard from the store
// lately may lack the newest routes and keys. Its caller would take the denial as final;
// told to come back, it reaches a process that knows.
func (g *Gate) Deny(end End) Outcome {
	if g.Current != nil && !g.Current() {
		return NotReadyOutcome()
	}
	return Outcome{End: end}
}

// LogRejected logs a request that ends before it is served: End is NoRoute, NotReady or
// Unauthorized.
func (g *Gate) LogRejected(id, host, path string, end End) {
	g.ends[end].Inc(1)
	version := int64(0)
	if table := g.directory.Table(); table != nil {
		version = table.Declaration.Version
	}
	events.RequestRefused.Log(g.log, logrus.Fields{"request": id, "host": host, "path": path, "end": endNames[end], "declaration": version})
}

// refusal returns the outcome of a request that certainly did not run.
func (g *Gate) refusal(service string) Outcome {
	wait := firstReturn + rand.N(returnSpread)
	if soonest := g.directory.TimeUntilAvailable(service, time.Now()); soonest > wait {
		wait = soonest
	}
	return Outcome{End: Refused, RetryAfter: wait}
}

// NotReadyOutcome returns the outcome while this process knows no declaration, or not the newest.
func NotReadyOutcome() Outcome { return Outcome{End: NotReady, RetryAfter: noDeclarationReturn} }

// pickFor chooses an endpoint for the next attempt.
func (g *Gate) pickFor(service string, r *Request, tried []string) *directory.Pick {
	return g.directory.Pick(service, endpoints.Request{Now: time.Now(), Tried: tried, Model: r.Model})
}

func (r *Request) toEndpoint(left time.Duration) *dispatch.Request {
	return &dispatch.Request{
		ID: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body,
		Timeout: left, ResumeAfter: r.ResumeAfter, Urgency: -1, Customer: r.Customer,
	}
}

func readWhole(a *dispatch.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return body, nil
}
