package endpoints

// batchSlowdown is how much slower, as a share, a full batch makes each of its
// requests than an engine without others.
const batchSlowdown = 0.35

// Placement is what a long request asks of its endpoint besides what every
// request does. It is placed where it adds least delay: its own, by how many
// requests run there, and that of those requests, by how much their ends matter.
type Placement struct {
	RemainingWork      float64 // units of work that the request is expected to be; 0: placed by load alone
	Weight             float64 // how much it matters when it ends, 0 to 1
	Critical           bool    // others wait for its end
	CriticalBatchLimit int     // most requests beside a heavy one if this one is not heavy; 0: any number
}

// leastWeight keeps requests that nobody waits for from crowding one endpoint.
const leastWeight = 0.02

func (p *Placement) burden() float64 { return p.Weight * p.RemainingWork }

// crowds tells whether a request of the placement would slow down heavy ones.
func (e *State) crowds(p *Placement) bool {
	return p.CriticalBatchLimit > 0 && !p.Critical && e.heavy+e.others.Heavy > 0 && e.running() >= p.CriticalBatchLimit
}

func (e *State) join(p *Placement) {
	e.burden += p.burden()
	if p.Critical {
		e.heavy++
	}
}

// ReleasePlacement takes back what a request's placement put on its endpoint. It is called
// beside End.
func (e *State) ReleasePlacement(p *Placement) {
	e.burden -= p.burden()
	if p.Critical {
		e.heavy--
	}
}

// delay returns the delay, in weighted units of work, that a request would
// suffer and cause at the endpoint.
func (e *State) delay(p *Placement, typicalPace float64) float64 {
	each := batchSlowdown / float64(e.slots())
	own := max(leastWeight, p.Weight) * p.RemainingWork * e.slowness(typicalPace) * (1 + each*float64(e.running()))
	return own + each*(e.burden+e.others.Burden)
}

// slowness is how many times slower than usual the endpoint works; 1 unless it
// differs by more than single requests do.
func (e *State) slowness(typicalPace float64) float64 {
	if typicalPace > 0 && e.pace > minSlowdown*typicalPace {
		return e.pace / typicalPace
	}
	return 1
}

// TypicalPace returns the median of the endpoints' seconds per unit of work, 0 if
// none is known.
func (s *Set) TypicalPace() float64 {
	if s.pace == 0 || s.paced > len(s.list)/fewChanges {
		s.paced = 0
		s.pace = median(s.list, func(e *State) float64 { return e.pace })
	}
	return s.pace
}

// HasLessLoaded tells whether a request would save at least gain units of work's time
// by going on at another endpoint that runs fewer requests than its own.
func (s *Set) HasLessLoaded(r Request, than *State, gain float64) bool {
	r.RequireFreeSlot = true
	typical := s.TypicalPace()
	pace := func(e *State, beside int) float64 {
		return e.slowness(typical) * (1 + batchSlowdown/float64(e.slots())*float64(beside))
	}
	here := pace(than, than.running()-1)
	for _, e := range s.list {
		if e != than && e.may(&r) && e.usable(r.Now) && (here-pace(e, e.running()))*r.RemainingWork >= gain {
			return true
		}
	}
	return false
}
