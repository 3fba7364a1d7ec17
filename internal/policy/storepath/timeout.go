package storepath

import "time"

const (
	// shortestLimit is above what a single slow answer of a healthy store takes,
	// which answers in 4 ms.
	shortestLimit = 80 * time.Millisecond
	// longestLimit is above the 240 ms of a store that is slowed sixtyfold, and
	// leaves time to renew a lease through a peer before it lapses.
	longestLimit = 300 * time.Millisecond
	// meanWeight and spreadWeight are the shares of a new answer in the running
	// mean of answers' times and in that of their deviation, and spreads how many
	// deviations above the mean an answer may take: the figures by which TCP sets
	// its retransmission timeout.
	meanWeight   = 1.0 / 8
	spreadWeight = 1.0 / 4
	spreads      = 4
	// slowAnswer marks a store that is slow and not lost: fifteen times its usual
	// 4 ms.
	slowAnswer = 60 * time.Millisecond
	// slowWrite is how long a write may go unanswered while the store is slow. Its
	// answers then vary by hundreds of milliseconds, and a write that is given up
	// early is made again and costs more slow calls.
	slowWrite = 700 * time.Millisecond
)

// TimeoutEstimator is how long an answer of the store may stay out before it is taken
// for lost. While the store loses every second answer, a submitter that waits
// 1.2 s got two tries when each waited 300 ms; it gets eight.
type TimeoutEstimator struct {
	mean, spread time.Duration // 0: no answer yet
	last         time.Duration
}

// Observe takes in how long an answer took.
func (t *TimeoutEstimator) Observe(took time.Duration) {
	t.last = took
	if t.mean == 0 {
		t.mean, t.spread = took, took/2
		return
	}
	off := took - t.mean
	t.mean += time.Duration(meanWeight * float64(off))
	t.spread += time.Duration(spreadWeight * float64(max(off, -off)-t.spread))
}

// Timeout returns how long an answer may stay out.
func (t *TimeoutEstimator) Timeout() time.Duration {
	if t.mean == 0 {
		return longestLimit
	}
	return min(max(t.mean+spreads*t.spread, shortestLimit), longestLimit)
}

// Slow tells whether the store answers late, so that an answer that stays out is
// no sign of a lost one.
func (t *TimeoutEstimator) Slow() bool { return max(t.mean, t.last) > slowAnswer }

// WriteTimeout returns how long a write may go unanswered although another process
// has reached the store.
func (t *TimeoutEstimator) WriteTimeout() time.Duration {
	if t.Slow() {
		return slowWrite
	}
	return t.Timeout()
}
