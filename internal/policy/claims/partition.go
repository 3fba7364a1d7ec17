package claims

import (
	"maps"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// phase is how far the ownership of a partition has come.
type phase int

const (
	idle    phase = iota // not the owner
	fencing              // raising the epoch in the head
	loading              // reading the sealed buckets
	serving
)

// expiryMargin is added to each retry window: the owners' clocks need not
// agree, and a claim dropped early could run twice.
const expiryMargin = 5 * time.Second

// claim is one request as this process knows it.
type claim struct {
	key         Key
	fingerprint uint64
	epoch       int64 // under which it was claimed
	state       state
	reason      wire.Reason // of unknown
	window      time.Duration
	expires     time.Time
	sent        bool    // was part of a write, so that it may stand in the service
	committed   bool    // stands in the service: nobody else will run it before it expires
	answer      *stored // of done
	waiters     []waiter
	// openUntil is how long the result of an earlier owner's claim is waited for.
	openUntil time.Time

	// hold is the latest deadline of a call that was answered "not run". The
	// request is not run before it, and no "not run" reaches a caller after
	// it; else an answer that travels slowly would arrive when a repeat of
	// the request has run.
	hold time.Time
}

type waiter struct {
	id       int64
	deadline time.Time // its caller's entry says nothing but "unknown" after this
	replyBy  time.Time // a little before deadline
}

// Partition is the state machine of one claim partition. It is not safe for
// concurrent use.
type Partition struct {
	config      Config
	phase       phase
	epoch       int64     // highest epoch this process was given
	provenUntil time.Time // no other process holds the duty before this

	table   map[Key]*claim // complete while serving; only own running claims else
	dirty   []Key          // to be written, each once, oldest first
	isDirty map[Key]bool   // the same as a set

	// unwritten are claims of earlier epochs of this process whose end, or
	// whose not having run, it knows and the service may not. Without them
	// what ended in an outage would be "unknown" to the very process that ran
	// it, once that has renewed its lapsed lease under the next epoch.
	unwritten map[Key]*claim

	head     head // as last committed
	revision int64
	inflight *commit
	lastID   int64
	notYet   time.Time // no call to the service before this
	failing  bool      // the last call to the service failed

	toRead  []string // keys still to be read
	reading map[string]bool
	loaded  map[string][]entry // of the buckets read so far
	buckets map[string]bucket  // sealed buckets by key

	running  int            // claims in state running
	waiting  int            // calls, over all of awaited
	awaited  map[Key]*claim // claims with waiters
	earliest time.Time      // no waiter's replyBy is before this

	holding map[Key]*claim // claims in state notRun before their hold ends
	holdEnd time.Time      // no hold in holding ends before this
	out     []Action
}

// bucket is what the owner remembers of a sealed bucket.
type bucket struct {
	revision int64
	keys     []Key
}

// New returns a partition that is not owned yet.
func New(config Config) *Partition {
	return &Partition{
		config:  config,
		table:   map[Key]*claim{},
		isDirty: map[Key]bool{},
		reading: map[string]bool{},
		awaited: map[Key]*claim{},
		holding: map[Key]*claim{},

		unwritten: map[Key]*claim{},
		buckets:   map[string]bucket{},
	}
}

// Serving tells whether the partition answers calls.
func (p *Partition) Serving() bool { return p.phase == serving }

// Epoch returns the highest epoch under which the partition was held here.
func (p *Partition) Epoch() int64 { return p.epoch }

// Idle tells whether no call waits, nothing runs from here and everything is
// written, so that a successor would know all that this owner does.
func (p *Partition) Idle() bool {
	return p.waiting == 0 && p.running == 0 && len(p.dirty) == 0 && p.inflight == nil
}

// Step takes an event and returns what to do, in order.
func (p *Partition) Step(now time.Time, e Event) []Action {
	p.out = nil
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
		p.told(now, e)
	case Tick:
		p.expireWaiters(now)
	}
	p.endHolds(now)
	p.advance(now)
	return p.out
}

func (p *Partition) do(a Action) { p.out = append(p.out, a) }

func (p *Partition) renewed(e Renewed) {
	if p.phase != idle {
		p.provenUntil = e.Until
	}
}

