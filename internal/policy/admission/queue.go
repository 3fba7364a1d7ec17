package admission

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/policy/indexheap"
	"siskinloom.example/siskinloom/internal/wire"
)

// Queue is the admission decision of one endpoint. It is not safe for
// concurrent use.
type Queue struct {
	cfg      Config
	slots    int
	peers    int // agents among which a caller's rate limit is divided; at least 1
	callers  *tree
	rollouts *tree
	entries  map[string]*entry
	expiry   *indexheap.Heap[*entry] // waiting requests with a deadline
	limiters map[wire.Principal]*rate.Limiter

	running     int // entries that hold a slot, preempting ones included
	preempting  int
	runningCost float64  // of the deadline requests at the endpoint
	preemptible []*entry // running rollouts, in the order of their start
	held        *entry
	alone       *entry // a running suspect; nothing starts beside it
	leaving     bool
	order       uint64
	actions     []Action
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:      cfg,
		slots:    cfg.Slots,
		peers:    1,
		callers:  newTree(cfg.Weights),
		rollouts: newTree(cfg.Weights),
		entries:  map[string]*entry{},
		expiry:   indexheap.New(expiresFirst, func(e *entry) *int { return &e.expIndex }),
		limiters: map[wire.Principal]*rate.Limiter{},
	}
}

// Configure puts a changed declaration in force. Waiting requests stay.
func (q *Queue) Configure(now time.Time, cfg Config) []Action {
	q.begin()
	q.cfg = cfg
	q.callers.reweigh(cfg.Weights)
	q.rollouts.reweigh(cfg.Weights)
	q.limiters = map[wire.Principal]*rate.Limiter{}
	q.slots = cfg.Slots
	q.dispatch(now)
	return q.actions
}

// SetSlots changes how many requests the endpoint may run at once, within what
// is declared.
func (q *Queue) SetSlots(now time.Time, slots int) []Action {
	q.begin()
	q.slots = min(slots, q.cfg.Slots)
	q.dispatch(now)
	return q.actions
}

// SetAgentCount tells over how many queues callers' requests are spread. Each grants
// a caller that part of its declared rate, and the whole burst, as requests do
// not come evenly.
func (q *Queue) SetAgentCount(now time.Time, n int) {
	n = max(n, 1)
	if n == q.peers {
		return
	}
	q.peers = n
	for p, limiter := range q.limiters {
		limiter.SetLimitAt(now, rate.Limit(q.rateOf(p)))
	}
}

// Offer asks for the endpoint. A request that cannot meet its deadline, or for
// which there is no room, is refused in the same call.
func (q *Queue) Offer(now time.Time, item Item) []Action {
	q.begin()
	if refusal, refused := q.check(now, item); refused {
		q.actions = append(q.actions, refusal)
		return q.actions
	}
	t := q.treeOf(item)
	e := &entry{item: item, leaf: t.leaf(item.Principal), cost: max(item.Cost, minCost), order: q.order, expIndex: indexheap.NotInHeap}
	q.order++
	e.setLatest()
	if wait := q.wait(e); q.tooLate(now, e, wait) {
		q.refuse(e, wire.ReasonDeadline, q.retryAfter(now, e, wait))
		return q.actions
	}
	q.enqueue(e)
	if t.root.queued > q.cfg.QueueLimit && q.running >= q.slots {
		q.shed(t, e)
	}
	q.dispatch(now)
	return q.actions
}

// Done tells that a request left the endpoint, whatever its outcome.
func (q *Queue) Done(now time.Time, id string) []Action {
	q.begin()
	e := q.entries[id]
	if e == nil || (e.state != running && e.state != preempting) {
		return q.actions
	}
	q.release(now, e)
	delete(q.entries, id)
	q.dispatch(now)
	return q.actions
}

// Preempted tells that a rollout stopped as it was told to. It waits again,
// before its caller's later ones, with the cost it has left.
func (q *Queue) Preempted(now time.Time, id string) []Action {
	q.begin()
	e := q.entries[id]
	if e == nil || e.state != preempting {
		return q.actions
	}
	ran := now.Sub(e.since).Seconds()
	q.release(now, e)
	e.cost = max(e.cost-ran, minCost)
	e.setLatest()
	q.enqueue(e)
	q.dispatch(now)
	return q.actions
}

