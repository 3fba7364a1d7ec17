package callers

import (
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/retry"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	retryEndpoints = 10
	retryQueue     = 8 // requests on one endpoint at most, the running one included
	retryService   = 20 * time.Millisecond
	retryDeadline  = 400 * time.Millisecond
	retryOverload  = 3.0
	retryTime      = 60 * time.Second
	retryAttempts  = 4
	retryHedgeAt   = 0.95
)

// retryWorld is a service at a multiple of its capacity: endpoints with short
// queues, callers of two businesses, and the entry's retry policy.
type retryWorld struct {
	clock    *clock
	budget   *retry.Budget // nil: the baseline retries whatever fails
	hedge    *retry.Hedge
	queued   [retryEndpoints]int
	free     [retryEndpoints]time.Time
	requests int
	attempts int
	onTime   int
}

// retryCall is one idempotent request.
type retryCall struct {
	business string
	arrived  time.Time
	tries    int
	ended    bool
}

func runRetries(budgeted bool) *retryWorld {
	w := &retryWorld{clock: newClock(3), hedge: retry.NewHedge()}
	if budgeted {
		w.budget = retry.NewBudget()
		w.budget.SetRatio("kheda", 0.1)
		w.budget.SetRatio("kartli", 0.05)
	}
	w.clock.after(0, w.arrive)
	w.clock.runUntil(w.clock.now.Add(retryTime))
	return w
}

func (w *retryWorld) arrive() {
	rate := retryOverload * retryEndpoints / retryService.Seconds()
	c := &retryCall{business: "kheda", arrived: w.clock.now}
	if w.clock.chance(0.5) {
		c.business = "kartli"
	}
	w.requests++
	if w.budget != nil {
		w.budget.Earn(c.business)
	}
	w.send(c)
	w.planHedge(c)
	gap := time.Duration(w.clock.random.ExpFloat64() / rate * float64(time.Second))
	w.clock.after(gap, w.arrive)
}

// planHedge sends a second attempt once the first is slower than usual.
func (w *retryWorld) planHedge(c *retryCall) {
	delay, ok := w.hedge.Delay("lookup", retryHedgeAt)
	if !ok {
		return
	}
	w.clock.after(delay, func() {
		if !c.ended && w.mayRetry(c) {
			w.send(c)
		}
	})
}

func (w *retryWorld) send(c *retryCall) {
	if c.ended || c.tries >= retryAttempts {
		return
	}
	c.tries++
	w.attempts++
	e := w.clock.random.IntN(retryEndpoints)
	if w.queued[e] >= retryQueue {
		w.clock.after(time.Millisecond, func() { w.failed(c) })
		return
	}
	w.queued[e]++
	start := w.clock.now
	if w.free[e].After(start) {
		start = w.free[e]
	}
	end := start.Add(w.clock.between(retryService/2, 3*retryService/2))
	w.free[e] = end
	w.clock.after(end.Sub(w.clock.now), func() {
		w.queued[e]--
		w.answered(c)
	})
}

func (w *retryWorld) answered(c *retryCall) {
	if c.ended {
		return
	}
	c.ended = true
	took := w.clock.now.Sub(c.arrived)
	w.hedge.Observe("lookup", took)
	if took <= retryDeadline {
		w.onTime++
	}
}

func (w *retryWorld) failed(c *retryCall) {
	refusal := wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull}
	if c.ended || !retry.Retryable(true, refusal) || !w.mayRetry(c) {
		return
	}
	w.clock.after(retry.Backoff(c.tries, w.clock.random), func() { w.send(c) })
}

func (w *retryWorld) mayRetry(c *retryCall) bool {
	return w.budget == nil || w.budget.Spend(c.business)
}

func (w *retryWorld) amplification() float64 {
	return float64(w.attempts) / float64(w.requests)
}

func measureRetries() ([]bounds.Figure, error) {
	budgeted, plain := runRetries(true), runRetries(false)
	return []bounds.Figure{
		{Name: "callers.amplification", Value: budgeted.amplification()},
		{Name: "callers.amplification.baseline", Value: plain.amplification()},
	}, nil
}
