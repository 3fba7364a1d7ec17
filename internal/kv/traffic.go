package kv

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// byteCounter is a stats.Handler that counts the bytes of calls and watches per
// use, in the metrics "kv.bytes.<use>". It counts encoded messages and headers in
// both directions, without HTTP/2 framing.
type byteCounter struct {
	registry metrics.Registry
}

type useKey struct{}

func withUse(ctx context.Context, use Use) context.Context {
	return context.WithValue(ctx, useKey{}, use)
}

// TagRPC implements stats.Handler.
func (b byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (b byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (b byteCounter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (b byteCounter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	use, known := ctx.Value(useKey{}).(Use)
	if !known {
		return
	}
	var n int
	switch e := event.(type) {
	case *stats.OutPayload:
		n = e.WireLength
	case *stats.InPayload:
		n = e.WireLength
	case *stats.InHeader:
		n = e.WireLength
	case *stats.InTrailer:
		n = e.WireLength
	}
	metrics.GetOrRegisterCounter("kv.bytes."+string(use), b.registry).Inc(int64(n))
}
