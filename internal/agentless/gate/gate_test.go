package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
)

// reply says how an endpoint answers one request.
type reply struct {
	delay        time.Duration // before the answer; the caller may cancel meanwhile
	status       int
	body         string
	reader       func() io.Reader // of the body; nil: body is used
	broken       bool             // the body is cut off
	unsigned     bool             // the answer has no signature
	notRun       bool
	sendErr      *upstream.SendError
	neverAnswers bool // the endpoint never answers
}

// scriptedSender gives replies in order, whichever endpoint a request is sent to. The last reply
// repeats.
type scriptedSender struct {
	mu        sync.Mutex
	replies   []reply
	sentTo    []string        // endpoint IDs in the order of requests
	timeouts  []time.Duration // of the requests, in the same order
	resumes   []int64         // ResumeAfter of the requests, in the same order
	cancelled int             // number of requests that were cancelled
}

// Send implements dispatch.Sender.
func (s *scriptedSender) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	s.mu.Lock()
	next := s.replies[min(len(s.sentTo), len(s.replies)-1)]
	s.sentTo = append(s.sentTo, e.ID)
	s.timeouts = append(s.timeouts, r.Timeout)
	s.resumes = append(s.resumes, r.ResumeAfter)
	s.mu.Unlock()
	if next.sendErr != nil {
		return nil, next.sendErr
	}
	wait := time.After(next.delay)
	if next.neverAnswers {
		wait = nil
	}
	select {
	case <-wait:
	case <-ctx.Done():
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return nil, &upstream.SendError{Sent: true, Err: ctx.Err()}
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.reader != nil {
		body = next.reader()
	}
	if next.broken {
		body = io.MultiReader(body, brokenReader{})
	}
	return &dispatch.Answer{Status: next.status, Header: http.Header{"X-From": {e.ID}}, Body: io.NopCloser(body), NotRun: next.notRun, Signed: !next.unsigned}, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (s *scriptedSender) endpoints() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.sentTo...)
}

