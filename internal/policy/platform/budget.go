// Package platform decides when a process may call the platform's key-value
// service. Budget is a rate limit that all uses of the service share by priority.
// Breaker is a circuit breaker that rejects all calls while the service is down and
// the less important ones while it is slow. Callers pass in the current time. Neither
// type is safe for concurrent use.
package platform

import (
	"time"

	"golang.org/x/time/rate"
)

// Rank is the priority of a use of the service. Rank 0 is the most important.
type Rank int

// Parameters of the budget.
const (
	// reservedShare is the share of the burst that the least important rank cannot
	// use, so that a flood of status reads never delays the renewal of a lease.
	reservedShare = 0.6
	// minRateShare is the share of the declared rate below which refusals by the
	// service do not lower the budget.
	minRateShare = 0.1
	// recoveryStep is the share of the declared rate that each served call restores.
	recoveryStep = 0.02
)

// Budget is a token bucket of calls. Each rank leaves a reserve of tokens in the
// bucket for the more important ranks.
type Budget struct {
	limiter  *rate.Limiter
	declared float64 // calls per second
	current  float64 // calls per second; refusals lower it
	burst    int
	maxRank  Rank // the least important rank
}

// NewBudget returns a full bucket of burst calls, refilled at perSecond, for ranks 0
// to maxRank.
func NewBudget(perSecond float64, burst int, maxRank Rank) *Budget {
	return &Budget{
		limiter:  rate.NewLimiter(rate.Limit(perSecond), burst),
		declared: perSecond,
		current:  perSecond,
		burst:    burst,
		maxRank:  maxRank,
	}
}

// Take takes one token for a call of the rank and returns 0. If too few tokens are
// left, it takes none and returns how long to wait before the next try.
func (b *Budget) Take(now time.Time, rank Rank) time.Duration {
	need := 1 + b.reserve(rank)
	if have := b.limiter.TokensAt(now); have < need {
		return time.Duration((need - have) / b.current * float64(time.Second))
	}
	b.limiter.AllowN(now, 1)
	return 0
}

// reserve returns the number of tokens that the rank must leave in the bucket.
func (b *Budget) reserve(rank Rank) float64 {
	if b.maxRank == 0 {
		return 0
	}
	return reservedShare * float64(b.burst-1) * float64(rank) / float64(b.maxRank)
}

// Refused halves the rate after the service refused a call because of its own rate
// limit: all processes together exceed that limit, so each of them slows down.
func (b *Budget) Refused(now time.Time) {
	b.setRate(now, max(b.current/2, b.declared*minRateShare))
}

// Served restores some of the rate that refusals took away.
func (b *Budget) Served(now time.Time) {
	if b.current < b.declared {
		b.setRate(now, min(b.current+b.declared*recoveryStep, b.declared))
	}
}

// Drain empties the bucket. Otherwise every process would spend a full burst at the
// moment when the service recovers from an outage, and overload it again. With an
// empty bucket they resume at their steady rate.
func (b *Budget) Drain(now time.Time) {
	tokens := b.limiter.TokensAt(now)
	if tokens >= 1 {
		b.limiter.AllowN(now, int(tokens))
	}
}

// Rate returns the current limit in calls per second.
func (b *Budget) Rate() float64 {
	return b.current
}

func (b *Budget) setRate(now time.Time, perSecond float64) {
	b.current = perSecond
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
}
