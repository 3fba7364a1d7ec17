package admission

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/policy/indexheap"
	"siskinloom.example/siskinloom/internal/wire"
)

// Queue decides about the requests of one endpoint. It is not safe for concurrent use.
type Queue struct {
	cfg          Config
	slots        int
	agents       int                     // agents that a caller's rate limit is divided by; at least 1
	deadlineTree *tree                   // waiting deadline requests
	rolloutTree  *tree                   // waiting rollouts
	entries      map[string]*entry       // by ID, waiting and running
	expiry       *indexheap.Heap[*entry] // waiting requests with a deadline, by latest start time
	limiters     map[wire.Principal]*rate.Limiter

	running      int // entries that hold a slot, including preempting ones
	preempting   int
	runningCost  float64  // of the deadline requests at the endpoint
	preemptible  []*entry // running and preempting rollouts, in the order of their start
	pendingAlone *entry   // entry in state pendingAlone, or nil; nothing starts before it
	runningAlone *entry   // running suspect, or nil; nothing starts beside it
	draining     bool
	holdUntil    time.Time // see Hold
	order        uint64    // arrivals so far
	actions      []Action
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:          cfg,
		slots:        cfg.Slots,
		agents:       1,
		deadlineTree: newTree(cfg),
		rolloutTree:  newTree(cfg),
		entries:      map[string]*entry{},
		expiry:       indexheap.New(earlierLatestStart, func(e *entry) *int { return &e.expiryIndex }),
		limiters:     map[wire.Principal]*rate.Limiter{},
	}
}

// Configure applies a changed configuration. Waiting requests stay in the queue.
func (q *Queue) Configure(now time.Time, cfg Config) []Action {
	q.resetActions()
	q.cfg = cfg
	q.deadlineTree.setWeights(cfg.Weights)
	q.rolloutTree.setWeights(cfg.Weights)
	q.limiters = map[wire.Principal]*rate.Limiter{}
	q.slots = cfg.Slots
	q.dispatch(now)
	return q.actions
}

// SetSlots changes how many requests the endpoint may run at once, up to the declared
// number.
func (q *Queue) SetSlots(now time.Time, slots int) []Action {
	q.resetActions()
	q.slots = min(slots, q.cfg.Slots)
	q.dispatch(now)
	return q.actions
}

// SetAgentCount sets the number of agents over which callers' requests are spread. Each
// agent grants a caller an equal part of the declared rate, but the whole burst, as
// requests do not arrive evenly.
func (q *Queue) SetAgentCount(now time.Time, n int) {
	n = max(n, 1)
	if n == q.agents {
		return
	}
	q.agents = n
	for p, limiter := range q.limiters {
		limiter.SetLimitAt(now, rate.Limit(q.rateOf(p)))
	}
}

// Offer adds a request to the queue. A request that cannot meet its deadline, or for
// which there is no room, is refused in the same call.
func (q *Queue) Offer(now time.Time, item Item) []Action {
	q.resetActions()
	if refusal, refused := q.refuseEarly(now, item); refused {
		q.actions = append(q.actions, refusal)
		return q.actions
	}
	t := q.treeOf(item)
	e := &entry{item: item, leaf: t.leaf(item.Principal), cost: max(item.Cost, minCost), order: q.order, expiryIndex: indexheap.NotInHeap}
	q.order++
	e.updateLatestStart()
	if estimatedWait := q.estimatedWait(now, e); q.missesDeadline(now, e, estimatedWait) {
		q.refuse(e, wire.ReasonDeadline, q.retryAfter(now, e, estimatedWait))
		return q.actions
	}
	q.enqueue(e)
	if q.cfg.Flat {
		q.dispatch(now)
		q.shedNewest(e)
		return q.actions
	}
	if t.root.queued > q.cfg.QueueLimit && q.running >= q.slots {
		q.shed(t, e)
	}
	q.dispatch(now)
	return q.actions
}

// Done records that a request has left the endpoint, with any outcome.
func (q *Queue) Done(now time.Time, id string) []Action {
	q.resetActions()
	e := q.entries[id]
	if e == nil || (e.state != running && e.state != preempting) {
		return q.actions
	}
	q.release(now, e)
	delete(q.entries, id)
	q.dispatch(now)
	return q.actions
}

// Preempted records that a rollout has stopped as asked. It waits again, before later
// requests of its caller, with the rest of its cost.
func (q *Queue) Preempted(now time.Time, id string) []Action {
	q.resetActions()
	e := q.entries[id]
	if e == nil || e.state != preempting {
		return q.actions
	}
	ran := now.Sub(e.startedAt).Seconds()
	q.release(now, e)
	e.cost = max(e.cost-ran, minCost)
	e.updateLatestStart()
	q.enqueue(e)
	q.dispatch(now)
	return q.actions
}

// Cancel removes a waiting request from the queue. It returns whether the request was
// waiting, and whether it had run before a preemption.
func (q *Queue) Cancel(now time.Time, id string) (removed, started bool, actions []Action) {
	q.resetActions()
	e := q.entries[id]
	if e == nil || e.state == running || e.state == preempting {
		return false, false, q.actions
	}
	q.removeWaiting(e)
	q.dispatch(now)
	return true, e.started, q.actions
}

// Tick refuses the waiting requests that can no longer meet their deadline.
func (q *Queue) Tick(now time.Time) []Action {
	q.resetActions()
	q.refuseExpired(now)
	q.dispatch(now)
	return q.actions
}

// NextExpiry returns the time after which Tick refuses a request. It returns false if
// no request with a deadline waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.First().latestStart, true
}

