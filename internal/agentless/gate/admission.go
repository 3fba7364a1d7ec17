package gate

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/policy/admission"
)

const (
	// initialRetries is the budget of retries of a customer of which no request is known, so
	// that a customer with few requests has what the service's common budget would give it.
	initialRetries = 10
)

// queueFor returns the queue of a service, or nil if requests are sent without one.
func (g *Gate) queueFor(service string) *serviceQueue {
	table := g.directory.Table()
	if table == nil || !table.Declaration.RequireKeys || !g.Switches.On(mechanism.Admission) {
		return nil
	}
	if q := g.existingQueue(service); q != nil {
		return q
	}
	g.queuesMu.Lock()
	defer g.queuesMu.Unlock()
	if g.queues[service] == nil {
		g.queues[service] = newServiceQueue(g, service)
		g.queues[service].leaveBy = g.leaveBy
	}
	return g.queues[service]
}

// existingQueue returns the queue of a service, or nil if no request needed one so far.
func (g *Gate) existingQueue(service string) *serviceQueue {
	g.queuesMu.RLock()
	defer g.queuesMu.RUnlock()
	return g.queues[service]
}

func (g *Gate) allQueues() []*serviceQueue {
	g.queuesMu.RLock()
	defer g.queuesMu.RUnlock()
	list := make([]*serviceQueue, 0, len(g.queues))
	for _, q := range g.queues {
		list = append(list, q)
	}
	return list
}

// Leave prepares for the end of the process at a time: waiting requests that can't be served by
// then are refused at once, as are new ones.
func (g *Gate) Leave(until time.Time) {
	g.queuesMu.Lock()
	g.leaveBy = until
	g.queuesMu.Unlock()
	for _, q := range g.allQueues() {
		q.leave(time.Now(), until)
	}
}

// earnRetries adds to the retry budget of the request's customer, or of its service if requests
// are sent without a queue.
func (e *execution) earnRetries() {
	if e.queue == nil {
		e.gate.earnRetries(e.service)
		return
	}
	q, customer, now := e.queue, e.request.Customer, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	last, found := q.lastGrant[customer]
	if !found {
		q.budget.SetRatio(customer, retryRatio)
		q.budget.Grant(customer, initialRetries)
	}
	q.budget.Earn(customer)
	q.budget.Grant(customer, retriesPerSecond*now.Sub(last).Seconds())
	q.lastGrant[customer] = now
}

// spendRetry takes a retry from the budget and returns whether there was one.
func (e *execution) spendRetry() bool {
	if e.queue == nil {
		return e.gate.spendRetry(e.service)
	}
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	spent := e.queue.budget.Spend(e.request.Customer)
	if spent {
		e.unspent++
	}
	return spent
}

// refundRetries returns the retries to the customer's budget whose attempts were not sent.
func (e *execution) refundRetries() {
	if e.unspent == 0 {
		return
	}
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	e.queue.budget.Grant(e.request.Customer, float64(e.unspent))
	e.unspent = 0
}

// requestAttempt makes one more attempt, or has the request wait for a slot of its service. It
// returns false if no attempt is possible.
func (e *execution) requestAttempt(ctx context.Context) bool {
	if e.queue == nil {
		return e.start(ctx, grant{})
	}
	c, ok := e.claim()
	if !ok {
		return false
	}
	g, w := e.queue.acquire(time.Now(), c)
	if w != nil {
		e.waiting = w
		return true
	}
	return e.begin(ctx, g)
}

// claim returns the request's claim to a slot for its next attempt. ok is false if it may not
// make one or waits already.
func (e *execution) claim() (c claim, ok bool) {
	now := time.Now()
	remaining := e.request.remaining(e.route, now)
	if e.waiting != nil || len(e.tried) >= e.route.MaxAttempts || remaining <= 0 {
		return claim{}, false
	}
	return claim{
		customer: e.request.Customer, priority: e.request.Priority, class: e.route.Name, deadline: now.Add(remaining),
		extra: e.mayHaveRun || e.inFlight > 0, returned: e.returns > 0,
	}, true
}

// begin makes an attempt with a slot. If there is no endpoint for it, a request that endpoints
// refused as full returns to the queue.
func (e *execution) begin(ctx context.Context, g grant) bool {
	if ctx.Err() == nil && e.start(ctx, g) {
		return true
	}
	g.end(time.Now(), resultNone)
	return e.returnToQueue(ctx)
}

