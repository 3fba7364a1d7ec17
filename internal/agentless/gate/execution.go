package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

// errUnverified reports an answer that carries no signature of the endpoint or whose body an intermediary encoded.
var errUnverified = errors.New("gate: answer is unsigned or was modified in transit")

// attempt is the result of sending a request to one endpoint.
type attempt struct {
	outcome  Outcome // set if complete is
	complete bool    // the whole answer was received
	notRun   bool    // the endpoint certainly did not run the request
	err      error
	sent     time.Time
}

// execution is the state of one request over its attempts.
type execution struct {
	gate    *Gate
	route   *deployment.Route
	request *Request
	service string
	results chan attempt

	tried       []string  // IDs of the endpoints that the request was sent to
	inFlight    int       // attempts without a result so far
	mayHaveRun  bool      // an attempt may have run
	firstSentAt time.Time // when the first attempt was sent; zero: no attempt yet
	ranSentAt   time.Time // when the earliest attempt that certainly ran was sent; zero: none did
	failure     *Outcome  // an endpoint's 5xx answer, returned if no attempt brings a better one
}

// run makes attempts until one brings an answer or no attempt remains.
func (c *execution) run(ctx context.Context) Outcome {
	ctx, cancel := context.WithCancel(ctx) // cancels the other attempts once there is an answer
	defer cancel()
	if !c.start(ctx) {
		return c.gate.refusal(c.service)
	}
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for c.inFlight > 0 {
		select {
		case a := <-c.results:
			c.inFlight--
			if outcome, done := c.handleResult(ctx, a); done {
				return outcome
			}
		case <-hedge.C:
			if c.hedge(ctx) {
				hedge.Reset(max(minHedgeDelay, time.Duration(nextHedgeObjectiveShare*float64(c.route.Objective))))
			}
		case <-ctx.Done():
			return Outcome{End: TimedOut}
		}
	}
	return c.finalOutcome()
}

// finalOutcome returns the outcome of a request whose attempts all ended, none with a final
// outcome. A 5xx answer, if there was one, is passed on.
func (c *execution) finalOutcome() Outcome {
	switch {
	case c.failure != nil:
		return *c.failure
	case c.mayHaveRun:
		return Outcome{End: Unknown}
	default:
		return c.gate.refusal(c.service)
	}
}

// startedAt returns when an endpoint started to run the request, or the zero time if none did.
// If no endpoint answered, but one may have run the request, the endpoint is assumed to have
// started when the first attempt was sent.
func (c *execution) startedAt() time.Time {
	switch {
	case !c.ranSentAt.IsZero():
		return c.ranSentAt
	case c.mayHaveRun || c.inFlight > 0:
		return c.firstSentAt
	default:
		return time.Time{}
	}
}

// handleResult processes the result of an attempt and retries where that is safe. done is
// true if outcome is the final outcome of the request.
func (c *execution) handleResult(ctx context.Context, a attempt) (outcome Outcome, done bool) {
	if a.complete {
		if c.ranSentAt.IsZero() || a.sent.Before(c.ranSentAt) {
			c.ranSentAt = a.sent
		}
		if a.outcome.Status < http.StatusInternalServerError || !c.route.Repeatable() {
			return a.outcome, true
		}
		c.failure = &a.outcome
	}
	if !a.notRun {
		c.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return Outcome{End: TimedOut}, true
	}
	if a.notRun || c.route.Repeatable() && c.gate.spendRetry(c.service) {
		c.gate.retries.Inc(1)
		c.start(ctx)
	}
	return Outcome{}, false
}

// start makes one more attempt and returns whether it did: the route must allow another
// attempt, time must remain and an endpoint must be available.
func (c *execution) start(ctx context.Context) bool {
	if len(c.tried) >= c.route.MaxAttempts {
		return false
	}
	remaining := c.request.remaining(c.route, time.Now())
	if remaining <= 0 {
		return false
	}
	pick := c.gate.pickEndpoint(c.service, c.request, c.tried)
	if pick == nil {
		return false
	}
	c.tried = append(c.tried, pick.ID)
	c.inFlight++
	now := time.Now()
	if c.firstSentAt.IsZero() {
		c.firstSentAt = now
	}
	go func() {
		a := c.gate.attempt(ctx, pick, c.request, remaining)
		a.sent = now
		c.results <- a
	}()
	return true
}

