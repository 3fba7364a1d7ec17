package batchrun

import (
	"sync"
	"time"
)

const (
	// hedgeDelayFactor times the usual time of a scoring call passes before a second one is
	// made beside it.
	hedgeDelayFactor = 2.5
	// minHedgeDelay keeps second calls off scorers that answer at once.
	minHedgeDelay = 100 * time.Millisecond
	// scoreTimeWeight is the share of a new call in the running mean.
	scoreTimeWeight = 0.05
)

// scoreTimes is how long scoring calls take. It is safe for concurrent use.
type scoreTimes struct {
	mu   sync.Mutex
	mean time.Duration // running mean; 0: none was made
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

// hedgeDelay returns how long a call may take before it is joined by a second one; 0: no
// call has shown yet what is usual.
func (t *scoreTimes) hedgeDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayFactor*float64(t.mean)))
}
