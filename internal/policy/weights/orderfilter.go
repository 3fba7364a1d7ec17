package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// OrderFilter decides which orders an agent lets through to its engine. Its versions
// are by adapter, the empty one standing for the engine's model. An engine may
// ignore fencing numbers, so for it the guard alone keeps a version from going
// back. Five rules do it:
//
//   - An epoch below the highest one heard for its duty is refused: a paused owner
//     that wakes beside its successor gives no order.
//   - A version below the highest one let through or reported is refused.
//   - A load given before a status order that was heard already is refused: its
//     owner took it for lost, and may have chosen another engine instead.
//   - Loads go to the engine one at a time, and after one whose end is not known
//     none follows until its deadline has passed. Two loads at once would leave the
//     one that ends last in force, whatever its version.
//   - A new agent does not know what its predecessor let through, so it waits out
//     MaxOrder, the longest deadline an order can have, and then looks at the engine.
//     An order is void MaxOrder after its target was issued, on the issuing agent's
//     own clock. So one that was read late, from the socket of a paused agent, is
//     void by the time the successor gives its first.
type OrderFilter struct {
	maxOrder    time.Duration
	incarnation string
	started     time.Time

	epochs  map[string]int64 // highest heard, by duty
	asked   map[string]int64 // highest sequence of a status order under that epoch, by duty
	highest map[string]int64 // let through or reported, by adapter; never falls
	actual  map[string]int64 // in force at the engine as last known, by adapter
	role    string           // of the engine as last known

	running   *wire.Order // the load in progress, if any
	deadline  time.Time   // of the load in progress
	settledAt time.Time   // no load before a report that was taken after it
	reported  bool        // such a report has come
}

// Verdict is what becomes of an order. Run set: carry it out until Deadline and
// call Finish. Otherwise Reply is the answer.
type Verdict struct {
	Run      bool
	Deadline time.Time
	Reply    wire.OrderReply
}

// LoadResult is how a load ended.
type LoadResult int

// The results of a load.
const (
	LoadUnknown LoadResult = iota // the engine may or may not carry it out yet
	LoadDone
	LoadFailed // the engine said that it did not load
)

// NewOrderFilter returns the guard of an agent that starts now.
func NewOrderFilter(incarnation string, maxOrder time.Duration, now time.Time) *OrderFilter {
	return &OrderFilter{
		maxOrder:    maxOrder,
		incarnation: incarnation,
		started:     now,
		epochs:      map[string]int64{},
		asked:       map[string]int64{},
		highest:     map[string]int64{},
		actual:      map[string]int64{},
		settledAt:   now.Add(maxOrder),
	}
}

// ObserveFence notes an epoch heard elsewhere, such as on a heartbeat.
func (g *OrderFilter) ObserveFence(f wire.Fence) { g.pass(f) }

func (g *OrderFilter) pass(f wire.Fence) bool {
	known := g.epochs[f.Duty]
	if f.Epoch < known {
		return false
	}
	if f.Epoch > known {
		g.epochs[f.Duty] = f.Epoch
		g.asked[f.Duty] = 0
	}
	return true
}

// ReportVersions notes the versions in force at the engine at the time taken, by adapter.
// Reports lag: one taken before the last load ended says nothing about now. A
// version that fell tells of a restart of the engine; what may pass stays as it was.
func (g *OrderFilter) ReportVersions(versions map[string]int64, taken time.Time) {
	if g.running != nil || taken.Before(g.settledAt) {
		return
	}
	g.reported = true
	clear(g.actual)
	for adapter, version := range versions {
		g.actual[adapter] = version
		g.highest[adapter] = max(g.highest[adapter], version)
	}
}

// ReportRole notes the engine's role, under the same rule. One that restarted
// tells the role that it starts with, or none.
func (g *OrderFilter) ReportRole(role string, taken time.Time) {
	if g.running == nil && !taken.Before(g.settledAt) {
		g.role = role
	}
}

// Ready tells whether the guard knows the engine's state, so that orders may
// pass, and from which time on a report is needed if not.
func (g *OrderFilter) Ready() (bool, time.Time) {
	return g.reported && g.running == nil, g.settledAt
}

