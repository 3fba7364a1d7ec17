package gate_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/deployment"
)

var _ = Describe("an endpoint's answer whose status says that the request has not run", func() {
	// Guards against a caller that sends a request again, which may run only once, because an
	// endpoint that ran it answered with a status that promises that it did not.
	DescribeTable("is not passed on for a request that may run only once, unless the endpoint states it",
		func(kind deployment.Kind, status int) {
			s := &scriptedSender{replies: []reply{{status: status, body: "busy"}}}
			g := newGate(s, 2)
			end := gate.Outcome{}
			if kind == deployment.Streaming {
				end = g.Stream(context.Background(), route(kind), request(), &sink{})
			} else {
				end = g.Serve(context.Background(), route(kind), request())
			}
			Expect(end.End).To(Equal(gate.Unknown))
			Expect(s.endpoints()).To(HaveLen(1), "sent once")
		},
		Entry("503", deployment.NonIdempotent, http.StatusServiceUnavailable),
		Entry("429", deployment.NonIdempotent, http.StatusTooManyRequests),
		Entry("408", deployment.NonIdempotent, http.StatusRequestTimeout),
		Entry("503 to a stream", deployment.Streaming, http.StatusServiceUnavailable),
		Entry("429 to a stream", deployment.Streaming, http.StatusTooManyRequests),
	)

	It("is passed on if the request may run again", func() {
		s := &scriptedSender{replies: []reply{{status: http.StatusTooManyRequests, body: "busy"}}}
		o := newGate(s, 2).Serve(context.Background(), route(deployment.Idempotent), request())
		Expect(o.End).To(Equal(gate.Answered))
		Expect(o.Status).To(Equal(http.StatusTooManyRequests))
	})

	It("is passed on with other failures", func() {
		s := &scriptedSender{replies: []reply{failed}}
		o := newGate(s, 2).Serve(context.Background(), route(deployment.NonIdempotent), request())
		Expect(o.Status).To(Equal(http.StatusInternalServerError))
	})
})
