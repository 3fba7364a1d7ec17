package claims

import (
	"maps"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// phase is the progress of a takeover of a partition.
type phase int

const (
	idle    phase = iota // not the owner
	fencing              // raising the epoch in the head
	loading              // reading the sealed buckets
	serving
)

// expiryMargin is added to each retry window. The clocks of the owners may differ, and
// a request whose claim is dropped too early could run twice.
const expiryMargin = 5 * time.Second

// claim is the state of one request as known to this process.
type claim struct {
	key         Key
	fingerprint uint64
	epoch       int64 // epoch of the owner that made the claim
	state       state
	reason      wire.Reason // of the state unknown
	window      time.Duration
	expires     time.Time
	mayBeStored bool    // it was part of a write, so it may be in the service
	committed   bool    // it is in the service, so no other owner runs it before it expires
	answer      *stored // of the state done
	waiters     []waiter
	// resultDeadline is the time until which the result of an earlier owner's
	// claim is awaited.
	resultDeadline time.Time

	// notBefore is the latest deadline of a call that was answered "not run". The
	// request is not run before it, and no "not run" reaches a caller after it.
	// Otherwise an answer that is delayed in transit could arrive after a retry of
	// the request has run.
	notBefore time.Time
}

// waiter is a call that waits for the answer to a request.
type waiter struct {
	id       int64
	deadline time.Time // after it the caller's entry answers only "unknown"
	replyBy  time.Time // deadline less ReplyMargin, or earlier
}

// Partition is the state machine of one claim partition. It is not safe for
// concurrent use.
type Partition struct {
	config     Config
	phase      phase
	epoch      int64     // highest epoch under which this process has held the duty
	leaseUntil time.Time // no other process holds the duty before it

	table   map[Key]*claim // complete while serving; otherwise only the claims running here
	dirty   []Key          // keys of claims to be written, each once, oldest first
	isDirty map[Key]bool   // the keys in dirty, as a set

	// unwritten holds claims of earlier epochs whose results this process knows but
	// the service may not have. Either they ended or were abandoned here, or their
	// results were received before the partition serves. Without unwritten, the
	// process that ran a request during an outage would treat it as "unknown" after
	// it has renewed its lapsed lease under the next epoch.
	unwritten map[Key]*claim

	head           head  // as last committed
	revision       int64 // of the head in the service
	inflight       *commit
	lastID         int64
	nextCallAt     time.Time // no call to the service starts before it
	lastCallFailed bool      // the last call to the service failed

	toRead  []string           // keys of records still to be read
	reading map[string]bool    // keys of records with a read in flight
	loaded  map[string][]entry // entries of the buckets read so far, by key
	buckets map[string]bucket  // sealed buckets by key

	running         int            // number of claims in the state running
	waiting         int            // number of waiting calls, those of all claims in awaited
	awaited         map[Key]*claim // claims with waiters
	earliestReplyBy time.Time      // no waiter's replyBy is before it

	delayed  map[Key]*claim // claims in the state notRun before their notBefore
	delayEnd time.Time      // no notBefore in delayed is before it
	actions  []Action       // output of the current Step
}

// bucket is what the owner has to know about a sealed bucket.
type bucket struct {
	revision int64
	keys     []Key
}

// New returns a Partition that this process doesn't own yet.
func New(config Config) *Partition {
	return &Partition{
		config:  config,
		table:   map[Key]*claim{},
		isDirty: map[Key]bool{},
		reading: map[string]bool{},
		awaited: map[Key]*claim{},
		delayed: map[Key]*claim{},

		unwritten: map[Key]*claim{},
		buckets:   map[string]bucket{},
	}
}

// Serving reports whether the partition processes calls.
func (p *Partition) Serving() bool { return p.phase == serving }

// Epoch returns the highest epoch under which this process has owned the partition.
func (p *Partition) Epoch() int64 { return p.epoch }

// Idle reports whether no call waits, no request runs here and everything is written,
// so that a successor would know everything that this owner knows.
func (p *Partition) Idle() bool {
	return p.waiting == 0 && p.running == 0 && len(p.dirty) == 0 && p.inflight == nil
}

// Step processes an event and returns the resulting actions in order.
func (p *Partition) Step(now time.Time, e Event) []Action {
	p.actions = nil
	switch e := e.(type) {
	case Acquired:
		p.acquired(now, e)
	case Renewed:
		p.renewed(e)
	case Lost:
		p.lose()
	case Submitted:
		p.submitted(now, e)
	case Settled:
		p.settled(now, e)
	case ReadDone:
		p.readDone(now, e)
	case WriteDone:
		p.writeDone(now, e)
	case ResultsReceived:
		p.resultsReceived(now, e)
	case Tick:
		p.expireWaiters(now)
	}
	p.endDelays(now)
	p.advance(now)
	return p.actions
}

func (p *Partition) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Partition) renewed(e Renewed) {
	if p.phase != idle {
		p.leaseUntil = e.Until
	}
}

