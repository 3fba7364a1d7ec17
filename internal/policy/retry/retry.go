// Package retry decides when a request may be sent a second time: a budget per
// business as a share of its own traffic, hedges after the class's own latency
// quantile, and the back-off between attempts. It keeps no clock and is not
// safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// DefaultRatio is the budget of a business that declares none.
const DefaultRatio = 0.1

// defaultBurst is how many retries a business may save up. It is small, so
// that a quiet hour does not pay for a storm.
const defaultBurst = 10

// Budget holds each business's retries to a share of its requests. During an
// overload every failure asks for a retry; without the bound retries add load
// just when there is none to spare, and goodput collapses.
type Budget struct {
	burst   float64
	buckets map[string]*bucket
}

type bucket struct {
	share  float64
	tokens float64 // never above burst
}

// NewBudget returns a budget in which each business starts with one retry.
func NewBudget() *Budget {
	return &Budget{burst: defaultBurst, buckets: map[string]*bucket{}}
}

// SetRatio declares the retries of a business per request of its own; 0 or
// less stands for DefaultRatio.
func (b *Budget) SetRatio(business string, share float64) {
	if share <= 0 {
		share = DefaultRatio
	}
	b.bucket(business).share = share
}

// Earn counts one first attempt of the business.
func (b *Budget) Earn(business string) {
	k := b.bucket(business)
	k.tokens = min(k.tokens+k.share, b.burst)
}

// Grant adds tokens to the business's budget whatever its traffic, up to the
// same burst.
func (b *Budget) Grant(business string, tokens float64) {
	k := b.bucket(business)
	k.tokens = min(k.tokens+tokens, b.burst)
}

// Spend takes one retry or hedge from the budget, false if none is left.
func (b *Budget) Spend(business string) bool {
	k := b.bucket(business)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

func (b *Budget) bucket(business string) *bucket {
	k := b.buckets[business]
	if k == nil {
		k = &bucket{share: DefaultRatio, tokens: 1}
		b.buckets[business] = k
	}
	return k
}

// Retryable tells whether a failed attempt may be repeated elsewhere. Only
// idempotent requests are: an Unknown outcome may have run. A refusal that
// holds for every endpoint alike is final.
func Retryable(idempotent bool, answer wire.Answer) bool {
	if !idempotent || answer.Outcome == wire.Answered {
		return false
	}
	switch answer.Reason {
	case wire.ReasonQuarantined, wire.ReasonRateLimited, wire.ReasonBadRequest,
		wire.ReasonCancelled, wire.ReasonDeadline:
		return false
	default:
		return true
	}
}

// Bounds of the back-off between attempts.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Backoff returns the pause before the retry with this number, counted from 1:
// uniform between zero and a ceiling that doubles. The spread keeps callers
// that failed together from coming back together.
func Backoff(attempt int, random *rand.Rand) time.Duration {
	ceiling := backoffBase
	for i := 1; i < attempt && ceiling < backoffMax; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, backoffMax)
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
