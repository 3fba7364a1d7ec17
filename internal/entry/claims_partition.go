package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

// claimCallTimeout bounds one call to the key-value service.
const claimCallTimeout = 2 * time.Second

// claimPartition runs the state machine of one partition: it passes it the time,
// calls and answers of the key-value service, and performs the actions that the
// machine returns.
type claimPartition struct {
	options ClaimsOptions
	duty    string
	closing atomic.Bool // a graceful stop has begun, so calls go to the next owner

	mu             sync.Mutex
	machine        *claims.Partition
	waiters        map[int64]*claimWaiter
	lastWaiter     int64 // ID of the newest waiter
	timer          *time.Timer
	serving        bool                // as last logged
	stalled        bool                // as last logged
	results        []claims.SendResult // for the next owner, oldest first
	sendingResults bool                // a goroutine is sending results
}

// submission is a call that the partition runs at most once.
type submission struct {
	call     wire.Request
	window   time.Duration // retry window of the call's class
	deadline time.Time     // of the waiting entry, or slightly later
	dispatch Dispatch
}

type claimWaiter struct {
	submission
	reply chan claims.Reply // buffered, so that a reply never blocks
}

func newClaimPartition(o ClaimsOptions, duty string) *claimPartition {
	config := claims.DefaultConfig(duty+"/"+o.Deployment, duty, o.Instance)
	if o.AdjustConfig != nil {
		o.AdjustConfig(&config)
	}
	p := &claimPartition{
		options: o,
		duty:    duty,
		machine: claims.New(config),
		waiters: map[int64]*claimWaiter{},
	}
	p.timer = time.AfterFunc(time.Hour, func() { p.step(claims.Tick{}) })
	p.timer.Stop()
	return p
}

// servedHere reports whether this entry serves the partition's calls. A holder
// whose lease lapsed in an outage still serves: its commits fail once a successor
// has raised the epoch.
func (p *claimPartition) servedHere() bool {
	return !p.closing.Load() && p.options.Duties.LeaseState(p.duty) != duties.NotHolder
}

// submit blocks until the call is answered or ctx ends. If moved is true, nothing
// was done here and the call belongs to another owner.
func (p *claimPartition) submit(ctx context.Context, key claims.Key, s submission) (answer wire.Answer, moved bool) {
	w := &claimWaiter{submission: s, reply: make(chan claims.Reply, 1)}
	p.mu.Lock()
	p.lastWaiter++
	id := p.lastWaiter
	p.waiters[id] = w
	p.stepLocked(claims.Submitted{
		Waiter:      id,
		Key:         key,
		Fingerprint: s.call.Fingerprint,
		Deadline:    s.deadline,
		Window:      s.window,
	})
	p.mu.Unlock()
	select {
	case r := <-w.reply:
		return r.Answer, r.Moved
	case <-ctx.Done():
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonDeadline}, false
	}
}

func (p *claimPartition) step(e claims.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepLocked(e)
}

func (p *claimPartition) stepLocked(e claims.Event) {
	p.updateLease()
	p.applyEvent(e)
	p.logServing()
	if at, ok := p.machine.NextWake(); ok {
		p.timer.Reset(max(time.Until(at), time.Millisecond))
	}
}

func (p *claimPartition) applyEvent(e claims.Event) {
	for _, action := range p.machine.Step(time.Now(), e) {
		p.perform(action)
	}
}

// updateLease passes the end of the lease to the machine. A lease of another
// epoch is ignored, as it proves nothing about the epoch under which the
// machine's history is complete.
func (p *claimPartition) updateLease() {
	epoch, until := p.options.Duties.HeldUntil(p.duty)
	if epoch == p.machine.Epoch() {
		p.applyEvent(claims.Renewed{Until: until})
	}
}

func (p *claimPartition) perform(action claims.Action) {
	switch a := action.(type) {
	case claims.Read:
		go p.read(a)
	case claims.Write:
		go p.write(a)
	case claims.Delete:
		go p.deleteBucket(a)
	case claims.Run:
		p.run(a)
	case claims.Reply:
		p.reply(a)
	case claims.SendResult:
		p.queueResult(a)
	case claims.QueryAgents:
		p.queryAgents(a)
	case claims.Fault:
		events.ClaimsUnreadable.Log(p.options.Log, logrus.Fields{"duty": p.duty, "error": a.Err.Error()})
	}
}

