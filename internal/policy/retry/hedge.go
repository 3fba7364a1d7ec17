package retry

import (
	"math"
	"time"
)

// The latency histogram has buckets whose upper bounds grow by a factor of 2^(1/8),
// from 100 µs to about 6 min. A quantile is reported as the upper bound of its
// bucket, which is at most 9 % above the true value.
const (
	bucketsPerDoubling = 8
	bucketCount        = 176
	minLatency         = 100 * time.Microsecond
)

// minSamples is the number of latencies that a class needs before its quantile is
// used. Below it no hedge is sent.
const minSamples = 50

// maxTotalWeight is the total at which all counts are halved, so that the quantile
// follows a class whose latency changes.
const maxTotalWeight = 4000

// Hedge learns the latency of each class and decides after which delay a hedge, a
// second attempt while the first is still running, is sent.
type Hedge struct {
	classes map[string]*histogram
}

// NewHedge returns a Hedge without observations.
func NewHedge() *Hedge {
	return &Hedge{classes: map[string]*histogram{}}
}

// Observe records the latency of an answered attempt of the class.
func (h *Hedge) Observe(class string, latency time.Duration) {
	hist := h.classes[class]
	if hist == nil {
		hist = &histogram{}
		h.classes[class] = hist
	}
	hist.add(latency)
}

// Delay returns how long to wait before a hedge of the class is sent: the quantile
// of the class's latencies at level, between 0 and 1. It returns false if no hedge is
// to be sent, because level is 0 or too few latencies are known.
func (h *Hedge) Delay(class string, level float64) (time.Duration, bool) {
	hist := h.classes[class]
	if level <= 0 || hist == nil || hist.total < minSamples {
		return 0, false
	}
	return hist.quantile(level), true
}

// histogram is a decaying histogram of latencies with logarithmic buckets.
type histogram struct {
	counts [bucketCount]float64
	total  float64 // sum of counts
}

func (h *histogram) add(latency time.Duration) {
	h.counts[bucketIndex(latency)]++
	h.total++
	if h.total < maxTotalWeight {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

func (h *histogram) quantile(level float64) time.Duration {
	remaining := level * h.total
	for i, n := range h.counts {
		remaining -= n
		if remaining <= 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

func bucketIndex(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	ratio := float64(latency) / float64(minLatency)
	return min(int(math.Ceil(math.Log2(ratio)*bucketsPerDoubling)), bucketCount-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(i)/bucketsPerDoubling))
}
