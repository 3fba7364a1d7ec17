package claims

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// An owner that loses the duty with requests running goes on with them and
// tells the next owner what becomes of them. Without that, every request in
// flight at a planned stop would be "unknown" to its successor, or the stop
// would have to wait for the slowest one while new calls stand. Nothing is
// derived from silence: a claim of which nothing is told stays "unknown".

// Owned tells whether the partition's duty is held here, as far as is known.
func (p *Partition) Owned() bool { return p.phase != idle }

// Committing tells whether a call waits for its claim to be written. Giving the
// duty up before would send it to the next owner, which then finds a claim
// without a result until it is told otherwise.
func (p *Partition) Committing() bool {
	for _, c := range p.awaited {
		if c.state == claimed {
			return true
		}
	}
	return false
}

// Running lists the claims whose requests run from here.
func (p *Partition) Running() []wire.ClaimRef {
	if p.running == 0 {
		return nil
	}
	var all []wire.ClaimRef
	for _, key := range sortedKeys(p.table) {
		if c := p.table[key]; c.state == running {
			all = append(all, c.ref())
		}
	}
	return all
}

func (c *claim) ref() wire.ClaimRef {
	return wire.ClaimRef{Key: c.key, Epoch: c.epoch, Expires: c.expires.UnixMilli()}
}

// tell has the owner told of a claim that ended here. One that was never
// dispatched counts as not run: it is not dispatched from here any more.
func (p *Partition) tell(c *claim) {
	t := SendResult{Result: wire.ClaimResult{Claim: c.ref()}}
	switch c.state {
	case done:
		t.Result.Outcome = wire.Answered
		t.Result.Kept = c.answer.Kept
		t.Result.Status = c.answer.Status
		t.Result.ContentType = c.answer.ContentType
		t.Result.Body = c.answer.Body
	case unknown:
		t.Result.Outcome = wire.Unknown
	default:
		t.Result.Outcome = wire.NotRun
		t.Hold = c.hold
	}
	p.do(t)
}

// told takes in what an earlier owner tells. Before the buckets are read it is
// kept for the end of the take-over.
func (p *Partition) told(now time.Time, e ResultsReceived) {
	if p.phase == idle {
		return
	}
	for _, r := range e.Results {
		old := claimOf(now, r)
		if p.phase == serving {
			p.restore(now, old)
			continue
		}
		if known := p.unwritten[old.key]; known == nil || known.epoch < old.epoch {
			p.unwritten[old.key] = old
		}
	}
	for _, ref := range e.Running {
		c := p.table[ref.Key]
		if p.phase == serving && c != nil && c.state == unknown && c.ref() == ref {
			p.keepOpen(c, now.Add(p.config.ResultTimeout))
		}
	}
}

func claimOf(now time.Time, r wire.ClaimResult) *claim {
	c := &claim{
		key:     r.Claim.Key,
		epoch:   r.Claim.Epoch,
		expires: fromMilli(r.Claim.Expires),
		state:   unknown,
	}
	switch r.Outcome {
	case wire.Answered:
		c.state = done
		c.answer = &stored{Kept: r.Kept, Status: r.Status, ContentType: r.ContentType, Body: r.Body}
	case wire.NotRun:
		c.state = notRun
		c.hold = now.Add(r.Hold)
	}
	return c
}

// joinOpen has a repeat wait for the result of an earlier owner's claim, no
// longer than one may still come.
func (p *Partition) joinOpen(now time.Time, c *claim, w waiter) {
	if !now.Before(c.openUntil) {
		p.do(Reply{Waiter: w.id, Answer: c.verdict()})
		return
	}
	if c.openUntil.Before(w.replyBy) {
		w.replyBy = c.openUntil
	}
	p.join(c, w)
}

func (p *Partition) keepOpen(c *claim, until time.Time) {
	c.openUntil = until
	for i, w := range c.waiters {
		c.waiters[i].replyBy = w.deadline.Add(-p.config.ReplyMargin)
		if until.Before(c.waiters[i].replyBy) {
			c.waiters[i].replyBy = until
		}
	}
}

// maxAsked bounds the claims asked for after one take-over; as many calls as
// that can have waited.
const maxAsked = DefaultMaxWaiters

// ask asks for the claims that stay open after a take-over, all at once.
func (p *Partition) ask() {
	a := QueryAgents{Wait: p.config.ResultTimeout, MaxBody: p.config.MaxAnswerBytes}
	for _, key := range sortedKeys(p.table) {
		c := p.table[key]
		if c.state == unknown && !c.openUntil.IsZero() && len(a.Refs) < maxAsked {
			a.Refs = append(a.Refs, c.ref())
		}
	}
	if len(a.Refs) > 0 {
		p.do(a)
	}
}
