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
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

// Errors of answers that are not passed on.
var (
	// errUnverified reports an answer that carries no signature of the endpoint or whose body an
	// intermediary encoded.
	errUnverified = errors.New("gate: answer is unsigned or was modified in transit")
	// errTooLarge reports an answer that is longer than maxAnswerBytes.
	errTooLarge = errors.New("gate: answer is longer than the process holds in memory")
	// errUnproven reports a status which promises that the request has not run, of an endpoint that
	// does not state it.
	errUnproven = errors.New("gate: endpoint refuses the request but does not state that it has not run")
)

// attempt is the result of sending a request to one endpoint.
type attempt struct {
	outcome  Outcome // set if complete is
	complete bool    // the whole answer was received
	notRun   bool    // the endpoint certainly did not run the request
	final    bool    // no further attempt would bring another answer
	full     string  // ID of the endpoint, if it refused the request as full
	err      error
	sent     time.Time // when the request was sent
}

// execution is the state of one request over its attempts.
type execution struct {
	gate    *Gate
	route   *deployment.Route
	request *Request
	service string
	results chan attempt
	answers *answerLease // memory of the answers that the attempts read

	fingerprint uint64        // of the request's content
	heldBack    time.Duration // delay that the quarantine asks for, if it didn't admit the last attempt

	tried       []string  // IDs of the endpoints that the request was sent to
	inFlight    int       // attempts without a result so far
	mayHaveRun  bool      // an attempt may have run
	firstSentAt time.Time // when the first attempt was sent; zero: no attempt yet
	ranSentAt   time.Time // when the earliest attempt that certainly ran was sent; zero: none did
	failure     *Outcome  // an endpoint's 5xx answer, returned if no attempt brings a better one

	queue   *serviceQueue     // nil: the request is sent without waiting for a slot
	waiting *waiter           // the request in the queue, or nil
	full    []string          // endpoints of tried that refused the request as full
	sent    []string          // endpoints that the request was sent to before it last returned to the queue
	returns int               // how often it returned
	unspent int               // retries taken from the customer's budget for attempts that were not sent
	refused *admission.Action // refusal by the queue, or nil
}

// newExecution returns the execution of a request that was not sent yet.
func (g *Gate) newExecution(route *deployment.Route, r *Request) *execution {
	service := routes.SelectService(route, r.ID)
	return &execution{gate: g, route: route, request: r, service: service, answers: g.newAnswerLease(), fingerprint: r.fingerprint(), queue: g.queueFor(service)}
}

// quarantineOutcome returns the outcome of a request that is quarantined, and whether it is.
func (e *execution) quarantineOutcome() (o Outcome, quarantined bool) {
	until := e.gate.Quarantine.BlockedUntil(e.fingerprint)
	if until.IsZero() {
		return Outcome{}, false
	}
	return Outcome{End: Quarantined, RetryAfter: time.Until(until)}, true
}

// run makes attempts until one brings an answer or no attempt remains.
func (e *execution) run(ctx context.Context) Outcome {
	ctx, cancel := context.WithCancel(ctx) // cancels the other attempts once there is an answer
	defer cancel()
	defer e.refundRetries()
	defer e.leaveQueue()
	if !e.requestAttempt(ctx) {
		return e.finalOutcome()
	}
	hedge := time.NewTimer(e.hedgeDelay())
	defer hedge.Stop()
	for e.pending() {
		select {
		case a := <-e.results:
			e.inFlight--
			if outcome, done := e.handleResult(ctx, a); done {
				return outcome
			}
		case <-hedge.C:
			if e.hedge(ctx) {
				hedge.Reset(max(minHedgeDelay, time.Duration(nextHedgeObjectiveShare*float64(e.route.Objective))))
			}
		case <-e.turn():
			if len(e.results) > 0 {
				continue // an answer makes the waiting attempt needless
			}
			e.takeTurn(ctx, hedge)
		case <-ctx.Done():
			if e.neverRan() {
				e.leaveQueue()
				return e.finalOutcome()
			}
			return Outcome{End: TimedOut}
		}
	}
	return e.finalOutcome()
}

// finalOutcome returns the outcome of a request whose attempts all ended, none with a final
// outcome. A 5xx answer, if there was one, is passed on.
func (e *execution) finalOutcome() Outcome {
	switch {
	case e.failure != nil:
		return *e.failure
	case e.mayHaveRun:
		return Outcome{End: Unknown}
	case e.refused != nil:
		return queueRefusal(e.refused)
	case e.expiredUnsent():
		return queueRefusal(e.queue.refuseExpired(e.request.Customer))
	default:
		return e.refusal()
	}
}

