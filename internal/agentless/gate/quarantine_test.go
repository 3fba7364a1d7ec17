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
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/payload"
	"siskinloom.example/siskinloom/internal/standin"
)

// crashingEndpoints end under requests with the body "poison", after a delay, and are back at
// once as new incarnations. They answer other requests.
type crashingEndpoints struct {
	delay     time.Duration
	events    string // sent before an endpoint ends, unless the stream is resumed
	directory *directory.Directory

	mu    sync.Mutex
	ended int
}

// Send implements dispatch.Sender.
func (c *crashingEndpoints) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	if string(r.Body.Bytes()) != "poison" {
		return &dispatch.Answer{Status: http.StatusOK, Signed: true, Body: io.NopCloser(strings.NewReader("answer"))}, nil
	}
	select {
	case <-time.After(c.delay):
	case <-ctx.Done():
	}
	c.mu.Lock()
	c.ended++
	c.mu.Unlock()
	next := *e
	next.StartedAtMillis++
	c.directory.Put(next)
	if c.events != "" && r.ResumeAfter == 0 {
		return &dispatch.Answer{Status: http.StatusOK, Signed: true, Body: io.NopCloser(io.MultiReader(strings.NewReader(c.events), brokenReader{}))}, nil
	}
	return nil, &upstream.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
}

// RefusesConnections implements quarantine.Prober.
func (c *crashingEndpoints) RefusesConnections(context.Context, string) bool { return true }

func (c *crashingEndpoints) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

var _ = Describe("a request under which endpoints end", func() {
	const (
		limit       = 3 // endpoints that may end before the request is refused
		repeatLimit = 3 // endpoints that it may reach after that, at most
	)
	var endpoints *crashingEndpoints
	var g *gate.Gate
	poisonous := func() *gate.Request {
		r := request()
		r.Body = payload.Of([]byte("poison"))
		return r
	}
	wide := func(kind deployment.Kind) *deployment.Route {
		r := route(kind)
		r.MaxAttempts = 8
		return r
	}

	BeforeEach(func() {
		endpoints = &crashingEndpoints{}
		endpoints.directory = directory.New("self", "", nil)
		for _, id := range []string{"a", "b", "c"} {
			endpoints.directory.Put(deployment.Endpoint{ID: id, Service: "app", Address: id + ":1", Slots: 4, StartedAtMillis: 1})
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		g = gate.New(endpoints.directory, endpoints, log, metrics.NewRegistry())
		g.Quarantine = quarantine.New("self", standin.NewTransactionalStore(), endpoints, log, metrics.NewRegistry())
	})

	// A route allows more attempts than a request may take endpoints, and its caller sends the
	// request again.
	DescribeTable("takes a limited number of endpoints and is then refused at once",
		func(kind deployment.Kind, delay time.Duration) {
			endpoints.delay = delay
			for range 10 {
				g.Serve(context.Background(), wide(kind), poisonous())
			}
			Expect(endpoints.count()).To(Equal(limit))
			began := time.Now()
			o := g.Serve(context.Background(), wide(kind), poisonous())
			Expect(o.End).To(Equal(gate.Quarantined))
			Expect(o.RetryAfter).To(BeNumerically(">", time.Minute))
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			Expect(g.Serve(context.Background(), wide(kind), request()).End).To(Equal(gate.Answered))
		},
		Entry("idempotent", deployment.Idempotent, time.Duration(0)),
		Entry("not idempotent", deployment.NonIdempotent, time.Duration(0)),
		Entry("hedged before the first endpoint has ended", deployment.Idempotent, 200*time.Millisecond),
	)

	It("is answered as one that may have run, as long as it reaches an endpoint", func() {
		Expect(g.Serve(context.Background(), wide(deployment.Idempotent), poisonous()).End).To(Equal(gate.Unknown))
	})

	// Without the limit, a stream that is resumed takes one endpoint after the other.
	It("takes a limited number of endpoints as a stream, also if it sends events first", func() {
		resumable := wide(deployment.Streaming)
		resumable.Resumable = true
		endpoints.events = streamed("1", "2")
		for range 5 {
			g.Stream(context.Background(), resumable, poisonous(), &sink{})
		}
		Expect(endpoints.count()).To(BeNumerically("<=", limit+repeatLimit), "runs that went on say nothing; the others ended at one event")
		Expect(g.Stream(context.Background(), resumable, poisonous(), &sink{}).End).To(Equal(gate.Quarantined))
	})

	It("takes a limited number of endpoints as a stream that can't be resumed", func() {
		endpoints.events = streamed("1", "2")
		for range 5 {
			g.Stream(context.Background(), wide(deployment.Streaming), poisonous(), &sink{})
		}
		Expect(endpoints.count()).To(Equal(limit))
	})
})
