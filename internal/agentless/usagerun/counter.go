// Package usagerun reports to the platform how many requests of each customer the
// endpoints started to run. Processes that serve callers count requests and send their
// counts to the holder of the reporting duty and to the processes that may succeed it.
// The holder reports each window once. Package policy/usage makes the decisions.
package usagerun

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

// Counter counts the requests of one process. It is safe for concurrent use. A nil
// Counter counts nothing.
type Counter struct {
	mu    sync.Mutex
	meter *usage.Meter
	wake  chan struct{} // notifies the Sender of changed counts
}

// NewCounter returns a Counter, or nil if usage is not reported.
func NewCounter(config usage.Config) *Counter {
	if !config.Enabled() {
		return nil
	}
	return &Counter{meter: usage.NewMeter(config, time.Now()), wake: make(chan struct{}, 1)}
}

// Request is a request that is counted once it starts to run. Its methods may be called
// on nil.
type Request struct {
	counter  *Counter
	customer string
	entered  usage.Window
	counted  bool
}

// Enter records the arrival of a customer's request. It returns nil if the request is
// not to be counted.
func (c *Counter) Enter(customer string) *Request {
	if c == nil || customer == "" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Request{counter: c, customer: customer, entered: c.meter.Enter(time.Now())}
}

// CountStart counts the request as started by an endpoint at the given time. Only its
// first call has an effect.
func (r *Request) CountStart(at time.Time) {
	if r == nil || r.counted {
		return
	}
	r.counted = true
	c := r.counter
	c.mu.Lock()
	c.meter.CountStart(r.customer, at)
	c.mu.Unlock()
	c.notifySender()
}

// Leave records the end of the request.
func (r *Request) Leave() {
	if r == nil {
		return
	}
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.counter.meter.Leave(r.entered)
}

// notifySender wakes the Sender, because counts have changed.
func (c *Counter) notifySender() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Update returns the update for a receiver that has all counts up to a version, and the
// current version.
func (c *Counter) Update(after int64, now time.Time) (update usage.Update, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update.Through = c.meter.FinalThrough(now)
	update.Tallies = c.meter.Since(after)
	return update, c.meter.Version()
}
