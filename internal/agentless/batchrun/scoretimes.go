package batchrun

import (
	"sync"
	"time"
)

const (
	// hedgeDelayFactor times the mean latency of scoring calls is the delay before a second
	// call is sent.
	hedgeDelayFactor = 2.5
	// minHedgeDelay keeps second calls off scorers that answer at once.
	minHedgeDelay = 100 * time.Millisecond
	// scoreTimeWeight is the weight of a new call in the running mean.
	scoreTimeWeight = 0.05
)

// scoreTimes tracks the latency of scoring calls. It is safe for concurrent use.
type scoreTimes struct {
	mu   sync.Mutex
	mean time.Duration // running mean; 0: no call yet
}

func (t *scoreTimes) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		t.mean = took
		return
	}
	t.mean += time.Duration(scoreTimeWeight * float64(took-t.mean))
}

// hedgeDelay returns how long a call may take before a second one is sent, or 0 if no latency
// is known yet.
func (t *scoreTimes) hedgeDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayFactor*float64(t.mean)))
}
