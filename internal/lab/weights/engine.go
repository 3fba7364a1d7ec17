package weights

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// engine is an engine of a schedule. It executes concurrent loads in parallel; the
// load that ends last determines the version in force.
type engine struct {
	world        *world
	id           string
	domain       string
	fencing      bool
	highestEpoch int64 // highest epoch of the received loads
	version      int64
	role         string
	appliedEpoch int64 // highest epoch of the loads that took effect
	loads        map[*load]struct{}
	agent        *agent // nil while it is being replaced
	incarnations int    // number of agents started so far
}

// load is a load that the engine executes.
type load struct {
	order    wire.Order
	deadline time.Time
	end      func(weights.LoadResult)
}

// agent is one agent process of an engine.
type agent struct {
	engine       *engine
	filter       *weights.OrderFilter
	pausedUntil  time.Time
	onDisconnect []func() // report to owners that their connection to this agent ended
}

func newEngine(w *world, index int) *engine {
	e := &engine{
		world:   w,
		id:      strconv.Itoa(index),
		domain:  fmt.Sprintf("domain-%d", index%2),
		fencing: w.chance(0.3),
		version: firstVersion,
		loads:   map[*load]struct{}{},
	}
	if !e.fencing {
		w.faults.NoFencing++
	}
	e.startAgent()
	return e
}

func (e *engine) startAgent() {
	e.incarnations++
	incarnation := e.id + "/" + strconv.Itoa(e.incarnations)
	a := &agent{engine: e, filter: weights.NewOrderFilter(incarnation, maxOrderTimeout, e.world.clock.Now())}
	e.agent = a
	a.report()
}

// replaceAgent pauses a random agent, for the rest of the schedule or for a few
// seconds, and starts another one shortly afterwards. The platform regards the
// old agent as gone, but it may still resume.
func (w *world) replaceAgent() { w.replace(w.engines[w.rng.IntN(len(w.engines))]) }

func (w *world) replace(e *engine) {
	if e.agent == nil {
		return
	}
	old := e.agent
	old.pausedUntil = w.clock.Now().Add(w.between(500*time.Millisecond, 8*time.Second))
	if w.chance(0.4) {
		old.pausedUntil = w.clock.Now().Add(scheduleTimeout)
	}
	e.agent = nil
	w.faults.ReplacedAgents++
	if w.chance(0.8) { // otherwise the connection breaks without notice
		for _, notify := range old.onDisconnect {
			w.clock.After(time.Millisecond, notify)
		}
	}
	w.clock.After(w.between(50*time.Millisecond, 500*time.Millisecond), e.startAgent)
}

func (w *world) pauseAgent() {
	e := w.engines[w.rng.IntN(len(w.engines))]
	if e.agent == nil {
		return
	}
	e.agent.pausedUntil = w.clock.Now().Add(w.between(100*time.Millisecond, 3*time.Second))
	w.faults.AgentPauses++
}

// whenResumed calls fn when the agent is not paused, at the earliest now.
func (a *agent) whenResumed(fn func()) {
	clock := a.engine.world.clock
	now := clock.Now()
	if now.Before(a.pausedUntil) {
		clock.After(a.pausedUntil.Sub(now), func() { a.whenResumed(fn) })
		return
	}
	fn()
}

// report passes the engine's state to the filter, with a random delay, and repeats
// this at every interval.
func (a *agent) report() {
	w := a.engine.world
	taken, versions, role := w.clock.Now(), map[string]int64{"": a.engine.version}, a.engine.role
	w.clock.After(w.between(10*time.Millisecond, 400*time.Millisecond), func() {
		a.whenResumed(func() {
			if w.disabled.StartupWait {
				taken = taken.Add(maxOrderTimeout)
			}
			a.filter.ReportRole(role, taken)
			a.filter.ReportVersions(versions, taken)
		})
	})
	w.clock.After(reportInterval, func() { a.whenResumed(a.report) })
}

