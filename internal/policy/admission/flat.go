package admission

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/indexheap"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// lowestPriority is the priority with the smallest lead; a request's priority counts as
	// at least this one. Priorities of the platform are 0 to 9, the highest first, and are
	// negated in Item.Priority.
	lowestPriority = -9
	// extraPriority is the priority of the lane of extra attempts, behind all others.
	extraPriority = math.MinInt
)

// customer is the part of a node that only a flat tree uses.
type customer struct {
	name         string
	key          float64 // start tag and lag of the first waiting request; the lowest is served first
	extraOnly    bool    // only extra attempts wait
	cap          int     // most running requests; 0: no limit
	running      int
	backlogIndex int // in the tree's backlog; NotInHeap: none waits
	busyIndex    int // in the tree's busy nodes; NotInHeap: none waits or runs
}

// capped reports whether the customer runs as many requests as it may.
func (c *customer) capped() bool { return c.cap > 0 && c.running >= c.cap }

// flatTree is the part of a tree that only a flat tree uses.
type flatTree struct {
	flat    bool
	lead    float64
	backlog *indexheap.Heap[*node] // customers with waiting requests, the most work for its weight first
	busy    []*node                // customers with waiting or running requests, in no order
}

// makeFlat makes an empty tree a tree of customers.
func (t *tree) makeFlat(lead float64) {
	t.flat = true
	t.lead = lead
	t.backlog = indexheap.New(moreBacklog, func(n *node) *int { return &n.backlogIndex })
	t.root.active = indexheap.New(lowerKey, func(n *node) *int { return &n.index })
}

// lowerKey orders customers by whether a first attempt waits, by key, then by activation.
func lowerKey(a, b *node) bool {
	switch {
	case a.extraOnly != b.extraOnly:
		return b.extraOnly
	case a.key != b.key:
		return a.key < b.key
	default:
		return a.order < b.order
	}
}

// moreBacklog orders customers by their waiting work relative to their weight, the most first.
func moreBacklog(a, b *node) bool { return a.queuedCost*b.weight > b.queuedCost*a.weight }

// customer returns the customer's node and creates it if needed. Only declared customers occur,
// which bounds the tree.
func (t *tree) customer(name string) *node {
	if n := t.root.children[name]; n != nil {
		return n
	}
	n := &node{parent: t.root, weight: t.weightOf(wire.Principal{Business: name}), index: indexheap.NotInHeap}
	n.customer = customer{name: name, backlogIndex: indexheap.NotInHeap, busyIndex: indexheap.NotInHeap}
	if t.root.children == nil {
		t.root.children = map[string]*node{}
	}
	t.root.children[name] = n
	return n
}

// updateKey computes the key of a customer. The lag of its first request is its priority's part
// of the lead, so a request of higher priority is served first until its customer is ahead of
// its share by the lead.
func (t *tree) updateKey(n *node) {
	if !t.flat || len(n.lanes) == 0 {
		return
	}
	priority := n.lanes[0].priority
	n.extraOnly = priority == extraPriority
	lag := float64(max(priority, lowestPriority)) / lowestPriority
	n.key = n.startTag + max(lag, 0)*t.lead
}

// fixKey computes the key again after the customer's first request may have changed.
func (t *tree) fixKey(n *node) {
	if !t.flat || n.index < 0 {
		return
	}
	t.updateKey(n)
	n.parent.active.Fix(n)
}

// fixBacklog restores the place of a customer by its waiting work.
func (t *tree) fixBacklog(n *node) {
	switch {
	case !t.flat:
		return
	case n.queued == 0:
		if n.backlogIndex >= 0 {
			t.backlog.Remove(n)
		}
	case n.backlogIndex < 0:
		t.backlog.Push(n)
	default:
		t.backlog.Fix(n)
	}
	t.updateBusy(n)
}

// updateBusy adds the customer to the busy ones or removes it.
func (t *tree) updateBusy(n *node) {
	isBusy := n.queued > 0 || n.running > 0
	switch {
	case isBusy && n.busyIndex < 0:
		n.busyIndex = len(t.busy)
		t.busy = append(t.busy, n)
	case !isBusy && n.busyIndex >= 0:
		last := t.busy[len(t.busy)-1]
		t.busy[n.busyIndex] = last
		last.busyIndex = n.busyIndex
		t.busy = t.busy[:len(t.busy)-1]
		n.busyIndex = indexheap.NotInHeap
	}
}

