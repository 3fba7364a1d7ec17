// Package fairshare divides the slots of a service between the processes that send requests to
// it, so that its customers get equal parts of a service that cannot serve all of them.
//
// It addresses this load: 17 entries and several owners of jobs compete for the 18 slots of a
// plain service, or for 12 while an endpoint is lost, and one of 71 customers sends twelve times
// as many requests as before. Without a division the process that sends most gets the slots.
//
// A process whose service is under pressure reports its demand to one worker (Client), which
// divides the slots between the processes that reported (Table, Divide). The worker is not a
// queue, and its state is soft: a process without a valid allotment uses an equal part. The
// package does no I/O and reads no clock.
package fairshare

import "time"

// Demand is what one customer asks of a service in one process.
type Demand struct {
	Customer string // empty: requests of no customer
	Weight   float64
	InFlight int
	Waiting  int
}

// total returns the number of slots that the demand would fill.
func (d *Demand) total() int { return d.InFlight + d.Waiting }

// Report is the demand of one process for a service. Processes send it to each other with
// encoding/gob, which writes the field names, so these must not change.
type Report struct {
	Process string
	Service string
	At      time.Time // orders the reports of one process; it is not compared between machines
	Slots   int       // of the endpoints that are usable in the view of the process; 0: not known
	Demands []Demand  // at most maxCustomers, largest first
	Rest    int       // total demand of all other customers
}

// total returns the demand of all customers.
func (r *Report) total() int {
	sum := r.Rest
	for i := range r.Demands {
		sum += r.Demands[i].total()
	}
	return sum
}

// Allotment is the part of a service that one process may use. Processes send it to each other
// with encoding/gob, so the field names must not change.
type Allotment struct {
	Slots int // limit of the requests in flight
	// Customers holds the limits of the customers that get less than they ask for.
	Customers map[string]int
	// Level is the number of slots per unit of weight that no customer exceeds; 0: every
	// customer gets all it asks for.
	Level float64
	// Processes is the number of processes whose reports the division is based on.
	Processes int
}

const (
	// maxCustomers is the largest number of customers that a report lists.
	maxCustomers = 64
	// baseInterval is the time between two reports of a process while at most
	// processesPerInterval processes report; it grows with their number, so that a worker
	// receives at most 400 reports per second about a service.
	baseInterval         = 100 * time.Millisecond
	processesPerInterval = 40
	// baseValidity is how long a report and an allotment are used. It is ten intervals of a
	// small fleet, and at least validIntervals of a large one.
	baseValidity   = time.Second
	validIntervals = 3
)

// Interval returns the time between two reports of a process while this many processes report.
func Interval(processes int) time.Duration {
	return baseInterval * time.Duration(max(1, (processes+processesPerInterval-1)/processesPerInterval))
}

// Validity returns how long a report or an allotment is used while this many processes report.
func Validity(processes int) time.Duration {
	return max(baseValidity, validIntervals*Interval(processes))
}
