package callers

import (
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/retry"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	retryEndpoints   = 10
	retryQueueLimit  = 8 // limit of requests at one endpoint, including the running one
	retryServiceTime = 20 * time.Millisecond
	retryDeadline    = 400 * time.Millisecond
	retryLoadFactor  = 3.0
	retryDuration    = 60 * time.Second
	maxRetryAttempts = 4
	hedgeQuantile    = 0.95
)

// retryWorld simulates a service under a multiple of its capacity: endpoints with short
// queues, callers of two businesses, and the entry's retry policy.
type retryWorld struct {
	clock    *clock
	budget   *retry.Budget // nil in the baseline, which retries every refused request
	hedge    *retry.Hedge
	queued   [retryEndpoints]int
	freeAt   [retryEndpoints]time.Time
	requests int
	attempts int
	onTime   int // requests answered within their deadline
}

// retryCall is one idempotent request.
type retryCall struct {
	business  string
	arrivedAt time.Time
	attempts  int
	answered  bool
}

func runRetries(budgeted bool) *retryWorld {
	w := &retryWorld{clock: newClock(3), hedge: retry.NewHedge()}
	if budgeted {
		w.budget = retry.NewBudget()
		w.budget.SetRatio("kheda", 0.1)
		w.budget.SetRatio("kartli", 0.05)
	}
	w.clock.after(0, w.arrive)
	w.clock.runUntil(w.clock.now.Add(retryDuration))
	return w
}

func (w *retryWorld) arrive() {
	rate := retryLoadFactor * retryEndpoints / retryServiceTime.Seconds()
	c := &retryCall{business: "kheda", arrivedAt: w.clock.now}
	if w.clock.chance(0.5) {
		c.business = "kartli"
	}
	w.requests++
	if w.budget != nil {
		w.budget.Earn(c.business)
	}
	w.send(c)
	w.scheduleHedge(c)
	gap := time.Duration(w.clock.random.ExpFloat64() / rate * float64(time.Second))
	w.clock.after(gap, w.arrive)
}

// scheduleHedge sends a second attempt if the first one takes longer than the
// hedgeQuantile of the latencies.
func (w *retryWorld) scheduleHedge(c *retryCall) {
	delay, ok := w.hedge.Delay("lookup", hedgeQuantile)
	if !ok {
		return
	}
	w.clock.after(delay, func() {
		if !c.answered && w.mayRetry(c) {
			w.send(c)
		}
	})
}

func (w *retryWorld) send(c *retryCall) {
	if c.answered || c.attempts >= maxRetryAttempts {
		return
	}
	c.attempts++
	w.attempts++
	e := w.clock.random.IntN(retryEndpoints)
	if w.queued[e] >= retryQueueLimit {
		w.clock.after(time.Millisecond, func() { w.handleRefusal(c) })
		return
	}
	w.queued[e]++
	start := w.clock.now
	if w.freeAt[e].After(start) {
		start = w.freeAt[e]
	}
	end := start.Add(w.clock.between(retryServiceTime/2, 3*retryServiceTime/2))
	w.freeAt[e] = end
	w.clock.after(end.Sub(w.clock.now), func() {
		w.queued[e]--
		w.handleAnswer(c)
	})
}

func (w *retryWorld) handleAnswer(c *retryCall) {
	if c.answered {
		return
	}
	c.answered = true
	latency := w.clock.now.Sub(c.arrivedAt)
	w.hedge.Observe("lookup", latency)
	if latency <= retryDeadline {
		w.onTime++
	}
}

func (w *retryWorld) handleRefusal(c *retryCall) {
	refusal := wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull}
	if c.answered || !retry.Retryable(true, refusal) || !w.mayRetry(c) {
		return
	}
	w.clock.after(retry.Backoff(c.attempts, w.clock.random), func() { w.send(c) })
}

func (w *retryWorld) mayRetry(c *retryCall) bool {
	return w.budget == nil || w.budget.Spend(c.business)
}

// amplification returns the number of attempts per request.
func (w *retryWorld) amplification() float64 {
	return float64(w.attempts) / float64(w.requests)
}

func measureRetries() ([]bounds.Figure, error) {
	budgeted, baseline := runRetries(true), runRetries(false)
	return []bounds.Figure{
		{Name: "callers.amplification", Value: budgeted.amplification()},
		{Name: "callers.amplification.baseline", Value: baseline.amplification()},
	}, nil
}
