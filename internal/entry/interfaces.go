// Package entry is the runtime of an entry instance: it takes callers,
// trainers and operators and feeds the decision packages.
package entry

import (
	"context"

	"siskinloom.example/siskinloom/internal/wire"
)

// Generator runs one rollout request (Request.Rollout is set) on an endpoint.
// onTokens is called in order of the stream, from one goroutine at a time, with
// the tokens and the weight version that the engine reported for each. A
// cancelled ctx cancels the run at the endpoint.
type Generator interface {
	Generate(ctx context.Context, req wire.Request, onTokens func(wire.ReadReply)) wire.Answer
}

// CacheImporter has the agent of an engine fetch the KV cache of a stream that runs
// elsewhere. The error tells that it is unknown what the engine took.
type CacheImporter interface {
	ImportCache(ctx context.Context, to string, req wire.ImportRequest) (wire.ImportReply, error)
}

// ServiceClient runs one request at an endpoint of a plain service.
type ServiceClient interface {
	Call(ctx context.Context, req wire.Request) wire.Answer
}

// EngineState is one endpoint of a model service as this entry last heard of it.
type EngineState struct {
	ID     string // instance id of its agent; Request.Prefer takes it
	Domain string // failure domain
	Load   wire.Load

	Address string // inner address of its agent
}

// EngineLister lists the endpoints of a service that may be given work.
type EngineLister interface {
	Engines(service string) []EngineState
}

// VersionAnnouncer takes word of a weight version that is in the weight store
// and returns the version that will be served.
type VersionAnnouncer interface {
	Announce(ctx context.Context, deployment, feed, model string, version int64, adapter string) (int64, error)
}
