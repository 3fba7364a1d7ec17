// Package admission decides in which order the requests that meet at an agent
// reach its endpoint, and which of them are refused at once.
//
// Requests with a deadline share the endpoint by weight: first between
// businesses, then between a business's agencies, then between an agency's
// callers (hierarchical start-time fair queueing over estimated slot time).
// Class priority and the deadline order one caller's own requests only, so no
// business gains over another by declaring a higher priority. Rollouts get what
// deadline requests leave, by the same weights, and are preempted for them.
//
// The package owns no clock: every call takes the time and returns the actions
// to carry out. The returned slice is valid until the next call.
package admission

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Item is one request that asks for the endpoint.
type Item struct {
	ID        string
	Principal wire.Principal
	Priority  int
	Deadline  time.Time // zero: none
	Cost      float64   // estimated time the request holds a slot, in seconds
	TailCost  float64   // time that most requests like it hold one at most; 0: Cost
	Rollout   bool
	Suspect   bool // starts only when nothing else runs, and nothing starts beside it
}

// ActionKind says what the runtime has to do.
type ActionKind int

// The kinds of action.
const (
	Start   ActionKind = iota // send the request to the endpoint
	Preempt                   // stop the rollout; report Preempted once it stopped
	Refuse                    // answer the request; it leaves the queue
)

// Action is one decision about one request.
type Action struct {
	Kind       ActionKind
	ID         string
	Reason     wire.Reason   // of a refusal
	RetryAfter time.Duration // of a refusal; 0: coming back is not worth it
	Started    bool          // a refused rollout ran before it was preempted: it is not "not run"
}

// Rate limits one caller.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Config is what operators declare about sharing an endpoint.
type Config struct {
	Slots      int // requests the endpoint runs at once at most
	QueueLimit int // requests waiting at most, for deadline requests and rollouts each
	// Weights holds the declared weights: a Principal with only Business set
	// is a business, with Business and Agency an agency, with all three a
	// caller. What is not declared weighs 1.
	Weights map[wire.Principal]float64
	// Rates holds the callers' limits, by the full Principal.
	Rates map[wire.Principal]Rate
}

// Load is how busy the queue is.
type Load struct {
	Running       int
	Queued        int
	Rollouts      int // of those running and queued
	Slots         int
	QueuedSeconds float64 // estimated time to serve the waiting deadline requests
	Leaving       bool
}

const (
	minRetryAfter = 50 * time.Millisecond
	// minCost keeps a request that claims to cost nothing from passing the
	// queue for free.
	minCost = 1e-4
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
