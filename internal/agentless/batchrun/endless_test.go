package batchrun_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/standin"
)

// endlessEngines answer the first try of one request with a body that never ends.
type endlessEngines struct {
	*engines
	requestID string
	next      func(n int64) string // the n-th part of the body, from 1
	once      sync.Once
	read      atomic.Int64
}

// Send implements dispatch.Sender.
func (e *endlessEngines) Send(ctx context.Context, to *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	first := false
	if r.ID == e.requestID {
		e.once.Do(func() { first = true })
	}
	if !first {
		return e.engines.Send(ctx, to, r)
	}
	return &dispatch.Answer{Status: http.StatusOK, Signed: true, Seal: "seal", Version: 5, Body: io.NopCloser(&endlessBody{engines: e, ctx: ctx})}, nil
}

// endlessBody is a body that ends only when its request is cancelled.
type endlessBody struct {
	engines *endlessEngines
	ctx     context.Context
	n       int64
	left    string
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	if b.left == "" {
		b.n++
		b.left = b.engines.next(b.n)
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	b.engines.read.Add(int64(n))
	return n, nil
}

var _ = Describe("an answer without end to a request of a batch job", func() {
	const maxRead = 16 << 20

	// Guards against an owner that a faulty engine or scorer fills with bytes, or keeps busy for as long
	// as an item may take.
	DescribeTable("is left after a bounded number of bytes, and the item completes elsewhere",
		func(requestID string, next func(int64) string) {
			llm := &endlessEngines{engines: &engines{sent: map[string]int{}}, requestID: requestID, next: next}
			p := newProcess("a", standin.NewTransactionalStore(), llm)
			p.run()
			Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
			Expect(p.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
			Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
			Expect(llm.read.Load()).To(And(BeNumerically(">", 0), BeNumerically("<", maxRead)))
		},
		Entry("a scorer's body", "si1", func(int64) string { return strings.Repeat("x", 4096) }),
		Entry("an engine's line", "i1", func(int64) string { return strings.Repeat("x", 4096) }),
		Entry("an engine's comments", "i1", func(int64) string { return ": " + strings.Repeat("x", 4096) + "\n" }),
		Entry("an engine's events", "i1", func(n int64) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 4096)) }),
	)
})
