package endpoints

import (
	"time"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/speed"
)

// minFasterEndpoints is the number of endpoints that must be faster than typical before the
// speeds of a service count as uneven while only paces are known. A single fast measurement
// may be noise.
const minFasterEndpoints = 2

// trackSpeed returns the speed of a listed endpoint.
func (s *Set) trackSpeed(e *deployment.Endpoint) *speed.Endpoint {
	s.speeds.DefaultSlope = batchSlowdown / float64(max(1, e.Slots))
	return s.speeds.Track(speedKey(e))
}

func speedKey(e *deployment.Endpoint) speed.Key {
	return speed.Key{Endpoint: e.ID, StartedAtMillis: e.StartedAtMillis}
}

func (e *State) speedKey() speed.Key { return speedKey(&e.Endpoint) }

// Uneven reports whether some endpoints are lastingly faster than the median by more than
// the difference between single requests. Only then do choices depend on the speed of an
// endpoint that is not slow.
func (s *Set) Uneven() bool {
	if s.Options.IgnoreSpeeds {
		return false
	}
	if s.speeds.Observed() {
		return s.speeds.Uneven()
	}
	typical := s.TypicalPace()
	if typical == 0 {
		return false
	}
	faster := 0
	for _, e := range s.list {
		if e.pace > 0 && minSlowdown*e.pace < typical {
			faster++
		}
	}
	return faster >= minFasterEndpoints
}

// UnitSeconds returns the expected seconds per unit of work of a request at the endpoint
// beside others concurrent requests, or 0 if no speed is known.
func (s *Set) UnitSeconds(e *State, others float64) float64 {
	if !s.Options.IgnoreSpeeds {
		if seconds := e.speed.Seconds(); seconds > 0 {
			return seconds * (1 + s.speeds.Slope()*others)
		}
	}
	seconds := e.pace
	if seconds == 0 {
		seconds = s.TypicalPace()
	}
	return seconds * (1 + batchSlowdown/float64(e.slots())*others)
}

// ObserveSpeed records that units of work took the given mean time each at the endpoint,
// beside others other requests on average.
func (e *State) ObserveSpeed(now time.Time, seconds float64, units int, others float64) {
	if e.set.Options.IgnoreSpeeds || e.set.byID[e.ID] != e {
		return // a removed endpoint would be learned for ever
	}
	e.set.speeds.Observe(speed.Observation{Key: e.speedKey(), At: now, Seconds: seconds, Units: units, Others: others})
}

// Others returns the number of other requests beside one that is in flight at the endpoint,
// as far as it is known.
func (e *State) Others() int { return max(0, e.running()-1) }

// observeRequest records the duration of a whole request at a plain service. At a model
// engine the duration contains the time before the first event.
func (e *State) observeRequest(now time.Time, took time.Duration, work float64) {
	if work == 1 && len(e.Versions) == 0 {
		e.ObserveSpeed(now, took.Seconds(), 1, float64(e.running()))
	}
}

// probe returns an idle endpoint whose speed has not been observed for 10 s, if nothing waits
// for the request, or nil. Without probes an endpoint that was slow would get no requests and
// its recovery would not be found. Endpoints are probed only where speeds matter for choices.
func (s *Set) probe(r *Request) *State {
	if s.Options.IgnoreSpeeds || r.RemainingWork < minProbeWork || r.Critical || r.Weight > minWeight || !s.speeds.Observed() {
		return nil
	}
	uneven := s.speeds.Uneven()
	var best *State
	for _, e := range s.list {
		if e.running() > 0 || !e.speed.Unused(r.Now) || r.Now.Sub(e.probedAt) < probeInterval || !uneven && !e.speed.Slowed() {
			continue
		}
		if (best == nil || e.probedAt.Before(best.probedAt)) && e.available(r.Now) && e.eligible(r) {
			best = e
		}
	}
	if best != nil {
		best.probedAt = r.Now
	}
	return best
}

const (
	// probeInterval is the least time between two probes of an endpoint.
	probeInterval = 10 * time.Second
	// minProbeWork is the expected remaining work of a request from which it shows the speed
	// of an endpoint: a run is measured from its ninth event on.
	minProbeWork = 9
)

// SpeedReports returns at most limit speeds for other processes.
func (s *Set) SpeedReports(now time.Time, limit int) []speed.Report {
	if s.Options.IgnoreSpeeds {
		return nil
	}
	return s.speeds.Reports(now, limit)
}

// MergeSpeeds records the speeds that another process reports and returns an error for each
// that is not used because a value is out of range.
func (s *Set) MergeSpeeds(now time.Time, from string, reports []speed.Report) []error {
	if s.Options.IgnoreSpeeds {
		return nil
	}
	return s.speeds.Merge(now, from, reports)
}

// TakeSpeedChanges returns the changes of speed detected since the last call.
func (s *Set) TakeSpeedChanges() []speed.Change { return s.speeds.TakeChanges() }

// Speeds is what a process knows of the speeds of a service.
type Speeds struct {
	Uneven    bool
	Median    float64 // seconds per unit of work of a request alone; 0: unknown
	Slope     float64 // fraction by which one more concurrent request lengthens a unit
	Endpoints []EndpointSpeed
}

// EndpointSpeed is what a process knows of the speed of one endpoint.
type EndpointSpeed struct {
	ID string
	speed.Estimate
	Lasting  float64 // seconds per unit without temporary slowness; 0: unknown
	InFlight int     // requests of this process
}

// Speeds returns the speeds of the endpoints, sorted by ID.
func (s *Set) Speeds() Speeds {
	speeds := Speeds{Uneven: s.Uneven(), Median: s.speeds.Median(), Slope: s.speeds.Slope(), Endpoints: make([]EndpointSpeed, len(s.list))}
	for i, e := range s.list {
		speeds.Endpoints[i] = EndpointSpeed{ID: e.ID, Estimate: e.speed.Estimate(), Lasting: e.speed.Lasting(), InFlight: e.InFlight}
	}
	return speeds
}
