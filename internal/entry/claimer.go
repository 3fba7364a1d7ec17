package entry

import (
	"context"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/wire"
)

// Dispatch sends a request to the endpoints' agents and returns its outcome:
// Answered; NotRun only if no endpoint ran it or ever will; otherwise Unknown.
// It returns within the request's remaining time and never runs a request twice.
type Dispatch func(ctx context.Context, call wire.Request) wire.Answer

// Claimer runs non-idempotent requests at most once per caller and call ID.
type Claimer interface {
	// Do calls dispatch at most once for the caller's call ID. A repeat gets the
	// stored answer, joins the run in flight or is refused. The request passed
	// to dispatch carries the fencing token of the claim and the remaining time.
	// A call that is not Keyed has no key by which a repeat could be detected,
	// so it is dispatched once without a claim.
	Do(ctx context.Context, call wire.Request, class decl.Class, dispatch Dispatch) wire.Answer
}
