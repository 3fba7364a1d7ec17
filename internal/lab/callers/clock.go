package callers

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function to be called at a virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock runs events in virtual time and draws random numbers for one schedule.
type clock struct {
	now    time.Time
	queue  eventQueue
	serial int
	random *rand.Rand
}

func newClock(seed uint64) *clock {
	return &clock{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 0x5151)),
	}
}

// after schedules run after d.
func (c *clock) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, event{at: c.now.Add(d), serial: c.serial, run: run})
}

// runUntil runs all events up to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// between returns a random duration from lo to hi.
func (c *clock) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.random.Int64N(int64(hi-lo)+1))
}

// chance returns true with probability p.
func (c *clock) chance(p float64) bool { return c.random.Float64() < p }
