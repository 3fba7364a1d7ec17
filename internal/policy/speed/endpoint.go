package speed

import (
	"slices"
	"time"
)

const (
	// interval is the time whose observations form one sample. Noise lasts 600 ms; all
	// requests at an endpoint in that time see the same noise and count once.
	interval = 600 * time.Millisecond
	// maxSamples is the number of samples kept of an endpoint.
	maxSamples = 8
	// quantileDivisor selects the sample that is the estimate: the third lowest of eight. It
	// is wrong only if six of eight intervals were noisy; the lowest one would be wrong
	// after a single burst of events that were held up before.
	quantileDivisor = 3
	// minSamples is the number of samples from which an estimate is trusted to be free of
	// noise: all three are noisy in 0.3 % of the cases.
	minSamples = 3
	// slowerFactor is the factor above which a slower observation is a change rather than
	// noise. Noise is 2.5 times slower, in a full batch with an unlearned slope 3.4 times.
	slowerFactor = 3.5
	// fasterFactor is the factor above which a faster observation is a change.
	fasterFactor = 2.0
	// restoreFactor is the factor within which the speed from before a change counts as
	// reached again.
	restoreFactor = 1.3
	// changeUnits and changeObservations show a change, whichever are reached first: within
	// 16 units, as a run's measurement of 8 events may begin just before the change, and
	// with the second request at a plain service, as a single request may be a large one.
	changeUnits, changeObservations = 8, 2
	// lastingAfter is how long an endpoint must be slower before that counts as lasting.
	// Engines that turn slow for a while recover within some seconds.
	lastingAfter = 60 * time.Second
	// lastingWeight is the weight of a new estimate in the lasting speed.
	lastingWeight = 0.1
	// ownUnits is the number of units from which a process's own measurement takes
	// precedence over reports.
	ownUnits = 16
	// maxAge is the age above which a report is dropped and an own measurement no longer
	// takes precedence over a fresh report.
	maxAge = 10 * time.Second
	// lastingReportUnits is the number of units from which a report counts for the lasting
	// speed of an endpoint that this process has not measured.
	lastingReportUnits = 32
)

// sample is the mean of the observations of one interval.
type sample struct {
	since   time.Time
	units   int
	seconds float64 // mean per unit, weighted by units
	others  float64 // mean number of other requests, weighted by units
}

func (s *sample) add(o *Observation) {
	s.units += o.Units
	part := float64(o.Units) / float64(s.units)
	s.seconds += (o.Seconds - s.seconds) * part
	s.others += (o.Others - s.others) * part
}

// alone returns the seconds per unit that a request alone would take.
func (s *sample) alone(slope float64) float64 { return s.seconds / (1 + slope*s.others) }

// window holds the last samples of an endpoint.
type window struct {
	samples [maxSamples]sample
	count   int  // number of samples
	newest  int  // index of the newest
	units   int  // total number of units since the window began
	changed bool // it began with a detected change, so that even its first sample is trusted
}

func (w *window) add(o *Observation) {
	w.units = min(w.units+o.Units, MaxUnits)
	newest := &w.samples[w.newest]
	if w.count > 0 && o.At.Sub(newest.since) < interval {
		newest.add(o)
		return
	}
	if w.count > 0 {
		w.newest = (w.newest + 1) % maxSamples
	}
	w.count = min(w.count+1, maxSamples)
	w.samples[w.newest] = sample{since: o.At}
	w.samples[w.newest].add(o)
}

// estimate returns a low quantile of the samples, 0 without samples.
func (w *window) estimate(slope float64) float64 {
	if w.count == 0 {
		return 0
	}
	var values [maxSamples]float64
	for i := range w.count {
		values[i] = w.samples[i].alone(slope)
	}
	slices.Sort(values[:w.count])
	return values[(w.count-1)/quantileDivisor]
}

// trusted reports whether the estimate is free of noise.
func (w *window) trusted() bool { return w.changed || w.count >= minSamples }

// pending holds observations that differ from the estimate by more than noise, all in one
// direction.
type pending struct {
	observations int
	slower       bool
	window       window
}

// Endpoint is what is known of the speed of an endpoint. The fields that each choice reads come
// first, so that they share a cache line.
type Endpoint struct {
	model    *Model
	seconds  float64 // estimate in use; 0: none
	reported bool    // it is that of the report
	trusted  bool    // it is free of noise

	key     Key
	tracked bool // added by Track, not only known from reports

	window  window
	former  window // from before the last change
	pending pending
	own     float64   // estimate by own measurements; 0: none
	last    time.Time // time of the last own observation
	report  Report    // newest report of another process; Units 0: none or too old
	heard   time.Time // when the newest report was measured

	lasting     float64 // speed without temporary slowness; 0: unknown
	slowerSince time.Time

	sent        time.Time // when it was last reported
	sentSeconds float64

	load loadMeans
}