// addRunning counts a started or ended request of a customer. A customer at its cap is not
// served until one of its requests has ended.
func (t *tree) addRunning(n *node, change int) {
	if !t.flat {
		return
	}
	n.running += change
	t.updateBusy(n)
	t.applyCap(n)
}

// applyCap takes a customer at its cap out of the order, or puts it back.
func (t *tree) applyCap(n *node) {
	if n.capped() {
		n.deactivate()
	} else if n.queued > 0 {
		t.activate(n)
	}
}

// virtualTimeAt returns the virtual time when the node is served. In a flat tree the node with
// the lowest key may be ahead of others by the lead, and a customer that becomes active must
// not start behind them.
func (t *tree) virtualTimeAt(n *node) float64 {
	if t.flat {
		return min(n.startTag, n.key-t.lead)
	}
	return n.startTag
}

// lanePriority returns the priority of the lane in which the request waits.
func (e *entry) lanePriority() int {
	if e.item.Extra {
		return extraPriority
	}
	return e.item.Priority
}

// link adds the entry to the order of arrival: as the newest, or as the oldest if it returned.
func (l *lane) link(e *entry) {
	switch {
	case l.newest == nil:
		l.newest, l.oldest = e, e
	case e.item.Returned:
		e.newer = l.oldest
		l.oldest.older = e
		l.oldest = e
	default:
		e.older = l.newest
		l.newest.newer = e
		l.newest = e
	}
}

// unlink removes the entry from the order of arrival.
func (l *lane) unlink(e *entry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		l.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		l.oldest = e.newer
	}
	e.newer, e.older = nil, nil
}

// Slot is a slot held by a request that started without waiting.
type Slot struct {
	leaf      *node
	cost      float64
	startedAt time.Time
}

// TryStart starts a request of a flat queue if it need not wait. It allocates nothing for a
// customer that is known. End must be called once for each slot.
func (q *Queue) TryStart(now time.Time, item Item) (Slot, bool) {
	t := q.deadlineTree
	leaf := t.customer(item.Principal.Business)
	if q.draining || !q.mayStart(now, leaf) {
		return Slot{}, false
	}
	s := Slot{leaf: leaf, cost: max(item.Cost, minCost), startedAt: now}
	leaf.startTag = max(leaf.startTag, t.root.virtualTime)
	t.root.virtualTime = max(t.root.virtualTime, leaf.startTag-t.lead)
	t.charge(leaf, s.cost)
	q.running++
	q.runningCost += s.cost
	t.addRunning(leaf, 1)
	return s, true
}

// End records that a request with a slot has left the service, with any outcome.
func (q *Queue) End(now time.Time, s Slot) []Action {
	q.resetActions()
	q.running--
	q.runningCost -= s.cost
	q.deadlineTree.charge(s.leaf, now.Sub(s.startedAt).Seconds()-s.cost)
	q.deadlineTree.addRunning(s.leaf, -1)
	q.dispatch(now)
	return q.actions
}

// mayStart reports whether a slot is free that no other request waits for, and the customer may
// run another request.
func (q *Queue) mayStart(now time.Time, leaf *node) bool {
	return q.running < q.slots && !now.Before(q.holdUntil) && q.pendingAlone == nil && q.runningAlone == nil && !q.deadlineTree.root.hasActive() && !leaf.capped()
}

// estimatedTurn estimates in seconds how long a request of a flat queue waits: for its
// customer's earlier requests and its own turn at the customer's share, but never longer than
// for all that waits, unless the customer is capped.
func (q *Queue) estimatedTurn(now time.Time, e *entry) float64 {
	slots := float64(max(q.slots, 1))
	ahead := e.leaf.costAhead(e.lanePriority())
	wait := min((ahead+e.cost)/(slots*e.leaf.share())-e.cost/slots, q.deadlineTree.root.queuedCost/slots)
	if e.item.Extra {
		wait = q.deadlineTree.root.queuedCost / slots
	}
	if q.running >= q.slots {
		wait += q.runningCost / 2 / slots
	}
	wait += max(0, q.holdUntil.Sub(now).Seconds())
	if e.leaf.capped() {
		wait = max(wait, (ahead+e.cost/2)/float64(e.leaf.cap))
	}
	return wait
}

