package callers

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	retryWindow       = 30 * time.Second
	forwardTimeout    = 90 * time.Millisecond
	rerouteDelay      = 15 * time.Millisecond
	submissionTimeout = 400 * time.Millisecond
)

// claimEntry simulates an entry with its partition, as the runtime of an entry does. It
// keeps the lease of the duty, forwards calls to the owner and executes the partition's
// actions.
type claimEntry struct {
	world       *claimWorld
	name        string
	incarnation int
	up          bool
	paused      bool
	deferred    []func() // events that arrived during a pause

	partition        *claims.Partition
	owner            string                 // last known holder of the duty
	leaseUntil       time.Time              // the lease is provably valid until then
	releaseNotBefore time.Time              // the duty is not released before it
	calls            map[int64]*waitingCall // by waiter number
}

// waitingCall is a call that the partition identifies by its waiter number.
type waitingCall struct {
	submission *submission
	reply      func(moved bool, answer wire.Answer)
}

// start starts a new process, which has no state.
func (e *claimEntry) start() {
	e.incarnation++
	e.up = true
	e.owner = ""
	e.leaseUntil = time.Time{}
	e.releaseNotBefore = time.Time{}
	e.calls = map[int64]*waitingCall{}
	config := claims.DefaultConfig("claims/0", "claims/0", e.identity())
	config.CommitInterval = 10 * time.Millisecond
	config.RetryDelay = 30 * time.Millisecond
	config.ReplyMargin = 10 * time.Millisecond
	config.RetryAfter = 100 * time.Millisecond
	config.ResultTimeout = 300 * time.Millisecond
	config.SealBytes = 600
	config.MaxAnswerBytes = len(longAnswerSuffix) - 1
	e.partition = claims.New(config)
	e.maintainLease()
}

// identity returns the name of the current process. It differs between the processes of
// an instance, so that a restarted one has to acquire its duties under a higher epoch.
func (e *claimEntry) identity() string {
	return e.name + "#" + string(rune('a'+e.incarnation))
}

func (e *claimEntry) crash(downtime time.Duration) {
	e.up = false
	e.deferred = nil
	e.incarnation++
	e.world.clock.after(downtime, e.start)
}

