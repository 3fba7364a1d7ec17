package entry

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// attemptResult is the answer and the latency of one attempt.
type attemptResult struct {
	answer  wire.Answer
	latency time.Duration
}

// runIdempotent runs a request that may be repeated. It retries failed attempts at
// other endpoints and hedges the first attempt if it is slower than is usual for
// the class.
func (e *Server) runIdempotent(ctx context.Context, c call) wire.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &attempts{entry: e, call: c, results: make(chan attemptResult, maxAttempts)}
	if !r.launch(ctx, false) {
		return r.last
	}
	hedge := hedgeTimer(e.deps.Hedger.Delay(c.class.Name))
	defer hedge.Stop()
	for {
		select {
		case result := <-r.results:
			r.inFlight--
			if r.handleResult(ctx, result) {
				return result.answer
			}
			if r.inFlight == 0 {
				return r.last
			}
		case <-hedge.C:
			r.launchHedge(ctx)
		case <-ctx.Done():
			return r.deadlineAnswer()
		}
	}
}

// attempts is the state of one idempotent request's attempts.
type attempts struct {
	entry    *Server
	call     call
	tried    []string
	inFlight int
	suspect  bool
	last     wire.Answer
	results  chan attemptResult
}

// launch starts an attempt at an endpoint that was not tried yet. It returns false
// if there is none or the request has reached maxAttempts.
func (r *attempts) launch(ctx context.Context, hedge bool) bool {
	if len(r.tried) >= maxAttempts {
		return false
	}
	ep, ok := r.entry.deps.Picker.Pick(r.call.req.Service, r.call.req.Principal.Business, r.call.prefix, r.tried)
	if !ok {
		if len(r.tried) == 0 {
			r.last = wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonNoEndpoint, Detail: "no endpoint of the service can be reached"}
		}
		return false
	}
	r.tried = append(r.tried, ep.ID())
	r.inFlight++
	req := r.call.req
	req.Suspect = r.suspect
	go func() {
		start := time.Now()
		answer := r.entry.attempt(ctx, ep, req, hedge)
		r.results <- attemptResult{answer: answer, latency: time.Since(start)}
	}()
	return true
}

// handleResult processes the result of an attempt and reports whether it is the
// final answer. It starts another attempt if one is allowed.
func (r *attempts) handleResult(ctx context.Context, result attemptResult) bool {
	if result.answer.Outcome == wire.Answered {
		r.entry.deps.Hedger.Observe(r.call.class.Name, result.latency)
		return true
	}
	r.last = result.answer
	if result.answer.Reason == wire.ReasonCrashed {
		r.suspect = true
	}
	if r.entry.deps.Quarantine.Blocked(r.call.req.Service, r.call.req.Fingerprint) {
		return r.inFlight == 0
	}
	if !r.mayRetry(result.answer) {
		return r.inFlight == 0
	}
	r.launch(ctx, false)
	return false
}

// mayRetry reports whether another attempt is allowed. A retry of a request that
// did not run is free; any other spends from the business's retry budget, without
// which retries would multiply an overload.
func (r *attempts) mayRetry(a wire.Answer) bool {
	if a.Outcome == wire.NotRun {
		return retryableElsewhere(a.Reason)
	}
	if a.Reason == wire.ReasonDeadline {
		return false
	}
	return r.entry.deps.RetryBudget.Spend(r.call.req.Principal.Business)
}

func (r *attempts) launchHedge(ctx context.Context) {
	if r.entry.deps.RetryBudget.Spend(r.call.req.Principal.Business) {
		r.launch(ctx, true)
	}
}

func (r *attempts) deadlineAnswer() wire.Answer {
	return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonDeadline, Detail: "the deadline passed"}
}

// hedgeTimer returns a timer that fires after d, or never if d is 0.
func hedgeTimer(d time.Duration) *time.Timer {
	if d > 0 {
		return time.NewTimer(d)
	}
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}