// shedNewest removes a request from a queue that is too long after a newcomer: the newest one
// of the customer with the most waiting work for its weight, of its lowest priority. An extra
// attempt never displaces another request.
func (q *Queue) shedNewest(newcomer *entry) {
	t := q.deadlineTree
	if t.root.queued <= q.cfg.QueueLimit {
		return
	}
	victim := newcomer
	if !newcomer.item.Extra || newcomer.state != waiting {
		lanes := t.mostBacklogged().lanes
		victim = lanes[len(lanes)-1].newest
	}
	q.removeWaiting(victim)
	q.refuse(victim, wire.ReasonQueueFull, q.timeToServe())
}

// timeToServe returns how long until the waiting requests are served.
func (q *Queue) timeToServe() time.Duration {
	return max(seconds(q.deadlineTree.root.queuedCost/float64(max(q.slots, 1))), minRetryAfter)
}

// Hold starts no request of a flat queue until a time, unless EndHold is called before. It is
// used after all endpoints were full: a request that returns would otherwise be sent in a tight
// loop. With a pause for each request instead, the customer with the most waiting requests has
// the most attempts and takes most of the slots that become free.
func (q *Queue) Hold(until time.Time) {
	if until.After(q.holdUntil) {
		q.holdUntil = until
	}
}

// EndHold ends a Hold, as a slot has become free.
func (q *Queue) EndHold() { q.holdUntil = time.Time{} }

// HeldUntil returns when a Hold ends; it may be in the past.
func (q *Queue) HeldUntil() time.Time { return q.holdUntil }

// Resize changes the slots, the limit of waiting requests and the lead of a flat queue.
func (q *Queue) Resize(now time.Time, slots, queueLimit int, lead float64) []Action {
	q.resetActions()
	q.slots, q.cfg.Slots = slots, slots
	q.cfg.QueueLimit = queueLimit
	q.deadlineTree.lead = lead
	q.dispatch(now)
	return q.actions
}

// SetCap limits the running requests of a customer of a flat queue; 0: no limit.
func (q *Queue) SetCap(now time.Time, customer string, most int) []Action {
	q.resetActions()
	leaf := q.deadlineTree.customer(customer)
	if leaf.cap != most {
		leaf.cap = most
		q.deadlineTree.applyCap(leaf)
		q.dispatch(now)
	}
	return q.actions
}

// Leave prepares a flat queue for the end of its process. The deadline of waiting requests
// becomes until at the latest, and the newest ones that cannot be served by then are refused.
func (q *Queue) Leave(now, until time.Time) []Action {
	q.resetActions()
	q.refuseExpired(now)
	for _, e := range q.waitingByArrival() {
		if !e.item.Deadline.IsZero() && !e.item.Deadline.After(until) {
			continue
		}
		q.removeWaiting(e)
		e.item.Deadline = until
		e.updateLatestStart()
		q.enqueue(e)
	}
	t := q.deadlineTree
	for t.root.queued > 0 && t.root.queuedCost/float64(max(q.slots, 1)) > until.Sub(now).Seconds() {
		lanes := t.mostBacklogged().lanes
		victim := lanes[len(lanes)-1].newest
		q.removeWaiting(victim)
		q.refuse(victim, wire.ReasonLeaving, minRetryAfter)
	}
	q.dispatch(now)
	return q.actions
}

// waitingByArrival returns the waiting requests in the order of their arrival.
func (q *Queue) waitingByArrival() []*entry {
	var list []*entry
	for _, e := range q.entries {
		if e.state == waiting {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].order < list[j].order })
	return list
}

// CustomerLoad is how busy one customer of a flat queue is.
type CustomerLoad struct {
	Customer         string
	Weight           float64
	Running, Waiting int
}

// Customers calls visit for each customer of a flat queue with waiting or running requests.
func (q *Queue) Customers(visit func(CustomerLoad)) {
	for _, n := range q.deadlineTree.busy {
		visit(CustomerLoad{Customer: n.name, Weight: n.weight, Running: n.running, Waiting: n.queued})
	}
}

// Prune drops what is known of the customers of a flat queue that are idle and owe no service, so that
// the queue does not keep customers that are no longer declared.
func (q *Queue) Prune() {
	t := q.deadlineTree
	for name, n := range t.root.children {
		if n.busyIndex < 0 && n.startTag <= t.root.virtualTime {
			delete(t.root.children, name)
		}
	}
}
