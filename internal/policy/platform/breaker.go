package platform

import (
	"math/rand/v2"
	"time"
)

// State is what the breaker believes of the service.
type State int

// The states of a breaker.
const (
	Up   State = iota // calls pass
	Slow              // calls of the lower ranks fail fast
	Down              // calls fail fast, but for one probe at a time
)

// String returns the state as status shows it.
func (s State) String() string {
	switch s {
	case Slow:
		return "slow"
	case Down:
		return "down"
	default:
		return "up"
	}
}

// Result is how a call ended.
type Result int

// The results of a call.
const (
	Served  Result = iota // the service answered
	Refused               // the service refused it for its rate limit
	Failed                // no answer in time, or the service was unavailable
)

// Config holds a breaker's parameters.
type Config struct {
	FailuresToOpen int           // failures in a row that mean an outage
	SlowLatency      time.Duration // an answer later than this is slow
	SlowAnswersToShed     int           // slow answers in a row that mean a slow service
	ShedRank       Rank          // this rank and lower ones fail fast while it is slow
	InitialBackoff      time.Duration // before the first probe
	MaxBackoff    time.Duration // between probes
}

// DefaultConfig returns the parameters that siskinloomd uses.
func DefaultConfig() Config {
	return Config{
		FailuresToOpen: 3,
		SlowLatency:      200 * time.Millisecond,
		SlowAnswersToShed:     5,
		ShedRank:       4,
		InitialBackoff:      200 * time.Millisecond,
		MaxBackoff:    3 * time.Second,
	}
}

// Breaker watches the calls' results.
type Breaker struct {
	config   Config
	state    State
	failures int // in a row
	slow     int // in a row
	opened   int // times without an answer in between
	until    time.Time
	probing  bool
}

// NewBreaker returns a breaker that believes the service to be up.
func NewBreaker(config Config) *Breaker {
	return &Breaker{config: config}
}

// State returns what the breaker believes of the service.
func (b *Breaker) State() State {
	return b.state
}

// Blocked tells whether a call would not be allowed now.
func (b *Breaker) Blocked(now time.Time, rank Rank) bool {
	switch b.state {
	case Slow:
		return rank >= b.config.ShedRank
	case Down:
		return now.Before(b.until)
	default:
		return false
	}
}

// Allow tells whether a call may be sent now. Each call allowed is reported.
func (b *Breaker) Allow(now time.Time, rank Rank) bool {
	if b.Blocked(now, rank) {
		return false
	}
	if b.state == Down {
		// A probe that is never reported must not shut the service out for good.
		b.until = now.Add(b.config.MaxBackoff)
		b.probing = true
	}
	return true
}

// Report takes in a call's result. It returns true if the service has just
// come back from an outage.
func (b *Breaker) Report(now time.Time, result Result, took time.Duration, rnd *rand.Rand) bool {
	if result == Failed {
		b.fail(now, rnd)
		return false
	}
	back := b.state == Down
	b.failures, b.opened, b.probing = 0, 0, false
	b.slow++
	if took < b.config.SlowLatency {
		b.slow = 0
	}
	b.state = Up
	if b.slow >= b.config.SlowAnswersToShed {
		b.state = Slow
	}
	return back
}

func (b *Breaker) fail(now time.Time, rnd *rand.Rand) {
	b.failures++
	late := b.state == Down && !b.probing // sent before the breaker opened
	if late || b.state != Down && b.failures < b.config.FailuresToOpen {
		return
	}
	b.state = Down
	b.probing = false
	b.until = now.Add(Backoff(b.opened, b.config.InitialBackoff, b.config.MaxBackoff, rnd))
	b.opened++
}

// Backoff returns the wait after the nth failure in a row, n from 0: doubled
// each time up to longest, and spread over its upper half so that processes
// that failed together do not come back together.
func Backoff(n int, first, longest time.Duration, rnd *rand.Rand) time.Duration {
	wait := longest
	if n < 30 {
		wait = min(first<<n, longest)
	}
	return wait/2 + time.Duration(rnd.Int64N(int64(wait/2)+1))
}