// lose drops everything except the requests that run here, whose callers still get
// their answers. Calls whose claim is not dispatched are sent to the next owner; this
// process never dispatches them under this claim.
func (p *Partition) lose() {
	p.phase = idle
	p.leaseUntil = time.Time{}
	p.rememberUnwritten()
	p.inflight = nil
	p.toRead = nil
	p.loaded = nil
	clear(p.reading)
	clear(p.delayed)
	clear(p.buckets)
	for _, key := range sortedKeys(p.awaited) {
		if c := p.awaited[key]; c.state != running {
			p.replyAll(c, Reply{Moved: true})
		}
	}
	maps.DeleteFunc(p.table, func(_ Key, c *claim) bool { return c.state != running })
	p.dirty = nil
	clear(p.isDirty)
}

// rememberUnwritten adds the claims to unwritten that ended here and may not be stored
// as such.
func (p *Partition) rememberUnwritten() {
	keys := p.dirty
	if p.inflight != nil {
		for _, e := range p.inflight.added {
			keys = append(keys, e.Key)
		}
	}
	keys = append(keys, sortedKeys(p.delayed)...)
	for _, key := range keys {
		c := p.table[key]
		if c != nil && c.mayBeStored && c.state != running && c.state != unknown {
			p.unwritten[key] = c
			p.sendResult(c)
		}
	}
}

func (p *Partition) submitted(now time.Time, e Submitted) {
	if p.phase != serving {
		p.emit(Reply{Waiter: e.Waiter, Moved: true})
		return
	}
	w := waiter{id: e.Waiter, deadline: e.Deadline, replyBy: e.Deadline.Add(-p.config.ReplyMargin)}
	c := p.table[e.Key]
	if c == nil || p.expired(now, c) {
		p.submitNew(now, e, w)
		return
	}
	if c.fingerprint != e.Fingerprint {
		p.emit(p.refuse(c, w, wire.ReasonConflict))
		return
	}
	c.window = max(c.window, e.Window)
	switch c.state {
	case claimed, running:
		p.join(c, w)
	case notRun:
		p.join(c, w)
		if _, isDelayed := p.delayed[c.key]; !isDelayed {
			p.claim(now, c)
		}
	case unknown:
		p.joinUnknown(now, c, w)
	default:
		p.emit(Reply{Waiter: w.id, Answer: c.finalAnswer()})
	}
}

// expired reports whether the claim can be dropped: its retry window has passed, and it
// neither runs nor has waiters.
func (p *Partition) expired(now time.Time, c *claim) bool {
	return now.After(c.expires) && now.After(c.notBefore) && c.state != running && len(c.waiters) == 0
}

// submitNew handles a call whose key has no claim, or only an expired one.
func (p *Partition) submitNew(now time.Time, e Submitted, w waiter) {
	c := &claim{key: e.Key, fingerprint: e.Fingerprint, window: e.Window, state: notRun}
	if p.waiting < p.config.MaxWaiters {
		p.table[c.key] = c
		p.join(c, w)
		p.claim(now, c)
		return
	}
	refusal := p.refuse(c, w, wire.ReasonQueueFull)
	if refusal.Answer.Outcome == wire.NotRun {
		p.table[c.key] = c
		p.delay(c)
	}
	p.emit(refusal)
}

// claim starts to claim a request that has waiters.
func (p *Partition) claim(now time.Time, c *claim) {
	c.state = claimed
	c.epoch = p.epoch
	c.mayBeStored = false
	c.committed = false
	c.answer = nil
	c.expires = now.Add(c.window)
	for _, w := range c.waiters {
		if w.deadline.After(c.expires) {
			c.expires = w.deadline
		}
	}
	c.expires = c.expires.Add(expiryMargin)
	p.markDirty(c)
}

