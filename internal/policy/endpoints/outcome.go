package endpoints

import "time"

// Outcome is how a request to an endpoint ended.
type Outcome int

// The outcomes.
const (
	Answered     Outcome = iota // it answered, with any status
	Refused                     // it refused the request as full; the request did not run
	Replaced                    // another instance has its address
	BrokenAnswer                // the answer was cut off or malformed
	Unreachable                 // no connection, or no answer
	Cancelled                   // this side ended the request
)

// End records the end of a picked request. took is its duration and work its size in
// units of work; a work of 0 says nothing about the speed.
func (e *State) End(now time.Time, outcome Outcome, took time.Duration, work float64) {
	e.InFlight--
	e.probing = false
	switch outcome {
	case Answered:
		e.failures, e.ejection, e.fullBackoff = 0, 0, 0
		e.observeCost(took, work)
		e.observeRequest(now, took, work)
	case Refused:
		if !now.Before(e.unavailableUntil) {
			e.fullBackoff = min(max(2*e.fullBackoff, baseFullBackoff), maxFullBackoff)
			e.unavailableUntil = now.Add(e.fullBackoff)
		}
	case Replaced, Unreachable:
		e.eject(now)
	case BrokenAnswer:
		e.failures++
		if e.failures >= ejectionThreshold {
			e.eject(now)
		}
	case Cancelled:
		e.observeMinCost(took, work)
	}
}

// ObservePace records how many seconds a unit of work took at the endpoint, without
// the wait before the first unit.
func (e *State) ObservePace(seconds float64) {
	e.set.newPaces++
	if e.pace == 0 {
		e.pace = seconds
		return
	}
	e.pace += (seconds - e.pace) * observationWeight
}

// UnavailableUntil returns when the endpoint may get requests again and whether that
// is after now.
func (e *State) UnavailableUntil(now time.Time) (time.Time, bool) {
	return e.unavailableUntil, now.Before(e.unavailableUntil)
}

// observeCost adds an observation to the endpoint's cost.
func (e *State) observeCost(took time.Duration, work float64) {
	if work <= 0 {
		return
	}
	e.set.newCosts++
	cost := took.Seconds() / work
	if e.cost == 0 {
		e.cost = cost
		return
	}
	e.cost += (cost - e.cost) * observationWeight
}

// observeMinCost records the duration of a request that this side ended, as a lower
// bound of the endpoint's cost. Otherwise an endpoint that slowed down would stay the
// first choice: each request that showed it is ended once a second endpoint has answered.
func (e *State) observeMinCost(took time.Duration, work float64) {
	if work > 0 && took.Seconds()/work > e.cost {
		e.observeCost(took, work)
	}
}

// eject takes the endpoint out of use for a time that doubles with each ejection.
func (e *State) eject(now time.Time) {
	e.failures++
	if now.Before(e.unavailableUntil) || e.set.Options.DisableEjection {
		return // further failures of requests already in flight add no information
	}
	e.ejection = min(max(2*e.ejection, baseEjection), maxEjection)
	e.unavailableUntil = now.Add(e.ejection)
}

// Ejected reports whether the endpoint gets no requests because requests to it failed. An
// endpoint that refused a request as full is not ejected.
func (e *State) Ejected(now time.Time) bool { return e.failures > 0 && now.Before(e.unavailableUntil) }