// observe records an observation.
func (e *Endpoint) observe(o *Observation) {
	if o.At.Before(e.last) {
		o.At = e.last // observations of concurrent requests may arrive out of order
	}
	e.last = o.At
	if !e.detectChange(o) {
		e.window.add(o)
		e.model.slope.observe(&e.load, o)
	}
	e.update(o.At)
}

// detectChange handles an observation that noise cannot explain. It reports whether the
// observation is one.
func (e *Endpoint) detectChange(o *Observation) bool {
	alone := (&sample{seconds: o.Seconds, others: o.Others}).alone(e.model.estimationSlope)
	slower, faster := alone > slowerFactor*e.own, alone*fasterFactor < e.own
	if e.own == 0 || !slower && !faster {
		e.pending = pending{}
		return false
	}
	if e.pending.slower != slower {
		e.pending = pending{slower: slower}
	}
	e.pending.window.add(o)
	e.pending.observations++
	if e.pending.window.units >= changeUnits || e.pending.observations >= changeObservations {
		e.change()
	}
	return true
}

// change replaces the window by the pending observations. A faster speed after a few samples
// is a correction rather than a change: these samples were noisy. If the endpoint is as fast as
// before the last change, that window is used again: an interruption of some intervals, such
// as the load of weights, does not cost what was learned.
func (e *Endpoint) change() {
	slope := e.model.estimationSlope
	before := e.own
	next := e.pending.window
	isChange := e.pending.slower || e.window.changed || e.window.count == maxSamples
	next.changed = isChange
	after, earlier := next.estimate(slope), e.former.estimate(slope)
	if earlier > 0 && after < restoreFactor*earlier && earlier < restoreFactor*after {
		next = e.former
	}
	e.former, e.window, e.pending, e.load = e.window, next, pending{}, loadMeans{}
	if isChange {
		e.model.addChange(Change{Key: e.key, Before: before, After: after})
	}
}

// update computes the estimates again.
func (e *Endpoint) update(now time.Time) {
	e.own = e.window.estimate(e.model.estimationSlope)
	e.seconds, e.reported, e.trusted = e.own, e.usesReport(now), e.window.trusted()
	if e.reported {
		e.seconds, e.trusted = e.report.Seconds, true
	}
	if e.window.count >= minSamples {
		e.updateLasting()
	}
}

// usesReport reports whether the report of another process is used instead of the own
// measurement.
func (e *Endpoint) usesReport(now time.Time) bool {
	if e.report.Units == 0 || now.Sub(e.heard) > maxAge {
		return false
	}
	return e.own == 0 || e.window.units < ownUnits || e.heard.Sub(e.last) > maxAge
}

// updateLasting follows the own estimate, but a slower one only after a minute.
func (e *Endpoint) updateLasting() {
	switch {
	case e.lasting == 0 || e.own < e.lasting:
		e.lasting, e.slowerSince = e.own, time.Time{}
	case e.own < unevenFactor*e.lasting:
		e.lasting += (e.own - e.lasting) * lastingWeight
		e.slowerSince = time.Time{}
	case e.slowerSince.IsZero():
		e.slowerSince = e.last
	case e.last.Sub(e.slowerSince) > lastingAfter:
		e.lasting, e.slowerSince = e.own, time.Time{}
	}
}

// Seconds returns the expected seconds per unit of a request alone at the endpoint, 0 if no
// speed is known. Until there are three samples, an endpoint that seems slower than the median
// by no more than noise counts as typical, so that it goes on getting requests and is learned.
func (e *Endpoint) Seconds() float64 {
	median := e.model.Median()
	if e.seconds == 0 || !e.trusted && e.seconds > median && e.seconds < slowerFactor*median {
		return median
	}
	return e.seconds
}

// Estimate returns what is known of the endpoint's speed.
func (e *Endpoint) Estimate() Estimate {
	estimate := Estimate{Seconds: e.Seconds(), Units: e.window.units, At: e.last}
	switch {
	case e.seconds == 0:
		estimate.Units, estimate.At = 0, time.Time{}
	case e.reported:
		estimate.Units, estimate.At = e.report.Units, e.heard
	}
	return estimate
}

// Lasting returns the seconds per unit without temporary slowness, 0 if they are not known.
func (e *Endpoint) Lasting() float64 { return e.lasting }

// Slowed reports whether the endpoint is slower than the median since a detected change.
func (e *Endpoint) Slowed() bool {
	return e.window.changed && e.own > unevenFactor*e.model.Median()
}

// Unused reports whether the speed has not been observed within the last 10 s, neither by
// this process nor by one that reported it.
func (e *Endpoint) Unused(now time.Time) bool {
	return now.Sub(e.last) > maxAge && now.Sub(e.heard) > maxAge
}