// refusal returns the outcome of a request that certainly did not run.
func (e *execution) refusal() Outcome {
	if e.heldBack > 0 {
		return Outcome{End: Quarantined, RetryAfter: e.heldBack}
	}
	return e.gate.refusal(e.service)
}

// admit asks the quarantine whether and where one more attempt may be made.
func (e *execution) admit(ctx context.Context) *quarantine.Admission {
	a := e.gate.Quarantine.AdmitSettled(ctx, quarantine.Copy{Fingerprint: e.fingerprint, Service: e.service, Model: e.request.Model, Tried: e.tried, InFlight: e.inFlight})
	e.heldBack = a.RetryAfter
	return a
}

// startedAt returns when an endpoint started to run the request, or the zero time if none did.
// If no endpoint answered, but one may have run the request, the endpoint is assumed to have
// started when the first attempt was sent.
func (e *execution) startedAt() time.Time {
	switch {
	case !e.ranSentAt.IsZero():
		return e.ranSentAt
	case e.mayHaveRun || e.inFlight > 0:
		return e.firstSentAt
	default:
		return time.Time{}
	}
}

// handleResult processes the result of an attempt and retries where that is safe. done is
// true if outcome is the final outcome of the request.
func (e *execution) handleResult(ctx context.Context, a attempt) (outcome Outcome, done bool) {
	if a.complete {
		e.gate.Quarantine.Answered(e.fingerprint)
		if e.ranSentAt.IsZero() || a.sent.Before(e.ranSentAt) {
			e.ranSentAt = a.sent
		}
		if a.outcome.Status < http.StatusInternalServerError || !e.route.Repeatable() {
			return a.outcome, true
		}
		e.failure = &a.outcome
	}
	if !a.notRun {
		e.mayHaveRun = true
	}
	if a.final {
		return Outcome{End: Unknown}, true
	}
	if ctx.Err() != nil {
		if e.neverRan() {
			return e.finalOutcome(), true
		}
		return Outcome{End: TimedOut}, true
	}
	if a.full != "" {
		e.noteFull(a.full)
	}
	if e.waiting != nil && e.waiting.claim.extra && e.neverRan() {
		e.leaveQueue() // its hedge waits behind all first attempts, but no attempt was sent
	}
	if a.notRun || e.route.Repeatable() && e.spendRetry() {
		e.gate.retries.Inc(1)
		if !e.requestAttempt(ctx) {
			e.returnToQueue(ctx)
		}
	}
	return Outcome{}, false
}

// start makes one more attempt and returns whether it did: the route must allow another
// attempt, time must remain and an endpoint must be available. The slot g is returned when the
// attempt ends; if none is made, it remains with the caller.
func (e *execution) start(ctx context.Context, g grant) bool {
	if len(e.tried) >= e.route.MaxAttempts {
		return false
	}
	remaining := e.request.remaining(e.route, time.Now())
	if remaining <= 0 {
		return false
	}
	verdict := e.admit(ctx)
	if !verdict.Admitted {
		return false
	}
	pick := e.gate.pickEndpoint(e.service, e.request, e.excluded(), verdict.Only)
	if pick == nil {
		verdict.Ended()
		return false
	}
	verdict.Started(pick.ID)
	e.tried = append(e.tried, pick.ID)
	e.inFlight++
	now := time.Now()
	if e.firstSentAt.IsZero() {
		e.firstSentAt = now
	}
	go func() {
		a := e.attempt(ctx, pick, remaining)
		verdict.Ended()
		a.sent = now
		// The result precedes the slot: a hedge that waits for a slot must not be sent with that of
		// the attempt that brought the answer.
		e.results <- a
		g.end(time.Now(), a.result())
	}()
	e.unspent = max(0, e.unspent-1)
	return true
}

// hedgeDelay returns the delay after which the first hedged attempt is sent. If the route is not
// repeatable or has no objective, it is defaultTimeout, which only a request with a longer
// timeout reaches.
func (e *execution) hedgeDelay() time.Duration {
	if !e.route.Repeatable() || e.route.Objective <= 0 {
		return defaultTimeout
	}
	return max(minHedgeDelay, time.Duration(hedgeObjectiveShare*float64(e.route.Objective)))
}

// hedge sends the request to one more endpoint while other attempts are pending, and returns
// whether it did.
func (e *execution) hedge(ctx context.Context) bool {
	if !e.route.Repeatable() || e.inFlight == 0 || e.waiting != nil || !e.gate.Switches.On(mechanism.Hedges) || !e.spendRetry() {
		return false
	}
	first := e.lastTried()
	if !e.requestAttempt(ctx) {
		return false
	}
	if e.waiting == nil {
		e.logHedge(first)
	}
	return true
}

