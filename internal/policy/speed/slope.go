package speed

const (
	// priorWeight is the weight of the default slope, as a sum of squared deviations of the
	// number of other requests: a hundred observations that differ by two from their mean.
	priorWeight = 400.0
	// slopeMemory is the number of observations after which an old one has lost most of its
	// weight.
	slopeMemory = 20_000.0
	// maxExcess limits the relative deviation of one observation, so that noise of 2.5 times
	// does not outweigh the effect of other requests.
	maxExcess = 0.6
	// minMeanCount is the number of observations of an endpoint before its deviations count.
	minMeanCount = 3
	// meanMemory is the number of observations over which an endpoint's means are taken.
	meanMemory = 50
	// maxSlope bounds the slope: a request beside one other takes at most twice as long.
	maxSlope = 1.0
)

// slope learns the fraction by which one more concurrent request lengthens a unit. It is a
// regression of the relative duration on the number of other requests within each endpoint,
// so that differences between endpoints don't matter.
type slope struct {
	covariance, variance float64 // sums over the observations
	others               float64 // mean number of other requests
	count                float64
}

// loadMeans holds the running means of an endpoint's observations.
type loadMeans struct {
	count           int
	seconds, others float64
}

func (s *slope) observe(means *loadMeans, o *Observation) {
	if means.count >= minMeanCount {
		deviation := o.Others - means.others
		excess := min(o.Seconds/means.seconds-1, maxExcess)
		const keep = 1 - 1/slopeMemory
		s.covariance = s.covariance*keep + deviation*excess
		s.variance = s.variance*keep + deviation*deviation
		s.count = min(s.count+1, slopeMemory)
		s.others += (o.Others - s.others) / s.count
	}
	means.count = min(means.count+1, meanMemory)
	means.seconds += (o.Seconds - means.seconds) / float64(means.count)
	means.others += (o.Others - means.others) / float64(means.count)
}

// value returns the slope, relative to a request alone.
func (s *slope) value(initial float64) float64 {
	// The regression yields the slope relative to a request beside the mean number of others.
	relative := initial / (1 + initial*s.others)
	relative = (relative*priorWeight + s.covariance) / (priorWeight + s.variance)
	if relative <= 0 {
		return 0
	}
	if rest := 1 - relative*s.others; rest > relative/maxSlope {
		return relative / rest
	}
	return maxSlope
}
