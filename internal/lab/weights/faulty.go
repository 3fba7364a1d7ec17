package weights

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// engine is an engine of a schedule. It carries loads out side by side: the one
// that ends last stands.
type engine struct {
	world    *world
	id       string
	domain   string
	fencing  bool
	fence    int64 // highest seen
	version  int64
	role     string
	epoch    int64 // highest that took effect
	loads    map[*load]struct{}
	agent    *agent // nil while it is being replaced
	replaced int
}

type load struct {
	order    wire.Order
	deadline time.Time
	end      func(weights.LoadResult)
}

// agent is one agent process of an engine.
type agent struct {
	engine      *engine
	guard       *weights.OrderFilter
	pausedUntil time.Time
	broken      []func() // tell owners that their connection to this agent ended
}

func newEngine(w *world, index int) *engine {
	e := &engine{
		world:   w,
		id:      strconv.Itoa(index),
		domain:  fmt.Sprintf("domain-%d", index%2),
		fencing: w.chance(0.3),
		version: firstWeight,
		loads:   map[*load]struct{}{},
	}
	if !e.fencing {
		w.seen.NoFencing++
	}
	e.startAgent()
	return e
}

func (e *engine) startAgent() {
	e.replaced++
	incarnation := e.id + "/" + strconv.Itoa(e.replaced)
	a := &agent{engine: e, guard: weights.NewOrderFilter(incarnation, maxOrder, e.world.clock.Now())}
	e.agent = a
	a.report()
}

// replaceAgent kills or pauses an agent for good as far as the platform knows,
// and starts another one a little later. A paused one may still wake up.
func (w *world) replaceAgent() { w.replace(w.engines[w.rng.IntN(len(w.engines))]) }

func (w *world) replace(e *engine) {
	if e.agent == nil {
		return
	}
	old := e.agent
	old.pausedUntil = w.clock.Now().Add(w.between(500*time.Millisecond, 8*time.Second))
	if w.chance(0.4) {
		old.pausedUntil = w.clock.Now().Add(longestRun)
	}
	e.agent = nil
	w.seen.ReplacedAgents++
	if w.chance(0.8) { // else the connection goes silent
		for _, tell := range old.broken {
			w.clock.After(time.Millisecond, tell)
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
	w.seen.AgentPauses++
}

// wake runs fn once the agent is not paused.
func (a *agent) wake(fn func()) {
	clock := a.engine.world.clock
	now := clock.Now()
	if now.Before(a.pausedUntil) {
		clock.After(a.pausedUntil.Sub(now), func() { a.wake(fn) })
		return
	}
	fn()
}

// report brings the engine's lagging report to the guard.
func (a *agent) report() {
	w := a.engine.world
	taken, versions, role := w.clock.Now(), map[string]int64{"": a.engine.version}, a.engine.role
	w.clock.After(w.between(10*time.Millisecond, 400*time.Millisecond), func() {
		a.wake(func() {
			if w.harm.StartupWait {
				taken = taken.Add(maxOrder)
			}
			a.guard.ReportRole(role, taken)
			a.guard.ReportVersions(versions, taken)
		})
	})
	w.clock.After(reportEvery, func() { a.wake(a.report) })
}

func (a *agent) receive(o wire.Order, reply func(wire.OrderReply)) {
	a.wake(func() {
		w := a.engine.world
		isLoad := o.Kind == wire.OrderSwap || o.Kind == wire.OrderRole
		if isLoad && w.harm.TargetAge {
			o.Target = a.freshTarget()
		}
		if !isLoad && w.harm.StatusInvalidation {
			o.Sequence = 0
		}
		verdict := a.guard.Accept(o, w.clock.Now())
		switch {
		case isLoad && w.harm.OrderFilter:
			a.engine.take(&load{order: o, deadline: w.clock.Now().Add(maxOrder), end: func(weights.LoadResult) {
				reply(wire.OrderReply{Outcome: wire.Answered, Version: o.Version, Role: o.Role})
			}})
		case !verdict.Run:
			reply(verdict.Reply)
		case isLoad:
			w.clock.After(w.between(0, 20*time.Millisecond), func() {
				a.wake(func() { a.pass(o, verdict.Deadline, reply) })
			})
		default:
			w.clock.After(w.between(50*time.Millisecond, time.Second), func() {
				a.wake(func() { reply(wire.OrderReply{Outcome: wire.Answered, Version: o.Version}) })
			})
		}
	})
}

func (a *agent) freshTarget() wire.Target {
	verdict := a.guard.Accept(wire.Order{Kind: wire.OrderStatus}, a.engine.world.clock.Now())
	return verdict.Reply.Target
}

// pass gives a load to the engine, if its deadline has not passed meanwhile, and
// waits for its end until then.
func (a *agent) pass(o wire.Order, deadline time.Time, reply func(wire.OrderReply)) {
	w := a.engine.world
	finished := false
	finish := func(result weights.LoadResult) {
		if !finished {
			finished = true
			reply(a.guard.Finish(result, w.clock.Now()))
		}
	}
	if !a.guard.StillValid(w.clock.Now()) {
		finish(weights.LoadFailed)
		return
	}
	lost := !w.quiet() && w.chance(0.05)
	a.engine.take(&load{order: o, deadline: deadline, end: func(result weights.LoadResult) {
		if !lost {
			w.clock.After(time.Millisecond, func() { a.wake(func() { finish(result) }) })
		}
	}})
	w.clock.After(deadline.Sub(w.clock.Now()), func() { a.wake(func() { finish(weights.LoadUnknown) }) })
}

// take begins a load at the engine.
func (e *engine) take(l *load) {
	w := e.world
	epoch := l.order.Fence.Epoch
	if e.fencing && epoch < e.fence {
		l.end(weights.LoadFailed)
		return
	}
	e.fence = max(e.fence, epoch)
	e.loads[l] = struct{}{}
	w.checkFloor()
	took := w.between(loadShort, 4*loadShort)
	if !w.quiet() && w.chance(0.2) {
		// A slow load during which its agent or owner is lost does the most harm.
		took = w.between(loadShort, loadLong)
		w.clock.After(w.between(0, 100*time.Millisecond), func() { w.disturb(e) })
	}
	late := w.clock.Now().Add(took).After(l.deadline)
	if late {
		took = l.deadline.Sub(w.clock.Now())
	}
	failed := late || !w.quiet() && w.chance(0.1)
	w.clock.After(took, func() {
		delete(e.loads, l)
		if failed {
			w.seen.FailedLoads++
			l.end(weights.LoadFailed)
			return
		}
		e.apply(l.order)
		l.end(weights.LoadDone)
	})
}

func (w *world) disturb(e *engine) {
	if w.chance(0.7) {
		w.replace(e)
	}
	if w.chance(0.3) {
		w.takeOver()
	}
}

func (e *engine) apply(o wire.Order) {
	if o.Fence.Epoch < e.epoch {
		e.world.bad.TwoEffective++
	}
	e.epoch = max(e.epoch, o.Fence.Epoch)
	if o.Kind == wire.OrderRole {
		e.role = o.Role
		return
	}
	if o.Version < e.version {
		e.world.bad.Reverts++
	}
	e.version = o.Version
}

// checkFloor holds the engines that are loading against the declared floor.
func (w *world) checkFloor() {
	loading := 0
	for _, e := range w.engines {
		if len(e.loads) > 0 {
			loading++
		}
	}
	keep := int(math.Ceil(w.floor*float64(len(w.engines)) - 1e-9))
	if len(w.engines)-loading < keep {
		w.bad.FloorBreaks++
	}
}