// lose forgets everything but the requests that run from here: their callers
// still get their answers. Calls whose claim is not dispatched go to the next
// owner; they are never dispatched from here again.
func (p *Partition) lose() {
	p.phase = idle
	p.provenUntil = time.Time{}
	p.keepUnwritten()
	p.inflight = nil
	p.toRead = nil
	p.loaded = nil
	clear(p.reading)
	clear(p.holding)
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

// keepUnwritten remembers what ended here and may not be written.
func (p *Partition) keepUnwritten() {
	keys := p.dirty
	if p.inflight != nil {
		for _, e := range p.inflight.holds {
			keys = append(keys, e.Key)
		}
	}
	keys = append(keys, sortedKeys(p.holding)...)
	for _, key := range keys {
		c := p.table[key]
		if c != nil && c.sent && c.state != running && c.state != unknown {
			p.unwritten[key] = c
			p.tell(c)
		}
	}
}

func (p *Partition) submitted(now time.Time, e Submitted) {
	if p.phase != serving {
		p.do(Reply{Waiter: e.Waiter, Moved: true})
		return
	}
	w := waiter{id: e.Waiter, deadline: e.Deadline, replyBy: e.Deadline.Add(-p.config.ReplyMargin)}
	c := p.table[e.Key]
	if c == nil || p.over(now, c) {
		p.submitNew(now, e, w)
		return
	}
	if c.fingerprint != e.Fingerprint {
		p.do(p.refuse(c, w, wire.ReasonConflict))
		return
	}
	c.window = max(c.window, e.Window)
	switch c.state {
	case claimed, running:
		p.join(c, w)
	case notRun:
		p.join(c, w)
		if _, held := p.holding[c.key]; !held {
			p.claim(now, c)
		}
	case unknown:
		p.joinOpen(now, c, w)
	default:
		p.do(Reply{Waiter: w.id, Answer: c.verdict()})
	}
}

// over tells whether the caller's window for the claim has passed.
func (p *Partition) over(now time.Time, c *claim) bool {
	return now.After(c.expires) && now.After(c.hold) && c.state != running && len(c.waiters) == 0
}

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
		p.holdOn(c)
	}
	p.do(refusal)
}

// claim begins to claim a request that has waiters.
func (p *Partition) claim(now time.Time, c *claim) {
	c.state = claimed
	c.epoch = p.epoch
	c.sent = false
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

// refuse is the answer to a call that was not dispatched and never will be. It
// is "not run" only if nobody can run the request before the call's deadline:
// not this owner, which keeps the hold, and no other one, either because the
// claim stands in the service or because the lease holds until then. Otherwise
// a successor may have run a repeat of it.
func (p *Partition) refuse(c *claim, w waiter, reason wire.Reason) Reply {
	r := Reply{Waiter: w.id, Answer: wire.Answer{Outcome: wire.NotRun, Reason: reason}}
	if reason != wire.ReasonConflict {
		r.Answer.RetryAfter = p.config.RetryAfter
	}
	standing := c.committed && w.deadline.Before(c.expires)
	if !standing && w.deadline.After(p.provenUntil) {
		r.Answer = RefusalAsUnknown(r.Answer)
		return r
	}
	if !standing {
		r.LeaseUntil = w.deadline
	}
	if w.deadline.After(c.hold) {
		c.hold = w.deadline
	}
	return r
}

// RefusalAsUnknown turns a refusal into the answer for when a repeat of the request
// may have run elsewhere.
func RefusalAsUnknown(refusal wire.Answer) wire.Answer {
	refusal.Outcome = wire.Unknown
	refusal.Detail = "this attempt was not run; another one may have been. Repeat it with the same key"
	return refusal
}

// verdict is the answer to a repeat of a claim that ended.
func (c *claim) verdict() wire.Answer {
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

// settled records the end of a run. A late answer to a run that was given up
// as unknown still counts.
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
		c.answer = p.store(e.Answer)
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
		p.tell(c)
		delete(p.table, c.key)
		return
	}
	if c.state != notRun {
		p.markDirty(c)
	}
}

// refuseAll passes a dispatch's "not run" on to every call that waits for it.
func (p *Partition) refuseAll(c *claim, cause wire.Answer) {
	for _, w := range c.waiters {
		r := p.refuse(c, w, cause.Reason)
		if r.Answer.Detail == "" {
			r.Answer.Detail = cause.Detail
		}
		r.Answer.RetryAfter = max(r.Answer.RetryAfter, cause.RetryAfter)
		p.do(r)
	}
	p.dropWaiters(c, nil)
}

// NextWake returns when the next Tick is due; false if nothing waits for time.
func (p *Partition) NextWake() (time.Time, bool) {
	var at time.Time
	if p.waiting > 0 {
		at = p.earliest
	}
	if len(p.holding) > 0 && (at.IsZero() || p.holdEnd.Before(at)) {
		at = p.holdEnd
	}
	if p.wantsService() && (at.IsZero() || p.notYet.Before(at)) {
		at = p.notYet
	}
	return at, !at.IsZero()
}
