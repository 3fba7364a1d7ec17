package endpoints

// batchSlowdown is the fraction by which a request takes longer in a full batch than
// alone at an engine.
const batchSlowdown = 0.35

// Placement describes a long request beyond what every request has. It is placed
// where it adds the least delay: its own, which grows with the number of requests at
// the endpoint, and that of the requests there, each by its weight.
type Placement struct {
	RemainingWork float64 // expected remaining units of work; 0: placed by load alone
	Weight        float64 // how much the time of its end matters, 0 to 1
	Critical      bool    // others wait for its end
	// CriticalBatchLimit is the number of running requests at which an endpoint with a
	// critical request gets no further request that is not critical; 0: no limit.
	CriticalBatchLimit int
}

// minWeight is the lowest weight at which a request's own delay counts. Without it
// requests that nothing waits for would all be placed at one endpoint.
const minWeight = 0.02

// weightedWork returns the remaining work times the weight.
func (p *Placement) weightedWork() float64 { return p.Weight * p.RemainingWork }

// exceedsCriticalBatchLimit reports whether a request with the placement may not
// join the critical requests at the endpoint, as it would slow them down.
func (e *State) exceedsCriticalBatchLimit(p *Placement) bool {
	if p.CriticalBatchLimit <= 0 || p.Critical || e.critical+e.others.Heavy <= 0 || e.running() < p.CriticalBatchLimit {
		return false
	}
	return !e.set.placesByTime() || e.set.crowdingMatters(e)
}

// addPlacement counts the placement of a request that was sent to the endpoint.
func (e *State) addPlacement(p *Placement) {
	e.weightedWork += p.weightedWork()
	if p.Critical {
		e.critical++
	}
}

// ReleasePlacement undoes addPlacement. It must be called in addition to End.
func (e *State) ReleasePlacement(p *Placement) {
	e.weightedWork -= p.weightedWork()
	if p.Critical {
		e.critical--
	}
}

// addedDelay returns the delay, in weighted units of work, that a request would have
// itself and cause to others at the endpoint.
func (e *State) addedDelay(p *Placement, typicalPace float64) float64 {
	perRequest := batchSlowdown / float64(e.slots())
	own := max(minWeight, p.Weight) * p.RemainingWork * e.slowdown(typicalPace) * (1 + perRequest*float64(e.running()))
	return own + perRequest*(e.weightedWork+e.others.Burden)
}

// slowdown returns the factor by which the endpoint is slower than typical, or 1 if the
// difference is no larger than that between single requests.
func (e *State) slowdown(typicalPace float64) float64 {
	if typicalPace > 0 && e.pace > minSlowdown*typicalPace {
		return e.pace / typicalPace
	}
	return 1
}

// TypicalPace returns the median of the endpoints' seconds per unit of work, or 0 if
// none is known.
func (s *Set) TypicalPace() float64 {
	if s.pace == 0 || s.newPaces > len(s.list)/refreshDivisor {
		s.newPaces = 0
		s.pace = median(s.list, func(e *State) float64 { return e.pace })
	}
	return s.pace
}

// HasLessLoaded reports whether the request would save the time of at least gain units
// of work by moving from its current endpoint to one with fewer requests.
func (s *Set) HasLessLoaded(r Request, current *State, gain float64) bool {
	r.RequireFreeSlot = true
	typical := s.TypicalPace()
	relativeTime := func(e *State, others int) float64 {
		return e.slowdown(typical) * (1 + batchSlowdown/float64(e.slots())*float64(others))
	}
	currentTime := relativeTime(current, current.running()-1)
	for _, e := range s.list {
		if e != current && e.eligible(&r) && e.available(r.Now) && (currentTime-relativeTime(e, e.running()))*r.RemainingWork >= gain {
			return true
		}
	}
	return false
}

// HasFaster reports whether a request that has taken pace seconds per unit of work at
// its current endpoint would be served much faster at another one with a free slot.
func (s *Set) HasFaster(r Request, current *State, pace float64) bool {
	typical := s.TypicalPace()
	if typical == 0 || pace < moveSlowdown*typical {
		return false
	}
	r.RequireFreeSlot = true
	for _, e := range s.list {
		if e != current && e.eligible(&r) && e.available(r.Now) && e.pace > 0 && e.pace*moveSlowdown < pace {
			return true
		}
	}
	return false
}
