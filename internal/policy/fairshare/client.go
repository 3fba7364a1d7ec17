package fairshare

import (
	"maps"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// pressureShare is the share of a service's slots that this process uses above which the
	// service is under pressure.
	pressureShare = 0.7
	// pressureHold is how long the pressure lasts after its last cause. Between two bursts of
	// requests the reports go on, so that the division does not start anew with each of them.
	pressureHold = time.Second
	// maxFailures is the number of failed calls in a row after which the next worker is asked.
	// With the time-out of a call this takes less than a second.
	maxFailures = 2
	// returnInterval is how often a process that uses another worker than the first one reports
	// to the first one as well.
	returnInterval = time.Second
	// returnPart is the part of a report that such an additional one may take. The first worker
	// gets a whole one as soon as it has answered.
	returnPart = 4
)

// View is what a process knows of a service at one time.
type View struct {
	Service  string
	Slots    int       // of the usable endpoints
	InFlight int       // requests of this process at the endpoints
	FullAt   time.Time // when an endpoint last refused a request because it was full; zero: never
	Demands  []Demand
}

// Fleet is what a process knows of the other processes.
type Fleet struct {
	Workers []string // that may divide slots
	Entries int      // number of registered entries
}

// Call is a report that is to be sent to a worker.
type Call struct {
	Worker string
	Report Report
	Again  bool // the last call to this worker failed
	Return bool // an additional call to the first worker
}

// Change says what a step changed in the state of a service. Its values are logged.
type Change struct {
	Began, Ended bool   // the pressure began or ended
	Worker       string // another worker is asked from now on
	Unanswered   bool   // a first call to a worker failed
	NoAllotment  bool   // the last allotment has expired
}

// Client decides for one process when it reports the demand for a service, to which worker, and
// how many slots of the service it may use. It is not safe for concurrent use.
type Client struct {
	self     string
	services map[string]*clientService
}

// NewClient returns a Client of the process self.
func NewClient(self string) *Client {
	return &Client{self: self, services: map[string]*clientService{}}
}

// clientService is the state of a service that is or recently was under pressure.
type clientService struct {
	pressed   bool
	beganAt   time.Time
	causeAt   time.Time // when a cause of the pressure was last observed
	finalDue  bool      // the end of the pressure is to be reported
	slots     int       // of the usable endpoints
	entries   int
	workers   []string // in the order in which they are asked
	worker    string   // that is asked now
	failures  int      // calls to it that failed in a row
	calling   bool
	nextAt    time.Time
	returning bool // an additional call to the first worker is in flight
	returnAt  time.Time

	allotment  Allotment
	validUntil time.Time
	expired    bool // the expiry of the allotment was announced
	processes  int  // that report; 0: not known
}

// Reset forgets all services.
func (c *Client) Reset() { clear(c.services) }

// Retain forgets services for which keep returns false: they are no longer declared.
func (c *Client) Retain(keep func(service string) bool) {
	maps.DeleteFunc(c.services, func(service string, _ *clientService) bool { return !keep(service) })
}

// Check returns the calls that are due for a service. It must be called regularly, at intervals
// below the base interval; Answered or Failed must be called for each call.
func (c *Client) Check(now time.Time, v View, f Fleet) ([]Call, Change) {
	cause := UnderPressure(now, &v)
	s := c.services[v.Service]
	if s == nil {
		if !cause {
			return nil, Change{}
		}
		s = &clientService{}
		c.services[v.Service] = s
	}
	change := s.update(now, cause)
	s.slots, s.entries = v.Slots, f.Entries
	s.setWorkers(v.Service, f.Workers)
	if !s.pressed && !s.finalDue {
		if !s.calling && !s.returning && !now.Before(s.validUntil) {
			delete(c.services, v.Service)
		}
		return nil, change
	}
	change.NoAllotment = s.announceExpiry(now)
	return c.dueCalls(now, s, &v), change
}

// UnderPressure returns whether there is a cause of pressure: a request waits, was refused because
// the service was full, or this process alone uses most of the slots.
func UnderPressure(now time.Time, v *View) bool {
	for i := range v.Demands {
		if v.Demands[i].Waiting > 0 {
			return true
		}
	}
	if !v.FullAt.IsZero() && now.Sub(v.FullAt) <= pressureHold {
		return true
	}
	return v.Slots > 0 && float64(v.InFlight) > pressureShare*float64(v.Slots)
}

// update updates the pressure.
func (s *clientService) update(now time.Time, cause bool) (change Change) {
	switch {
	case cause && !s.pressed:
		s.pressed, s.beganAt, s.causeAt, s.finalDue = true, now, now, false
		change.Began = true
	case cause:
		s.causeAt = now
	case s.pressed && now.Sub(s.causeAt) > pressureHold:
		s.pressed, s.finalDue = false, true
		change.Ended = true
	}
	return change
}

