package endpoints

// This file holds the decision to move a running request where speeds are uneven. A move costs
// a connection, and the prompt and the text are processed again; two thirds of the moves that
// were decided by the pace of single requests led from one slow engine to another.

const (
	// minMoveUnits is the least gain of a move beyond its price, in units of work at the
	// target. The move also changes the loads of two endpoints, on which other choices are
	// based.
	minMoveUnits = 8.0
	// changedFactor is the factor by which an endpoint must have become slower since a request
	// was moved to it before the request is moved again.
	changedFactor = 1.3
	// severeSlowdown is the factor from which the latest measurement of a request counts alone.
	// Noise makes units of work 2.5 times slower.
	severeSlowdown = 4.0
)

// Measured holds the seconds per unit of work that a request measured itself; 0: unknown.
type Measured struct {
	Lasting float64 // not undercut for longer than noise lasts
	Latest  float64 // of the last section of the request
}

// Run is a running request that may be moved.
type Run struct {
	Measured
	MoveSeconds float64 // price of a move, in seconds
	Promised    float64 // seconds per unit of work that were expected when it was moved here; 0: it was not moved
}

// Move is the decision to move a request.
type Move struct {
	To          *State
	UnitSeconds float64 // expected seconds per unit of work at the target
	Gain        float64 // expected seconds by which the request ends sooner, less the price
}

// RunSeconds returns the expected seconds per unit of work of a request that runs at the
// endpoint. The request's own measurement counts if it is slower by more than noise: the
// endpoint may have slowed down since its speed was learned.
func (s *Set) RunSeconds(e *State, m Measured) float64 {
	expected := s.UnitSeconds(e, float64(e.running()-1))
	switch {
	case m.Latest > severeSlowdown*expected:
		return m.Latest
	case m.Lasting > minSlowdown*expected:
		return m.Lasting
	}
	return expected
}

// PickFaster picks the endpoint to which the request should move from its current one, and
// counts it as in flight there. It returns false if the request should stay: nothing waits for
// it, the gain is lower than the price, or nothing has changed since its last move.
func (s *Set) PickFaster(r Request, current *State, run Run) (Move, bool) {
	s.dropStaleReports(r.Now)
	if _, uneven := s.UnevenSpeeds(r.Now); !uneven || !r.Critical {
		return Move{}, false
	}
	r.RequireFreeSlot = true
	now := s.RunSeconds(current, run.Measured)
	slower := run.Promised == 0 || now >= changedFactor*run.Promised
	best, least := Move{}, 0.0
	for _, e := range s.list {
		if e == current || !e.eligible(&r) || !e.available(r.Now) || !slower && (s.isFast(current) || !s.isFast(e)) {
			continue
		}
		unit := s.UnitSeconds(e, float64(e.running()))
		gain := (now-unit)*r.RemainingWork - run.MoveSeconds
		if gain < minMoveUnits*unit {
			continue
		}
		if added := s.addedSeconds(e, &r.Placement); best.To == nil || added < least {
			best, least = Move{To: e, UnitSeconds: unit, Gain: gain}, added
		}
	}
	if best.To == nil {
		return Move{}, false
	}
	best.To.take(&r.Placement)
	return best, true
}
