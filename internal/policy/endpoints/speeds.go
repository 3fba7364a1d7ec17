package endpoints

// minFasterEndpoints is the number of endpoints that must be faster than typical before the
// speeds of a service count as uneven. A single fast measurement may be noise.
const minFasterEndpoints = 2

// Uneven reports whether several endpoints are faster than typical by more than the
// difference between single requests. Only then do choices depend on the speed of an
// endpoint that is not slow.
func (s *Set) Uneven() bool {
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
	seconds := e.pace
	if seconds == 0 {
		seconds = s.TypicalPace()
	}
	return seconds * (1 + batchSlowdown/float64(e.slots())*others)
}
