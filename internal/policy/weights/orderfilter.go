package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// OrderFilter decides which orders an agent passes to its engine. Its versions are keyed
// by adapter; the empty adapter stands for the engine's model. As an engine may ignore
// fencing tokens, the filter alone must ensure that a version never goes back. It does so
// by five rules:
//
//   - An order with an epoch below the highest known one of its duty is refused. So a
//     paused owner that resumes after its successor has taken over cannot give orders.
//   - A version below the highest accepted or reported one is refused.
//   - A load that was issued before a status order that has already arrived is refused. Its
//     owner regards the load as lost and may have chosen another engine instead.
//   - The engine gets one load at a time. After a load of unknown outcome, no other load
//     starts until the deadline of the first has passed. If two loads ran at once, the one
//     that ends last would be in force, whatever its version.
//   - A restarted agent does not know what its predecessor accepted. It waits for
//     MaxOrderTimeout, the longest deadline of an order, and then for a report of the
//     engine. An order expires MaxOrderTimeout after its target was issued, by the clock of
//     the agent that issued it. So an order that was read late, from the socket of a paused
//     agent, has expired before the successor passes its first order.
type OrderFilter struct {
	maxTimeout  time.Duration // longest time from the issue of a target to an order's deadline
	incarnation string        // of the agent
	started     time.Time

	epochs         map[string]int64 // highest known epoch, by duty
	statusSequence map[string]int64 // highest sequence of a status order in that epoch, by duty
	highestVersion map[string]int64 // accepted or reported, by adapter; never decreases
	currentVersion map[string]int64 // last known version in force, by adapter
	currentRole    string           // last known role of the engine

	running     *wire.Order // the load in progress; nil if none
	deadline    time.Time   // of the load in progress
	reportAfter time.Time   // no load is accepted before a report that was taken at or after this time
	reported    bool        // such a report has arrived
}

// Verdict is the decision on an order. If Run is set, the agent must execute the order
// before Deadline and, if the order is a load, call Finish. Otherwise it must answer with
// Reply.
type Verdict struct {
	Run      bool
	Deadline time.Time
	Reply    wire.OrderReply
}

// LoadResult is how a load ended.
type LoadResult int

// The results of a load.
const (
	LoadUnknown LoadResult = iota // the engine may still perform the load
	LoadDone
	LoadFailed // the engine did not load and will not
)

// NewOrderFilter returns the filter of an agent that starts now.
func NewOrderFilter(incarnation string, maxTimeout time.Duration, now time.Time) *OrderFilter {
	return &OrderFilter{
		maxTimeout:     maxTimeout,
		incarnation:    incarnation,
		started:        now,
		epochs:         map[string]int64{},
		statusSequence: map[string]int64{},
		highestVersion: map[string]int64{},
		currentVersion: map[string]int64{},
		reportAfter:    now.Add(maxTimeout),
	}
}

// ObserveFence records an epoch that arrived by other means than an order, such as a
// heartbeat.
func (f *OrderFilter) ObserveFence(fence wire.Fence) { f.observeEpoch(fence) }

// observeEpoch records the epoch of a fence. It returns false if a higher one is known.
func (f *OrderFilter) observeEpoch(fence wire.Fence) bool {
	known := f.epochs[fence.Duty]
	if fence.Epoch < known {
		return false
	}
	if fence.Epoch > known {
		f.epochs[fence.Duty] = fence.Epoch
		f.statusSequence[fence.Duty] = 0
	}
	return true
}

// ReportVersions records the versions, by adapter, that were in force at the engine at the
// time taken. It ignores a report that was taken before the last load ended, as reports
// arrive late. A version that went down means that the engine restarted. The highest
// version of an adapter, below which orders are refused, stays as it is.
func (f *OrderFilter) ReportVersions(versions map[string]int64, taken time.Time) {
	if f.running != nil || taken.Before(f.reportAfter) {
		return
	}
	f.reported = true
	clear(f.currentVersion)
	for adapter, version := range versions {
		f.currentVersion[adapter] = version
		f.highestVersion[adapter] = max(f.highestVersion[adapter], version)
	}
}

// ReportRole records the role of the engine at the time taken, under the same condition as
// ReportVersions. A restarted engine reports its initial role, or none.
func (f *OrderFilter) ReportRole(role string, taken time.Time) {
	if f.running == nil && !taken.Before(f.reportAfter) {
		f.currentRole = role
	}
}

// Ready reports whether the engine's state is known, so that loads may be accepted. If
// not, it also returns the time after which a report must be taken.
func (f *OrderFilter) Ready() (bool, time.Time) {
	return f.reported && f.running == nil, f.reportAfter
}

