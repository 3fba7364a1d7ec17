// Package routing measures endpoint choice, admission and membership in virtual
// time. It runs the real decision packages against a small model of engines, with a
// fixed seed, so that the results are reproducible.
package routing

import (
	"container/heap"
	"time"
)

// clock runs functions at virtual times.
type clock struct {
	now    time.Time
	queue  eventHeap
	serial uint64
}

type event struct {
	at     time.Time
	serial uint64 // preserves the order of events at the same time
	fn     func()
}

var epoch = time.Unix(1_700_000_000, 0)

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) after(d time.Duration, fn func()) {
	c.serial++
	heap.Push(&c.queue, event{at: c.now.Add(d), serial: c.serial, fn: fn})
}

// every calls fn at every interval, for the first time after one interval.
func (c *clock) every(d time.Duration, fn func()) {
	c.after(d, func() {
		fn()
		c.every(d, fn)
	})
}

// run executes the events up to the given time since epoch.
func (c *clock) run(duration time.Duration) {
	end := epoch.Add(duration)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.fn()
	}
	c.now = end
}

// elapsed returns the time since epoch.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
