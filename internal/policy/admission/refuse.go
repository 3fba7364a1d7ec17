package admission

import (
	"time"

	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/wire"
)

// refuseEarly refuses a request for reasons that do not depend on the queue's length:
// its ID is already known, the queue is draining, or its caller exceeds its rate limit.
func (q *Queue) refuseEarly(now time.Time, item Item) (Action, bool) {
	refusal := Action{Kind: Refuse, ID: item.ID}
	if e := q.entries[item.ID]; e != nil {
		refusal.Reason = wire.ReasonDuplicate
		refusal.Started = true
		return refusal, true
	}
	if q.draining {
		refusal.Reason = wire.ReasonLeaving
		return refusal, true
	}
	if wait := q.rateLimitDelay(now, item.Principal); wait > 0 {
		refusal.Reason = wire.ReasonRateLimited
		refusal.RetryAfter = max(wait, minRetryAfter)
		return refusal, true
	}
	return Action{}, false
}

// rateLimitDelay takes a token from the caller's rate limiter. If there is none, it
// returns how long until there is one.
func (q *Queue) rateLimitDelay(now time.Time, p wire.Principal) time.Duration {
	declared, limited := q.cfg.Rates[p]
	if !limited || declared.PerSecond <= 0 {
		return 0
	}
	limiter := q.limiters[p]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(q.rateOf(p)), max(declared.Burst, 1))
		q.limiters[p] = limiter
	}
	if limiter.AllowN(now, 1) {
		return 0
	}
	return seconds((1 - limiter.TokensAt(now)) / q.rateOf(p))
}

// rateOf returns this agent's part of the caller's declared rate.
func (q *Queue) rateOf(p wire.Principal) float64 {
	return q.cfg.Rates[p].PerSecond / float64(q.agents)
}

// estimatedWait estimates in seconds how long the request waits for a slot. It waits for
// the earlier work of its caller, served at the caller's fair share, but never longer
// than for all waiting work. If deadline requests hold all slots, half of their cost is
// added.
func (q *Queue) estimatedWait(now time.Time, e *entry) float64 {
	if q.cfg.Flat {
		return q.estimatedTurn(now, e)
	}
	slots := float64(max(q.slots, 1))
	ahead := e.leaf.costAhead(e.item.Priority)
	wait := min(ahead/(slots*e.leaf.share()), q.treeOf(e.item).root.queuedCost/slots)
	if q.running-len(q.preemptible) >= q.slots {
		wait += q.runningCost / 2 / slots
	}
	return wait
}

// missesDeadline reports whether the request is expected to start too late for its
// deadline. A request that can start now is accepted with any estimated cost, and its
// latest start is then the deadline itself. If it were refused, no new observation could
// correct the estimate, and a class could be refused forever after a temporary slowdown.
func (q *Queue) missesDeadline(now time.Time, e *entry, wait float64) bool {
	if e.item.Deadline.IsZero() {
		return false
	}
	if q.canStartNow(now, e) {
		e.latestStart = e.item.Deadline
		return now.After(e.latestStart)
	}
	return now.Add(seconds(wait)).After(e.latestStart)
}

// canStartNow reports whether a slot is free and no request waits for it.
func (q *Queue) canStartNow(now time.Time, e *entry) bool {
	if q.cfg.Flat {
		return q.mayStart(now, e.leaf)
	}
	free := q.running < q.slots && q.pendingAlone == nil && q.runningAlone == nil
	return free && q.treeOf(e.item).root.queued == 0
}

// retryAfter returns how long until the queue is short enough for the same request, or
// 0 if the request could not meet its deadline even on an idle endpoint.
func (q *Queue) retryAfter(now time.Time, e *entry, wait float64) time.Duration {
	if now.After(e.latestStart) {
		return 0
	}
	excess := now.Add(seconds(wait)).Sub(e.latestStart)
	return max(excess, minRetryAfter)
}

// shed removes one request from a full queue: one of the caller with the most waiting
// work for its weight, which may be the new request itself. If the new request were
// always refused, one business could fill the queue, and the requests of all others
// would be refused.
func (q *Queue) shed(t *tree, newcomer *entry) {
	victim := newcomer
	if mostBacklogged := t.mostBacklogged(); mostBacklogged != newcomer.leaf {
		victim = mostBacklogged.shedCandidate()
	} else if lowest := mostBacklogged.shedCandidate(); lowest.item.Priority < newcomer.item.Priority {
		victim = lowest
	}
	q.removeWaiting(victim)
	work := t.root.queuedCost / float64(max(q.slots, 1))
	q.refuse(victim, wire.ReasonQueueFull, max(seconds(work), minRetryAfter))
}

// shedCandidate returns a request of the caller's lowest priority: the last element of
// the lane's heap, which is never the next request of a lane with several ones.
func (n *node) shedCandidate() *entry {
	lowest := n.lanes[len(n.lanes)-1]
	return lowest.entries.Last()
}

// refuseExpired refuses the waiting requests whose latest start time has passed.
func (q *Queue) refuseExpired(now time.Time) {
	for q.expiry.Len() > 0 && now.After(q.expiry.First().latestStart) {
		e := q.expiry.First()
		q.removeWaiting(e)
		q.refuse(e, wire.ReasonDeadline, minRetryAfter)
	}
}
