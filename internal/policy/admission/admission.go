// Package admission decides in which order the requests at an agent reach its
// endpoint, and which of them are refused at once.
//
// Deadline requests, that is, all requests except rollouts, share the endpoint by weight:
// first between businesses, then between the agencies of a business, then between the
// callers of an agency (hierarchical start-time fair queueing over estimated slot time).
// Class priority and the deadline only order the requests of one caller, so no business
// gains over another by declaring a higher priority. Rollouts get the capacity that
// deadline requests leave, by the same weights, and are preempted for them.
//
// With Config.Flat the package orders the requests of one platform process for a whole service.
// The differences, each with the load that causes it:
//   - Principals are customers, without levels below. With 10,000 customers, three nodes each
//     would take three times the memory.
//   - A request of higher priority starts before those of other customers, but only until its
//     customer is ahead of its share by Config.Lead. Customers with a high priority may be as
//     large as all others together, and without the bound the others would be starved.
//   - A request that starts at once takes a Slot instead of an entry of the queue (TryStart). Outside of an
//     overload, which is nearly always, requests then cost no allocation.
//   - Retries and hedges (Item.Extra) start only when no first attempt waits. When two of three
//     endpoints are slow, every request wants a second attempt and there is no capacity for it.
//   - A customer may be limited to a number of slots (SetCap), because its other requests hold slots
//     of the same service through other processes.
//   - A full queue drops the newest request of the customer with the most waiting work. The
//     customer is found without a pass over all, as a flood fills the queue with each request.
//
// The package reads no clock: every call takes the time and returns the actions to
// carry out. The returned slice is valid until the next call.
package admission

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Item describes a request that asks for a slot of the endpoint.
type Item struct {
	ID        string
	Principal wire.Principal
	Priority  int
	Deadline  time.Time // zero: none
	Cost      float64   // estimated time in seconds that the request holds a slot
	TailCost  float64   // time in seconds that most such requests do not exceed; 0: Cost
	Rollout   bool
	Extra     bool // with Config.Flat: a retry or hedge; it starts when no first attempt waits
	Returned  bool // with Config.Flat: endpoints refused it as full, so it keeps its place before newer requests
	Suspect   bool // must run alone: it starts when nothing else runs, and nothing starts while it runs
}

// ActionKind is what the caller has to do with a request.
type ActionKind int

// The kinds of action.
const (
	Start   ActionKind = iota // send the request to the endpoint
	Preempt                   // stop the rollout, and call Preempted once it has stopped
	Refuse                    // answer the request; it has left the queue
)

// Action is a decision about one request.
type Action struct {
	Kind       ActionKind
	ID         string
	Reason     wire.Reason   // of a refusal
	RetryAfter time.Duration // of a refusal; 0: a retry here cannot succeed
	Started    bool          // the refused rollout ran before it was preempted, so its outcome is not "not run"
}

// Rate is the rate limit of one caller.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Config is the declared configuration of an endpoint's queue.
type Config struct {
	Slots      int // most requests that the endpoint runs at once
	QueueLimit int // most waiting requests, for deadline requests and rollouts each
	// Weights holds the declared weights. A Principal with only Business set stands for a
	// business, one with Business and Agency for an agency, and a full one for a caller.
	// The default weight is 1.
	Weights map[wire.Principal]float64
	// Rates holds the rate limits of callers, by the full Principal.
	Rates map[wire.Principal]Rate
	// Flat is set for a queue of customers: principals with only Business set. See the package
	// comment.
	Flat bool
	// Lead is the slot time in seconds by which a customer may get ahead of others because of the
	// priority of its requests. With Flat only.
	Lead float64
}

// Load describes how busy the queue is.
type Load struct {
	Running       int
	Queued        int
	Rollouts      int // running and waiting rollouts
	Slots         int
	QueuedSeconds float64 // estimated time to serve the waiting deadline requests
	Leaving       bool
}

const (
	minRetryAfter = 50 * time.Millisecond
	// minCost is the lowest cost that a request is charged, so that a request with a
	// stated cost of zero does not pass the queue for free.
	minCost = 1e-4
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