// Drain begins a graceful stop. New requests are refused and requests in the queue are
// served, except for rollouts that have never started, which are refused as not run.
func (q *Queue) Drain(now time.Time) []Action {
	q.resetActions()
	q.draining = true
	var refused []*entry
	for _, e := range q.entries {
		if e.item.Rollout && e.state == waiting && !e.started {
			refused = append(refused, e)
		}
	}
	sort.Slice(refused, func(i, j int) bool { return refused[i].order < refused[j].order })
	for _, e := range refused {
		q.removeWaiting(e)
		q.refuse(e, wire.ReasonLeaving, 0)
	}
	q.dispatch(now)
	return q.actions
}

// Idle reports whether no request waits or runs.
func (q *Queue) Idle() bool { return len(q.entries) == 0 && q.running == 0 }

// Load returns how busy the queue is.
func (q *Queue) Load() Load {
	queued := q.deadlineTree.root.queued + q.rolloutTree.root.queued
	if q.pendingAlone != nil {
		queued++
	}
	return Load{
		Running:       q.running,
		Queued:        queued,
		Rollouts:      len(q.preemptible) + q.rolloutTree.root.queued,
		Slots:         q.slots,
		QueuedSeconds: q.deadlineTree.root.queuedCost / float64(max(q.slots, 1)),
		Leaving:       q.draining,
	}
}

func (q *Queue) resetActions() { q.actions = q.actions[:0] }

func (q *Queue) treeOf(item Item) *tree {
	if item.Rollout {
		return q.rolloutTree
	}
	return q.deadlineTree
}

// dispatch starts requests in free slots in fair order, and preempts rollouts for
// deadline requests that still wait.
func (q *Queue) dispatch(now time.Time) {
	q.refuseExpired(now)
	for q.pendingAlone == nil && q.runningAlone == nil && q.running < q.slots && !now.Before(q.holdUntil) {
		e := q.next()
		if e == nil {
			break
		}
		if e.item.Suspect && q.running > 0 {
			e.state = pendingAlone
			q.pendingAlone = e
			break
		}
		q.start(now, e)
	}
	if q.pendingAlone != nil && q.running == 0 && q.slots > 0 {
		e := q.pendingAlone
		q.pendingAlone = nil
		q.start(now, e)
	}
	q.preempt()
}

func (q *Queue) next() *entry {
	if e := q.deadlineTree.pop(); e != nil {
		return e
	}
	return q.rolloutTree.pop()
}

func (q *Queue) start(now time.Time, e *entry) {
	q.removeExpiry(e)
	e.state = running
	e.started = true
	e.startedAt = now
	q.running++
	q.treeOf(e.item).addRunning(e.leaf, 1)
	if e.item.Suspect {
		q.runningAlone = e
	}
	if e.item.Rollout {
		q.preemptible = append(q.preemptible, e)
	} else {
		q.runningCost += e.cost
	}
	q.actions = append(q.actions, Action{Kind: Start, ID: e.item.ID})
}

// release frees the slot and corrects the charge from the estimated cost to the time
// that the slot was held, so that a caller does not gain from stating a low cost.
func (q *Queue) release(now time.Time, e *entry) {
	q.running--
	if e.state == preempting {
		q.preempting--
	}
	if q.runningAlone == e {
		q.runningAlone = nil
	}
	if e.item.Rollout {
		q.dropPreemptible(e)
	} else {
		q.runningCost -= e.cost
	}
	held := now.Sub(e.startedAt).Seconds()
	q.treeOf(e.item).charge(e.leaf, held-e.cost)
	q.treeOf(e.item).addRunning(e.leaf, -1)
}

func (q *Queue) dropPreemptible(e *entry) {
	for i, other := range q.preemptible {
		if other == e {
			q.preemptible = append(q.preemptible[:i], q.preemptible[i+1:]...)
			return
		}
	}
}

// preempt asks rollouts to stop, the last started one first, until enough slots are about
// to be free for the waiting deadline requests. A pending suspect needs all slots.
func (q *Queue) preempt() {
	need := q.deadlineTree.root.queued + max(q.running-q.slots, 0) - q.preempting
	if q.pendingAlone != nil {
		need = q.running
	}
	for i := len(q.preemptible) - 1; i >= 0 && need > 0; i-- {
		e := q.preemptible[i]
		if e.state != running {
			continue
		}
		e.state = preempting
		q.preempting++
		need--
		q.actions = append(q.actions, Action{Kind: Preempt, ID: e.item.ID})
	}
}

func (q *Queue) enqueue(e *entry) {
	e.state = waiting
	q.entries[e.item.ID] = e
	q.treeOf(e.item).push(e)
	if !e.item.Deadline.IsZero() {
		q.expiry.Push(e)
	}
}

func (q *Queue) removeExpiry(e *entry) {
	if e.expiryIndex != indexheap.NotInHeap {
		q.expiry.Remove(e)
	}
}

// removeWaiting removes an entry that waits in its tree or as pendingAlone.
func (q *Queue) removeWaiting(e *entry) {
	q.removeExpiry(e)
	if q.pendingAlone == e {
		q.pendingAlone = nil
		q.treeOf(e.item).charge(e.leaf, -e.cost)
	} else {
		q.treeOf(e.item).remove(e)
	}
	delete(q.entries, e.item.ID)
}

func (q *Queue) refuse(e *entry, reason wire.Reason, retryAfter time.Duration) {
	q.actions = append(q.actions, Action{
		Kind:       Refuse,
		ID:         e.item.ID,
		Reason:     reason,
		RetryAfter: retryAfter,
		Started:    e.started,
	})
}
