// Package limit adapts how many requests run at an endpoint at once to what
// the endpoint bears, so that one that slowed down is not flooded.
//
// Latency is compared as stretch: the time a request took over its estimated
// cost, which makes short and long requests comparable. When the stretch of a
// window rises over the endpoint's usual one, the limit shrinks by the ratio of
// the two; when it does not and the limit was used, the limit grows by one.
package limit

import "time"

// Config bounds the limit.
type Config struct {
	Min int
	Max int
}

// Sample is one request that left the endpoint.
type Sample struct {
	Latency time.Duration
	Cost    float64 // estimated seconds
	Running int     // requests at the endpoint when this one left, itself included
	Failed  bool    // the endpoint refused it, timed out or crashed
}

const (
	// A window ends after windowSamples, or after windowTime if it has
	// fewestSamples by then: of fewer, one odd request would cut the limit.
	windowSamples = 16
	fewestSamples = 6
	windowTime    = time.Second
	// tolerance is how far the stretch may rise before the limit shrinks; below
	// it are ordinary differences between batches.
	tolerance = 1.5
	// minGradient is the strongest single cut, so that one odd window does
	// not empty the endpoint.
	minGradient = 0.5
	// usualRise is how fast the usual stretch follows a higher one. A lasting
	// change, such as a bigger model, is learnt in some 50 windows; an endpoint
	// that is slow for some windows is not taken for usual.
	usualRise = 0.02
	// usualFall is how fast it follows a lower one.
	usualFall = 0.3
	// maxStretch bounds what one sample adds over the usual, so that a single
	// request whose cost was misjudged does not cut the limit.
	maxStretch = 4
	minCost    = 1e-4
)

// Limiter is the limit of one endpoint. It is not safe for concurrent use.
type Limiter struct {
	cfg    Config
	limit  float64
	usual  float64 // stretch of the endpoint in its usual state; 0: not known
	window window
}

type window struct {
	began   time.Time
	samples int
	failed  int
	stretch float64 // sum
	running int     // highest seen
}

// New returns a limiter that starts at the highest limit.
func New(cfg Config) *Limiter {
	cfg = cfg.normal()
	return &Limiter{cfg: cfg, limit: float64(cfg.Max)}
}

func (c Config) normal() Config {
	c.Min = max(c.Min, 1)
	c.Max = max(c.Max, c.Min)
	return c
}

// Configure changes the bounds and keeps what was learnt. A limit that stood
// at its old maximum goes to the new one.
func (l *Limiter) Configure(cfg Config) {
	atMax := l.limit >= float64(l.cfg.Max)
	l.cfg = cfg.normal()
	if atMax {
		l.limit = float64(l.cfg.Max)
	}
	l.clamp()
}

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe takes a sample into account and returns the limit after it.
func (l *Limiter) Observe(now time.Time, s Sample) int {
	w := &l.window
	if w.samples == 0 {
		w.began = now
	}
	w.samples++
	w.stretch += l.bounded(s.Latency.Seconds() / max(s.Cost, minCost))
	w.running = max(w.running, s.Running)
	if s.Failed {
		w.failed++
	}
	late := now.Sub(w.began) >= windowTime && w.samples >= fewestSamples
	if w.samples >= windowSamples || late {
		l.closeWindow()
	}
	return l.Limit()
}

func (l *Limiter) bounded(stretch float64) float64 {
	if l.usual == 0 {
		return stretch
	}
	return min(stretch, maxStretch*l.usual)
}

func (l *Limiter) closeWindow() {
	w := l.window
	l.window = window{}
	stretch := w.stretch / float64(w.samples)
	if l.usual == 0 {
		l.usual = stretch
	}
	gradient := min(1, tolerance*l.usual/stretch)
	if w.failed*2 > w.samples {
		gradient = minGradient
	}
	gradient = max(gradient, minGradient)
	switch {
	case gradient < 1:
		l.limit *= gradient
	case w.running >= l.Limit():
		l.limit++
	}
	l.clamp()
	l.learn(stretch)
}

func (l *Limiter) clamp() {
	l.limit = min(max(l.limit, float64(l.cfg.Min)), float64(l.cfg.Max))
}

func (l *Limiter) learn(stretch float64) {
	rate := usualRise
	if stretch < l.usual {
		rate = usualFall
	}
	l.usual += (stretch - l.usual) * rate
}