// setWorkers sets the workers that may divide the slots. All processes rank them alike, so a
// change of the list starts again with the first one.
func (s *clientService) setWorkers(service string, workers []string) {
	if len(workers) == len(s.workers) && !slices.ContainsFunc(workers, func(w string) bool { return !slices.Contains(s.workers, w) }) {
		return
	}
	nodes := make([]uint64, len(workers))
	for i, w := range workers {
		nodes[i] = rendezvous.Key(w)
	}
	s.workers = s.workers[:0:0]
	for _, i := range rendezvous.Ranked(rendezvous.Key(service), nodes, len(nodes)) {
		s.workers = append(s.workers, workers[i])
	}
	s.worker, s.failures = "", 0
	if len(s.workers) > 0 {
		s.worker = s.workers[0]
	}
}

// announceExpiry returns whether the last allotment expired since the last call.
func (s *clientService) announceExpiry(now time.Time) bool {
	if !s.pressed || s.expired || now.Before(s.validUntil) || s.processes == 0 && now.Sub(s.beganAt) < baseValidity {
		return false
	}
	s.expired = true
	return true
}

// dueCalls returns the reports that are to be sent now.
func (c *Client) dueCalls(now time.Time, s *clientService, v *View) []Call {
	if s.calling || s.worker == "" || now.Before(s.nextAt) {
		return nil
	}
	limit := min(maxReportBytes, roundBytes/len(c.services))
	report, size := c.report(now, v, limit)
	s.calling, s.finalDue = true, false
	calls := []Call{{Worker: s.worker, Report: report, Again: s.failures > 0}}
	if first := s.workers[0]; first != s.worker && !s.returning && !now.Before(s.returnAt) {
		short, shortSize := c.report(now, v, limit/returnPart)
		s.returning, s.returnAt = true, now.Add(returnInterval)
		calls, size = append(calls, Call{Worker: first, Report: short, Return: true}), size+shortSize
	}
	s.nextAt = now.Add(max(Interval(s.processes), sendTime(size*len(c.services))))
	return calls
}

// Answered records the answer to a call. It returns the values of the allotment that were not
// used.
func (c *Client) Answered(now time.Time, call Call, a Allotment) (Change, []error) {
	usable, faults, err := a.Check()
	if err != nil {
		return c.Failed(now, call), []error{err}
	}
	s := c.services[call.Report.Service]
	if s == nil {
		return Change{}, faults
	}
	change := Change{}
	s.ended(call)
	if call.Return && slices.Contains(s.workers, call.Worker) && s.worker != call.Worker {
		s.worker, change.Worker = call.Worker, call.Worker
	}
	if call.Worker != s.worker {
		return change, faults // it is no longer asked
	}
	s.failures = 0
	s.accept(now, usable)
	return change, faults
}

// ended records that a call is no longer in flight.
func (s *clientService) ended(call Call) {
	if call.Return {
		s.returning = false
		return
	}
	s.calling = false
}

// accept records an allotment. The first worker knows all processes that report. Another one may
// know only those that cannot reach the first; its division is scaled by the share of the
// processes that it knows. Otherwise a process that is cut off from the first worker would get
// the whole service from the second.
func (s *clientService) accept(now time.Time, a Allotment) {
	if s.worker == s.workers[0] {
		s.processes = a.Processes
	}
	s.processes = max(s.processes, a.Processes)
	if a.Processes < s.processes {
		a.Slots = max(1, a.Slots*a.Processes/s.processes)
		for customer, slots := range a.Customers {
			a.Customers[customer] = slots * a.Processes / s.processes
		}
	}
	s.allotment, s.validUntil, s.expired = a, now.Add(Validity(s.processes)), false
}

// Failed records that a call failed or was not answered in time.
func (c *Client) Failed(_ time.Time, call Call) Change {
	s := c.services[call.Report.Service]
	if s == nil {
		return Change{}
	}
	s.ended(call)
	if call.Return || call.Worker != s.worker {
		return Change{}
	}
	s.failures++
	if s.failures < maxFailures || len(s.workers) < 2 {
		return Change{Unanswered: s.failures == 1}
	}
	at := slices.Index(s.workers, s.worker)
	s.worker, s.failures = s.workers[(at+1)%len(s.workers)], 0
	return Change{Worker: s.worker}
}

// Slots returns how many requests this process may have in flight at a service, and whether this
// is limited now. Without a valid allotment a process uses an equal part of the service.
func (c *Client) Slots(now time.Time, service string) (slots int, known bool) {
	s := c.services[service]
	switch {
	case s == nil:
		return 0, false
	case now.Before(s.validUntil):
		return s.allotment.Slots, true
	case !s.pressed || len(s.workers) == 0:
		return 0, false
	case s.processes > 0:
		return max(1, s.slots/s.processes), true
	case now.Sub(s.beganAt) < baseValidity:
		return 0, false // the first allotment is expected
	default:
		return max(1, s.slots/max(1, s.entries)), true
	}
}

// CustomerSlots returns how many requests of a customer this process may have in flight at a
// service, if the customer is limited there.
func (c *Client) CustomerSlots(now time.Time, service, customer string) (slots int, limited bool) {
	s := c.services[service]
	if s == nil || !now.Before(s.validUntil) {
		return 0, false
	}
	slots, limited = s.allotment.Customers[customer]
	return slots, limited
}
