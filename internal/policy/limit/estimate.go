package limit

import "math"

// Estimator learns, for each class, how long a request holds a slot for each
// second that was claimed for it, or at all where nothing was claimed. It is
// not safe for concurrent use.
type Estimator struct {
	classes map[string]*ratio // the declared classes, which bounds the map
}

// ratio is held seconds per claimed second.
type ratio struct {
	samples float64
	recent  float64
	spread  float64 // mean deviation from recent
	usual   float64
}

const (
	// firstEstimate is in seconds. Until a class is known its requests are
	// taken for short ones: a wrong guess then costs time in the queue, where
	// too long a guess would refuse requests that could have been served.
	firstEstimate = 0.05
	recentGain    = 0.05
	// tailSpreads above the mean lie some nine of ten requests.
	tailSpreads = 2
	usualGain   = 0.002
)

// NewEstimator returns an estimator that knows nothing yet.
func NewEstimator() *Estimator { return &Estimator{classes: map[string]*ratio{}} }

// Known tells whether a request of the class was observed.
func (e *Estimator) Known(class string) bool { return e.classes[class] != nil }

// Cost returns the seconds a request of the class is expected to hold a slot
// now. Claimed is in seconds; 0 if nothing was claimed.
func (e *Estimator) Cost(class string, claimed float64) float64 {
	r := e.classes[class]
	if r == nil {
		return firstEstimate
	}
	return r.recent * unit(claimed)
}

// TailCost returns the seconds that most requests of the class hold a slot at most.
func (e *Estimator) TailCost(class string, claimed float64) float64 {
	r := e.classes[class]
	if r == nil {
		return firstEstimate
	}
	return (r.recent + tailSpreads*r.spread) * unit(claimed)
}

// BaselineCost returns the seconds it holds one in the endpoint's usual state: what a
// slow spell is measured against.
func (e *Estimator) BaselineCost(class string, claimed float64) float64 {
	r := e.classes[class]
	if r == nil {
		return firstEstimate
	}
	return r.usual * unit(claimed)
}

// Observe takes the time of an answered request into account.
func (e *Estimator) Observe(class string, claimed, seconds float64) {
	r := e.classes[class]
	if r == nil {
		r = &ratio{}
		e.classes[class] = r
	}
	if r.samples++; r.samples == 1 {
		r.recent = seconds / unit(claimed)
	}
	held := seconds / unit(claimed)
	r.spread += (math.Abs(held-r.recent) - r.spread) * max(recentGain, 1/r.samples)
	r.recent += (held - r.recent) * max(recentGain, 1/r.samples)
	r.usual += (held - r.usual) * max(usualGain, 1/r.samples)
}

func unit(claimed float64) float64 {
	if claimed > 0 {
		return claimed
	}
	return 1
}
