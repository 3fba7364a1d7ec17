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

// reply is what an endpoint does with one request.
type reply struct {
	after   time.Duration // before it answers; the caller may leave meanwhile
	status  int
	body    string
	broken  bool // the body breaks off
	unsaid  bool // no signature
	notRun  bool
	sendErr *upstream.SendError
	forever bool // it never answers
}

// script answers requests in order, whichever endpoint they come to.
type script struct {
	mu      sync.Mutex
	replies []reply
	sent    []string // endpoints in the order of requests
	left    []time.Duration
	resumes []int64
	ended   int // requests whose caller ended them
}

// Send implements dispatch.Sender.
func (s *script) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	s.mu.Lock()
	next := s.replies[min(len(s.sent), len(s.replies)-1)]
	s.sent = append(s.sent, e.ID)
	s.left = append(s.left, r.Timeout)
	s.resumes = append(s.resumes, r.ResumeAfter)
	s.mu.Unlock()
	if next.sendErr != nil {
		return nil, next.sendErr
	}
	wait := time.After(next.after)
	if next.forever {
		wait = nil
	}
	select {
	case <-wait:
	case <-ctx.Done():
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
		return nil, &upstream.SendError{Sent: true, Err: ctx.Err()}
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.broken {
		body = io.MultiReader(body, failing{})
	}
	return &dispatch.Answer{Status: next.status, Header: http.Header{"X-From": {e.ID}}, Body: io.NopCloser(body), NotRun: next.notRun, Signed: !next.unsaid}, nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (s *script) endpoints() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.sent...)
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
	fine   = reply{status: 200, body: "answer"}
	broken = reply{status: 200, body: "ans", broken: true}
	full   = reply{status: 503, notRun: true}
	unsent = reply{sendErr: &upstream.SendError{Err: errors.New("refused")}}
	lost   = reply{sendErr: &upstream.SendError{Sent: true, Err: errors.New("reset")}}
	failed = reply{status: 500, body: "bad"}
)

var _ = Describe("a request", func() {
	DescribeTable("ends truthfully",
		func(kind deployment.Kind, replies []reply, end gate.End, body string, sends int) {
			s := &script{replies: replies}
			o := newGate(s, 4).Serve(context.Background(), route(kind), request())
			Expect(o.End).To(Equal(end))
			Expect(string(o.Body)).To(Equal(body))
			Expect(s.endpoints()).To(HaveLen(sends))
			if end == gate.Refused {
				Expect(o.RetryAfter).To(BeNumerically(">", 0))
			}
		},
		Entry("answered", deployment.NonIdempotent, []reply{fine}, gate.Answered, "answer", 1),
		Entry("full endpoints are passed over, whatever the kind", deployment.NonIdempotent, []reply{full, full, fine}, gate.Answered, "answer", 3),
		Entry("refused by all that it may ask: it did not run", deployment.NonIdempotent, []reply{full}, gate.Refused, "", 3),
		Entry("never sent: it did not run", deployment.NonIdempotent, []reply{unsent}, gate.Refused, "", 3),
		Entry("lost after it was sent: it may have run, and is not repeated", deployment.NonIdempotent, []reply{lost, fine}, gate.Unknown, "", 1),
		Entry("a broken answer may have run", deployment.NonIdempotent, []reply{broken, fine}, gate.Unknown, "", 1),
		Entry("an endpoint's own failure is its answer", deployment.NonIdempotent, []reply{failed, fine}, gate.Answered, "bad", 1),
		Entry("an idempotent one goes on elsewhere", deployment.Idempotent, []reply{lost, fine}, gate.Answered, "answer", 2),
		Entry("also after a failure", deployment.Idempotent, []reply{failed, fine}, gate.Answered, "answer", 2),
		Entry("a spoiled answer is no answer", deployment.Idempotent, []reply{{status: 200, body: "x", unsaid: true}, fine}, gate.Answered, "answer", 2),
		Entry("a refusal after a loss is no promise", deployment.Idempotent, []reply{lost, full, full}, gate.Unknown, "", 3),
	)

	It("goes to another endpoint each time, never to more than its route allows", func() {
		s := &script{replies: []reply{full}}
		newGate(s, 8).Serve(context.Background(), route(deployment.Idempotent), request())
		sent := s.endpoints()
		Expect(sent).To(HaveLen(3))
		Expect(sent[0]).NotTo(Equal(sent[1]))
		Expect(sent[2]).NotTo(BeElementOf(sent[0], sent[1]))
	})

	It("asks a second endpoint when the first one hangs, and ends the first", func() {
		// The endpoint went silent with the request. The caller has 800 ms; waiting
		// for a time-out of the connection would use them up.
		s := &script{replies: []reply{{forever: true}, fine}}
		o := newGate(s, 2).Serve(context.Background(), route(deployment.Idempotent), request())
		Expect(o.End).To(Equal(gate.Answered))
		Expect(s.endpoints()).To(HaveLen(2))
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.ended }).Should(Equal(1))
	})

	It("never has two endpoints run one that is not idempotent", func() {
		s := &script{replies: []reply{{after: 300 * time.Millisecond, status: 200, body: "answer"}, fine}}
		o := newGate(s, 2).Serve(context.Background(), route(deployment.NonIdempotent), request())
		Expect(o.End).To(Equal(gate.Answered))
		Expect(s.endpoints()).To(HaveLen(1))
	})

	It("keeps repeats to a share of the requests", func() {
		// Every answer is lost. With a repeat for each, a service that is overloaded
		// would get twice or three times its load just then.
		s := &script{replies: []reply{lost}}
		g := newGate(s, 4)
		for range 100 {
			g.Serve(context.Background(), route(deployment.Idempotent), request())
		}
		Expect(len(s.endpoints())).To(BeNumerically("<=", 100+20+10))
	})

	It("ends at the time of its route or its caller, whichever is shorter", func() {
		s := &script{replies: []reply{{forever: true}}}
		r := request()
		r.Timeout = 50 * time.Millisecond
		o := newGate(s, 1).Serve(context.Background(), route(deployment.NonIdempotent), r)
		Expect(o.End).To(Equal(gate.TimedOut))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.left[0]).To(BeNumerically("<=", 50*time.Millisecond))
	})

	It("ends at the endpoint when its caller leaves", func() {
		s := &script{replies: []reply{{forever: true}}}
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, leave)
		o := newGate(s, 1).Serve(ctx, route(deployment.NonIdempotent), request())
		Expect(o.End).To(Equal(gate.Cancelled))
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.ended }).Should(Equal(1))
	})

	It("comes back at another moment than those that were refused with it", func() {
		// The load: every endpoint is full and refuses, and two hundred callers come
		// within a moment. Each is refused after the attempts that its route allows and
		// told when to return; together again they would find them just as full.
		const callers, slots = 200, 10
		s := &script{replies: []reply{full}}
		g := newGate(s, 4)
		back := map[time.Duration]int{}
		for range callers {
			o := g.Serve(context.Background(), route(deployment.Idempotent), request())
			Expect(o.End).To(Equal(gate.Refused))
			Expect(o.RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
			Expect(o.RetryAfter).To(BeNumerically("<=", 200*time.Millisecond))
			back[o.RetryAfter/(150*time.Millisecond/slots)]++
		}
		for slot, n := range back {
			Expect(n).To(BeNumerically("<", callers/3), "slot %d", slot)
		}
		Expect(len(s.endpoints())).To(BeNumerically("<=", 3*callers))
	})

	It("is refused at once when no endpoint is there", func() {
		o := newGate(&script{replies: []reply{fine}}, 0).Serve(context.Background(), route(deployment.Idempotent), request())
		Expect(o.End).To(Equal(gate.Refused))
	})
})

