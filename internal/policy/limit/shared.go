package limit

import (
	"slices"
	"time"
)

const (
	// RecoveryInterval is the time after which an unconfirmed limit doubles. It lies above the
	// duration of ten scoring calls or lookups, so that a full service is tried a few times per
	// second, not with each request.
	RecoveryInterval = 250 * time.Millisecond
	// refusalFactor is the factor by which a refusal reduces the requests in flight.
	refusalFactor = 0.75
	// refusalInterval is the minimum time between two reductions because of refusals. The
	// requests in flight at a full service are refused together, as one sign of one state.
	refusalInterval = 50 * time.Millisecond
)

// shared is the state of a Limiter with Config.Shared.
type shared struct {
	slowdowns   [maxWindowSamples]float64
	recoveredAt time.Time // last reduction or step of the recovery
	refusedAt   time.Time // last reduction because of a refusal
}

// observeShared records a sample of a limit with Config.Shared.
func (l *Limiter) observeShared(now time.Time, s Sample) {
	if s.Failed {
		return // a failed request took any time; a refusal by a full service is passed to Refused
	}
	w := &l.window
	l.shared.slowdowns[w.samples] = s.Latency.Seconds() / max(s.Cost, minCostSeconds)
	w.samples++
	w.maxRunning = max(w.maxRunning, s.Running)
	if w.samples == maxWindowSamples {
		l.closeSharedWindow(now)
	}
}

func (l *Limiter) closeSharedWindow(now time.Time) {
	maxRunning := l.window.maxRunning
	l.window = window{}
	slices.Sort(l.shared.slowdowns[:])
	median := l.shared.slowdowns[maxWindowSamples/2-1]
	if l.baseline == 0 {
		l.baseline = median
	}
	gradient := max(minGradient, slowdownTolerance*l.baseline/median)
	if gradient < 1 && maxRunning > 1 && 2*maxRunning > l.Limit() {
		l.reduce(now, gradient*min(l.limit, float64(maxRunning)))
	}
	l.updateBaseline(median)
}

// Refused records that the service refused a request as full while running requests were in
// flight, this one included. It returns the limit after it.
func (l *Limiter) Refused(now time.Time, running int) int {
	if now.Sub(l.shared.refusedAt) >= refusalInterval {
		l.shared.refusedAt = now
		l.reduce(now, refusalFactor*min(l.limit, float64(running)))
	}
	return l.Limit()
}

// Recover raises a limit that nothing has reduced for a while, and returns the limit after it.
// It is called from time to time, at least when a request is about to wait.
func (l *Limiter) Recover(now time.Time) int {
	for l.limit < float64(l.cfg.Max) && now.Sub(l.shared.recoveredAt) >= RecoveryInterval {
		l.shared.recoveredAt = l.shared.recoveredAt.Add(RecoveryInterval)
		l.limit *= 2
	}
	l.clamp()
	return l.Limit()
}

// reduce sets the limit to a lower value.
func (l *Limiter) reduce(now time.Time, to float64) {
	l.shared.recoveredAt = now
	l.limit = min(l.limit, to)
	l.clamp()
}
