// Package weights decides how a new weight version reaches the engines of a service:
// from which source each agent fetches each chunk, when each engine loads the version,
// and which orders an agent passes to its engine.
//
// Rollout runs at the holder of the service's weights duty. OrderFilter and FetchPlan run
// at the agents. Record is the only value that is stored. All of them are state machines:
// callers pass in the current time and the replies, and get back orders. None is safe for
// concurrent use.
package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// MaxOrderTimeout is the longest deadline of an order that changes an engine, counted from
// the issue of the order's target. A restarted agent waits this long, so that all orders
// to its predecessor have expired.
const MaxOrderTimeout = 10 * time.Second

// Key identifies what is loaded: the full weights of a model, or one of its adapters.
type Key struct {
	Model   string
	Adapter string // empty: the model itself
}

// LoadKind returns the kind of order that makes an engine load the key.
func (k Key) LoadKind() wire.OrderKind {
	if k == RoleKey {
		return wire.OrderRole
	}
	if k.Adapter != "" {
		return wire.OrderAdapter
	}
	return wire.OrderSwap
}

// DutyPrefix is the prefix of the names of weights duties. The service name follows it.
const DutyPrefix = "weights/"

// Duty returns the name of the weights duty of a service. Its holder rolls out weights to
// the service.
func Duty(service string) string { return DutyPrefix + service }
