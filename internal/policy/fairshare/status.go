package fairshare

import "time"

// ServiceStatus describes the part of a service that this process may use.
type ServiceStatus struct {
	Service   string
	Pressed   bool   // the service is under pressure in the view of this process
	Worker    string // that divides the slots
	Slots     int    // that this process may use; 0: not limited
	Valid     bool   // Slots comes from a valid allotment, not from an equal division
	Level     float64
	Processes int            // that report; 0: not known
	Customers map[string]int // limits of the customers that get less than they ask for
}

// Services returns the number of services under pressure or with a valid allotment.
func (c *Client) Services() int { return len(c.services) }

// Status returns the services under pressure or with a valid allotment.
func (c *Client) Status(now time.Time) []ServiceStatus {
	list := make([]ServiceStatus, 0, len(c.services))
	for name, s := range c.services {
		one := ServiceStatus{Service: name, Pressed: s.pressed, Worker: s.worker, Processes: s.processes, Valid: now.Before(s.validUntil)}
		one.Slots, _ = c.Slots(now, name)
		if one.Valid {
			one.Level, one.Customers = s.allotment.Level, s.allotment.Customers
		}
		list = append(list, one)
	}
	return list
}

// DivisionStatus describes a service whose slots this worker divides.
type DivisionStatus struct {
	Service  string
	Capacity int
	Level    float64 // 0: every customer gets all it asks for
	Shares   []ProcessShare
}

// ProcessShare is the share of one process.
type ProcessShare struct {
	Process string
	Demand  int
	Slots   int
}

// Status returns the services about which processes report.
func (t *Table) Status(now time.Time) []DivisionStatus {
	t.expire(now)
	list := make([]DivisionStatus, 0, len(t.services))
	for name, s := range t.services {
		one := DivisionStatus{Service: name, Capacity: s.capacity}
		for process, r := range s.byProcess {
			a := s.allotmentOf(&r.Report)
			one.Level = max(one.Level, a.Level)
			one.Shares = append(one.Shares, ProcessShare{Process: process, Demand: r.total(), Slots: a.Slots})
		}
		list = append(list, one)
	}
	return list
}
