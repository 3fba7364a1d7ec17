package entry

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/retry"
)

// RetryPolicy holds the retry budgets and the hedging policy. It implements
// RetryBudget and Hedger and is safe for concurrent use.
type RetryPolicy struct {
	mu             sync.Mutex
	budget         *retry.Budget
	hedge          *retry.Hedge
	hedgeQuantiles map[string]float64 // latency quantile after which to hedge, by class
}

// NewRetryPolicy returns a policy with the default ratio for every business and
// without hedging. Configure sets the declared values.
func NewRetryPolicy() *RetryPolicy {
	return &RetryPolicy{budget: retry.NewBudget(), hedge: retry.NewHedge(), hedgeQuantiles: map[string]float64{}}
}

// Configure sets the retry ratios of the deployment's businesses and the hedge
// quantiles of its classes.
func (r *RetryPolicy) Configure(d decl.Deployment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range d.Businesses {
		r.budget.SetRatio(b.Name, b.RetryBudget)
	}
	r.hedgeQuantiles = map[string]float64{}
	for _, c := range d.Classes {
		r.hedgeQuantiles[c.Name] = c.HedgeAt
	}
}

// Earn implements RetryBudget.
func (r *RetryPolicy) Earn(business string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Earn(business)
}

// Spend implements RetryBudget.
func (r *RetryPolicy) Spend(business string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Spend(business)
}

// Delay implements Hedger.
func (r *RetryPolicy) Delay(class string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay, ok := r.hedge.Delay(class, r.hedgeQuantiles[class])
	if !ok {
		return 0
	}
	return delay
}

// Observe implements Hedger.
func (r *RetryPolicy) Observe(class string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hedge.Observe(class, latency)
}