// turn returns a channel that is readable once the waiting request was decided on.
func (e *execution) turn() <-chan struct{} {
	if e.waiting == nil {
		return nil
	}
	return e.waiting.decided
}

// takeTurn carries out the decision on the waiting request.
func (e *execution) takeTurn(ctx context.Context, hedge *time.Timer) {
	w := e.waiting
	e.waiting = nil
	if w.refused != nil {
		e.refused = w.refused
		return
	}
	if e.inFlight > 0 {
		if first := e.lastTried(); e.begin(ctx, w.grant) {
			e.logHedge(first)
		}
		return
	}
	if e.begin(ctx, w.grant) {
		hedge.Reset(e.hedgeDelay()) // the endpoint has only got the request now
	}
}

// pending returns whether an attempt is in flight or the request waits for one.
func (e *execution) pending() bool { return e.inFlight > 0 || e.waiting != nil }

// leaveQueue takes the request out of the queue at its end.
func (e *execution) leaveQueue() {
	if e.waiting == nil {
		return
	}
	if refused := e.queue.abandon(time.Now(), e.waiting); refused != nil {
		e.refused = refused
	}
	e.waiting = nil
}

// expiredUnsent returns whether the request's time was over before it got a slot of its service.
// The queue refuses such a request if it looks at it first.
func (e *execution) expiredUnsent() bool {
	return e.queue != nil && e.heldBack == 0 && len(e.allTried()) == 0 && e.request.remaining(e.route, time.Now()) <= 0
}

// neverRan returns whether a request that is served through a queue certainly did not run.
func (e *execution) neverRan() bool { return e.queue != nil && !e.mayHaveRun && e.inFlight == 0 }

// noteFull records that an endpoint refused the request as full.
func (e *execution) noteFull(endpoint string) {
	if e.queue != nil {
		e.full = append(e.full, endpoint)
	}
}

// returnToQueue has a request wait that endpoints refused as full, and returns whether it waits or
// is sent again.
func (e *execution) returnToQueue(ctx context.Context) bool {
	return e.prepareReturn() && e.requestAttempt(ctx)
}

// prepareReturn lets a request that endpoints refused as full be sent to them again, if none of
// its attempts is in flight. The endpoints that it may be sent to remain as many as the route allows.
func (e *execution) prepareReturn() bool {
	if len(e.full) == 0 || e.inFlight > 0 || e.waiting != nil {
		return false
	}
	e.queue.serviceFull(time.Now(), e.request.Model)
	e.sent = slices.Clone(e.allTried()) // a copy, as DeleteFunc changes e.tried in place
	e.tried = slices.DeleteFunc(e.tried, func(id string) bool { return slices.Contains(e.full, id) })
	e.full = nil
	e.returns++
	return true
}

// excluded returns the endpoints that the next attempt may not be sent to. A request that was
// sent to as many endpoints as its route allows may only return to those.
func (e *execution) excluded() []string {
	if len(e.sent) == 0 {
		return e.tried
	}
	allowed := e.allTried()
	if len(allowed) < e.route.MaxAttempts {
		return e.tried
	}
	excluded := slices.Clone(e.tried)
	for _, listed := range e.gate.directory.List(e.service) {
		if !slices.Contains(allowed, listed.ID) {
			excluded = append(excluded, listed.ID)
		}
	}
	return excluded
}

// allTried returns the endpoints that the request was sent to.
func (e *execution) allTried() []string { return appendMissing(e.sent, e.tried) }

func (e *execution) lastTried() string { return e.tried[len(e.tried)-1] }

// appendMissing returns the list with the IDs that it lacks.
func appendMissing(list, ids []string) []string {
	if len(list) == 0 {
		return ids
	}
	list = slices.Clip(list)
	for _, id := range ids {
		if !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// queueRefusal returns the outcome of a request that the queue refused. Retry-After is when
// capacity is expected; the jitter keeps callers that were refused together apart.
func queueRefusal(a *admission.Action) Outcome {
	expected := max(a.RetryAfter, minRetryAfter)
	return Outcome{End: Refused, RetryAfter: expected + rand.N(expected/2), Reason: string(a.Reason)}
}
