package endpoints

import "time"

// reportLife is how long another process's report counts: ten times the usual
// time between two. The requests of one that died have ended by then.
const reportLife = time.Second

// ProcessLoad is what one process has at an endpoint.
type ProcessLoad struct {
	InFlight int
	Heavy    int     // requests whose end others wait for
	Burden   float64 // sum of the requests' weighted work
}

func (s *ProcessLoad) add(other ProcessLoad) {
	s.InFlight += other.InFlight
	s.Heavy += other.Heavy
	s.Burden += other.Burden
}

// report is what another process told last.
type report struct {
	at     time.Time
	shares map[string]ProcessLoad // by endpoint ID
}

// SetReport takes in what another process has at the endpoints, in place of what it
// told before. Without such reports two owners of jobs each keep narrow what the
// other one fills.
func (s *Set) SetReport(now time.Time, from string, shares map[string]ProcessLoad) {
	if s.reports == nil {
		s.reports = map[string]report{}
	}
	s.reports[from] = report{now, shares}
	s.sumReports()
}

// forgetOld drops reports of processes that tell nothing more.
func (s *Set) forgetOld(now time.Time) {
	dropped := false
	for from, r := range s.reports {
		if now.Sub(r.at) > reportLife {
			delete(s.reports, from)
			dropped = true
		}
	}
	if dropped {
		s.sumReports()
	}
}

func (s *Set) sumReports() {
	for _, e := range s.list {
		e.others = ProcessLoad{}
		for _, r := range s.reports {
			e.others.add(r.shares[e.ID])
		}
	}
}

// ProcessLoads returns what this process has at the endpoints, without those where it
// has nothing.
func (s *Set) ProcessLoads() map[string]ProcessLoad {
	shares := map[string]ProcessLoad{}
	for _, e := range s.list {
		if e.InFlight > 0 {
			shares[e.ID] = ProcessLoad{InFlight: e.InFlight, Heavy: e.heavy, Burden: e.burden}
		}
	}
	return shares
}

// running is how many requests the endpoint has, as far as is known.
func (e *State) running() int { return e.InFlight + e.others.InFlight }
