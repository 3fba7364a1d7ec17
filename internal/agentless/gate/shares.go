package gate

import (
	"maps"
	"slices"
	"strings"
	"time"

	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
)

// Shares reports how much of a service this process may use now. Its methods are called for each
// request while a queue is locked: they must not wait and must not call the gate.
type Shares interface {
	Slots(service string) (slots int, known bool)                     // maximum requests in flight
	CustomerSlots(service, customer string) (slots int, limited bool) // maximum for one customer
}

// Demands returns what each customer asks of a service in this process: its requests in flight
// and the waiting ones. Customers without any are left out.
func (g *Gate) Demands(service string) []fairshare.Demand {
	q := g.existingQueue(service)
	if q == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.demands()
}

// LastFull returns when a request was last refused by all endpoints of a service that it was
// sent to, or the zero time.
func (g *Gate) LastFull(service string) time.Time {
	q := g.existingQueue(service)
	if q == nil {
		return time.Time{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fullAt
}

// QueueStatus describes the queue of a service in this process.
type QueueStatus struct {
	Service    string           `json:"service"`
	Limit      int              `json:"limit"`    // most requests in flight
	Learned    int              `json:"learned"`  // limit learned from latency and refusals
	Assigned   int              `json:"assigned"` // limit assigned to this process; 0: none
	InFlight   int              `json:"inFlight"`
	Waiting    int              `json:"waiting"`
	QueueLimit int              `json:"queueLimit"` // most waiting requests
	Refused    map[string]int64 `json:"refused"`    // by reason, since the start of the process
	Customers  []CustomerStatus `json:"customers"`  // with requests in flight, waiting or refused
}

// CustomerStatus describes the requests of one customer to a service in this process.
type CustomerStatus struct {
	Customer string           `json:"customer"` // empty: requests without a customer's key
	InFlight int              `json:"inFlight"`
	Waiting  int              `json:"waiting"`
	Refused  map[string]int64 `json:"refused,omitempty"` // by reason, since the start of the process
}

// QueueStatus returns a snapshot of all queues, sorted by service and customer.
func (g *Gate) QueueStatus() []QueueStatus {
	list := []QueueStatus{}
	for _, q := range g.allQueues() {
		list = append(list, q.status())
	}
	slices.SortFunc(list, func(a, b QueueStatus) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// demands returns the demand by customer. The lock must be held.
func (q *serviceQueue) demands() []fairshare.Demand {
	var list []fairshare.Demand
	q.policy.Customers(func(c admission.CustomerLoad) {
		list = append(list, fairshare.Demand{Customer: c.Customer, Weight: c.Weight, InFlight: c.Running, Waiting: c.Waiting})
	})
	return list
}

func (q *serviceQueue) status() QueueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := q.policy.Load()
	status := QueueStatus{
		Service: q.service, Limit: q.limit(), Learned: q.limiter.Limit(), Assigned: q.assigned,
		InFlight: load.Running, Waiting: load.Queued, QueueLimit: q.queueLimit, Refused: map[string]int64{},
	}
	customers := map[string]CustomerStatus{}
	for _, d := range q.demands() {
		customers[d.Customer] = CustomerStatus{Customer: d.Customer, InFlight: d.InFlight, Waiting: d.Waiting}
	}
	maps.Copy(status.Refused, q.formerRefused)
	for customer, byReason := range q.refused {
		c := customers[customer]
		c.Customer, c.Refused = customer, map[string]int64{}
		for reason, n := range byReason {
			c.Refused[reason] = n
			status.Refused[reason] += n
		}
		customers[customer] = c
	}
	for _, c := range customers {
		status.Customers = append(status.Customers, c)
	}
	slices.SortFunc(status.Customers, func(a, b CustomerStatus) int { return strings.Compare(a.Customer, b.Customer) })
	return status
}
