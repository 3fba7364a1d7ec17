// Package retry decides whether a request may be sent a second time. It provides a
// retry budget for each business as a ratio of its own traffic, hedged requests
// after a quantile of the class's own latency, and the backoff between attempts.
// It reads no clock, and its types are not safe for concurrent use.
package retry

import (
	"maps"
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// DefaultRatio is the number of retries per request of a business that declares
// none.
const DefaultRatio = 0.1

// defaultBurst is the number of retries that a business may accumulate. It is small,
// so that the tokens of a long time without failures do not allow a retry storm.
const defaultBurst = 10

// Budget limits the retries of each business to a ratio of its requests, with a
// token bucket for each. During an overload every failure leads to a retry; without
// the limit retries add load when there is no capacity for it, and goodput
// collapses.
type Budget struct {
	burst   float64
	buckets map[string]*bucket
}

// bucket is the token bucket of one business.
type bucket struct {
	ratio  float64 // tokens earned by each first attempt
	tokens float64 // never above Budget.burst
}

// NewBudget returns a Budget in which each business starts with one retry.
func NewBudget() *Budget {
	return &Budget{burst: defaultBurst, buckets: map[string]*bucket{}}
}

// SetRatio sets how many retries a business may send per request of its own. A
// ratio of 0 or less stands for DefaultRatio.
func (b *Budget) SetRatio(business string, ratio float64) {
	if ratio <= 0 {
		ratio = DefaultRatio
	}
	b.bucket(business).ratio = ratio
}

// Earn adds the tokens for one first attempt of the business.
func (b *Budget) Earn(business string) {
	k := b.bucket(business)
	k.tokens = min(k.tokens+k.ratio, b.burst)
}

// Grant adds tokens to the business's budget independently of its traffic, up to
// the same burst.
func (b *Budget) Grant(business string, tokens float64) {
	k := b.bucket(business)
	k.tokens = min(k.tokens+tokens, b.burst)
}

// Spend takes the token for one retry or hedge from the budget. It returns false
// if there is none.
func (b *Budget) Spend(business string) bool {
	k := b.bucket(business)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// Retain drops the budgets of businesses for which keep returns false.
func (b *Budget) Retain(keep func(business string) bool) {
	maps.DeleteFunc(b.buckets, func(business string, _ *bucket) bool { return !keep(business) })
}

func (b *Budget) bucket(business string) *bucket {
	k := b.buckets[business]
	if k == nil {
		k = &bucket{ratio: DefaultRatio, tokens: 1}
		b.buckets[business] = k
	}
	return k
}

// Retryable reports whether a failed attempt may be repeated at another endpoint.
// Only idempotent requests may be repeated, since a request with an Unknown outcome may
// have run. A refusal that every endpoint would give is final.
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

// Bounds of the backoff between attempts.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Backoff returns the delay before a retry, with full jitter: it is drawn uniformly
// between zero and a ceiling that doubles with each attempt. attempt counts from 1.
// The jitter keeps callers that failed together from retrying together.
func Backoff(attempt int, random *rand.Rand) time.Duration {
	ceiling := backoffBase
	for i := 1; i < attempt && ceiling < backoffMax; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, backoffMax)
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
