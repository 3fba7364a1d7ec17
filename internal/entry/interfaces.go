// Package entry implements the runtime of an entry instance: the HTTP server for
// callers, the dispatch of requests to endpoints with retries and hedging, the
// claims of non-idempotent requests, the quarantine of requests that crash
// endpoints, and the rollout of weight versions. The decisions are made by the
// packages below internal/policy.
package entry

import (
	"context"

	"siskinloom.example/siskinloom/internal/wire"
)

// Generator runs a rollout request, for which it sets Request.Rollout. onTokens is
// called in stream order, from one goroutine at a time, with the tokens and the
// weight version that the engine reported for each. Cancelling ctx cancels the run
// at the endpoint.
type Generator interface {
	Generate(ctx context.Context, req wire.Request, onTokens func(wire.ReadReply)) wire.Answer
}

// CacheImporter makes the agent of an engine fetch the KV cache of a stream that
// runs at another engine. On an error it is unknown what the engine imported.
type CacheImporter interface {
	ImportCache(ctx context.Context, to string, req wire.ImportRequest) (wire.ImportReply, error)
}

// ServiceClient runs one request at an endpoint of a plain service.
type ServiceClient interface {
	Call(ctx context.Context, req wire.Request) wire.Answer
}

// EngineState is the last known state of one endpoint of a model service.
type EngineState struct {
	ID     string // instance ID of its agent, as used in Request.Prefer
	Domain string // failure domain
	Load   wire.Load

	Address string // inner address of its agent
}

// EngineLister lists the endpoints of a service that may get requests.
type EngineLister interface {
	Engines(service string) []EngineState
}

// VersionAnnouncer announces a weight version that is in the weight store and
// returns the version that will be served, which may be a newer one.
type VersionAnnouncer interface {
	Announce(ctx context.Context, deployment, feed, model string, version int64, adapter string) (int64, error)
}
