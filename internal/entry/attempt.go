package entry

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodDo     = wire.AgentService + ".Do"
	methodStart  = wire.AgentService + ".Start"
	methodRead   = wire.AgentService + ".Read"
	methodCancel = wire.AgentService + ".Cancel"
	methodSettle = wire.AgentService + ".Settle"
	methodImport = wire.AgentService + ".Import"

	// maxAttempts limits the number of endpoints that one request is sent to.
	maxAttempts = 4
	// settlePollTimeout is how long the agent holds one Settle call while the
	// request still runs.
	settlePollTimeout = time.Second
	// settleBackoff is the delay after a failed Settle or Read call.
	settleBackoff = 100 * time.Millisecond
	// answerMargin is subtracted from the time that an endpoint gets, so that its
	// answer reaches the caller before the deadline.
	answerMargin = 20 * time.Millisecond
	// cancelTimeout bounds the Cancel call of an abandoned request.
	cancelTimeout = time.Second
)

// attempt sends the request to one endpoint, subject to the quarantine, and
// returns its outcome. The quarantine may run a hedge at another endpoint than
// the first attempt.
func (e *Server) attempt(ctx context.Context, ep Endpoint, req wire.Request, hedge bool) wire.Answer {
	return e.runCopy(ctx, ep, req, hedge, func(ep Endpoint, req wire.Request) wire.Answer {
		return e.attemptOnce(ctx, ep, req)
	})
}

// runCopy calls run for one copy of the request and reports to the quarantine
// whether the copy crashed its endpoint. The quarantine may choose another
// endpoint, and has a suspect run with no other request beside it.
func (e *Server) runCopy(ctx context.Context, ep Endpoint, req wire.Request, hedge bool, run func(Endpoint, wire.Request) wire.Answer) wire.Answer {
	found := map[string]Endpoint{ep.ID(): ep}
	c := RequestCopy{
		Service:     req.Service,
		Fingerprint: req.Fingerprint,
		Endpoint:    ep.ID(),
		Hedge:       hedge,
		Rollout:     req.Rollout,
		Usable: func(id string) bool {
			other, ok := e.deps.Picker.Find(id)
			if ok {
				found[id] = other
			}
			return ok
		},
	}
	admission, refusal, admitted := e.deps.Quarantine.StartCopy(ctx, c)
	if !admitted {
		return refusal
	}
	ep = found[admission.Endpoint]
	req.Suspect = req.Suspect || admission.Alone
	answer := run(ep, req)
	e.reportCrash(ep, req, answer)
	e.deps.Quarantine.EndCopy(c, admission.Endpoint, answer.Outcome == wire.Answered)
	return answer
}

func (e *Server) attemptOnce(ctx context.Context, ep Endpoint, req wire.Request) wire.Answer {
	req = pinToAgent(ctx, ep, req)
	var answer wire.Answer
	err := ep.Call(ctx, methodDo, req, &answer)
	if err == nil {
		return answer
	}
	if errors.Is(err, ErrNotSent) {
		return wire.Answer{ID: req.ID, Outcome: wire.NotRun, Reason: wire.ReasonNoEndpoint, Detail: err.Error()}
	}
	if ctx.Err() != nil {
		return e.abandon(ep, req)
	}
	if req.Idempotent {
		// A second run is harmless, while waiting for the outcome of the first
		// would only delay the retry.
		return connectionLost(req, err)
	}
	return e.settle(ctx, ep, req, err)
}

func connectionLost(req wire.Request, cause error) wire.Answer {
	return wire.Answer{ID: req.ID, Outcome: wire.Unknown, Reason: wire.ReasonConnection, Detail: cause.Error()}
}

// pinToAgent gives the attempt a new ID and binds it to the agent process that
// answers now.
func pinToAgent(ctx context.Context, ep Endpoint, req wire.Request) wire.Request {
	req.ID = ulid.Make().String()
	req.Target = ep.Target()
	if deadline, ok := ctx.Deadline(); ok {
		req.Remaining = time.Until(deadline) - answerMargin
	}
	return req
}

// settle queries the outcome of a request whose connection was lost, on new
// connections until the deadline. Without it the entry would repeat a request
// that ran, or report "unknown" for one that never arrived.
func (e *Server) settle(ctx context.Context, ep Endpoint, req wire.Request, cause error) wire.Answer {
	for ctx.Err() == nil {
		var answer wire.Answer
		request := wire.SettleRequest{ID: req.ID, Target: req.Target, Wait: settlePollTimeout}
		err := ep.CallFresh(ctx, methodSettle, request, &answer)
		if err == nil && answer.Outcome != wire.Running {
			return answer
		}
		if errors.Is(err, ErrGone) {
			// The agent process that knew the outcome is gone; further calls would
			// only delay the caller's final answer.
			return connectionLost(req, err)
		}
		if err != nil {
			sleep(ctx, settleBackoff)
		}
	}
	return connectionLost(req, cause)
}

// abandon cancels a request that reached its deadline, which frees its slot at
// the endpoint, and returns "unknown".
func (e *Server) abandon(ep Endpoint, req wire.Request) wire.Answer {
	go cancelAt(ep, req.ID)
	return wire.Answer{ID: req.ID, Outcome: wire.Unknown, Reason: wire.ReasonDeadline, Detail: "the deadline passed while the request ran"}
}

func cancelAt(ep Endpoint, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	var none struct{}
	_ = ep.Call(ctx, methodCancel, wire.CancelRequest{ID: id}, &none)
}

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Dispatch implements Dispatch for calls that other entries forward here.
func (e *Server) Dispatch(ctx context.Context, req wire.Request) wire.Answer {
	return e.dispatchOnce(ctx, req)
}

// dispatchOnce dispatches a request that may run only once. It tries another
// endpoint only if the last one certainly did not run the request.
func (e *Server) dispatchOnce(ctx context.Context, req wire.Request) wire.Answer {
	last := wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonNoEndpoint, Detail: "no endpoint of the service can be reached"}
	var tried []string
	for range maxAttempts {
		ep, ok := e.deps.Picker.Pick(req.Service, req.Principal.Business, req.Fingerprint, tried)
		if !ok || ctx.Err() != nil {
			return last
		}
		tried = append(tried, ep.ID())
		last = e.attempt(ctx, ep, req, false)
		if last.Outcome != wire.NotRun || !retryableElsewhere(last.Reason) {
			return last
		}
	}
	return last
}

// retryableElsewhere reports whether another endpoint may accept a request that
// one refused for this reason.
func retryableElsewhere(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonLeaving, wire.ReasonNoEndpoint, wire.ReasonNotReady, wire.ReasonQueueFull, wire.ReasonCancelled, wire.ReasonConnection:
		return true
	default:
		return false
	}
}

// reportCrash reports a crash to the quarantine, which keeps a request that
// crashes engines from reaching a third endpoint.
func (e *Server) reportCrash(ep Endpoint, req wire.Request, a wire.Answer) {
	if a.Reason != wire.ReasonCrashed {
		return
	}
	e.deps.Quarantine.ReportCrash(wire.Suspicion{
		Fingerprint: req.Fingerprint,
		Service:     req.Service,
		Endpoint:    ep.ID(),
		Batch:       a.Batch,
		Crash:       a.Crash,
		UnixMilli:   time.Now().UnixMilli(),
	})
}