func (a *agent) receive(o wire.Order, reply func(wire.OrderReply)) {
	a.whenResumed(func() {
		w := a.engine.world
		isLoad := o.Kind == wire.OrderSwap || o.Kind == wire.OrderRole
		if isLoad && w.disabled.TargetAge {
			o.Target = a.freshTarget()
		}
		if !isLoad && w.disabled.StatusInvalidation {
			o.Sequence = 0
		}
		verdict := a.filter.Accept(o, w.clock.Now())
		switch {
		case isLoad && w.disabled.OrderFilter:
			a.engine.beginLoad(&load{order: o, deadline: w.clock.Now().Add(maxOrderTimeout), end: func(weights.LoadResult) {
				reply(wire.OrderReply{Outcome: wire.Answered, Version: o.Version, Role: o.Role})
			}})
		case !verdict.Run:
			reply(verdict.Reply)
		case isLoad:
			w.clock.After(w.between(0, 20*time.Millisecond), func() {
				a.whenResumed(func() { a.startLoad(o, verdict.Deadline, reply) })
			})
		default:
			w.clock.After(w.between(50*time.Millisecond, time.Second), func() {
				a.whenResumed(func() { reply(wire.OrderReply{Outcome: wire.Answered, Version: o.Version}) })
			})
		}
	})
}

func (a *agent) freshTarget() wire.Target {
	verdict := a.filter.Accept(wire.Order{Kind: wire.OrderStatus}, a.engine.world.clock.Now())
	return verdict.Reply.Target
}

// startLoad passes a load to the engine unless its deadline has passed since it was
// accepted. It replies at the end of the load, or at the deadline if the engine has
// not answered by then.
func (a *agent) startLoad(o wire.Order, deadline time.Time, reply func(wire.OrderReply)) {
	w := a.engine.world
	finished := false
	finish := func(result weights.LoadResult) {
		if !finished {
			finished = true
			reply(a.filter.Finish(result, w.clock.Now()))
		}
	}
	if !a.filter.StillValid(w.clock.Now()) {
		finish(weights.LoadFailed)
		return
	}
	lost := !w.faultsEnded() && w.chance(0.05)
	a.engine.beginLoad(&load{order: o, deadline: deadline, end: func(result weights.LoadResult) {
		if !lost {
			w.clock.After(time.Millisecond, func() { a.whenResumed(func() { finish(result) }) })
		}
	}})
	w.clock.After(deadline.Sub(w.clock.Now()), func() { a.whenResumed(func() { finish(weights.LoadUnknown) }) })
}

// beginLoad starts a load, or refuses it if the engine checks fencing tokens and has
// received a higher epoch.
func (e *engine) beginLoad(l *load) {
	w := e.world
	epoch := l.order.Fence.Epoch
	if e.fencing && epoch < e.highestEpoch {
		l.end(weights.LoadFailed)
		return
	}
	e.highestEpoch = max(e.highestEpoch, epoch)
	e.loads[l] = struct{}{}
	w.checkFloor()
	duration := w.between(minLoadTime, 4*minLoadTime)
	if !w.faultsEnded() && w.chance(0.2) {
		// A slow load whose agent or owner fails during it is the most likely to
		// cause a violation.
		duration = w.between(minLoadTime, maxLoadTime)
		w.clock.After(w.between(0, 100*time.Millisecond), func() { w.injectLoadFault(e) })
	}
	overdue := w.clock.Now().Add(duration).After(l.deadline)
	if overdue {
		duration = l.deadline.Sub(w.clock.Now())
	}
	failed := overdue || !w.faultsEnded() && w.chance(0.1)
	w.clock.After(duration, func() {
		delete(e.loads, l)
		if failed {
			w.faults.FailedLoads++
			l.end(weights.LoadFailed)
			return
		}
		e.apply(l.order)
		l.end(weights.LoadDone)
	})
}

// injectLoadFault may replace the agent of an engine that is loading, and the owner.
func (w *world) injectLoadFault(e *engine) {
	if w.chance(0.7) {
		w.replace(e)
	}
	if w.chance(0.3) {
		w.takeOver()
	}
}

// apply puts a load into force and counts reverts and lower epochs.
func (e *engine) apply(o wire.Order) {
	if o.Fence.Epoch < e.appliedEpoch {
		e.world.violations.TwoEffective++
	}
	e.appliedEpoch = max(e.appliedEpoch, o.Fence.Epoch)
	if o.Kind == wire.OrderRole {
		e.role = o.Role
		return
	}
	if o.Version < e.version {
		e.world.violations.Reverts++
	}
	e.version = o.Version
}

// checkFloor counts a violation if fewer engines are not loading than the capacity
// floor requires.
func (w *world) checkFloor() {
	loading := 0
	for _, e := range w.engines {
		if len(e.loads) > 0 {
			loading++
		}
	}
	keep := int(math.Ceil(w.floor*float64(len(w.engines)) - 1e-9)) // 1e-9 absorbs rounding errors of the product
	if len(w.engines)-loading < keep {
		w.violations.FloorBreaks++
	}
}