func (p *Partition) markDirty(c *claim) {
	if p.isDirty[c.key] {
		return
	}
	p.isDirty[c.key] = true
	p.dirty = append(p.dirty, c.key)
}

// refuse returns the reply to a call that was not dispatched and never will be. It is
// "not run" only if no owner can run the request before the call's deadline: this owner
// doesn't because of notBefore, and no other one does, because the claim is in the
// service or because the lease is valid until then. Otherwise the reply is "unknown",
// since a successor may have run a retry.
func (p *Partition) refuse(c *claim, w waiter, reason wire.Reason) Reply {
	r := Reply{Waiter: w.id, Answer: wire.Answer{Outcome: wire.NotRun, Reason: reason}}
	if reason != wire.ReasonConflict {
		r.Answer.RetryAfter = p.config.RetryAfter
	}
	claimCovers := c.committed && w.deadline.Before(c.expires)
	if !claimCovers && w.deadline.After(p.leaseUntil) {
		r.Answer = RefusalAsUnknown(r.Answer)
		return r
	}
	if !claimCovers {
		r.LeaseUntil = w.deadline
	}
	if w.deadline.After(c.notBefore) {
		c.notBefore = w.deadline
	}
	return r
}

// RefusalAsUnknown turns a refusal into an unknown outcome, for the case that another
// owner may have run a retry of the request.
func RefusalAsUnknown(refusal wire.Answer) wire.Answer {
	refusal.Outcome = wire.Unknown
	refusal.Detail = "this attempt was not run; another one may have been. Repeat it with the same key"
	return refusal
}

// finalAnswer returns the answer to a retry of a request whose claim has ended.
func (c *claim) finalAnswer() wire.Answer {
	if c.state != done {
		return wire.Answer{Outcome: wire.Unknown, Reason: c.reason}
	}
	if !c.answer.Kept {
		return wire.Answer{
			Outcome: wire.Unknown,
			Reason:  wire.ReasonAnswerLost,
			Detail:  "the request ran; its answer is no longer there",
		}
	}
	return wire.Answer{
		Outcome:     wire.Answered,
		Status:      c.answer.Status,
		ContentType: c.answer.ContentType,
		Body:        c.answer.Body,
	}
}

// settled records the result of a dispatched request. A late answer still counts if the
// result was unknown before.
func (p *Partition) settled(now time.Time, e Settled) {
	c := p.table[e.Key]
	late := c != nil && c.state == unknown && e.Answer.Outcome == wire.Answered
	if c == nil || (c.state != running && !late) {
		return
	}
	if c.state == running {
		p.running--
	}
	c.reason = e.Answer.Reason
	switch e.Answer.Outcome {
	case wire.Answered:
		c.state = done
		c.answer = p.newStored(e.Answer)
		p.replyAll(c, Reply{Answer: e.Answer})
	case wire.NotRun:
		p.refuseAll(c, e.Answer)
		c.state = notRun
		if p.phase != idle {
			p.abandon(now, c)
		}
	default:
		c.state = unknown
		p.replyAll(c, Reply{Answer: wire.Answer{
			Outcome: wire.Unknown,
			Reason:  e.Answer.Reason,
			Detail:  e.Answer.Detail,
		}})
	}
	if p.phase == idle {
		p.sendResult(c)
		delete(p.table, c.key)
		return
	}
	if c.state != notRun {
		p.markDirty(c)
	}
}

// refuseAll answers all calls that wait for a dispatch whose result is "not run".
func (p *Partition) refuseAll(c *claim, cause wire.Answer) {
	for _, w := range c.waiters {
		r := p.refuse(c, w, cause.Reason)
		if r.Answer.Detail == "" {
			r.Answer.Detail = cause.Detail
		}
		r.Answer.RetryAfter = max(r.Answer.RetryAfter, cause.RetryAfter)
		p.emit(r)
	}
	p.dropWaiters(c, nil)
}

// NextWake returns the time at which the next Tick is due, and false if nothing is
// scheduled.
func (p *Partition) NextWake() (time.Time, bool) {
	var at time.Time
	if p.waiting > 0 {
		at = p.earliestReplyBy
	}
	if len(p.delayed) > 0 && (at.IsZero() || p.delayEnd.Before(at)) {
		at = p.delayEnd
	}
	if p.hasNextCall() && (at.IsZero() || p.nextCallAt.Before(at)) {
		at = p.nextCallAt
	}
	return at, !at.IsZero()
}
