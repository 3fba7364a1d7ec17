package limit

import "math"

// Estimator learns for each class how long its requests hold a slot: per second
// of the cost that the caller stated, or in total if no cost was stated. It is
// not safe for concurrent use.
type Estimator struct {
	classes map[string]*classStats // by class; bounded, as only declared classes occur
}

// classStats holds the statistics of one class, in seconds that a slot was held
// per second stated.
type classStats struct {
	samples   float64
	mean      float64 // moving average of recent requests
	deviation float64 // moving average of the absolute difference from mean
	baseline  float64 // moving average over a long time
}

const (
	// initialCostSeconds is the estimate for a class that was not observed yet. It is
	// low on purpose: an estimate that is too low costs time in the queue, but one
	// that is too high would refuse requests that could have been served.
	initialCostSeconds = 0.05
	// meanGain is the weight of a new observation in mean and deviation.
	meanGain = 0.05
	// tailDeviations is the number of deviations above the mean at which TailCost
	// lies. About nine of ten requests are below it.
	tailDeviations = 2
	// baselineGain is the weight of a new observation in baseline.
	baselineGain = 0.002
)

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator { return &Estimator{classes: map[string]*classStats{}} }

// Known reports whether a request of the class was observed.
func (e *Estimator) Known(class string) bool { return e.classes[class] != nil }

// Cost returns the time in seconds that a request of the class is expected to
// hold a slot, based on recent requests. stated is the cost in seconds that the
// caller stated; 0 if none.
func (e *Estimator) Cost(class string, stated float64) float64 {
	r := e.classes[class]
	if r == nil {
		return initialCostSeconds
	}
	return r.mean * statedOrOne(stated)
}

// TailCost returns the time in seconds that most requests of the class do not
// exceed when they hold a slot.
func (e *Estimator) TailCost(class string, stated float64) float64 {
	r := e.classes[class]
	if r == nil {
		return initialCostSeconds
	}
	return (r.mean + tailDeviations*r.deviation) * statedOrOne(stated)
}

// BaselineCost returns the time in seconds that a request of the class holds a
// slot while the endpoint is in its normal state. It follows changes slowly, so
// that a temporary slowdown can be measured against it.
func (e *Estimator) BaselineCost(class string, stated float64) float64 {
	r := e.classes[class]
	if r == nil {
		return initialCostSeconds
	}
	return r.baseline * statedOrOne(stated)
}

// Observe records how many seconds an answered request of the class held a slot.
func (e *Estimator) Observe(class string, stated, seconds float64) {
	r := e.classes[class]
	if r == nil {
		r = &classStats{}
		e.classes[class] = r
	}
	if r.samples++; r.samples == 1 {
		r.mean = seconds / statedOrOne(stated)
	}
	held := seconds / statedOrOne(stated)
	r.deviation += (math.Abs(held-r.mean) - r.deviation) * max(meanGain, 1/r.samples)
	r.mean += (held - r.mean) * max(meanGain, 1/r.samples)
	r.baseline += (held - r.baseline) * max(baselineGain, 1/r.samples)
}

// statedOrOne returns the stated cost, or 1 if there is none: the statistics are
// then in seconds per request.
func statedOrOne(stated float64) float64 {
	if stated > 0 {
		return stated
	}
	return 1
}
