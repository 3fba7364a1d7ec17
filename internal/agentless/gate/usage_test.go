package gate_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/usage"
)

var _ = Describe("the usage of a request", func() {
	config := usage.Config{WindowLength: time.Hour, DueAfter: time.Hour}

	serve := func(kind deployment.Kind, customer string, replies ...reply) usage.Counts {
		g := newGate(&scriptedSender{replies: replies}, 4)
		g.Usage = usagerun.NewCounter(config)
		r := request()
		r.Customer = customer
		if kind == deployment.Streaming {
			g.Stream(context.Background(), route(kind), r, &sink{})
		} else {
			g.Serve(context.Background(), route(kind), r)
		}
		update, _ := g.Usage.Update(0, time.Now())
		sum := usage.Counts{}
		for _, tally := range update.Tallies {
			for name, n := range tally.Counts {
				sum[name] += n
			}
		}
		return sum
	}

	DescribeTable("is counted once if an endpoint started to run it",
		func(kind deployment.Kind, replies []reply, want int64) {
			got := serve(kind, "desk", replies...)
			Expect(got["desk"]).To(Equal(want))
		},
		Entry("answered", deployment.Idempotent, []reply{answered}, int64(1)),
		Entry("answered by the second endpoint after a lost attempt", deployment.Idempotent, []reply{lost, answered}, int64(1)),
		Entry("answered by two endpoints because the first was slow", deployment.Idempotent, []reply{{delay: 200 * time.Millisecond, status: 200, body: "a"}, answered}, int64(1)),
		Entry("answered with a 5xx status", deployment.NonIdempotent, []reply{failed}, int64(1)),
		Entry("lost after it was sent", deployment.NonIdempotent, []reply{lost}, int64(1)),
		Entry("refused by endpoints", deployment.Idempotent, []reply{refusing}, int64(0)),
		Entry("never sent", deployment.Idempotent, []reply{unsent}, int64(0)),
		Entry("a stream with events", deployment.Streaming, []reply{{status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}}, int64(1)),
		Entry("a stream without an event", deployment.Streaming, []reply{{status: 200, body: ""}}, int64(0)),
	)

	It("is not counted without a customer", func() {
		Expect(serve(deployment.Idempotent, "", answered)).To(BeEmpty())
	})

	It("is not final while a request is in flight that may have started in the window", func() {
		// The counts of a window are reported once they are final. A request is counted when it
		// ends, in the window in which an endpoint started to run it, which may be an earlier one.
		short := usage.Config{WindowLength: 50 * time.Millisecond, DueAfter: time.Hour}
		s := &scriptedSender{replies: []reply{{neverAnswers: true}}}
		g := newGate(s, 1)
		g.Usage = usagerun.NewCounter(short)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan gate.Outcome)
		r := request()
		r.Customer = "desk"
		entered := short.WindowAt(time.Now())
		go func() { done <- g.Serve(ctx, route(deployment.NonIdempotent), r) }()
		Eventually(s.endpoints).Should(HaveLen(1))
		time.Sleep(3 * short.WindowLength)
		update, _ := g.Usage.Update(0, time.Now())
		Expect(update.Through).To(BeNumerically("<", short.WindowAt(time.Now())-1))
		cancel()
		<-done
		update, _ = g.Usage.Update(0, time.Now())
		Expect(update.Through).To(BeNumerically(">=", entered))
		Expect(update.Tallies).To(HaveLen(1))
	})
})
