// Package weights decides how a new weight version reaches the engines of a
// service: which agent fetches which chunk from where, which engines swap when,
// and which orders an agent lets through to its engine.
//
// Rollout is the side of the duty owner, Guard and Fetch are the side of the
// agents, Record is the one value that lasts. All are plain state machines: the
// time is passed in, orders come out, and replies are fed back. None is safe for
// concurrent use.
package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// MaxOrderTimeout is the longest deadline of an order that changes an engine, and so the
// time that a new agent waits for its predecessor's orders to end.
const MaxOrderTimeout = 10 * time.Second

// Key names what is loaded: the full weights of a model, or one of its adapters.
type Key struct {
	Model   string
	Adapter string // empty: the model itself
}

// LoadKind returns the kind of order that loads the key.
func (k Key) LoadKind() wire.OrderKind {
	if k == RoleKey {
		return wire.OrderRole
	}
	if k.Adapter != "" {
		return wire.OrderAdapter
	}
	return wire.OrderSwap
}

// DutyPrefix precedes a service's name in the name of its weights duty.
const DutyPrefix = "weights/"

// Duty returns the name of the duty that rolls weights out to a service.
func Duty(service string) string { return DutyPrefix + service }