// reply answers a waiter. An answer that depends on the lease is given only if
// the duty keeper promises to hold the duty until r.LeaseUntil; the promise is
// atomic with respect to releasing the duty. Otherwise a refusal becomes
// "unknown".
func (p *claimPartition) reply(r claims.Reply) {
	w := p.waiters[r.Waiter]
	delete(p.waiters, r.Waiter)
	if w == nil {
		return
	}
	if !r.LeaseUntil.IsZero() && !p.options.Duties.Promise(p.duty, p.machine.Epoch(), r.LeaseUntil) {
		r.Answer = claims.RefusalAsUnknown(r.Answer)
	}
	if !r.Moved {
		p.count("claims." + r.Answer.Outcome.String())
	}
	w.reply <- r
}

// run dispatches a claimed call. The dispatch continues after its caller has
// disconnected: its result is recorded whether or not anyone still waits for it.
func (p *claimPartition) run(r claims.Run) {
	w := p.waiters[r.Waiter]
	call := w.call
	call.Fence = r.Fence
	call.Claim = r.Claim
	p.count("claims.dispatched")
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		p.step(claims.Settled{Key: r.Key, Answer: dispatchBeforeDeadline(ctx, call, r.Deadline, w.dispatch)})
	}()
}

// dispatchBeforeDeadline dispatches the call unless its deadline has passed. A
// process that was paused between the commit and this point may resume after the
// claim has expired; a repeat of the call would then be a second run.
func dispatchBeforeDeadline(ctx context.Context, call wire.Request, deadline time.Time, dispatch Dispatch) wire.Answer {
	call.Remaining = time.Until(deadline)
	if call.Remaining <= 0 {
		return wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonDeadline}
	}
	return dispatch(ctx, call)
}

func (p *claimPartition) read(r claims.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	record, err := p.options.Store.Get(ctx, kv.UseClaim, r.Key)
	p.logStoreState(err)
	done := claims.ReadDone{Record: claimRecord(record), Failed: err != nil}
	done.Record.Key = r.Key
	p.step(done)
}

func (p *claimPartition) write(w claims.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	start := time.Now()
	swapped, current, err := p.options.Store.CompareAndSwap(ctx, kv.UseClaim, kv.Write{
		Key:              w.Key,
		ExpectedRevision: w.Expected,
		Value:            w.Value,
	})
	p.logStoreState(err)
	metrics.GetOrRegisterTimer("claims.commit", p.options.Metrics).UpdateSince(start)
	done := claims.WriteDone{ID: w.ID, Swapped: swapped, Current: claimRecord(current), Failed: err != nil}
	done.Current.Key = w.Key
	p.step(done)
}

// deleteBucket deletes a bucket that no head refers to. If the deletion fails,
// the bucket stays in the store, which costs only space.
func (p *claimPartition) deleteBucket(d claims.Delete) {
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	_, _, err := p.options.Store.CompareAndSwap(ctx, kv.UseClaim, kv.Write{
		Key:              d.Key,
		ExpectedRevision: d.Revision,
		Delete:           true,
	})
	if err != nil {
		p.count("claims.bucket_left")
	}
}

func claimRecord(r kv.Record) claims.Record {
	return claims.Record{Key: r.Key, Value: r.Value, Revision: r.Revision}
}

func (p *claimPartition) count(name string) {
	metrics.GetOrRegisterCounter(name, p.options.Metrics).Inc(1)
}

// logServing logs when this entry starts or stops serving the partition.
func (p *claimPartition) logServing() {
	serving := p.machine.Serving()
	if serving == p.serving {
		return
	}
	p.serving = serving
	event := events.ClaimsNotServed
	if serving {
		event = events.ClaimsServed
	}
	event.Log(p.options.Log, logrus.Fields{"duty": p.duty, "epoch": p.machine.Epoch()})
}

// logStoreState logs when calls to the key-value service start to fail and when
// they succeed again.
func (p *claimPartition) logStoreState(err error) {
	p.mu.Lock()
	changed := p.stalled != (err != nil)
	p.stalled = err != nil
	p.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		events.ClaimsStalled.Log(p.options.Log, logrus.Fields{"duty": p.duty, "error": err.Error()})
	default:
		events.ClaimsResumed.Log(p.options.Log, logrus.Fields{"duty": p.duty})
	}
}
