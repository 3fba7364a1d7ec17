package claims

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// join adds a waiter to the claim.
func (p *Partition) join(c *claim, w waiter) {
	c.waiters = append(c.waiters, w)
	p.awaited[c.key] = c
	p.waiting++
	if p.waiting == 1 || w.replyBy.Before(p.earliestReplyBy) {
		p.earliestReplyBy = w.replyBy
	}
}

// replyAll sends the same reply to all waiters of the claim and removes them.
func (p *Partition) replyAll(c *claim, r Reply) {
	for _, w := range c.waiters {
		r.Waiter = w.id
		p.emit(r)
	}
	p.dropWaiters(c, nil)
}

// dropWaiters removes all waiters of the claim but those in kept.
func (p *Partition) dropWaiters(c *claim, kept []waiter) {
	p.waiting -= len(c.waiters) - len(kept)
	c.waiters = kept
	if len(kept) == 0 {
		delete(p.awaited, c.key)
	}
}

// expireWaiters answers every call whose replyBy has passed.
func (p *Partition) expireWaiters(now time.Time) {
	if p.waiting == 0 || now.Before(p.earliestReplyBy) {
		return
	}
	p.earliestReplyBy = time.Time{}
	for _, key := range sortedKeys(p.awaited) {
		c := p.awaited[key]
		p.dropOverdue(now, c)
		if len(c.waiters) == 0 && c.state == claimed {
			p.abandon(now, c)
		}
	}
	p.pruneDirty()
}

// sortedKeys returns the keys in a fixed order, so that the same events always result in
// the same actions.
func sortedKeys(table map[Key]*claim) []Key {
	return slices.SortedFunc(maps.Keys(table), func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
}

// dropOverdue answers and removes the claim's waiters whose replyBy has passed. None of
// them is answered "not run" while another call waits for the same claim, since its
// request may still run.
func (p *Partition) dropOverdue(now time.Time, c *claim) {
	var kept, late []waiter
	for _, w := range c.waiters {
		if !w.replyBy.After(now) {
			late = append(late, w)
			continue
		}
		kept = append(kept, w)
		if p.earliestReplyBy.IsZero() || w.replyBy.Before(p.earliestReplyBy) {
			p.earliestReplyBy = w.replyBy
		}
	}
	p.dropWaiters(c, kept)
	for _, w := range late {
		p.emit(p.overdueReply(c, w))
	}
}

// overdueReply returns the reply to a waiter whose replyBy has passed.
func (p *Partition) overdueReply(c *claim, w waiter) Reply {
	switch {
	case c.state == unknown:
		return Reply{Waiter: w.id, Answer: c.finalAnswer()}
	case c.state == running || len(c.waiters) > 0:
		return Reply{Waiter: w.id, Answer: wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonDeadline}}
	case p.lastCallFailed:
		return p.refuse(c, w, wire.ReasonPlatform)
	default:
		return p.refuse(c, w, wire.ReasonDeadline)
	}
}

// abandon marks a claim without waiters as not run.
func (p *Partition) abandon(now time.Time, c *claim) {
	c.state = notRun
	if c.notBefore.After(now) {
		p.delay(c)
		return
	}
	p.release(c)
}

// release allows a request that was not run to be claimed again, here or by a
// successor. If its claim may be in the service, an entry in the state notRun is
// written.
func (p *Partition) release(c *claim) {
	if c.mayBeStored {
		p.markDirty(c)
		return
	}
	delete(p.table, c.key)
}

// delay keeps a request that was not run from being claimed before its notBefore.
func (p *Partition) delay(c *claim) {
	p.delayed[c.key] = c
	if len(p.delayed) == 1 || c.notBefore.Before(p.delayEnd) {
		p.delayEnd = c.notBefore
	}
}

// endDelays releases the requests whose notBefore has passed, or claims them for the calls
// that have arrived since.
func (p *Partition) endDelays(now time.Time) {
	if len(p.delayed) == 0 || now.Before(p.delayEnd) {
		return
	}
	p.delayEnd = time.Time{}
	for _, key := range sortedKeys(p.delayed) {
		c := p.delayed[key]
		if now.Before(c.notBefore) {
			if p.delayEnd.IsZero() || c.notBefore.Before(p.delayEnd) {
				p.delayEnd = c.notBefore
			}
			continue
		}
		delete(p.delayed, key)
		if len(c.waiters) > 0 {
			p.claim(now, c)
			continue
		}
		p.release(c)
	}
}

// pruneDirty removes the claims from dirty that were abandoned before they were written.
// They would accumulate during an outage.
func (p *Partition) pruneDirty() {
	kept := p.dirty[:0]
	for _, key := range p.dirty {
		if p.table[key] != nil {
			kept = append(kept, key)
			continue
		}
		delete(p.isDirty, key)
	}
	p.dirty = kept
}
