package endpoints

import "time"

// This file holds the choice of an endpoint for a long request where speeds are uneven. The
// load it addresses: a quarter of the engines takes half the time of the others per event, and
// a step ends in time only if its longest texts run there. Where speeds are even, delay.go
// decides.

const (
	// speedsTTL is how long the summary of the endpoints' speeds is used. Computing it sorts
	// all speeds, which would take most of the time of a choice among many endpoints.
	speedsTTL = 100 * time.Millisecond
	// negligibleCrowding is the factor by which a unit of work may take longer in a full batch
	// without the batch limit of endpoints with critical requests being applied. At engines
	// that slow down by 3 % the limit would leave most slots of the fast ones unused.
	negligibleCrowding = 1.1
	// reservedDivisor sets the number of slots of a fast endpoint that requests which nothing
	// waits for avoid: the endpoint's slots divided by it. The long texts of the next step
	// start there.
	reservedDivisor = 3
	// reservedSlotPenalty is added to the weighted seconds of a request that would take a
	// reserved slot. It is higher than any real difference, so that such a slot is used only
	// if there is no other.
	reservedSlotPenalty = 1e6
)

// SpeedLevels summarizes the speeds of a service whose endpoints are of unequal speed.
type SpeedLevels struct {
	Typical float64 // seconds per unit of work at an endpoint of median speed
	Fast    float64 // seconds per unit of work at a fast endpoint
}

// speedLevels is the cached result of Set.UnevenSpeeds.
type speedLevels struct {
	SpeedLevels
	uneven    bool
	at        time.Time
	endpoints int
}

// UnevenSpeeds returns the speeds of the service, and whether they are uneven and long requests
// are therefore placed by time.
func (s *Set) UnevenSpeeds(now time.Time) (SpeedLevels, bool) {
	if s.Options.PlaceByLoad {
		return SpeedLevels{}, false
	}
	c := &s.levels
	if c.endpoints != len(s.list) || now.Before(c.at) || now.Sub(c.at) >= speedsTTL {
		*c = speedLevels{at: now, endpoints: len(s.list), uneven: s.Uneven()}
		if c.uneven {
			c.SpeedLevels = s.summarizeSpeeds()
		}
	}
	return c.SpeedLevels, c.uneven
}

func (s *Set) summarizeSpeeds() SpeedLevels {
	alone := func(e *State) float64 { return s.UnitSeconds(e, 0) }
	typical := median(s.list, alone)
	fast := median(s.list, func(e *State) float64 {
		if seconds := alone(e); minSlowdown*seconds < typical {
			return seconds
		}
		return 0
	})
	if fast == 0 {
		fast = typical
	}
	return SpeedLevels{Typical: typical, Fast: fast}
}

// FastEndpoints returns the IDs of the fast endpoints if speeds are uneven.
func (s *Set) FastEndpoints(now time.Time) []string {
	if _, uneven := s.UnevenSpeeds(now); !uneven {
		return nil
	}
	var fast []string
	for _, e := range s.list {
		if s.isFast(e) {
			fast = append(fast, e.ID)
		}
	}
	return fast
}

// SlowestFree returns the seconds per unit of work at the slowest endpoint that could serve the
// request now, or 0 if there is none.
func (s *Set) SlowestFree(r Request) float64 {
	slowest := 0.0
	for _, e := range s.list {
		if e.eligible(&r) && e.available(r.Now) {
			slowest = max(slowest, s.UnitSeconds(e, float64(e.running())))
		}
	}
	return slowest
}

// placesByTime reports whether long requests are placed by time, as of the last summary.
func (s *Set) placesByTime() bool { return s.levels.uneven && !s.Options.PlaceByLoad }

// isFast reports whether the endpoint is faster than typical by more than the difference
// between single requests.
func (s *Set) isFast(e *State) bool { return minSlowdown*s.UnitSeconds(e, 0) < s.levels.Typical }

// addedSeconds returns the delay, in weighted seconds, that a request would have itself and
// cause to others at the endpoint.
func (s *Set) addedSeconds(e *State, p *Placement) float64 {
	running := float64(e.running())
	unit := s.UnitSeconds(e, running)
	seconds := max(minWeight, p.Weight)*p.RemainingWork*unit + (s.UnitSeconds(e, running+1)-unit)*(e.weightedWork+e.others.Burden)
	if !p.Critical && e.slots()-e.running() <= e.slots()/reservedDivisor && s.isFast(e) {
		seconds += reservedSlotPenalty
	}
	return seconds
}

// takesLastFastSlot reports whether a request that nothing waits for would take the last free
// slot of a fast endpoint.
func (s *Set) takesLastFastSlot(e *State, p *Placement) bool {
	return p.RemainingWork > 0 && !p.Critical && e.running() > 0 && e.slots()-e.running() == 1 && s.isFast(e)
}

// crowdingMatters reports whether a full batch slows the endpoint's requests down noticeably.
func (s *Set) crowdingMatters(e *State) bool {
	return s.UnitSeconds(e, float64(e.slots()-1)) > negligibleCrowding*s.UnitSeconds(e, 0)
}