// sink collects a stream.
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

	It("is passed on event by event", func() {
		out := &sink{}
		s := &script{replies: []reply{{status: 200, body: streamed("1", "2")}}}
		Expect(newGate(s, 1).Stream(context.Background(), route(deployment.Streaming), request(), out).End).To(Equal(gate.Answered))
		Expect(out.events).To(HaveLen(2))
	})

	It("goes on elsewhere after its last whole event where it may be resumed", func() {
		out := &sink{}
		s := &script{replies: []reply{{status: 200, body: streamed("1", "2") + "id: 3\nda", broken: true}, {status: 200, body: streamed("3", "4")}}}
		Expect(newGate(s, 2).Stream(context.Background(), resumable, request(), out).End).To(Equal(gate.Answered))
		Expect(strings.Join(out.events, "")).To(Equal(streamed("1", "2", "3", "4")))
		Expect(s.resumes).To(Equal([]int64{0, 2}))
	})

	It("is broken off, never joined or ended as whole, where it may not", func() {
		out := &sink{}
		s := &script{replies: []reply{{status: 200, body: streamed("1"), broken: true}, {status: 200, body: streamed("1", "2")}}}
		Expect(newGate(s, 2).Stream(context.Background(), route(deployment.Streaming), request(), out).End).To(Equal(gate.Interrupted))
		Expect(s.endpoints()).To(HaveLen(1))
	})

	It("passes no event twice if an endpoint resumes too early", func() {
		out := &sink{}
		s := &script{replies: []reply{{status: 200, body: streamed("1", "2"), broken: true}, {status: 200, body: streamed("2", "3")}, {status: 200, body: streamed("3")}}}
		Expect(newGate(s, 3).Stream(context.Background(), resumable, request(), out).End).To(Equal(gate.Answered))
		Expect(strings.Join(out.events, "")).To(Equal(streamed("1", "2", "3")))
	})

	It("ends without a word when it was lost before it began and may not be repeated", func() {
		out := &sink{}
		s := &script{replies: []reply{lost, {status: 200, body: streamed("1")}}}
		Expect(newGate(s, 2).Stream(context.Background(), route(deployment.Streaming), request(), out).End).To(Equal(gate.Unknown))
		Expect(out.status).To(BeZero())
	})
})
