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
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/payload"
	"siskinloom.example/siskinloom/internal/standin"
)

// downEndpoints end under requests with the body "poison" and stay down until they are restarted.
// A harmless request that runs at an endpoint when that ends is cut off.
type downEndpoints struct {
	directory  *directory.Directory
	quarantine *quarantine.Quarantine

	mu       sync.Mutex
	down     map[string]chan struct{} // by address, closed when the endpoint ends
	mostDown int
	ends     int
	beside   map[string]bool // bodies of requests that wait for the end of their endpoint once
}

func newDownEndpoints(ids ...string) *downEndpoints {
	d := &downEndpoints{directory: directory.New("self", "", nil), down: map[string]chan struct{}{}, beside: map[string]bool{}}
	for _, id := range ids {
		d.directory.Put(deployment.Endpoint{ID: id, Service: "app", Address: id + ":1", Slots: 4, StartedAtMillis: 1})
		d.down[id+":1"] = make(chan struct{})
	}
	return d
}

func (d *downEndpoints) ended(address string) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down[address]
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Send implements dispatch.Sender.
func (d *downEndpoints) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	ended := d.ended(e.Address)
	if isClosed(ended) {
		return nil, &upstream.SendError{Err: io.EOF}
	}
	body := string(r.Body.Bytes())
	if body == "poison" {
		time.Sleep(10 * time.Millisecond)
		d.end(e.Address)
		return nil, &upstream.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
	}
	d.mu.Lock()
	waits := d.beside[body]
	delete(d.beside, body)
	d.mu.Unlock()
	if waits {
		<-ended
		return nil, &upstream.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
	}
	return &dispatch.Answer{Status: http.StatusOK, Signed: true, Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

// waitOnce has the next request with a body wait for the end of its endpoint.
func (d *downEndpoints) waitOnce(body string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beside[body] = true
}

func (d *downEndpoints) end(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if isClosed(d.down[address]) {
		return
	}
	close(d.down[address])
	d.ends++
	n := 0
	for _, ended := range d.down {
		if isClosed(ended) {
			n++
		}
	}
	d.mostDown = max(d.mostDown, n)
}

// restart starts all endpoints that are down again.
func (d *downEndpoints) restart() {
	for _, e := range d.directory.List("app") {
		d.mu.Lock()
		down := isClosed(d.down[e.Address])
		if down {
			d.down[e.Address] = make(chan struct{})
		}
		d.mu.Unlock()
		if down {
			e.StartedAtMillis++
			d.quarantine.EndpointListed(&e.Endpoint)
			d.directory.Put(e.Endpoint)
		}
	}
}

func (d *downEndpoints) counts() (ends, mostDown int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ends, d.mostDown
}

// RefusesConnections implements quarantine.Prober.
func (d *downEndpoints) RefusesConnections(_ context.Context, address string) bool {
	return isClosed(d.ended(address))
}

var _ = Describe("a request under which the endpoints of a small service end", func() {
	var endpoints *downEndpoints
	var switches *mechanism.Switches
	start := func(ids ...string) *gate.Gate {
		endpoints = newDownEndpoints(ids...)
		log := logrus.New()
		log.SetOutput(io.Discard)
		switches = &mechanism.Switches{}
		g := gate.New(endpoints.directory, endpoints, log, metrics.NewRegistry())
		g.Quarantine = quarantine.New("self", standin.NewTransactionalStore(), endpoints, log, metrics.NewRegistry())
		g.Quarantine.Directory, g.Quarantine.Switches = endpoints.directory, switches
		endpoints.quarantine = g.Quarantine
		return g
	}
	wide := func() *deployment.Route {
		r := route(deployment.Idempotent)
		r.MaxAttempts = 8
		return r
	}
	serve := func(g *gate.Gate, body string) gate.Outcome {
		r := request()
		r.Body = payload.Of([]byte(body))
		return g.Serve(context.Background(), wide(), r)
	}

	// Guards against the loss of the whole service: the gate's own retries took all three endpoints
	// within .34 s, and other callers were refused until one was back.
	DescribeTable("leaves one of several endpoints, and is refused at once until one is back",
		func(ids []string, allowed int) {
			g := start(ids...)
			Expect(serve(g, "poison").End).To(Equal(gate.Unknown), "the attempts that lost an endpoint may have run")
			for range 5 {
				serve(g, "poison") // the retry budget limits the attempts of each
			}
			_, most := endpoints.counts()
			Expect(most).To(Equal(allowed))
			// With an hour until its deadline, a request that waits for it fails the spec on any machine.
			patient, r := wide(), request()
			patient.Timeout, r.Timeout, r.Body = time.Hour, time.Hour, payload.Of([]byte("poison"))
			outcomes := make(chan gate.Outcome, 1)
			go func() { outcomes <- g.Serve(context.Background(), patient, r) }()
			var o gate.Outcome
			Eventually(outcomes, "20s").Should(Receive(&o))
			Expect(o.End).To(Equal(gate.Quarantined))
			Expect(o.RetryAfter).To(BeNumerically(">", time.Second))
			if allowed < len(ids)-1 {
				Expect(o.RetryAfter).To(BeNumerically(">", time.Minute))
			} else {
				Expect(o.RetryAfter).To(BeNumerically("<", 10*time.Second))
			}
			if len(ids) > 1 {
				Expect(serve(g, "harmless").End).To(Equal(gate.Answered))
			}
		},
		Entry("1 endpoint", []string{"a"}, 1),
		Entry("2 endpoints", []string{"a", "b"}, 1),
		Entry("3 endpoints", []string{"a", "b", "c"}, 2),
		Entry("40 endpoints", strings.Split("0123456789abcdefghijklmnopqrstuvwxyzABCD", ""), 3),
	)

	DescribeTable("is quarantined after a limited number of ends, however often endpoints are back",
		func(ids []string, limit int) {
			g := start(ids...)
			for range 6 {
				serve(g, "poison")
				endpoints.restart()
			}
			ends, _ := endpoints.counts()
			Expect(ends).To(Equal(limit))
			Expect(serve(g, "poison").RetryAfter).To(BeNumerically(">", time.Minute))
		},
		Entry("1 endpoint", []string{"a"}, 2),
		Entry("2 endpoints", []string{"a", "b"}, 3),
		Entry("3 endpoints", []string{"a", "b", "c"}, 3),
	)

	// Guards against copies that callers send at once, of which each would take an endpoint before
	// the first end is known.
	It("leaves one endpoint also if it is sent several times at once", func() {
		g := start("a", "b", "c")
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() { serve(g, "poison") })
		}
		group.Wait()
		_, most := endpoints.counts()
		Expect(most).To(Equal(2))
	})

	It("leaves one endpoint also if it is a stream that may be resumed", func() {
		g := start("a", "b", "c")
		resumable := wide()
		resumable.Kind, resumable.Resumable = deployment.Streaming, true
		stream := func() gate.Outcome {
			r := request()
			r.Body = payload.Of([]byte("poison"))
			return g.Stream(context.Background(), resumable, r, &sink{})
		}
		Expect(stream().End).To(Equal(gate.Unknown))
		Expect(stream().End).To(Equal(gate.Quarantined))
		_, most := endpoints.counts()
		Expect(most).To(Equal(2))
	})

	It("takes three endpoints, as before, while the mechanism is off", func() {
		g := start("a", "b", "c")
		switches.SetDisabled([]mechanism.Mechanism{mechanism.SpareEndpoints})
		for range 5 {
			serve(g, "poison")
		}
		_, most := endpoints.counts()
		Expect(most).To(Equal(3))
	})

	// Guards against refusals of harmless requests that were cut off by the end of their endpoint:
	// the other request ended one endpoint more and has caused both.
	It("does not keep a harmless request that ran beside it from the last endpoint", func() {
		g := start("a", "b", "c")
		for range 50 {
			serve(g, "earns retries")
		}
		done := make(chan gate.Outcome, 3)
		for i, body := range []string{"x", "y", "z"} { // one at each endpoint
			endpoints.waitOnce(body)
			go func() { done <- serve(g, body) }()
			Eventually(func() int {
				n := 0
				for _, e := range endpoints.directory.List("app") {
					n += e.InFlight
				}
				return n
			}).Should(Equal(i + 1))
		}
		for range 5 {
			serve(g, "poison")
		}
		ends, _ := endpoints.counts()
		Expect(ends).To(Equal(2))
		for range ends {
			Eventually(done, "5s").Should(Receive(HaveField("End", gate.Answered)))
		}
		for _, address := range []string{"a:1", "b:1", "c:1"} {
			endpoints.end(address)
		}
		Eventually(done, "5s").Should(Receive())
	})
})
