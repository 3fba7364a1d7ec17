package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("record.read", func() {
	const longWait = time.Minute

	begin := func() *record {
		r, _ := newRequestTable().accept("r", 0, func() {})
		return r
	}

	// Processor time of entries and agents grows with every token. If a read of
	// a rollout's stream returned with the first token, each token would cost a
	// call between entry and agent, although nobody waits for single tokens of
	// a rollout.
	It("collects more tokens after the first one", func() {
		r := begin()
		r.appendToken("a", 1)
		got := make(chan wire.ReadReply, 1)
		go func() { got <- r.read(0, longWait, 300*time.Millisecond) }()
		Consistently(got, "50ms").ShouldNot(Receive())
		r.appendToken("b", 2)
		Eventually(got, "20s").Should(Receive(And(
			HaveField("Tokens", []string{"a", "b"}),
			HaveField("Versions", []int64{1, 2}),
		)))
	})

	It("stops collecting when the stream ends", func() {
		r := begin()
		r.appendToken("a", 1)
		got := make(chan wire.ReadReply, 1)
		go func() { got <- r.read(0, longWait, longWait) }()
		r.finish(0, wire.Answer{ID: "r", Outcome: wire.Answered})
		Eventually(got, "20s").Should(Receive(And(HaveField("Done", true), HaveField("Tokens", []string{"a"}))))
	})

	It("returns with the first token if gather is zero", func() {
		r := begin()
		got := make(chan wire.ReadReply, 1)
		go func() { got <- r.read(0, longWait, 0) }()
		Consistently(got, "50ms").ShouldNot(Receive())
		r.appendToken("a", 1)
		Eventually(got, "20s").Should(Receive(HaveField("Tokens", []string{"a"})))
	})
})
