package callers

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	repeatWindow   = 30 * time.Second
	forwardTimeout = 90 * time.Millisecond
	rerouteWait    = 15 * time.Millisecond
	attemptTime    = 400 * time.Millisecond
)

// claimEntry hosts the partition machine on one entry instance, as the runtime
// of an entry does: it keeps the duty, forwards calls to the owner, carries
// out the machine's actions.
type claimEntry struct {
	world       *claimWorld
	name        string
	incarnation int
	up          bool
	paused      bool
	held        []func() // what arrived during a pause

	part     *claims.Partition
	owner    string    // holder of the duty as last heard
	until    time.Time // lease proven until
	promised time.Time // the duty is not released before
	waiters  map[int64]*waitingCall
}

// waitingCall is a call that the machine knows by its waiter number.
type waitingCall struct {
	attempt *attempt
	reply   func(moved bool, answer wire.Answer)
}

// start brings up a new process without memory.
func (e *claimEntry) start() {
	e.incarnation++
	e.up = true
	e.owner = ""
	e.until = time.Time{}
	e.promised = time.Time{}
	e.waiters = map[int64]*waitingCall{}
	config := claims.DefaultConfig("claims/0", "claims/0", e.identity())
	config.CommitInterval = 10 * time.Millisecond
	config.RetryDelay = 30 * time.Millisecond
	config.ReplyMargin = 10 * time.Millisecond
	config.RetryAfter = 100 * time.Millisecond
	config.ResultTimeout = 300 * time.Millisecond
	config.SealBytes = 600
	config.MaxAnswerBytes = len(longAnswer) - 1
	e.part = claims.New(config)
	e.keepDuty()
}

// identity differs between the processes of one instance, so that a restarted
// one must take its duties anew under a higher epoch.
func (e *claimEntry) identity() string {
	return e.name + "#" + string(rune('a'+e.incarnation))
}

func (e *claimEntry) crash(down time.Duration) {
	e.up = false
	e.held = nil
	e.incarnation++
	e.world.clock.after(down, e.start)
}

func (e *claimEntry) pause(d time.Duration) {
	e.paused = true
	e.world.clock.after(d, func() {
		e.paused = false
		held := e.held
		e.held = nil
		for _, run := range held {
			run()
		}
	})
}

// deliver returns fn bound to the process that runs now: it is dropped if that
// process ends, and held while it is paused.
func (e *claimEntry) deliver(fn func()) func() {
	incarnation := e.incarnation
	var bound func()
	bound = func() {
		switch {
		case !e.up || e.incarnation != incarnation:
		case e.paused:
			e.held = append(e.held, bound)
		default:
			fn()
		}
	}
	return bound
}

// keepDuty renews or takes the duty, again and again.
func (e *claimEntry) keepDuty() {
	sent := e.world.clock.now
	var got duty
	op := func() { got = e.world.kv.keep(e.identity()) }
	heard := e.deliver(func() { e.dutyHeard(sent, got) })
	e.world.kv.call(op, func(ok bool) {
		if ok {
			heard()
		}
	})
	next := e.world.clock.between(keepInterval/2, keepInterval)
	e.world.clock.after(next, e.deliver(e.keepDuty))
}

func (e *claimEntry) dutyHeard(sent time.Time, got duty) {
	e.owner = got.holder
	if got.holder != e.identity() {
		if e.until != (time.Time{}) {
			e.until = time.Time{}
			e.step(claims.Lost{})
		}
		return
	}
	e.until = sent.Add(leaseTTL - leaseMargin)
	if got.epoch > e.part.Epoch() {
		e.step(claims.Acquired{Epoch: got.epoch, Until: e.until})
		return
	}
	e.step(claims.Renewed{Until: e.until})
}

// handOver gives the duty up, as a graceful stop does.
func (e *claimEntry) handOver() {
	if e.owner != e.identity() {
		return
	}
	e.owner = ""
	e.until = time.Time{}
	e.step(claims.Lost{})
	if e.world.broken == silenceProves {
		e.tellNotRun()
	}
	wait := max(e.promised.Sub(e.world.clock.now), 0)
	e.world.clock.after(wait, e.deliver(func() {
		e.world.kv.call(func() { e.world.kv.release(e.identity()) }, func(bool) {})
	}))
}

// step feeds the machine and carries out what it asks for.
func (e *claimEntry) step(event claims.Event) {
	for _, action := range e.part.Step(e.world.clock.now, event) {
		e.carryOut(action)
	}
	if at, ok := e.part.NextWake(); ok {
		wait := max(at.Sub(e.world.clock.now), time.Millisecond)
		e.world.clock.after(wait, e.deliver(func() { e.wake(at) }))
	}
}

// wake ticks the machine unless a later step made the tick needless.
func (e *claimEntry) wake(planned time.Time) {
	if at, ok := e.part.NextWake(); ok && !at.After(planned) {
		e.step(claims.Tick{})
	}
}

func (e *claimEntry) carryOut(action claims.Action) {
	switch a := action.(type) {
	case claims.Read:
		e.read(a)
	case claims.Write:
		e.write(a)
	case claims.Delete:
		delete(e.world.kv.records, a.Key)
	case claims.Run:
		e.run(a)
	case claims.Reply:
		w := e.waiters[a.Waiter]
		delete(e.waiters, a.Waiter)
		w.reply(a.Moved, e.checked(a))
	case claims.SendResult:
		e.tell(a, e.world.clock.now.Add(tellTime))
	case claims.QueryAgents:
		e.askAgents(a)
	case claims.Fault:
		e.world.faults++
	}
}

// checked holds the keeper of the duty to a refusal that rests on the lease.
func (e *claimEntry) checked(r claims.Reply) wire.Answer {
	if r.LeaseUntil.After(e.until) {
		return claims.RefusalAsUnknown(r.Answer)
	}
	if r.LeaseUntil.After(e.promised) {
		e.promised = r.LeaseUntil
	}
	return r.Answer
}

func (e *claimEntry) read(r claims.Read) {
	var record claims.Record
	op := func() { record = e.world.kv.get(r.Key) }
	e.world.kv.call(op, func(ok bool) {
		done := claims.ReadDone{Record: record, Failed: !ok}
		done.Record.Key = r.Key
		e.deliver(func() { e.step(done) })()
	})
}

func (e *claimEntry) write(w claims.Write) {
	var swapped bool
	var current claims.Record
	op := func() { swapped, current = e.world.kv.swap(w) }
	heard := func(ok bool) claims.WriteDone {
		return claims.WriteDone{ID: w.ID, Swapped: swapped, Current: current, Failed: !ok}
	}
	incarnation := e.incarnation
	e.world.kv.call(op, func(ok bool) {
		if e.incarnation == incarnation {
			done := heard(ok)
			e.deliver(func() { e.step(done) })()
		}
	})
	if e.world.broken == dispatchEarly && w.Key == "claims/0/head" {
		e.dispatchEarly()
	}
}

// dispatchEarly is the broken variant that runs what waits while its claim is
// still on its way.
func (e *claimEntry) dispatchEarly() {
	for id, w := range e.waiters {
		if !w.attempt.early {
			w.attempt.early = true
			e.run(claims.Run{Key: claims.NewKey("caller", w.attempt.key), Waiter: id,
				Deadline: e.world.clock.now.Add(attemptTime)})
		}
	}
}
