package standin

import (
	"context"
	"path"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const keyValuePrefix = "/siskinloom.platform.v1.KeyValue/"

// faults holds the faults of the key-value service that are switched on, and counts
// calls.
type faults struct {
	limiter *rate.Limiter // nil for no limit

	mu            sync.Mutex
	outage        bool
	started       chan struct{} // closed when an outage starts
	callDelay     time.Duration
	answersToLose int
	calls         map[string]int
}

func newFaults(callsPerSecond float64) *faults {
	f := &faults{started: make(chan struct{}), calls: map[string]int{}}
	if callsPerSecond > 0 {
		f.limiter = rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond)))
	}
	return f
}

func (f *faults) setOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on && !f.outage {
		close(f.started)
	}
	if !on && f.outage {
		f.started = make(chan struct{})
	}
	f.outage = on
}

// outageStarted returns a channel that is closed while an outage lasts.
func (f *faults) outageStarted() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}

// loseAnswer reports whether the answer of this write is lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answersToLose == 0 {
		return false
	}
	f.answersToLose--
	return true
}

// admit counts a call and applies outage, delay and call budget to it.
func (f *faults) admit(ctx context.Context, method string) error {
	f.mu.Lock()
	f.calls[path.Base(method)]++
	outage, callDelay := f.outage, f.callDelay
	f.mu.Unlock()
	if !strings.HasPrefix(method, keyValuePrefix) {
		return nil
	}
	if outage {
		return status.Error(codes.Unavailable, "outage")
	}
	if f.limiter != nil && !f.limiter.Allow() {
		return status.Error(codes.ResourceExhausted, "call budget")
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(callDelay):
		return nil
	}
}

func (f *faults) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := f.admit(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (f *faults) stream(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := f.admit(s.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, s)
}