// logHedge counts and logs a hedged attempt. first is the endpoint that is slow to answer.
func (e *execution) logHedge(first string) {
	e.gate.hedges.Inc(1)
	events.AttemptHedged.Log(e.gate.log, logrus.Fields{"request": e.request.ID, "slow": first, "second": e.lastTried()})
}

// attempt sends the request to one endpoint and reads the whole answer.
func (e *execution) attempt(ctx context.Context, pick *directory.Pick, remaining time.Duration) attempt {
	start := time.Now()
	a, endpointOutcome := e.gate.exchange(ctx, pick, e.request, e.answers, e.route.Repeatable(), remaining)
	pick.End(time.Now(), endpointOutcome, time.Since(start), 1)
	if !a.complete && endpointOutcome != endpoints.Cancelled {
		e.logFailure(pick, a)
	}
	e.reportLoss(pick, a, endpointOutcome)
	return a
}

// reportLoss tells the quarantine of an attempt at which the endpoint may have ended.
func (e *execution) reportLoss(pick *directory.Pick, a attempt, outcome endpoints.Outcome) {
	switch {
	case outcome == endpoints.Replaced:
		e.gate.Quarantine.EndpointReplaced(&pick.Endpoint)
	case outcome == endpoints.BrokenAnswer && !a.notRun && !a.complete:
		e.gate.Quarantine.ConnectionLost(e.quarantineRequest(), &pick.Endpoint)
	}
}

// quarantineRequest describes the request for the quarantine.
func (e *execution) quarantineRequest() quarantine.Request {
	r := e.request
	return quarantine.Request{ID: r.ID, Fingerprint: e.fingerprint, Method: r.Method, Host: r.Host, Path: r.Path}
}

// logFailure logs an attempt without an answer. The fingerprint tells whether requests that end
// with their endpoints have the same content. Endpoints that are full refuse a request every few
// milliseconds until it is served; after its first return to the queue, only the line of its
// outcome counts them.
func (e *execution) logFailure(pick *directory.Pick, a attempt) {
	if a.full != "" && e.returns > 0 {
		return
	}
	text := "refused"
	if a.err != nil {
		text = a.err.Error()
	}
	fields := logrus.Fields{"request": e.request.ID, "endpoint": pick.ID, "address": pick.Address, "not_run": a.notRun, "error": text}
	if !a.notRun {
		fields["fingerprint"] = poison.FormatFingerprint(e.fingerprint)
	}
	events.AttemptFailed.Log(e.gate.log, fields)
}

// exchange sends the request to the picked endpoint and classifies its answer. repeatable says
// whether the request may run more than once.
func (g *Gate) exchange(ctx context.Context, pick *directory.Pick, r *Request, answers *answerLease, repeatable bool, remaining time.Duration) (attempt, endpoints.Outcome) {
	answer, err := g.sender.Send(ctx, &pick.Endpoint, r.endpointRequest(remaining))
	if err != nil {
		return classifyError(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := answers.read(answer)
	switch {
	case answer.NotRun || answer.Replaced:
		return refusedAttempt(pick, answer), refusalOutcome(answer)
	case errors.Is(err, errTooLarge), errors.Is(err, errNoMemory):
		return attempt{final: true, err: err}, endpoints.Answered
	case err != nil:
		return classifyError(ctx, &upstream.SendError{Sent: true, Err: err})
	case !repeatable && promisesNotRun(answer.Status):
		return attempt{err: errUnproven}, endpoints.Answered
	case answer.Encoded || answer.Status < http.StatusMultipleChoices && !answer.Signed:
		return attempt{err: errUnverified}, endpoints.BrokenAnswer
	}
	outcome := Outcome{End: Answered, Status: answer.Status, Header: answer.Header, Body: body}
	return attempt{complete: true, outcome: outcome}, endpoints.Answered
}

// refusedAttempt returns the result of an attempt whose answer says that the request did not run.
func refusedAttempt(pick *directory.Pick, answer *dispatch.Answer) attempt {
	if answer.Replaced {
		return attempt{notRun: true}
	}
	return attempt{notRun: true, full: pick.ID}
}

// result returns what the attempt tells about the time that requests take.
func (a *attempt) result() result {
	if a.complete && a.outcome.Status < http.StatusInternalServerError {
		return resultAnswered
	}
	return resultNone
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
	case ctx.Err() != nil, errors.Is(err, upstream.ErrMalformed):
		return attempt{notRun: notRun, err: err}, endpoints.Cancelled
	case notRun:
		return attempt{notRun: true, err: err}, endpoints.Unreachable
	default:
		return attempt{err: err}, endpoints.BrokenAnswer
	}
}
