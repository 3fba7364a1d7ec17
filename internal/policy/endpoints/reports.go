package endpoints

import "time"

// reportTTL is how long the report of another process is used: ten times the usual
// interval between reports. The requests of a process that died have ended by then.
const reportTTL = time.Second

// ProcessLoad is the load that one process puts on an endpoint. Processes send it to
// each other with encoding/gob, which writes the field names, so these must not change.
type ProcessLoad struct {
	InFlight int
	Heavy    int     // number of critical requests, see Placement.Critical
	Burden   float64 // sum of the requests' weighted work, see Placement
}

func (l *ProcessLoad) add(other ProcessLoad) {
	l.InFlight += other.InFlight
	l.Heavy += other.Heavy
	l.Burden += other.Burden
}

// report is the last report of another process.
type report struct {
	receivedAt time.Time
	loads      map[string]ProcessLoad // by endpoint ID
}

// SetReport replaces the report of another process. Without reports two owners of
// jobs interfere: one keeps the load of an endpoint low for its critical requests
// while the other fills it.
func (s *Set) SetReport(now time.Time, from string, loads map[string]ProcessLoad) {
	if s.reports == nil {
		s.reports = map[string]report{}
	}
	s.reports[from] = report{now, loads}
	s.sumReports()
}

// dropStaleReports drops the reports of processes that no longer send any.
func (s *Set) dropStaleReports(now time.Time) {
	dropped := false
	for from, r := range s.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(s.reports, from)
			dropped = true
		}
	}
	if dropped {
		s.sumReports()
	}
}

// sumReports updates each endpoint's load by other processes.
func (s *Set) sumReports() {
	for _, e := range s.list {
		e.others = ProcessLoad{}
		for _, r := range s.reports {
			e.others.add(r.loads[e.ID])
		}
	}
}

// ProcessLoads returns the load that this process puts on the endpoints, by endpoint
// ID, without those where it has no requests.
func (s *Set) ProcessLoads() map[string]ProcessLoad {
	loads := map[string]ProcessLoad{}
	for _, e := range s.list {
		if e.InFlight > 0 {
			loads[e.ID] = ProcessLoad{InFlight: e.InFlight, Heavy: e.critical, Burden: e.weightedWork}
		}
	}
	return loads
}

// running returns the number of requests at the endpoint, as far as it is known.
func (e *State) running() int { return e.InFlight + e.others.InFlight }
