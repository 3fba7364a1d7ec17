package platform

import (
	"math/rand/v2"
	"time"
)

// State is the state of the key-value service as the breaker has inferred it from
// the results of calls.
type State int

// The states of a breaker.
const (
	Up   State = iota // the breaker is closed: all calls are allowed
	Slow              // calls with a rank of ShedRank or higher fail fast
	Down              // the breaker is open: calls fail fast, except for one probe at a time
)

// String returns the name of the state that status pages show.
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

// Result is the outcome of a call.
type Result int

// The results of a call.
const (
	Served  Result = iota // the service answered
	Refused               // the service rejected the call because of its rate limit
	Failed                // the call timed out or the service was unavailable
)

// Config holds a breaker's parameters.
type Config struct {
	FailuresToOpen    int           // consecutive failures that open the breaker
	SlowLatency       time.Duration // an answer that takes at least this long is slow
	SlowAnswersToShed int           // consecutive slow answers that start shedding
	ShedRank          Rank          // calls with this rank or a higher number fail fast while the service is slow
	InitialBackoff    time.Duration // delay before the first probe, before jitter
	MaxBackoff        time.Duration // longest delay between probes
}

// DefaultConfig returns the parameters that siskinloomd uses. ShedRank is the rank of
// kv.UseWeights: while the service is slow, calls for weights, the quarantine and
// status fail fast.
func DefaultConfig() Config {
	return Config{
		FailuresToOpen:    3,
		SlowLatency:       200 * time.Millisecond,
		SlowAnswersToShed: 5,
		ShedRank:          4,
		InitialBackoff:    200 * time.Millisecond,
		MaxBackoff:        3 * time.Second,
	}
}

// Breaker is a circuit breaker. It infers the state of the service from the results
// of calls and rejects calls while the service is down, or less important calls
// while it is slow.
type Breaker struct {
	config      Config
	state       State
	failures    int       // consecutive failures
	slowAnswers int       // consecutive slow answers
	opens       int       // times the breaker opened since the last answer; sets the backoff
	probeAt     time.Time // no probe is allowed before this time; valid while Down
	probing     bool      // a probe is in flight
}

// NewBreaker returns a closed breaker.
func NewBreaker(config Config) *Breaker {
	return &Breaker{config: config}
}

// State returns the inferred state of the service.
func (b *Breaker) State() State {
	return b.state
}

// Blocked reports whether Allow would reject a call of the rank now. It changes
// nothing.
func (b *Breaker) Blocked(now time.Time, rank Rank) bool {
	switch b.state {
	case Slow:
		return rank >= b.config.ShedRank
	case Down:
		return now.Before(b.probeAt)
	default:
		return false
	}
}

// Allow reports whether a call may be sent now. The caller must pass the result of
// each allowed call to Report.
func (b *Breaker) Allow(now time.Time, rank Rank) bool {
	if b.Blocked(now, rank) {
		return false
	}
	if b.state == Down {
		// If this probe is never reported, the next one is allowed after MaxBackoff.
		// Otherwise a lost report would keep the breaker open forever.
		b.probeAt = now.Add(b.config.MaxBackoff)
		b.probing = true
	}
	return true
}

// Report records the result of a call and the time that it took. It returns true if
// the answer ends an outage.
func (b *Breaker) Report(now time.Time, result Result, took time.Duration, rnd *rand.Rand) bool {
	if result == Failed {
		b.recordFailure(now, rnd)
		return false
	}
	recovered := b.state == Down
	b.failures, b.opens, b.probing = 0, 0, false
	b.slowAnswers++
	if took < b.config.SlowLatency {
		b.slowAnswers = 0
	}
	b.state = Up
	if b.slowAnswers >= b.config.SlowAnswersToShed {
		b.state = Slow
	}
	return recovered
}

func (b *Breaker) recordFailure(now time.Time, rnd *rand.Rand) {
	b.failures++
	sentBeforeOpen := b.state == Down && !b.probing
	if sentBeforeOpen || b.state != Down && b.failures < b.config.FailuresToOpen {
		return
	}
	b.state = Down
	b.probing = false
	b.probeAt = now.Add(Backoff(b.opens, b.config.InitialBackoff, b.config.MaxBackoff, rnd))
	b.opens++
}

// Backoff returns the delay after the nth consecutive failure, where n counts from 0.
// The delay doubles with each failure up to maximum. Jitter over its upper half
// prevents processes that failed together from retrying together.
func Backoff(n int, initial, maximum time.Duration, rnd *rand.Rand) time.Duration {
	wait := maximum
	if n < 30 {
		wait = min(initial<<n, maximum)
	}
	return wait/2 + time.Duration(rnd.Int64N(int64(wait/2)+1))
}