func (e *claimEntry) pause(d time.Duration) {
	e.paused = true
	e.world.clock.after(d, func() {
		e.paused = false
		deferred := e.deferred
		e.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

// bind returns a function that calls fn if the process that runs now still runs, and
// defers the call while it is paused.
func (e *claimEntry) bind(fn func()) func() {
	incarnation := e.incarnation
	var bound func()
	bound = func() {
		switch {
		case !e.up || e.incarnation != incarnation:
		case e.paused:
			e.deferred = append(e.deferred, bound)
		default:
			fn()
		}
	}
	return bound
}

// maintainLease renews or acquires the duty repeatedly.
func (e *claimEntry) maintainLease() {
	sentAt := e.world.clock.now
	var current dutyRecord
	op := func() { current = e.world.store.renewOrAcquire(e.identity()) }
	onDuty := e.bind(func() { e.handleDuty(sentAt, current) })
	e.world.store.call(op, func(ok bool) {
		if ok {
			onDuty()
		}
	})
	next := e.world.clock.between(leaseRenewInterval/2, leaseRenewInterval)
	e.world.clock.after(next, e.bind(e.maintainLease))
}

// handleDuty handles the duty's record as read by a call that was sent at sentAt.
func (e *claimEntry) handleDuty(sentAt time.Time, current dutyRecord) {
	e.owner = current.holder
	if current.holder != e.identity() {
		if e.leaseUntil != (time.Time{}) {
			e.leaseUntil = time.Time{}
			e.step(claims.Lost{})
		}
		return
	}
	e.leaseUntil = sentAt.Add(leaseTTL - leaseMargin)
	if current.epoch > e.partition.Epoch() {
		e.step(claims.Acquired{Epoch: current.epoch, Until: e.leaseUntil})
		return
	}
	e.step(claims.Renewed{Until: e.leaseUntil})
}

// handOver gives up the duty, as a planned stop does.
func (e *claimEntry) handOver() {
	if e.owner != e.identity() {
		return
	}
	e.owner = ""
	e.leaseUntil = time.Time{}
	e.step(claims.Lost{})
	if e.world.disabled == resultAfterRun {
		e.sendFalseNotRun()
	}
	delay := max(e.releaseNotBefore.Sub(e.world.clock.now), 0)
	e.world.clock.after(delay, e.bind(func() {
		e.world.store.call(func() { e.world.store.release(e.identity()) }, func(bool) {})
	}))
}

// step passes an event to the partition and executes the resulting actions.
func (e *claimEntry) step(event claims.Event) {
	for _, action := range e.partition.Step(e.world.clock.now, event) {
		e.execute(action)
	}
	if at, ok := e.partition.NextWake(); ok {
		delay := max(at.Sub(e.world.clock.now), time.Millisecond)
		e.world.clock.after(delay, e.bind(func() { e.wake(at) }))
	}
}

// wake sends the planned tick to the partition, unless a later step has made it
// unnecessary.
func (e *claimEntry) wake(planned time.Time) {
	if at, ok := e.partition.NextWake(); ok && !at.After(planned) {
		e.step(claims.Tick{})
	}
}

func (e *claimEntry) execute(action claims.Action) {
	switch a := action.(type) {
	case claims.Read:
		e.read(a)
	case claims.Write:
		e.write(a)
	case claims.Delete:
		delete(e.world.store.records, a.Key)
	case claims.Run:
		e.dispatchClaimed(a)
	case claims.Reply:
		call := e.calls[a.Waiter]
		delete(e.calls, a.Waiter)
		call.reply(a.Moved, e.limitRefusal(a))
	case claims.SendResult:
		e.sendResult(a, e.world.clock.now.Add(resultSendTimeout))
	case claims.QueryAgents:
		e.queryAgents(a)
	case claims.Fault:
		e.world.unreadableRecords++
	}
}

// limitRefusal returns the answer of a reply. If it relies on the lease, the duty is
// not released before the time that it relies on; if the lease does not last until then,
// the answer becomes "unknown".
func (e *claimEntry) limitRefusal(r claims.Reply) wire.Answer {
	if r.LeaseUntil.After(e.leaseUntil) {
		return claims.RefusalAsUnknown(r.Answer)
	}
	if r.LeaseUntil.After(e.releaseNotBefore) {
		e.releaseNotBefore = r.LeaseUntil
	}
	return r.Answer
}

func (e *claimEntry) read(r claims.Read) {
	var record claims.Record
	op := func() { record = e.world.store.get(r.Key) }
	e.world.store.call(op, func(ok bool) {
		done := claims.ReadDone{Record: record, Failed: !ok}
		done.Record.Key = r.Key
		e.bind(func() { e.step(done) })()
	})
}

func (e *claimEntry) write(w claims.Write) {
	var swapped bool
	var current claims.Record
	op := func() { swapped, current = e.world.store.swap(w) }
	result := func(ok bool) claims.WriteDone {
		return claims.WriteDone{ID: w.ID, Swapped: swapped, Current: current, Failed: !ok}
	}
	incarnation := e.incarnation
	e.world.store.call(op, func(ok bool) {
		if e.incarnation == incarnation {
			done := result(ok)
			e.bind(func() { e.step(done) })()
		}
	})
	if e.world.disabled == commitBeforeDispatch && w.Key == "claims/0/head" {
		e.dispatchUncommitted()
	}
}

// dispatchUncommitted dispatches all waiting calls while their claims are still being
// written. It runs only if the safeguard commitBeforeDispatch is disabled.
func (e *claimEntry) dispatchUncommitted() {
	for id, call := range e.calls {
		if !call.submission.dispatchedUncommitted {
			call.submission.dispatchedUncommitted = true
			e.dispatchClaimed(claims.Run{Key: claims.NewKey("caller", call.submission.key), Waiter: id,
				Deadline: e.world.clock.now.Add(submissionTimeout)})
		}
	}
}
