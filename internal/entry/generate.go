package entry

import (
	"context"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/wire"
)

// Generate implements Generator. If an engine is lost, the run resumes at another
// engine after the last token received.
func (e *Server) Generate(ctx context.Context, req wire.Request, onTokens func(wire.ReadReply)) wire.Answer {
	req.Stream = true
	req.Rollout = true
	req.Idempotent = true
	req.Fingerprint = fingerprint(req)
	if e.deps.Quarantine.Blocked(req.Service, req.Fingerprint) {
		return quarantinedAnswer()
	}
	e.deps.RetryBudget.Earn(req.Principal.Business)
	return e.runStream(ctx, call{req: req}, onTokens)
}

// ImportCache implements CacheImporter.
func (e *Server) ImportCache(ctx context.Context, to string, req wire.ImportRequest) (wire.ImportReply, error) {
	ep, ok := e.deps.Picker.Find(to)
	if !ok {
		return wire.ImportReply{}, ErrNotSent
	}
	var reply wire.ImportReply
	if err := ep.Call(ctx, methodImport, req, &reply); err != nil {
		return wire.ImportReply{}, err
	}
	return reply, nil
}

// Call implements ServiceClient for the entry's own requests, such as scoring.
func (e *Server) Call(ctx context.Context, req wire.Request) wire.Answer {
	req.Fingerprint = fingerprint(req)
	if e.deps.Quarantine.Blocked(req.Service, req.Fingerprint) {
		return quarantinedAnswer()
	}
	e.deps.RetryBudget.Earn(req.Principal.Business)
	c := call{req: req, plain: true, class: decl.Class{Name: req.Class, Service: req.Service, Idempotent: req.Idempotent}}
	if req.Idempotent {
		return e.runIdempotent(ctx, c)
	}
	return e.dispatchOnce(ctx, req)
}

func quarantinedAnswer() wire.Answer {
	return wire.Answer{
		Outcome: wire.NotRun,
		Reason:  wire.ReasonQuarantined,
		Detail:  "this request crashed its endpoints and is in quarantine",
	}
}