// Cancel takes a waiting request out of the queue. It reports whether the
// request was waiting, and whether it had run before a preemption.
func (q *Queue) Cancel(now time.Time, id string) (removed, started bool, actions []Action) {
	q.begin()
	e := q.entries[id]
	if e == nil || e.state == running || e.state == preempting {
		return false, false, q.actions
	}
	q.takeOut(e)
	q.dispatch(now)
	return true, e.started, q.actions
}

// Tick refuses the waiting requests that can no longer meet their deadline.
func (q *Queue) Tick(now time.Time) []Action {
	q.begin()
	q.expire(now)
	q.dispatch(now)
	return q.actions
}

// NextExpiry returns when Tick has something to do; false: nothing waits with
// a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.First().latest, true
}

// Drain begins a graceful stop: new requests are refused, those already taken
// are served, except rollouts that never started, which are refused as not run.
func (q *Queue) Drain(now time.Time) []Action {
	q.begin()
	q.leaving = true
	var refused []*entry
	for _, e := range q.entries {
		if e.item.Rollout && e.state == waiting && !e.started {
			refused = append(refused, e)
		}
	}
	sort.Slice(refused, func(i, j int) bool { return refused[i].order < refused[j].order })
	for _, e := range refused {
		q.takeOut(e)
		q.refuse(e, wire.ReasonLeaving, 0)
	}
	q.dispatch(now)
	return q.actions
}

// Idle reports whether no request waits or runs.
func (q *Queue) Idle() bool { return len(q.entries) == 0 }

// Load returns how busy the queue is.
func (q *Queue) Load() Load {
	return Load{
		Running:       q.running,
		Queued:        len(q.entries) - q.running,
		Rollouts:      len(q.preemptible) + q.rollouts.root.queued,
		Slots:         q.slots,
		QueuedSeconds: q.callers.root.queuedCost / float64(max(q.slots, 1)),
		Leaving:       q.leaving,
	}
}

func (q *Queue) begin() { q.actions = q.actions[:0] }

func (q *Queue) treeOf(item Item) *tree {
	if item.Rollout {
		return q.rollouts
	}
	return q.callers
}

// dispatch fills the free slots in fair order and asks rollouts to make room
// for deadline requests that still wait.
func (q *Queue) dispatch(now time.Time) {
	q.expire(now)
	for q.held == nil && q.alone == nil && q.running < q.slots {
		e := q.next()
		if e == nil {
			break
		}
		if e.item.Suspect && q.running > 0 {
			e.state = held
			q.held = e
			break
		}
		q.start(now, e)
	}
	if q.held != nil && q.running == 0 && q.slots > 0 {
		e := q.held
		q.held = nil
		q.start(now, e)
	}
	q.preempt()
}

func (q *Queue) next() *entry {
	if e := q.callers.pop(); e != nil {
		return e
	}
	return q.rollouts.pop()
}

func (q *Queue) start(now time.Time, e *entry) {
	q.unexpire(e)
	e.state = running
	e.started = true
	e.since = now
	q.running++
	if e.item.Suspect {
		q.alone = e
	}
	if e.item.Rollout {
		q.preemptible = append(q.preemptible, e)
	} else {
		q.runningCost += e.cost
	}
	q.actions = append(q.actions, Action{Kind: Start, ID: e.item.ID})
}

// release frees the slot and corrects the charge from the estimate to the time
// the slot was held, so understating a cost gains nothing.
func (q *Queue) release(now time.Time, e *entry) {
	q.running--
	if e.state == preempting {
		q.preempting--
	}
	if q.alone == e {
		q.alone = nil
	}
	if e.item.Rollout {
		q.dropPreemptible(e)
	} else {
		q.runningCost -= e.cost
	}
	held := now.Sub(e.since).Seconds()
	q.treeOf(e.item).charge(e.leaf, held-e.cost)
}

func (q *Queue) dropPreemptible(e *entry) {
	for i, other := range q.preemptible {
		if other == e {
			q.preemptible = append(q.preemptible[:i], q.preemptible[i+1:]...)
			return
		}
	}
}

// preempt stops as many rollouts, the last started first, as there are deadline
// requests waiting beyond the slots that are about to be free.
func (q *Queue) preempt() {
	need := q.callers.root.queued + max(q.running-q.slots, 0) - q.preempting
	if q.held != nil {
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

func (q *Queue) unexpire(e *entry) {
	if e.expIndex != indexheap.NotInHeap {
		q.expiry.Remove(e)
	}
}

// takeOut removes a request that waits, in the tree or held.
func (q *Queue) takeOut(e *entry) {
	q.unexpire(e)
	if q.held == e {
		q.held = nil
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
