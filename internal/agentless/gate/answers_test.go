package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"

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

// repeatedReader reads as n bytes.
type repeatedReader struct{ n int }

func (r *repeatedReader) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.n)
	r.n -= n
	return n, nil
}

var _ = Describe("an answer that is longer than the process holds in memory", func() {
	// Guards against a part of an answer that is passed on as the whole.
	It("is not passed on as far as it was read, and no other endpoint is asked for it", func() {
		unhurried := route(deployment.Idempotent)
		unhurried.Objective = unhurried.Timeout // no second endpoint is asked while the answer is read
		for _, beyond := range []int{0, 1} {
			s := &scriptedSender{replies: []reply{{status: http.StatusOK, reader: func() io.Reader { return &repeatedReader{gate.MaxAnswerBytes + beyond} }}}}
			o := newGate(s, 2).Serve(context.Background(), unhurried, request())
			Expect(s.endpoints()).To(HaveLen(1))
			if beyond == 0 {
				Expect(o.End).To(Equal(gate.Answered))
				Expect(o.Body).To(HaveLen(gate.MaxAnswerBytes))
				continue
			}
			Expect(o.End).To(Equal(gate.Unknown))
			Expect(o.Body).To(BeEmpty())
		}
	})

	It("is not passed on in place of a stream", func() {
		s := &scriptedSender{replies: []reply{{status: http.StatusBadRequest, reader: func() io.Reader { return &repeatedReader{gate.MaxAnswerBytes + 1} }}}}
		out := &sink{}
		Expect(newGate(s, 2).Stream(context.Background(), route(deployment.Streaming), request(), out).End).NotTo(Equal(gate.Answered))
		Expect(strings.Join(out.events, "")).To(BeEmpty())
	})
})
