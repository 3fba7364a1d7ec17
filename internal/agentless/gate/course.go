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

// errSpoiled marks an answer that is not the endpoint's whole answer.
var errSpoiled = errors.New("gate: answer is unsigned or was changed on its way")

// attempt is one send to one endpoint and what came of it.
type attempt struct {
	outcome Outcome // with whole
	whole   bool
	notRun  bool
	err     error
	sent    time.Time
}

// course is a request on its way through attempts.
type course struct {
	gate    *Gate
	route   *deployment.Route
	request *Request
	service string
	ended   chan attempt

	tried   []string // endpoints that the request was sent to
	flying  int
	mayRun  bool      // an attempt may have run
	sent    time.Time // of the first attempt; zero: there was none
	ran     time.Time // when the first attempt that certainly ran was sent; zero: none did
	failure *Outcome  // an endpoint's own failure, the answer if nothing better comes
}

// run makes attempts until one brings an answer or none is left.
func (c *course) run(ctx context.Context) Outcome {
	ctx, cancel := context.WithCancel(ctx) // ends what still runs once there is an answer
	defer cancel()
	if !c.start(ctx) {
		return c.gate.refusal(c.service)
	}
	hedge := time.NewTimer(c.hedgeAfter())
	defer hedge.Stop()
	for c.flying > 0 {
		select {
		case a := <-c.ended:
			c.flying--
			if outcome, done := c.take(ctx, a); done {
				return outcome
			}
		case <-hedge.C:
			if c.hedge(ctx) {
				hedge.Reset(max(shortestHedge, time.Duration(hedgeAgainShare*float64(c.route.Objective))))
			}
		case <-ctx.Done():
			return Outcome{End: TimedOut}
		}
	}
	return c.last()
}

func (c *course) last() Outcome {
	switch {
	case c.failure != nil:
		return *c.failure
	case c.mayRun:
		return Outcome{End: Unknown}
	default:
		return c.gate.refusal(c.service)
	}
}

// began returns when an endpoint began to run the request, zero if none did. Where none
// answered, one that was sent the request is taken to have begun at once.
func (c *course) began() time.Time {
	switch {
	case !c.ran.IsZero():
		return c.ran
	case c.mayRun || c.flying > 0:
		return c.sent
	default:
		return time.Time{}
	}
}

// take weighs an ended attempt; done is true if outcome is the answer.
func (c *course) take(ctx context.Context, a attempt) (outcome Outcome, done bool) {
	if a.whole {
		if c.ran.IsZero() || a.sent.Before(c.ran) {
			c.ran = a.sent
		}
		if a.outcome.Status < http.StatusInternalServerError || !c.route.Repeatable() {
			return a.outcome, true
		}
		c.failure = &a.outcome
	}
	if !a.notRun {
		c.mayRun = true
	}
	if ctx.Err() != nil {
		return Outcome{End: TimedOut}, true
	}
	if a.notRun || c.route.Repeatable() && c.gate.spend(c.service) {
		c.gate.retries.Inc(1)
		c.start(ctx)
	}
	return Outcome{}, false
}

// start makes one more attempt, if the route allows one and an endpoint is
// there for it.
func (c *course) start(ctx context.Context) bool {
	if len(c.tried) >= c.route.MaxAttempts {
		return false
	}
	left := c.request.left(c.route, time.Now())
	if left <= 0 {
		return false
	}
	pick := c.gate.pickFor(c.service, c.request, c.tried)
	if pick == nil {
		return false
	}
	c.tried = append(c.tried, pick.ID)
	c.flying++
	now := time.Now()
	if c.sent.IsZero() {
		c.sent = now
	}
	go func() {
		a := c.gate.attempt(ctx, pick, c.request, left)
		a.sent = now
		c.ended <- a
	}()
	return true
}

func (c *course) hedgeAfter() time.Duration {
	if !c.route.Repeatable() || c.route.Objective <= 0 {
		return defaultWait
	}
	return max(shortestHedge, time.Duration(hedgeShare*float64(c.route.Objective)))
}

// hedge asks one more endpoint and tells whether it did.
func (c *course) hedge(ctx context.Context) bool {
	if c.flying == 0 || !c.gate.Switches.On(mechanism.Hedges) || !c.gate.spend(c.service) {
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
func (g *Gate) attempt(ctx context.Context, pick *directory.Pick, r *Request, left time.Duration) attempt {
	began := time.Now()
	a, how := g.exchange(ctx, pick, r, left)
	pick.End(time.Now(), how, time.Since(began), 1)
	if !a.whole && how != endpoints.Cancelled {
		g.noteFailure(r.ID, pick, a.err, a.notRun)
	}
	return a
}

func (g *Gate) noteFailure(request string, pick *directory.Pick, err error, notRun bool) {
	text := "refused"
	if err != nil {
		text = err.Error()
	}
	events.AttemptFailed.Log(g.log, logrus.Fields{"request": request, "endpoint": pick.ID, "address": pick.Address, "not_run": notRun, "error": text})
}

func (g *Gate) exchange(ctx context.Context, pick *directory.Pick, r *Request, left time.Duration) (attempt, endpoints.Outcome) {
	answer, err := g.sender.Send(ctx, &pick.Endpoint, r.toEndpoint(left))
	if err != nil {
		return failed(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := readWhole(answer)
	switch {
	case answer.NotRun || answer.Replaced:
		return attempt{notRun: true}, refusedHow(answer)
	case err != nil:
		return failed(ctx, &upstream.SendError{Sent: true, Err: err})
	case answer.Encoded || answer.Status < http.StatusMultipleChoices && !answer.Signed:
		return attempt{err: errSpoiled}, endpoints.BrokenAnswer
	}
	outcome := Outcome{End: Answered, Status: answer.Status, Header: answer.Header, Body: body}
	return attempt{whole: true, outcome: outcome}, endpoints.Answered
}

func refusedHow(a *dispatch.Answer) endpoints.Outcome {
	if a.Replaced {
		return endpoints.Replaced
	}
	return endpoints.Refused
}

// failed weighs an attempt without an answer.
func failed(ctx context.Context, err error) (attempt, endpoints.Outcome) {
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
