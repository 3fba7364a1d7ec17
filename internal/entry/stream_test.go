package entry

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("a stream that reaches its deadline", func() {
	// The engine's last tokens arrive just as the deadline passes, while the caller
	// still reads earlier ones. The last tokens are dropped. If the stream then
	// ended with [DONE], the caller would take it for complete.
	It("does not end as answered when tokens were dropped", func() {
		ctx, cancel := context.WithCancel(context.Background())
		f := &forwarder{ctx: ctx, first: make(chan wire.ReadReply, 1), rest: make(chan wire.ReadReply)}
		f.forward(wire.ReadReply{Tokens: []string{"a"}})
		cancel()
		f.forward(wire.ReadReply{Tokens: []string{"b"}, Done: true})
		Expect(f.finalAnswer(wire.Answer{Outcome: wire.Answered}).Outcome).To(Equal(wire.Unknown))
	})
	It("ends as answered when every token was written", func() {
		f := &forwarder{ctx: context.Background(), first: make(chan wire.ReadReply, 1), rest: make(chan wire.ReadReply, 1)}
		f.forward(wire.ReadReply{Tokens: []string{"a"}})
		f.forward(wire.ReadReply{Tokens: []string{"b"}, Done: true})
		Expect(f.finalAnswer(wire.Answer{Outcome: wire.Answered}).Outcome).To(Equal(wire.Answered))
	})
})