// Accept decides on an order that arrives now.
func (f *OrderFilter) Accept(o wire.Order, now time.Time) Verdict {
	if !f.observeEpoch(o.Fence) {
		return f.refuse(o, wire.ReasonStaleEpoch)
	}
	switch o.Kind {
	case wire.OrderStatus:
		return f.acceptStatus(o, now)
	case wire.OrderPrepare:
		return Verdict{Run: true, Deadline: now.Add(o.Remaining)}
	case wire.OrderSwap, wire.OrderAdapter, wire.OrderRole:
		return f.acceptLoad(o, now)
	default:
		return f.refuse(o, wire.ReasonBadRequest)
	}
}

func (f *OrderFilter) refuse(o wire.Order, reason wire.Reason) Verdict {
	return Verdict{Reply: wire.OrderReply{Outcome: wire.NotRun, Reason: reason, Version: f.currentVersion[o.Adapter], Role: f.currentRole}}
}

// acceptStatus answers a status order with the engine's state and a new target.
func (f *OrderFilter) acceptStatus(o wire.Order, now time.Time) Verdict {
	f.statusSequence[o.Fence.Duty] = max(o.Sequence, f.statusSequence[o.Fence.Duty])
	reply := wire.OrderReply{Outcome: wire.Answered, Version: f.currentVersion[o.Adapter], Role: f.currentRole}
	if ready, _ := f.Ready(); !ready {
		reply.Outcome = wire.Running
		reply.Reason = wire.ReasonNotReady
	}
	reply.Target = wire.Target{Incarnation: f.incarnation, Uptime: now.Sub(f.started)}
	return Verdict{Reply: reply}
}

// acceptLoad decides on a load. It records an accepted load as the one in progress.
func (f *OrderFilter) acceptLoad(o wire.Order, now time.Time) Verdict {
	if f.running != nil {
		return f.busy(o)
	}
	if o.Sequence < f.statusSequence[o.Fence.Duty] {
		return f.refuse(o, wire.ReasonDuplicate)
	}
	if ready, _ := f.Ready(); !ready {
		return f.refuse(o, wire.ReasonNotReady)
	}
	isRole := o.Kind == wire.OrderRole
	if !isRole && o.Version < f.highestVersion[o.Adapter] {
		return f.refuse(o, wire.ReasonOldVersion)
	}
	if f.inForce(o) {
		return Verdict{Reply: wire.OrderReply{Outcome: wire.Answered, Version: o.Version, Role: f.currentRole}}
	}
	deadline := f.expiry(o, now)
	if !deadline.After(now) {
		return f.refuse(o, wire.ReasonDeadline)
	}
	f.running = &o
	f.deadline = deadline
	if !isRole {
		f.highestVersion[o.Adapter] = o.Version
	}
	return Verdict{Run: true, Deadline: deadline}
}

// inForce reports whether the engine already has the version or role of the order. Roles
// are not ordered: only the epoch and the sequence of orders tell which is the newest.
func (f *OrderFilter) inForce(o wire.Order) bool {
	if o.Kind == wire.OrderRole {
		return o.Role == f.currentRole
	}
	return o.Version == f.currentVersion[o.Adapter]
}

// busy answers an order for a load that arrives during another load, or is repeated.
func (f *OrderFilter) busy(o wire.Order) Verdict {
	if o.ID != f.running.ID {
		return f.refuse(o, wire.ReasonNotReady)
	}
	return Verdict{Reply: wire.OrderReply{Outcome: wire.Running, Version: f.currentVersion[o.Adapter]}}
}

// expiry returns when an order ceases to be valid. It returns the zero time for an order
// to another incarnation of the agent.
func (f *OrderFilter) expiry(o wire.Order, now time.Time) time.Time {
	if o.Target.Incarnation != f.incarnation {
		return time.Time{}
	}
	latest := f.started.Add(o.Target.Uptime + f.maxTimeout)
	if end := now.Add(o.Remaining); end.Before(latest) {
		return end
	}
	return latest
}

// StillValid reports whether the accepted load may still be passed to the engine. Call it
// right before that, as the agent may have been paused since Accept.
func (f *OrderFilter) StillValid(now time.Time) bool { return now.Before(f.deadline) }

// Finish records the result of the load in progress and returns the reply to its order.
func (f *OrderFilter) Finish(result LoadResult, now time.Time) wire.OrderReply {
	o := *f.running
	f.running = nil
	switch result {
	case LoadDone:
		f.reportAfter = now
		if o.Kind == wire.OrderRole {
			f.currentRole = o.Role
		} else {
			f.currentVersion[o.Adapter] = o.Version
		}
		return wire.OrderReply{Outcome: wire.Answered, Version: o.Version, Role: f.currentRole}
	case LoadFailed:
		f.reportAfter = now
		return wire.OrderReply{Outcome: wire.NotRun, Reason: wire.ReasonLoadFailed, Version: f.currentVersion[o.Adapter]}
	default:
		f.reportAfter = f.deadline
		f.reported = false
		return wire.OrderReply{Outcome: wire.Unknown, Reason: wire.ReasonDeadline, Version: f.currentVersion[o.Adapter]}
	}
}