func newGate(s dispatch.Sender, endpoints int) *gate.Gate {
	d := directory.New("self", "", nil)
	for i := range endpoints {
		d.Put(deployment.Endpoint{ID: string(rune('a' + i)), Service: "app", Address: "x:1", Slots: 4})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return gate.New(d, s, log, metrics.NewRegistry())
}

func route(kind deployment.Kind) *deployment.Route {
	return &deployment.Route{Name: "r", Kind: kind, Timeout: 10 * time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 3, Backends: []deployment.Backend{{Service: "app", Weight: 1}}}
}

func request() *gate.Request {
	return &gate.Request{ID: "q", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Arrived: time.Now(), Timeout: 20 * time.Second}
}

var (
	answered = reply{status: 200, body: "answer"}
	broken   = reply{status: 200, body: "ans", broken: true}
	refusing = reply{status: 503, notRun: true}
	unsent   = reply{sendErr: &upstream.SendError{Err: errors.New("refused")}}
	lost     = reply{sendErr: &upstream.SendError{Sent: true, Err: errors.New("reset")}}
	failed   = reply{status: 500, body: "bad"}
)

var _ = Describe("a request", func() {
	DescribeTable("gets an outcome that says whether it may have run",
		func(kind deployment.Kind, replies []reply, end gate.End, body string, sends int) {
			s := &scriptedSender{replies: replies}
			o := newGate(s, 4).Serve(context.Background(), route(kind), request())
			Expect(o.End).To(Equal(end))
			Expect(string(o.Body)).To(Equal(body))
			Expect(s.endpoints()).To(HaveLen(sends))
			if end == gate.Refused {
				Expect(o.RetryAfter).To(BeNumerically(">", 0))
			}
		},
		Entry("answered", deployment.NonIdempotent, []reply{answered}, gate.Answered, "answer", 1),
		Entry("retried after refusals, whatever the kind", deployment.NonIdempotent, []reply{refusing, refusing, answered}, gate.Answered, "answer", 3),
		Entry("refused by every endpoint it may be sent to: it did not run", deployment.NonIdempotent, []reply{refusing}, gate.Refused, "", 3),
		Entry("never sent: it did not run", deployment.NonIdempotent, []reply{unsent}, gate.Refused, "", 3),
		Entry("lost after it was sent: it may have run and is not retried", deployment.NonIdempotent, []reply{lost, answered}, gate.Unknown, "", 1),
		Entry("a broken answer may have run", deployment.NonIdempotent, []reply{broken, answered}, gate.Unknown, "", 1),
		Entry("an endpoint's 5xx answer is passed on", deployment.NonIdempotent, []reply{failed, answered}, gate.Answered, "bad", 1),
		Entry("an idempotent request is retried at another endpoint", deployment.Idempotent, []reply{lost, answered}, gate.Answered, "answer", 2),
		Entry("an idempotent request is retried after a 5xx answer", deployment.Idempotent, []reply{failed, answered}, gate.Answered, "answer", 2),
		Entry("an unsigned answer is discarded and the request retried", deployment.Idempotent, []reply{{status: 200, body: "x", unsigned: true}, answered}, gate.Answered, "answer", 2),
		Entry("a refusal after a lost attempt: the request may have run", deployment.Idempotent, []reply{lost, refusing, refusing}, gate.Unknown, "", 3),
	)

	It("is sent to another endpoint by each attempt, at most as often as its route allows", func() {
		s := &scriptedSender{replies: []reply{refusing}}
		newGate(s, 8).Serve(context.Background(), route(deployment.Idempotent), request())
		sent := s.endpoints()
		Expect(sent).To(HaveLen(3))
		Expect(sent[0]).NotTo(Equal(sent[1]))
		Expect(sent[2]).NotTo(BeElementOf(sent[0], sent[1]))
	})

	It("is hedged when the first endpoint hangs, and the first attempt is cancelled", func() {
		// The endpoint hangs after it received the request. The caller waits 800 ms, which
		// a timeout of the connection would use up.
		s := &scriptedSender{replies: []reply{{neverAnswers: true}, answered}}
		o := newGate(s, 2).Serve(context.Background(), route(deployment.Idempotent), request())
		Expect(o.End).To(Equal(gate.Answered))
		Expect(s.endpoints()).To(HaveLen(2))
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.cancelled }).Should(Equal(1))
	})

	It("is never sent to two endpoints if it is not idempotent", func() {
		s := &scriptedSender{replies: []reply{{delay: 300 * time.Millisecond, status: 200, body: "answer"}, answered}}
		o := newGate(s, 2).Serve(context.Background(), route(deployment.NonIdempotent), request())
		Expect(o.End).To(Equal(gate.Answered))
		Expect(s.endpoints()).To(HaveLen(1))
	})

	It("is retried only within the retry budget", func() {
		// Every answer is lost. If each request were retried, an overloaded service would
		// get two or three times its load. The limit of the attempts is one for each request,
		// retryRatio for the retries and the burst of the retry budget.
		s := &scriptedSender{replies: []reply{lost}}
		g := newGate(s, 4)
		for range 100 {
			g.Serve(context.Background(), route(deployment.Idempotent), request())
		}
		Expect(len(s.endpoints())).To(BeNumerically("<=", 100+20+10))
	})

	It("times out after the timeout of its route or its caller, whichever is shorter", func() {
		s := &scriptedSender{replies: []reply{{neverAnswers: true}}}
		r := request()
		r.Timeout = 50 * time.Millisecond
		o := newGate(s, 1).Serve(context.Background(), route(deployment.NonIdempotent), r)
		Expect(o.End).To(Equal(gate.TimedOut))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.timeouts[0]).To(BeNumerically("<=", 50*time.Millisecond))
	})

	It("is cancelled at the endpoint when its caller cancels it", func() {
		s := &scriptedSender{replies: []reply{{neverAnswers: true}}}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		o := newGate(s, 1).Serve(ctx, route(deployment.NonIdempotent), request())
		Expect(o.End).To(Equal(gate.Cancelled))
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.cancelled }).Should(Equal(1))
	})

	It("gets a retry delay that differs from those of requests refused at the same time", func() {
		// Every endpoint is full and refuses, and 200 callers send requests at once. Each is
		// refused after the attempts that its route allows. If all got the same delay, they would
		// retry together and find the endpoints just as full.
		const callers, slots = 200, 10
		s := &scriptedSender{replies: []reply{refusing}}
		g := newGate(s, 4)
		refusedBySlot := map[time.Duration]int{}
		for range callers {
			o := g.Serve(context.Background(), route(deployment.Idempotent), request())
			Expect(o.End).To(Equal(gate.Refused))
			Expect(o.RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
			Expect(o.RetryAfter).To(BeNumerically("<=", 200*time.Millisecond))
			refusedBySlot[o.RetryAfter/(150*time.Millisecond/slots)]++
		}
		for slot, n := range refusedBySlot {
			Expect(n).To(BeNumerically("<", callers/3), "slot %d", slot)
		}
		Expect(len(s.endpoints())).To(BeNumerically("<=", 3*callers))
	})

	It("is refused at once when there is no endpoint", func() {
		o := newGate(&scriptedSender{replies: []reply{answered}}, 0).Serve(context.Background(), route(deployment.Idempotent), request())
		Expect(o.End).To(Equal(gate.Refused))
	})
})

