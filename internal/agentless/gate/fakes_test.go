package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
)

// slotEndpoints run a number of requests each and refuse more as full, unless they accept any
// number. A run takes a while.
type slotEndpoints struct {
	slots int // of one endpoint; 0: any number
	takes func(endpoint string) time.Duration

	mu      sync.Mutex
	running map[string]int
	most    int      // most concurrent runs of all endpoints
	sent    []string // IDs of the requests in the order in which they were sent
	refused int
}

// Send implements dispatch.Sender.
func (s *slotEndpoints) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	if !s.begin(e.ID, r) {
		return &dispatch.Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
	}
	takes := s.takes(e.ID)
	if strings.HasPrefix(r.ID, "filler") {
		takes = time.Minute
	}
	timer := time.NewTimer(takes)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-ctx.Done():
		err = &upstream.SendError{Sent: true, Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[e.ID]--
	if err != nil {
		return nil, err
	}
	return &dispatch.Answer{Status: http.StatusOK, Signed: true, Body: io.NopCloser(strings.NewReader(streamed("1")))}, nil
}

func (s *slotEndpoints) begin(endpoint string, r *dispatch.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = map[string]int{}
	}
	if s.slots > 0 && s.running[endpoint] >= s.slots {
		s.refused++
		return false
	}
	s.running[endpoint]++
	s.sent = append(s.sent, r.ID)
	total := 0
	for _, n := range s.running {
		total += n
	}
	s.most = max(s.most, total)
	return true
}

func (s *slotEndpoints) order() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.sent...)
}

// losing loses the answers to requests with the ID "lost".
type losing struct {
	dispatch.Sender
	lost atomic.Int64
}

// Send implements dispatch.Sender.
func (l *losing) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	if r.ID != "lost" {
		return l.Sender.Send(ctx, e, r)
	}
	l.lost.Add(1)
	return nil, &upstream.SendError{Sent: true, Err: errors.New("lost")}
}

func always(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// fixedShares assign the same slots to all services and customers.
type fixedShares struct{ slots, customer int }

func (f *fixedShares) Slots(string) (int, bool)                 { return f.slots, f.slots > 0 }
func (f *fixedShares) CustomerSlots(string, string) (int, bool) { return f.customer, f.customer > 0 }

// newDirectory returns a directory with endpoints of the service "app" and, if keys are required,
// customers.
func newDirectory(requireKeys bool, endpoints, slots int) *directory.Directory {
	d := directory.New("self", "", nil)
	for i := range endpoints {
		d.Put(deployment.Endpoint{ID: string(rune('a' + i)), Service: "app", Address: "x:1", Slots: slots})
	}
	declared := &deployment.Declaration{Version: 1, RequireKeys: requireKeys, Routes: []deployment.Route{*route(deployment.Idempotent)}}
	if requireKeys {
		declared.Customers = []deployment.Customer{{Name: "large"}, {Name: "small"}}
	}
	d.Declare(declared)
	return d
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// unreachable opens no connection before the time of a request is over.
type unreachable struct{}

// Send implements dispatch.Sender.
func (unreachable) Send(ctx context.Context, _ *deployment.Endpoint, _ *dispatch.Request) (*dispatch.Answer, error) {
	<-ctx.Done()
	return nil, &upstream.SendError{Err: ctx.Err()}
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func receive(result chan gate.Outcome) *gate.Outcome {
	var o gate.Outcome
	EventuallyWithOffset(1, result, "5s").Should(Receive(&o))
	return &o
}
