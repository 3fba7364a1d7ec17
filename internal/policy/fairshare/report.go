package fairshare

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxBytesPerSecond limits the reports that a process sends.
	maxBytesPerSecond = 10_000
	// maxReportBytes limits one report.
	maxReportBytes = 3_000
	// roundBytes limits the reports about all services together that a process sends in one
	// round, so that the next round follows within the validity of this one.
	roundBytes = 4_000
	// reportBytes and demandBytes are the largest sizes of a report and of a demand without
	// their names, as encoding/gob writes them with the header of net/rpc.
	reportBytes, demandBytes = 80, 24
)

// sendTime returns the time in which a process may send this many bytes.
func sendTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / maxBytesPerSecond
}

// report returns the report of a view and its size. It lists the customers with the largest
// demand, as many as fit into limit bytes.
func (c *Client) report(now time.Time, v *View, limit int) (r Report, size int) {
	r = Report{Process: c.self, Service: v.Service, At: now, Slots: v.Slots}
	demands := merged(v.Demands)
	slices.SortFunc(demands, func(a, b Demand) int {
		if order := cmp.Compare(b.total(), a.total()); order != 0 {
			return order
		}
		return strings.Compare(a.Customer, b.Customer)
	})
	size = reportBytes + len(r.Process) + len(r.Service)
	listed := 0
	for listed < min(len(demands), maxCustomers) && size+demandBytes+len(demands[listed].Customer) <= limit {
		size += demandBytes + len(demands[listed].Customer)
		listed++
	}
	r.Demands = demands[:listed]
	for i := listed; i < len(demands); i++ {
		r.Rest += demands[i].total()
	}
	return r, size
}

// merged returns the demands by customer. Two components of a process may report the same one.
func merged(reported []Demand) []Demand {
	demands := make([]Demand, 0, len(reported))
	byCustomer := make(map[string]int, len(reported))
	for _, d := range reported {
		if d.total() <= 0 || !validName(d.Customer) {
			continue
		}
		if at, found := byCustomer[d.Customer]; found {
			demands[at].InFlight += d.InFlight
			demands[at].Waiting += d.Waiting
			continue
		}
		byCustomer[d.Customer] = len(demands)
		demands = append(demands, d)
	}
	return demands
}
