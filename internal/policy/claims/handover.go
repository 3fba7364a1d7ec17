package claims

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// An owner that loses the duty while requests run continues them and sends their
// results to the next owner. Otherwise every request in flight at a planned stop would
// be "unknown" to its successor, or the stop would have to wait for the slowest request
// while new calls wait. A missing result proves nothing: a claim whose result isn't
// received stays "unknown".

// Owned reports whether this process holds the partition's duty as far as it knows.
func (p *Partition) Owned() bool { return p.phase != idle }

// Committing reports whether a call waits for its claim to be written. If the duty were
// released before that, the call would be sent to the next owner, which would find a
// claim without a result until it receives one.
func (p *Partition) Committing() bool {
	for _, c := range p.awaited {
		if c.state == claimed {
			return true
		}
	}
	return false
}

// Running returns the claims whose requests were dispatched here and still run.
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

// ref returns the reference to the claim for messages to other processes.
func (c *claim) ref() wire.ClaimRef {
	return wire.ClaimRef{Key: c.key, Epoch: c.epoch, Expires: c.expires.UnixMilli()}
}

// sendResult sends the result of a claim that ended here to the owner. A claim that was
// never dispatched counts as not run, since it won't be dispatched here any more.
func (p *Partition) sendResult(c *claim) {
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
		t.NotBefore = c.notBefore
	}
	p.emit(t)
}

// resultsReceived applies the results of earlier owners' claims. Until the partition
// serves, the results are kept in unwritten, to be applied at the end of the takeover.
func (p *Partition) resultsReceived(now time.Time, e ResultsReceived) {
	if p.phase == idle {
		return
	}
	for _, r := range e.Results {
		old := claimFromResult(now, r)
		if p.phase == serving {
			p.resolveUnknown(now, old)
			continue
		}
		if known := p.unwritten[old.key]; known == nil || known.epoch < old.epoch {
			p.unwritten[old.key] = old
		}
	}
	for _, ref := range e.Running {
		c := p.table[ref.Key]
		if p.phase == serving && c != nil && c.state == unknown && c.ref() == ref {
			p.extendResultDeadline(c, now.Add(p.config.ResultTimeout))
		}
	}
}

// claimFromResult returns the claim with the state that its result implies.
func claimFromResult(now time.Time, r wire.ClaimResult) *claim {
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
		c.notBefore = now.Add(r.Hold)
	}
	return c
}

// joinUnknown makes a retry wait for the result of an earlier owner's claim, until
// resultDeadline at the latest.
func (p *Partition) joinUnknown(now time.Time, c *claim, w waiter) {
	if !now.Before(c.resultDeadline) {
		p.emit(Reply{Waiter: w.id, Answer: c.finalAnswer()})
		return
	}
	if c.resultDeadline.Before(w.replyBy) {
		w.replyBy = c.resultDeadline
	}
	p.join(c, w)
}

// extendResultDeadline sets resultDeadline and adjusts the waiters' replyBy to it.
func (p *Partition) extendResultDeadline(c *claim, until time.Time) {
	c.resultDeadline = until
	for i, w := range c.waiters {
		c.waiters[i].replyBy = w.deadline.Add(-p.config.ReplyMargin)
		if until.Before(c.waiters[i].replyBy) {
			c.waiters[i].replyBy = until
		}
	}
}

// maxQueriedClaims limits the claims that agents are queried for after a takeover. Not
// more calls than that can have been waiting.
const maxQueriedClaims = DefaultMaxWaiters

// queryAgents requests one query of the agents for all claims whose results are still
// awaited after a takeover.
func (p *Partition) queryAgents() {
	a := QueryAgents{Wait: p.config.ResultTimeout, MaxBody: p.config.MaxAnswerBytes}
	for _, key := range sortedKeys(p.table) {
		c := p.table[key]
		if c.state == unknown && !c.resultDeadline.IsZero() && len(a.Refs) < maxQueriedClaims {
			a.Refs = append(a.Refs, c.ref())
		}
	}
	if len(a.Refs) > 0 {
		p.emit(a)
	}
}
