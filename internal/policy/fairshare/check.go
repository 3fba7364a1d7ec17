package fairshare

import (
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxNameBytes is the largest length of the name of a process, a service or a customer.
	maxNameBytes = 200
	// maxCount is the largest number of slots or requests in a message.
	maxCount = 1_000_000
	// minWeight and maxWeight are the bounds of a customer's weight; the usual one is 1.
	minWeight, maxWeight = 1e-3, 1e3
	// maxLevel is the largest level that a division can have.
	maxLevel = maxCount / minWeight
	// maxClockDifference is how far the clocks of two machines may differ. A time that is further
	// in the future is not used.
	maxClockDifference = time.Second
)

// FieldError is a value of a message that is not used.
type FieldError struct {
	Field string
	Value string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s is out of range", e.Field, e.Value) }

// ErrUnidentified is returned for a report that names no process or no service.
var ErrUnidentified = errors.New("fairshare: the report names no process or no service")

// checker collects the values that are not used.
type checker struct{ faults []error }

func (c *checker) reject(field string, value any) {
	c.faults = append(c.faults, &FieldError{Field: field, Value: fmt.Sprintf("%.40v", value)})
}

// count returns a count, or 0 if it is out of range.
func (c *checker) count(field string, n int) int {
	if n < 0 || n > maxCount {
		c.reject(field, n)
		return 0
	}
	return n
}

// Check returns the report without the values that cannot be used, and an error for each of
// those. If the report cannot be used at all, err is not nil.
func (r Report) Check(now time.Time) (usable Report, faults []error, err error) {
	if !validName(r.Process) || r.Process == "" || !validName(r.Service) || r.Service == "" {
		return Report{}, nil, ErrUnidentified
	}
	c := &checker{}
	usable = Report{Process: r.Process, Service: r.Service, At: r.At}
	if r.At.After(now.Add(maxClockDifference)) {
		c.reject("At", r.At)
		usable.At = now
	}
	usable.Slots = c.count("Slots", r.Slots)
	usable.Rest = c.count("Rest", r.Rest)
	usable.Demands = c.demands(r.Demands)
	return usable, c.faults, nil
}

// demands returns the usable demands of different customers.
func (c *checker) demands(reported []Demand) []Demand {
	if len(reported) > maxCustomers {
		c.reject("Demands", len(reported))
		reported = reported[:maxCustomers]
	}
	usable := make([]Demand, 0, len(reported))
	seen := make(map[string]bool, len(reported))
	for _, d := range reported {
		if !validName(d.Customer) || seen[d.Customer] {
			c.reject("Demands.Customer", d.Customer)
			continue
		}
		seen[d.Customer] = true
		if !validWeight(d.Weight) {
			c.reject("Demands.Weight", d.Weight)
			d.Weight = usableWeight(d.Weight)
		}
		d.InFlight, d.Waiting = c.count("Demands.InFlight", d.InFlight), c.count("Demands.Waiting", d.Waiting)
		if d.total() > 0 {
			usable = append(usable, d)
		}
	}
	return usable
}

func validName(name string) bool { return len(name) <= maxNameBytes }

func validWeight(w float64) bool { return w >= minWeight && w <= maxWeight } // false if it is not a number

// usableWeight returns the weight, or 1 if it is out of range.
func usableWeight(w float64) float64 {
	if !validWeight(w) {
		return 1
	}
	return w
}

// ErrNoSlots is returned for an allotment without a usable number of slots.
var ErrNoSlots = errors.New("fairshare: the allotment has no usable number of slots")

// Check returns the allotment without the values that cannot be used, and an error for each of
// those. If the allotment cannot be used at all, err is not nil.
func (a Allotment) Check() (usable Allotment, faults []error, err error) {
	if a.Slots < 1 || a.Slots > maxCount {
		return Allotment{}, nil, errors.Wrapf(ErrNoSlots, "%d", a.Slots)
	}
	c := &checker{}
	usable = Allotment{Slots: a.Slots, Level: a.Level, Processes: a.Processes}
	if a.Level < 0 || a.Level > maxLevel || math.IsNaN(a.Level) {
		c.reject("Level", a.Level)
		usable.Level = 0
	}
	if a.Processes < 1 || a.Processes > maxProcesses {
		c.reject("Processes", a.Processes)
		usable.Processes = 1
	}
	for customer, slots := range a.Customers {
		if slots < 0 || slots > maxCount || !validName(customer) || len(usable.Customers) == maxCustomers {
			c.reject("Customers", slots)
			continue
		}
		if usable.Customers == nil {
			usable.Customers = make(map[string]int, len(a.Customers))
		}
		usable.Customers[customer] = slots
	}
	return usable, c.faults, nil
}
