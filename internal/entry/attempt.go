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

	// maxAttempts bounds how many endpoints one request may visit.
	maxAttempts = 4
	// settleWait is how long one settle call waits at the agent.
	settleWait = time.Second
	// settleBackoff is the pause between settle calls that found no agent.
	settleBackoff = 100 * time.Millisecond
	// answerMargin is kept of the deadline for the answer's way to the caller.
	answerMargin  = 20 * time.Millisecond
	cancelTimeout = time.Second
)

// attempt sends the request to one endpoint, as its quarantine allows, and
// returns what truly became of it. A hedge runs apart from its first attempt.
func (e *Server) attempt(ctx context.Context, ep Endpoint, req wire.Request, hedge bool) wire.Answer {
	return e.runCopy(ctx, ep, req, hedge, func(ep Endpoint, req wire.Request) wire.Answer {
		return e.attemptOnce(ctx, ep, req)
	})
}

// runCopy runs one copy of the request, alone if it is suspect, and notes
// whether it crashed its endpoint. The quarantine may choose another endpoint.
func (e *Server) runCopy(ctx context.Context, ep Endpoint, req wire.Request, hedge bool, run func(Endpoint, wire.Request) wire.Answer) wire.Answer {
	found := map[string]Endpoint{ep.ID(): ep}
	v := RequestCopy{
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
	admission, refusal, admitted := e.deps.Quarantine.StartCopy(ctx, v)
	if !admitted {
		return refusal
	}
	ep = found[admission.Endpoint]
	req.Suspect = req.Suspect || admission.Alone
	answer := run(ep, req)
	e.reportCrash(ep, req, answer)
	e.deps.Quarantine.EndCopy(v, admission.Endpoint, answer.Outcome == wire.Answered)
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
		// Running it twice does no harm, waiting for its fate would.
		return connectionLost(req, err)
	}
	return e.settle(ctx, ep, req, err)
}

func connectionLost(req wire.Request, cause error) wire.Answer {
	return wire.Answer{ID: req.ID, Outcome: wire.Unknown, Reason: wire.ReasonConnection, Detail: cause.Error()}
}

// pinToAgent names the attempt and binds it to the agent process that answers now.
func pinToAgent(ctx context.Context, ep Endpoint, req wire.Request) wire.Request {
	req.ID = ulid.Make().String()
	req.Target = ep.Target()
	if deadline, ok := ctx.Deadline(); ok {
		req.Remaining = time.Until(deadline) - answerMargin
	}
	return req
}

// settle asks, on new connections until the deadline, what became of a request
// whose connection was lost. Without it a request that ran would be repeated, or
// one that never arrived would be "unknown".
func (e *Server) settle(ctx context.Context, ep Endpoint, req wire.Request, cause error) wire.Answer {
	for ctx.Err() == nil {
		var answer wire.Answer
		request := wire.SettleRequest{ID: req.ID, Target: req.Target, Wait: settleWait}
		err := ep.CallFresh(ctx, methodSettle, request, &answer)
		if err == nil && answer.Outcome != wire.Running {
			return answer
		}
		if errors.Is(err, ErrGone) {
			// No process is left that could tell; waiting on would only keep
			// the caller from its final answer.
			return connectionLost(req, err)
		}
		if err != nil {
			sleep(ctx, settleBackoff)
		}
	}
	return connectionLost(req, cause)
}

// abandon gives up on a request at its deadline and frees its slot.
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

// dispatchOnce sends a request that may run only once. Another endpoint is
// tried only when the last one proved that it never saw the request.
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

// elsewhere tells whether another endpoint may take what this one refused.
func retryableElsewhere(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonLeaving, wire.ReasonNoEndpoint, wire.ReasonNotReady, wire.ReasonQueueFull, wire.ReasonCancelled, wire.ReasonConnection:
		return true
	default:
		return false
	}
}

// reportCrash tells the quarantine of a crash; beyond two endpoints a request
// that kills engines must not travel.
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
