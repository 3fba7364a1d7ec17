// Package usagerun reports to the platform how many requests of each customer endpoints
// began to run. Processes that serve callers count and tell their counts to the holder
// of the duty and to those who may follow it; the holder reports each window once.
package usagerun

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

// Counter counts the requests of one process. It is safe for concurrent use; nil counts
// nothing.
type Counter struct {
	mu    sync.Mutex
	meter *usage.Meter
	wake  chan struct{} // something is to be told
}

// NewCounter returns a counter, or nil if usage is not reported.
func NewCounter(rules usage.Config) *Counter {
	if !rules.Enabled() {
		return nil
	}
	return &Counter{meter: usage.NewMeter(rules, time.Now()), wake: make(chan struct{}, 1)}
}

// Request is a request that may be counted. Its methods may be called on nil.
type Request struct {
	counter  *Counter
	customer string
	entered  usage.Window
	begun    bool
}

// Enter notes that a request of a customer came; nil if it is not to be counted.
func (c *Counter) Enter(customer string) *Request {
	if c == nil || customer == "" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Request{counter: c, customer: customer, entered: c.meter.Enter(time.Now())}
}

// CountStart counts the request, once, as begun by an endpoint at a moment.
func (r *Request) CountStart(at time.Time) {
	if r == nil || r.begun {
		return
	}
	r.begun = true
	c := r.counter
	c.mu.Lock()
	c.meter.CountStart(r.customer, at)
	c.mu.Unlock()
	c.kick()
}

// Leave notes that the request is over.
func (r *Request) Leave() {
	if r == nil {
		return
	}
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.counter.meter.Leave(r.entered)
}

func (c *Counter) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Update returns what is to be told to one who was told everything up to a version.
func (c *Counter) Update(after int64, now time.Time) (telling usage.Update, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	telling.Through = c.meter.FinalThrough(now)
	telling.Tallies = c.meter.Since(after)
	return telling, c.meter.Version()
}