// hedgeDelay returns the delay after which the first hedged attempt is sent: defaultTimeout if the
// route is not repeatable or has no objective.
func (c *execution) hedgeDelay() time.Duration {
	if !c.route.Repeatable() || c.route.Objective <= 0 {
		return defaultTimeout
	}
	return max(minHedgeDelay, time.Duration(hedgeObjectiveShare*float64(c.route.Objective)))
}

// hedge sends the request to one more endpoint while others are pending, and returns whether it did.
func (c *execution) hedge(ctx context.Context) bool {
	if c.inFlight == 0 || !c.gate.Switches.On(mechanism.Hedges) || !c.gate.spendRetry(c.service) {
		return false
	}
	first := c.tried[len(c.tried)-1]
	if !c.start(ctx) {
		return false
	}
	c.gate.hedges.Inc(1)
	events.AttemptHedged.Log(c.gate.log, logrus.Fields{"request": c.request.ID, "slow": first, "second": c.tried[len(c.tried)-1]})
	return true
}

// attempt sends the request to one endpoint and reads the whole answer.
func (g *Gate) attempt(ctx context.Context, pick *directory.Pick, r *Request, remaining time.Duration) attempt {
	start := time.Now()
	a, endpointOutcome := g.exchange(ctx, pick, r, remaining)
	pick.End(time.Now(), endpointOutcome, time.Since(start), 1)
	if !a.complete && endpointOutcome != endpoints.Cancelled {
		g.logFailure(r.ID, pick, a.err, a.notRun)
	}
	return a
}

func (g *Gate) logFailure(request string, pick *directory.Pick, err error, notRun bool) {
	text := "refused"
	if err != nil {
		text = err.Error()
	}
	events.AttemptFailed.Log(g.log, logrus.Fields{"request": request, "endpoint": pick.ID, "address": pick.Address, "not_run": notRun, "error": text})
}

// exchange sends the request to the picked endpoint and classifies its answer.
func (g *Gate) exchange(ctx context.Context, pick *directory.Pick, r *Request, remaining time.Duration) (attempt, endpoints.Outcome) {
	answer, err := g.sender.Send(ctx, &pick.Endpoint, r.endpointRequest(remaining))
	if err != nil {
		return classifyError(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := readBody(answer)
	switch {
	case answer.NotRun || answer.Replaced:
		return attempt{notRun: true}, refusalOutcome(answer)
	case err != nil:
		return classifyError(ctx, &upstream.SendError{Sent: true, Err: err})
	case answer.Encoded || answer.Status < http.StatusMultipleChoices && !answer.Signed:
		return attempt{err: errUnverified}, endpoints.BrokenAnswer
	}
	outcome := Outcome{End: Answered, Status: answer.Status, Header: answer.Header, Body: body}
	return attempt{complete: true, outcome: outcome}, endpoints.Answered
}

// refusalOutcome returns the endpoint outcome of an answer that says that the request did not run.
func refusalOutcome(a *dispatch.Answer) endpoints.Outcome {
	if a.Replaced {
		return endpoints.Replaced
	}
	return endpoints.Refused
}

// classifyError returns the result of an attempt that ended with an error instead of an answer.
func classifyError(ctx context.Context, err error) (attempt, endpoints.Outcome) {
	var send *upstream.SendError
	notRun := errors.As(err, &send) && !send.Sent
	switch {
	case ctx.Err() != nil:
		return attempt{notRun: notRun, err: err}, endpoints.Cancelled
	case notRun:
		return attempt{notRun: true, err: err}, endpoints.Unreachable
	default:
		return attempt{err: err}, endpoints.BrokenAnswer
	}
}
