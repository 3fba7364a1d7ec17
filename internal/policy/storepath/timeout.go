package storepath

import "time"

const (
	// minTimeout is longer than a single slow answer of a healthy store takes. The usual
	// answer takes 4 ms.
	minTimeout = 80 * time.Millisecond
	// maxTimeout is longer than the 240 ms that an answer takes when the store is 60 times
	// slower than usual, and leaves time to renew a lease through a peer before it
	// expires.
	maxTimeout = 300 * time.Millisecond
	// meanWeight and deviationWeight are the weights of a new sample in the moving averages
	// of the latency and of its deviation. The timeout is the mean plus
	// deviationFactor times the deviation. TCP computes its retransmission timeout with
	// the same values.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// slowLatency is the latency above which the store is regarded as slow rather than
	// as losing answers: fifteen times its usual 4 ms.
	slowLatency = 60 * time.Millisecond
	// slowWriteTimeout is the timeout of a write while the store is slow. The latency then
	// varies by hundreds of milliseconds, and a write that times out too early is repeated
	// and causes more slow calls.
	slowWriteTimeout = 700 * time.Millisecond
)

// TimeoutEstimator computes from observed latencies how long to wait for an answer of
// the store before it is regarded as lost. While the store loses every second answer, a
// fixed timeout of 300 ms leaves a submitter that waits 1.2 s only two tries; with the
// estimate it gets eight. The zero value is ready to use.
type TimeoutEstimator struct {
	mean, deviation time.Duration // of the latency; 0 before the first answer
	last            time.Duration // latency of the latest answer
}

// Observe records the latency of an answer.
func (t *TimeoutEstimator) Observe(took time.Duration) {
	t.last = took
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	off := took - t.mean
	t.mean += time.Duration(meanWeight * float64(off))
	t.deviation += time.Duration(deviationWeight * float64(max(off, -off)-t.deviation))
}

// Timeout returns how long to wait for an answer.
func (t *TimeoutEstimator) Timeout() time.Duration {
	if t.mean == 0 {
		return maxTimeout
	}
	return min(max(t.mean+deviationFactor*t.deviation, minTimeout), maxTimeout)
}

// Slow reports whether the store answers slowly, in which case a missing answer is
// probably late and not lost.
func (t *TimeoutEstimator) Slow() bool { return max(t.mean, t.last) > slowLatency }

// WriteTimeout returns how long to wait for the answer to a write although another
// process has reached the store.
func (t *TimeoutEstimator) WriteTimeout() time.Duration {
	if t.Slow() {
		return slowWriteTimeout
	}
	return t.Timeout()
}