// sink records a stream.
type sink struct {
	status int
	events []string
}

func (s *sink) Begin(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *sink) Event(raw []byte) error {
	s.events = append(s.events, string(raw))
	return nil
}

func streamed(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

var _ = Describe("a stream", func() {
	resumable := route(deployment.Streaming)
	resumable.Resumable = true

	It("is forwarded event by event", func() {
		out := &sink{}
		s := &scriptedSender{replies: []reply{{status: 200, body: streamed("1", "2")}}}
		Expect(newGate(s, 1).Stream(context.Background(), route(deployment.Streaming), request(), out).End).To(Equal(gate.Answered))
		Expect(out.events).To(HaveLen(2))
	})

	It("resumes at another endpoint after its last complete event if the route allows it", func() {
		out := &sink{}
		s := &scriptedSender{replies: []reply{{status: 200, body: streamed("1", "2") + "id: 3\nda", broken: true}, {status: 200, body: streamed("3", "4")}}}
		Expect(newGate(s, 2).Stream(context.Background(), resumable, request(), out).End).To(Equal(gate.Answered))
		Expect(strings.Join(out.events, "")).To(Equal(streamed("1", "2", "3", "4")))
		Expect(s.resumes).To(Equal([]int64{0, 2}))
	})

	It("is interrupted if the route is not resumable, neither resumed nor ended as complete", func() {
		out := &sink{}
		s := &scriptedSender{replies: []reply{{status: 200, body: streamed("1"), broken: true}, {status: 200, body: streamed("1", "2")}}}
		Expect(newGate(s, 2).Stream(context.Background(), route(deployment.Streaming), request(), out).End).To(Equal(gate.Interrupted))
		Expect(s.endpoints()).To(HaveLen(1))
	})

	It("forwards no event twice if an endpoint resumes too early", func() {
		out := &sink{}
		s := &scriptedSender{replies: []reply{{status: 200, body: streamed("1", "2"), broken: true}, {status: 200, body: streamed("2", "3")}, {status: 200, body: streamed("3")}}}
		Expect(newGate(s, 3).Stream(context.Background(), resumable, request(), out).End).To(Equal(gate.Answered))
		Expect(strings.Join(out.events, "")).To(Equal(streamed("1", "2", "3")))
	})

	It("ends without sending anything when it was lost before its headers and may not be retried", func() {
		out := &sink{}
		s := &scriptedSender{replies: []reply{lost, {status: 200, body: streamed("1")}}}
		Expect(newGate(s, 2).Stream(context.Background(), route(deployment.Streaming), request(), out).End).To(Equal(gate.Unknown))
		Expect(out.status).To(BeZero())
	})
})
