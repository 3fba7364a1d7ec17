package endpoints

// Usage describes how this process uses the endpoints of a service.
type Usage struct {
	Endpoints int // usable ones
	Slots     int // of the usable endpoints
	InFlight  int // requests of this process at all endpoints
}

// Usage returns how this process uses the endpoints. An endpoint is usable unless it is leaving or
// was ejected and has not answered since. One that is full is usable.
func (s *Set) Usage() Usage {
	u := Usage{}
	for _, e := range s.list {
		u.InFlight += e.InFlight
		if !e.Leaving && e.ejection == 0 {
			u.Endpoints++
			u.Slots += e.slots()
		}
	}
	return u
}