// Accept decides on an order that arrives now.
func (g *OrderFilter) Accept(o wire.Order, now time.Time) Verdict {
	if !g.pass(o.Fence) {
		return g.refuse(o, wire.ReasonStaleEpoch)
	}
	switch o.Kind {
	case wire.OrderStatus:
		return g.status(o, now)
	case wire.OrderPrepare:
		return Verdict{Run: true, Deadline: now.Add(o.Remaining)}
	case wire.OrderSwap, wire.OrderAdapter, wire.OrderRole:
		return g.load(o, now)
	default:
		return g.refuse(o, wire.ReasonBadRequest)
	}
}

func (g *OrderFilter) refuse(o wire.Order, reason wire.Reason) Verdict {
	return Verdict{Reply: wire.OrderReply{Outcome: wire.NotRun, Reason: reason, Version: g.actual[o.Adapter], Role: g.role}}
}

func (g *OrderFilter) status(o wire.Order, now time.Time) Verdict {
	g.asked[o.Fence.Duty] = max(o.Sequence, g.asked[o.Fence.Duty])
	reply := wire.OrderReply{Outcome: wire.Answered, Version: g.actual[o.Adapter], Role: g.role}
	if settled, _ := g.Ready(); !settled {
		reply.Outcome = wire.Running
		reply.Reason = wire.ReasonNotReady
	}
	reply.Target = wire.Target{Incarnation: g.incarnation, Uptime: now.Sub(g.started)}
	return Verdict{Reply: reply}
}

func (g *OrderFilter) load(o wire.Order, now time.Time) Verdict {
	if g.running != nil {
		return g.busy(o)
	}
	if o.Sequence < g.asked[o.Fence.Duty] {
		return g.refuse(o, wire.ReasonDuplicate)
	}
	if settled, _ := g.Ready(); !settled {
		return g.refuse(o, wire.ReasonNotReady)
	}
	isRole := o.Kind == wire.OrderRole
	if !isRole && o.Version < g.highest[o.Adapter] {
		return g.refuse(o, wire.ReasonOldVersion)
	}
	if g.inForce(o) {
		return Verdict{Reply: wire.OrderReply{Outcome: wire.Answered, Version: o.Version, Role: g.role}}
	}
	deadline := g.expiry(o, now)
	if !deadline.After(now) {
		return g.refuse(o, wire.ReasonDeadline)
	}
	g.running = &o
	g.deadline = deadline
	if !isRole {
		g.highest[o.Adapter] = o.Version
	}
	return Verdict{Run: true, Deadline: deadline}
}

// inForce tells whether the engine has what the order would bring. Roles have no
// order among them: an owner's epoch and sequence alone say which is the newest.
func (g *OrderFilter) inForce(o wire.Order) bool {
	if o.Kind == wire.OrderRole {
		return o.Role == g.role
	}
	return o.Version == g.actual[o.Adapter]
}

func (g *OrderFilter) busy(o wire.Order) Verdict {
	if o.ID != g.running.ID {
		return g.refuse(o, wire.ReasonNotReady)
	}
	return Verdict{Reply: wire.OrderReply{Outcome: wire.Running, Version: g.actual[o.Adapter]}}
}

// expiry returns when an order ends to be valid; the zero time for the order of
// another run of the agent.
func (g *OrderFilter) expiry(o wire.Order, now time.Time) time.Time {
	if o.Target.Incarnation != g.incarnation {
		return time.Time{}
	}
	void := g.started.Add(o.Target.Uptime + g.maxOrder)
	if end := now.Add(o.Remaining); end.Before(void) {
		return end
	}
	return void
}

// StillValid tells whether a load let through may still be given to the engine; ask
// right before giving it, as the agent may have been paused since Accept.
func (g *OrderFilter) StillValid(now time.Time) bool { return now.Before(g.deadline) }

// Finish notes the end of the load in progress and returns the order's reply.
func (g *OrderFilter) Finish(result LoadResult, now time.Time) wire.OrderReply {
	o := *g.running
	g.running = nil
	switch result {
	case LoadDone:
		g.settledAt = now
		if o.Kind == wire.OrderRole {
			g.role = o.Role
		} else {
			g.actual[o.Adapter] = o.Version
		}
		return wire.OrderReply{Outcome: wire.Answered, Version: o.Version, Role: g.role}
	case LoadFailed:
		g.settledAt = now
		return wire.OrderReply{Outcome: wire.NotRun, Reason: wire.ReasonLoadFailed, Version: g.actual[o.Adapter]}
	default:
		g.settledAt = g.deadline
		g.reported = false
		return wire.OrderReply{Outcome: wire.Unknown, Reason: wire.ReasonDeadline, Version: g.actual[o.Adapter]}
	}
}
