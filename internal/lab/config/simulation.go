// Package config measures the distribution of configuration and the assignment of duties
// at scale and under faults. It runs the policy packages in virtual time against a model
// of the platform's key-value service and checks invariants.
package config

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
)

// clock is a simulation's virtual time and source of random numbers. The processes of a
// dutySchedule derive their own clocks from it (see dutyProcess.now).
type clock struct {
	*timeline.Timeline
	rng *rand.Rand
}

func newClock(seed uint64) *clock {
	return &clock{Timeline: timeline.New(), rng: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// chance reports true with probability p.
func (c *clock) chance(p float64) bool {
	return c.rng.Float64() < p
}

// between returns a random duration in [minimum, maximum].
func (c *clock) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(c.rng.Int64N(int64(maximum-minimum)+1))
}

// never is the done function of a run that ends only when its time is over.
func never() bool { return false }

// storeOutcome is the outcome of a compare-and-swap as its caller sees it. The outcomes up
// to conflict are those of an answered call.
type storeOutcome int

const (
	swapped storeOutcome = iota
	conflict
	notApplied
	indeterminate
)

// storeFaults holds the probabilities of the faults of a write.
type storeFaults struct {
	lostRequest float64
	lostAnswer  float64
	lateRequest float64 // the request arrives after the caller's timeout
}

const (
	storeTimeout    = 300 * time.Millisecond
	maxRequestDelay = 2 * time.Second // of a late request, after the caller's timeout
)

// store models the key-value service with values of one type.
type store[T any] struct {
	clock          *clock
	faults         storeFaults
	outage         bool // the service is unavailable
	ignoreRevision bool // writes succeed whatever the expected revision; set if serviceRevisionCheck is disabled
	values         map[string]T
	revisions      map[string]int64
	reads          int
	writes         int
	callsPerSecond map[int64]int             // by Unix time
	afterWrite     func(key string, value T) // called after each write that took effect; may be nil
}

func newStore[T any](c *clock, faults storeFaults) *store[T] {
	return &store[T]{clock: c, faults: faults, values: map[string]T{}, revisions: map[string]int64{}, callsPerSecond: map[int64]int{}}
}

func (s *store[T]) latency() time.Duration {
	return s.clock.between(time.Millisecond, 10*time.Millisecond)
}

func (s *store[T]) countCall() {
	s.callsPerSecond[s.clock.Now().Unix()]++
}

// read reads a key and calls done with its value. In an outage it calls done after the
// timeout, with ok false.
func (s *store[T]) read(key string, done func(value T, revision int64, ok bool)) {
	s.reads++
	s.countCall()
	if s.outage {
		s.clock.After(storeTimeout, func() {
			var zero T
			done(zero, 0, false)
		})
		return
	}
	s.clock.After(s.latency(), func() {
		value, revision := s.values[key], s.revisions[key]
		s.clock.After(s.latency(), func() { done(value, revision, true) })
	})
}

// compareAndSwap writes a key if its revision is the expected one and calls done with the
// outcome. If that is swapped or conflict, value and revision are the current ones.
func (s *store[T]) compareAndSwap(key string, expected int64, value T, done func(outcome storeOutcome, value T, revision int64)) {
	s.writes++
	s.countCall()
	var zero T
	replyIndeterminate := func() { s.clock.After(storeTimeout, func() { done(indeterminate, zero, 0) }) }
	switch {
	case s.outage, s.clock.chance(s.faults.lostRequest):
		replyIndeterminate()
	case s.clock.chance(s.faults.lateRequest):
		s.clock.After(storeTimeout+s.clock.between(0, maxRequestDelay), func() { s.applyWrite(key, expected, value) })
		replyIndeterminate()
	default:
		lost := s.clock.chance(s.faults.lostAnswer)
		s.clock.After(s.latency(), func() {
			applied := s.applyWrite(key, expected, value)
			if lost {
				replyIndeterminate()
				return
			}
			current, revision := s.values[key], s.revisions[key]
			outcome := conflict
			if applied {
				outcome = swapped
			}
			s.clock.After(s.latency(), func() { done(outcome, current, revision) })
		})
	}
}

// applyWrite executes a compare-and-swap at once and reports whether it took effect.
func (s *store[T]) applyWrite(key string, expected int64, value T) bool {
	if s.revisions[key] != expected && !s.ignoreRevision {
		return false
	}
	s.revisions[key]++
	s.values[key] = value
	if s.afterWrite != nil {
		s.afterWrite(key, value)
	}
	return true
}
