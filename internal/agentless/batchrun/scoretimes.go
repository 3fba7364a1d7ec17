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

// meanTime is a running mean of durations. It is safe for concurrent use.
type meanTime struct {
	mu   sync.Mutex
	mean time.Duration // 0: none yet
}

// add adds a duration with its weight in the mean.
func (t *meanTime) add(took time.Duration, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		t.mean = took
		return
	}
	t.mean += time.Duration(weight * float64(took-t.mean))
}

// value returns the mean, or 0 if there is none yet.
func (t *meanTime) value() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean
}

// scoreTimes tracks the latency of scoring calls.
type scoreTimes struct{ mean meanTime }

func (t *scoreTimes) observe(took time.Duration) { t.mean.add(took, scoreTimeWeight) }

// hedgeDelay returns how long a call may take before a second one is sent, or 0 if no latency
// is known yet.
func (t *scoreTimes) hedgeDelay() time.Duration {
	mean := t.mean.value()
	if mean == 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayFactor*float64(mean)))
}
