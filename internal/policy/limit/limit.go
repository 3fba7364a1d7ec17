// Package limit implements an adaptive concurrency limit for an endpoint, so
// that an endpoint that slows down is not overloaded.
//
// The limit follows the slowdown of requests: their latency divided by their
// estimated cost, which makes short and long requests comparable. If the mean
// slowdown of a window of samples exceeds the endpoint's baseline by more than a
// tolerance, the limit shrinks in proportion. Otherwise it grows by one if it was
// reached during the window. If most samples of a window failed, it is halved.
//
// With Config.Shared the limit is that of one process for a service whose endpoints it shares with
// other processes. The differences, each with the load that causes it:
//   - A window is judged by the median of its samples, and is as long as it takes to have enough
//     of them. A process that sends less than one request per second has six samples in a window of the
//     other kind; two of them slowed down by noise, or one that is five times slower,
//     would reduce the limit.
//   - Slow requests reduce the limit only if it was used by more than half. A process with one
//     request in flight cannot relieve endpoints that are slow for another reason.
//   - A refusal by a full service reduces the limit at once, as all other processes are about to
//     be refused too (Refused).
//   - The limit doubles in each RecoveryInterval in which nothing reduces it (Recover). Slots become free
//     within the duration of a request, and a process that sends few requests would wait many
//     windows for each step.
package limit

import "time"

// Config holds the bounds of the limit.
type Config struct {
	Min int
	Max int
	// Shared is set for the limit of one process for a service that others use too. See the
	// package comment.
	Shared bool
}

// Sample describes one request that left the endpoint.
type Sample struct {
	Latency time.Duration
	Cost    float64 // estimated cost in seconds
	Running int     // requests at the endpoint when this one left, including it
	Failed  bool    // the endpoint refused the request, timed out or crashed
}

const (
	// A window ends after maxWindowSamples, or after windowDuration if it has
	// minWindowSamples by then. With fewer samples a single outlier could reduce the
	// limit.
	maxWindowSamples = 16
	minWindowSamples = 6
	windowDuration   = time.Second
	// slowdownTolerance is the ratio of slowdown to baseline above which the limit
	// shrinks. Smaller ratios are ordinary differences between batches.
	slowdownTolerance = 1.5
	// minGradient is the lowest factor that a single window applies to the limit, so
	// that one outlying window does not drain the endpoint.
	minGradient = 0.5
	// baselineRiseRate is the weight of a window whose slowdown is above the
	// baseline. A lasting change, such as a bigger model, is learnt in about 50
	// windows; a slowdown of a few windows does not become the baseline.
	baselineRiseRate = 0.02
	// baselineFallRate is the weight of a window whose slowdown is below the baseline.
	baselineFallRate = 0.3
	// maxSlowdownFactor caps the slowdown of one sample, as a multiple of the
	// baseline, so that a single request whose cost was misjudged does not reduce the
	// limit.
	maxSlowdownFactor = 4
	// minCostSeconds is the lowest cost that a latency is divided by.
	minCostSeconds = 1e-4
)

// Limiter adapts the limit of one endpoint. It is not safe for concurrent use.
type Limiter struct {
	cfg      Config
	limit    float64
	baseline float64 // slowdown of the endpoint in its normal state; 0: not known
	window   window
	shared   shared
}

// window accumulates the samples since the limit was last adjusted.
type window struct {
	start      time.Time
	samples    int
	failed     int
	slowdown   float64 // sum over the samples
	maxRunning int
}

// New returns a Limiter that starts at the maximum.
func New(cfg Config) *Limiter {
	cfg = cfg.normalized()
	return &Limiter{cfg: cfg, limit: float64(cfg.Max)}
}

func (c Config) normalized() Config {
	c.Min = max(c.Min, 1)
	c.Max = max(c.Max, c.Min)
	return c
}

// Configure changes the bounds and keeps the learnt baseline. A limit that was at
// the old maximum is set to the new one.
func (l *Limiter) Configure(cfg Config) {
	atMax := l.limit >= float64(l.cfg.Max)
	l.cfg = cfg.normalized()
	if atMax {
		l.limit = float64(l.cfg.Max)
	}
	l.clamp()
}

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe records a sample and returns the limit after it.
func (l *Limiter) Observe(now time.Time, s Sample) int {
	if l.cfg.Shared {
		l.observeShared(now, s)
		return l.Limit()
	}
	w := &l.window
	if w.samples == 0 {
		w.start = now
	}
	w.samples++
	w.slowdown += l.clampSlowdown(s.Latency.Seconds() / max(s.Cost, minCostSeconds))
	w.maxRunning = max(w.maxRunning, s.Running)
	if s.Failed {
		w.failed++
	}
	late := now.Sub(w.start) >= windowDuration && w.samples >= minWindowSamples
	if w.samples >= maxWindowSamples || late {
		l.closeWindow()
	}
	return l.Limit()
}

func (l *Limiter) clampSlowdown(slowdown float64) float64 {
	if l.baseline == 0 {
		return slowdown
	}
	return min(slowdown, maxSlowdownFactor*l.baseline)
}

func (l *Limiter) closeWindow() {
	w := l.window
	l.window = window{}
	slowdown := w.slowdown / float64(w.samples)
	if l.baseline == 0 {
		l.baseline = slowdown
	}
	gradient := min(1, slowdownTolerance*l.baseline/slowdown)
	if w.failed*2 > w.samples {
		gradient = minGradient
	}
	gradient = max(gradient, minGradient)
	switch {
	case gradient < 1:
		l.limit *= gradient
	case w.maxRunning >= l.Limit():
		l.limit++
	}
	l.clamp()
	l.updateBaseline(slowdown)
}

func (l *Limiter) clamp() {
	l.limit = min(max(l.limit, float64(l.cfg.Min)), float64(l.cfg.Max))
}

func (l *Limiter) updateBaseline(slowdown float64) {
	rate := baselineRiseRate
	if slowdown < l.baseline {
		rate = baselineFallRate
	}
	l.baseline += (slowdown - l.baseline) * rate
}
