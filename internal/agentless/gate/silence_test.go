package gate_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/deployment"
)

// pausingSender sends a stream with a pause between its two events, unless it is cancelled.
type pausingSender struct{ pause time.Duration }

// Send implements dispatch.Sender.
func (p *pausingSender) Send(ctx context.Context, _ *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	read, write := io.Pipe()
	go func() {
		if r.ResumeAfter < 1 {
			_, _ = io.WriteString(write, streamed("1"))
			select {
			case <-time.After(p.pause):
			case <-ctx.Done():
				_ = write.CloseWithError(ctx.Err())
				return
			}
		}
		_, _ = io.WriteString(write, streamed("2"))
		_ = write.Close()
	}()
	return &dispatch.Answer{Status: http.StatusOK, Signed: true, Body: read}, nil
}

var _ = Describe("a stream whose endpoint is silent for a while", func() {
	// Guards against an answer that is broken off although its endpoint would go on: an engine that
	// preempts a stream sends nothing until it has memory for it again.
	It("is not broken off if no other endpoint may continue it", func() {
		out := &sink{}
		g := newGate(&pausingSender{pause: 1500 * time.Millisecond}, 2)
		Expect(g.Stream(context.Background(), route(deployment.Streaming), request(), out).End).To(Equal(gate.Answered))
		Expect(out.events).To(HaveLen(2))
	})

	It("continues elsewhere before its caller gives up if it may be resumed", func() {
		resumable := route(deployment.Streaming)
		resumable.Resumable = true
		out := &sink{}
		Expect(newGate(&pausingSender{pause: time.Minute}, 2).Stream(context.Background(), resumable, request(), out).End).To(Equal(gate.Answered))
		Expect(out.events).To(HaveLen(2))
	})

	It("ends when its caller leaves", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		g := newGate(&pausingSender{pause: time.Minute}, 2)
		Expect(g.Stream(ctx, route(deployment.Streaming), request(), &sink{}).End).To(Equal(gate.Cancelled))
	})
})
