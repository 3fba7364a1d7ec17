package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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

// endlessReader is a body that never ends. It counts what is read of it, by all readers.
type endlessReader struct {
	read *atomic.Int64
	stop <-chan struct{}
}

func (r *endlessReader) Read(p []byte) (int, error) {
	select {
	case <-r.stop:
		return 0, io.ErrUnexpectedEOF
	default:
	}
	r.read.Add(int64(len(p)))
	return len(p), nil
}

var _ = Describe("answers that never end", func() {
	// Guards against a process that several faulty endpoints, or one that is asked often, fill with
	// bodies without end.
	It("take a bounded part of the process's memory together", func() {
		const memory, requests = 30 << 20, 20
		read, stop := &atomic.Int64{}, make(chan struct{})
		defer close(stop)
		endless := reply{status: http.StatusOK, reader: func() io.Reader { return &endlessReader{read, stop} }}
		g := newGate(&scriptedSender{replies: []reply{endless}}, requests)
		g.SetMemory(memory)
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				defer GinkgoRecover()
				unhurried := route(deployment.Idempotent)
				unhurried.Objective = unhurried.Timeout
				Expect(g.Serve(context.Background(), unhurried, request()).End).To(Equal(gate.Unknown))
			})
		}
		group.Wait()
		Expect(read.Load()).To(BeNumerically("<", requests*memory/6))
	})

	// Guards against usual answers that are refused since others take the memory.
	It("leave room for answers of usual size", func() {
		stop, held := make(chan struct{}), make(chan struct{})
		large := reply{status: http.StatusOK, reader: func() io.Reader { return &heldReader{left: gate.FreeAnswerBytes, held: held, stop: stop} }}
		g := newGate(&scriptedSender{replies: []reply{large, answered}}, 4)
		g.SetMemory(6 * gate.AnswerStepBytes) // for one step of one answer
		done := make(chan struct{})
		go func() {
			defer close(done)
			unhurried := route(deployment.Idempotent)
			unhurried.Objective = unhurried.Timeout
			g.Serve(context.Background(), unhurried, request())
		}()
		Eventually(held).WithTimeout(20 * time.Second).Should(BeClosed())
		Expect(g.Serve(context.Background(), route(deployment.Idempotent), request()).End).To(Equal(gate.Answered))
		close(stop)
		<-done
	})
})

// heldReader gives a number of bytes and then waits, while its reader holds memory for more.
type heldReader struct {
	left       int
	held, stop chan struct{}
}

func (r *heldReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		close(r.held)
		<-r.stop
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

var _ = Describe("an answer that its caller does not take", func() {
	const memory = 6 * gate.AnswerStepBytes // for one step of one answer
	var g *gate.Gate

	BeforeEach(func() {
		long := reply{status: http.StatusOK, reader: func() io.Reader { return &repeatedReader{gate.AnswerStepBytes} }}
		g = newGate(&scriptedSender{replies: []reply{long}}, 1)
		g.SetMemory(memory)
	})

	serve := func() gate.Outcome {
		unhurried := route(deployment.Idempotent)
		unhurried.Objective = unhurried.Timeout
		return g.Serve(context.Background(), unhurried, request())
	}

	// Guards against a process that ends for lack of memory, as answers were counted while they were read
	// and not while their callers take them.
	It("holds the memory for answers until it is released", func() {
		first := serve()
		Expect(first.End).To(Equal(gate.Answered))
		Expect(serve().End).To(Equal(gate.Unknown))
		_, ok := g.HoldAnswer(gate.AnswerStepBytes)
		Expect(ok).To(BeFalse())
		_, ok = g.HoldAnswer(1000)
		Expect(ok).To(BeTrue(), "a short answer is free")
		first.Release()
		release, ok := g.HoldAnswer(gate.AnswerStepBytes)
		Expect(ok).To(BeTrue())
		release()
		second := serve()
		Expect(second.End).To(Equal(gate.Answered))
		second.Release()
	})

	It("is given up for another one", func() {
		first := serve()
		g.Reclaim = func() bool {
			go first.Release() // as its connection is closed
			return true
		}
		second := serve()
		Expect(second.End).To(Equal(gate.Answered))
		second.Release()
	})
})
