// Package timeline runs functions in virtual time for the deterministic
// measurements.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline runs functions in the order of their times, and those with the same time
// in the order in which they were added. It is not safe for concurrent use.
type Timeline struct {
	now   time.Time
	queue itemQueue
	added uint64
}

type item struct {
	at       time.Time
	sequence uint64
	run      func()
}

type itemQueue []item

// Len implements heap.Interface.
func (s itemQueue) Len() int { return len(s) }

// Less implements heap.Interface.
func (s itemQueue) Less(i, j int) bool {
	if c := s[i].at.Compare(s[j].at); c != 0 {
		return c < 0
	}
	return s[i].sequence < s[j].sequence
}

// Swap implements heap.Interface.
func (s itemQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *itemQueue) Push(x any) { *s = append(*s, x.(item)) }

// Pop implements heap.Interface.
func (s *itemQueue) Pop() any {
	last := len(*s) - 1
	popped := (*s)[last]
	*s = (*s)[:last]
	return popped
}

// New returns an empty timeline that starts at a fixed time.
func New() *Timeline { return &Timeline{now: time.Unix(1_000_000, 0)} }

// Now returns the virtual time.
func (t *Timeline) Now() time.Time { return t.now }

// After schedules fn to run after d. If d is 0, fn runs at the current time, after
// the functions that are already due.
func (t *Timeline) After(d time.Duration, fn func()) {
	t.added++
	heap.Push(&t.queue, item{at: t.now.Add(d), sequence: t.added, run: fn})
}

// Run runs the scheduled functions until done returns true, the time limit has
// passed or none is left, and returns the virtual time that has passed.
func (t *Timeline) Run(limit time.Duration, done func() bool) time.Duration {
	start := t.now
	end := start.Add(limit)
	for len(t.queue) > 0 && !done() {
		if t.queue[0].at.After(end) {
			t.now = end // the function stays scheduled for the next call of Run
			break
		}
		next := heap.Pop(&t.queue).(item)
		t.now = next.at
		next.run()
	}
	return t.now.Sub(start)
}
