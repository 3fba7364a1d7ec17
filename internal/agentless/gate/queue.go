package gate

import (
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/policy/limit"
	"siskinloom.example/siskinloom/internal/policy/retry"
	"siskinloom.example/siskinloom/internal/policy/routes"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// refreshInterval is how often a queue in use reads the number of slots, the assigned share
	// and the declaration. Shares are assigned anew in this interval.
	refreshInterval = 100 * time.Millisecond
	// waitingRefreshInterval applies while requests wait for a higher limit.
	waitingRefreshInterval = 25 * time.Millisecond
	// minHold and maxHold bound how long nothing is sent to a service that was full. The upper
	// bound is a third of an objective of 150 ms.
	minHold = 5 * time.Millisecond
	maxHold = 50 * time.Millisecond
	// leadRequests is the lead that the highest priority gives a customer, in typical requests.
	// A customer of the lowest priority waits for at most so many requests of another before
	// its share is due. With the 25 ms of a lookup and one slot that lies below the
	// objective of 150 ms.
	leadRequests = 4
	// maxWaiting bounds the queue of a service with long timeouts.
	maxWaiting = 100_000
	// typicalClass is the class under which all requests to a service are observed.
	typicalClass = ""
)

// reasonFull is the reason of a refusal after all endpoints refused the request as full until its
// time was over. The other reasons are those of package admission.
const reasonFull wire.Reason = "full"

// claim describes a request that asks for a slot of its service.
type claim struct {
	customer string
	priority int    // 0 is the highest
	class    string // name of its route
	deadline time.Time
	extra    bool // a retry or hedge
	returned bool // endpoints refused it as full
}

// grant is a slot that a request holds. end must be called once. The zero value is the grant of
// a request that is served without a queue.
type grant struct {
	queue        *serviceQueue
	slot         admission.Slot
	id           string // of the item in the policy; empty: the request started without waiting
	class        string
	baselineCost float64
	at           time.Time
}

// waiter is a request that waits for a slot. decided is closed once it was granted one or refused.
type waiter struct {
	id      string
	claim   claim
	since   time.Time
	decided chan struct{}
	grant   grant
	refused *admission.Action // nil: granted
}

// serviceQueue holds the requests of this process to one service until they may be sent. It is
// safe for concurrent use.
type serviceQueue struct {
	service string
	gate    *Gate
	metrics *queueMetrics

	mu            sync.Mutex
	policy        *admission.Queue
	limiter       *limit.Limiter
	estimator     *limit.Estimator
	budget        *retry.Budget        // of retries, by customer
	lastGrant     map[string]time.Time // time of the last grant of retries by customer
	waiters       map[string]*waiter
	refused       map[string]map[string]int64 // by customer and reason
	formerRefused map[string]int64            // by reason, of customers that are no longer declared
	timer         *time.Timer
	lastID        uint64
	refreshedAt   time.Time
	table         *routes.Table // as of the last refresh
	longest       time.Duration // longest timeout of a route to the service
	assigned      int           // slots that Shares assigned; 0: none
	queueLimit    int
	leaveBy       time.Time // end of the process; zero: not known
	fullAt        time.Time // when all endpoints that a request was sent to last refused it
	pressure      pressureLog
}

func newServiceQueue(g *Gate, service string) *serviceQueue {
	q := &serviceQueue{
		service: service, gate: g, metrics: newQueueMetrics(g.registry, service),
		policy: admission.New(admission.Config{Slots: 1, QueueLimit: 1, Flat: true}), limiter: limit.New(limit.Config{Min: 1, Max: 1, Shared: true}),
		estimator: limit.NewEstimator(), budget: retry.NewBudget(), lastGrant: map[string]time.Time{},
		waiters: map[string]*waiter{}, refused: map[string]map[string]int64{}, formerRefused: map[string]int64{},
	}
	q.timer = time.AfterFunc(time.Hour, q.tick)
	return q
}

// acquire takes a slot for a request, or adds the request to the queue. The waiter is nil if
// the grant is valid.
func (q *serviceQueue) acquire(now time.Time, c claim) (grant, *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.refreshedAt) >= refreshInterval {
		q.refresh(now)
	}
	q.updateCap(now, c.customer)
	item := q.item(c)
	if slot, started := q.policy.TryStart(now, item); started {
		q.metrics.inFlight.Update(int64(q.policy.Load().Running))
		return grant{queue: q, slot: slot, class: c.class, baselineCost: q.estimator.BaselineCost(c.class, 0), at: now}, nil
	}
	q.lastID++
	w := &waiter{id: strconv.FormatUint(q.lastID, 10), claim: c, since: now, decided: make(chan struct{})}
	item.ID = w.id
	q.waiters[w.id] = w
	q.apply(now, q.policy.Offer(now, item))
	return grant{}, w
}

// item returns the request as the policy sees it.
func (q *serviceQueue) item(c claim) admission.Item {
	item := admission.Item{
		Principal: wire.Principal{Business: c.customer}, Priority: -c.priority, Deadline: c.deadline,
		Cost: q.estimator.Cost(c.class, 0), TailCost: q.estimator.TailCost(c.class, 0), Extra: c.extra, Returned: c.returned,
	}
	if !q.leaveBy.IsZero() && (item.Deadline.IsZero() || item.Deadline.After(q.leaveBy)) {
		item.Deadline = q.leaveBy
	}
	return item
}

// result says what the end of an attempt tells about its service.
type result int

const (
	resultNone     result = iota // nothing
	resultAnswered               // its duration is that of a whole request
	resultStreamed               // its duration depends on the text, not on the load
)

// end returns the slot.
func (g grant) end(now time.Time, r result) {
	q := g.queue
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	took := now.Sub(g.at)
	if r == resultAnswered && q.estimator.Known(g.class) {
		sample := limit.Sample{Latency: took, Cost: g.baselineCost, Running: q.policy.Load().Running}
		q.adapt(now, "slow", func() { q.limiter.Observe(now, sample) })
	}
	if r != resultNone {
		q.policy.EndHold()
		q.estimator.Observe(g.class, 0, took.Seconds())
		q.estimator.Observe(typicalClass, 0, took.Seconds())
	}
	if g.id == "" {
		q.apply(now, q.policy.End(now, g.slot))
	} else {
		q.apply(now, q.policy.Done(now, g.id))
	}
}

// adapt lets the limiter learn and applies its limit. The lock must be held.
func (q *serviceQueue) adapt(now time.Time, cause string, learn func()) {
	before := q.limiter.Limit()
	learn()
	if after := q.limiter.Limit(); after != before {
		q.resize(now)
		if after < before {
			q.logLowered(now, before, after, cause)
		}
	}
}

// serviceFull records that all endpoints that a request was sent to refused it as full. Nothing
// is sent until about the duration of a request has passed, within which slots become free, or
// until an endpoint has answered a request of this process. A request for a model does not
// lower the limit: an engine that loads weights refuses as a full one does, and requests
// for the other models of the service would wait for long streams to end.
func (q *serviceQueue) serviceFull(now time.Time, model string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fullAt = now
	typical := time.Duration(q.estimator.Cost(typicalClass, 0) * float64(time.Second))
	q.policy.Hold(now.Add(min(max(typical/2+rand.N(typical+1), minHold), maxHold)))
	if model != "" {
		return
	}
	q.adapt(now, "full", func() { q.limiter.Refused(now, q.policy.Load().Running+1) })
}

// abandon takes a request out of the queue whose caller left, whose time is over or which was
// answered meanwhile. It returns the queue's refusal if there was one before.
func (q *serviceQueue) abandon(now time.Time, w *waiter) *admission.Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters[w.id] == nil { // decided
		if w.refused == nil {
			q.apply(now, q.policy.Done(now, w.id))
		}
		return w.refused
	}
	delete(q.waiters, w.id)
	_, _, actions := q.policy.Cancel(now, w.id)
	q.apply(now, actions)
	return nil
}

// refuseExpired counts and returns the refusal of a request whose time was over before the queue
// decided on it.
func (q *serviceQueue) refuseExpired(customer string) *admission.Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.countRefusal(customer, wire.ReasonDeadline)
	return &admission.Action{Kind: admission.Refuse, Reason: wire.ReasonDeadline}
}

// leave prepares the queue for the end of the process at a time. Requests that can't be served
// by then are refused.
func (q *serviceQueue) leave(now, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaveBy = until
	before := len(q.waiters)
	q.apply(now, q.policy.Leave(now, until))
	q.logLeaving(before, len(q.waiters))
}

// tick refuses requests whose time is over and applies changed limits while requests wait.
func (q *serviceQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	q.apply(now, q.policy.Tick(now))
}

// refresh reads what the limits depend on. The lock must be held.
func (q *serviceQueue) refresh(now time.Time) {
	q.refreshedAt = now
	if table := q.gate.directory.Table(); table != q.table {
		q.declare(table)
	}
	q.limiter.Configure(limit.Config{Min: 1, Max: q.gate.directory.Slots(q.service, now), Shared: true})
	q.limiter.Recover(now)
	q.assigned = 0
	if q.gate.Shares != nil {
		if slots, known := q.gate.Shares.Slots(q.service); known {
			q.assigned = max(1, slots)
		}
	}
	q.resize(now)
	q.updateCaps(now)
}

// declare applies a new declaration. Waiting requests stay in the queue.
func (q *serviceQueue) declare(table *routes.Table) {
	q.table, q.longest = table, 0
	for i := range table.Declaration.Routes {
		if r := &table.Declaration.Routes[i]; sendsTo(r, q.service) {
			q.longest = max(q.longest, timeoutOf(r))
		}
	}
	q.policy.Prune()
	q.forgetCustomers(table.Declaration.Customers)
}

// forgetCustomers drops what is known of customers that are no longer declared. Their refusals
// still count for the service.
func (q *serviceQueue) forgetCustomers(declared []deployment.Customer) {
	known := make(map[string]bool, len(declared)+1)
	known[""] = true // requests without a customer's key
	for i := range declared {
		known[declared[i].Name] = true
	}
	q.budget.Retain(func(customer string) bool { return known[customer] })
	maps.DeleteFunc(q.lastGrant, func(customer string, _ time.Time) bool { return !known[customer] })
	for customer, byReason := range q.refused {
		if known[customer] {
			continue
		}
		for reason, n := range byReason {
			q.formerRefused[reason] += n
		}
		delete(q.refused, customer)
	}
}

func sendsTo(r *deployment.Route, service string) bool {
	for _, b := range r.Backends {
		if b.Service == service {
			return true
		}
	}
	return false
}

// limit returns the most requests in flight: what was learned and what was assigned. The lock
// must be held.
func (q *serviceQueue) limit() int {
	if q.assigned > 0 {
		return min(q.assigned, q.limiter.Limit())
	}
	return q.limiter.Limit()
}

// resize applies the limits to the policy. At most as many requests wait as can be served within
// the longest timeout. The lock must be held.
func (q *serviceQueue) resize(now time.Time) {
	slots := q.limit()
	typical := q.estimator.Cost(typicalClass, 0)
	longest := max(q.longest, time.Second).Seconds()
	q.queueLimit = int(min(maxWaiting, math.Ceil(float64(slots)*longest/max(typical, 1e-3))))
	q.metrics.limit.Update(int64(slots))
	q.apply(now, q.policy.Resize(now, slots, q.queueLimit, leadRequests*typical))
}

// updateCap applies the assigned slots of a customer. A customer is never limited below one:
// shares of a few slots among many customers round to zero. The lock must be held.
func (q *serviceQueue) updateCap(now time.Time, customer string) {
	if q.gate.Shares == nil {
		return
	}
	most := 0
	if slots, limited := q.gate.Shares.CustomerSlots(q.service, customer); limited {
		most = max(1, slots)
	}
	if actions := q.policy.SetCap(now, customer, most); len(actions) > 0 {
		q.apply(now, actions)
	}
}

// updateCaps applies the assigned slots of all customers with requests. The lock must be held.
func (q *serviceQueue) updateCaps(now time.Time) {
	if q.gate.Shares == nil || len(q.waiters) == 0 {
		return
	}
	var names []string
	q.policy.Customers(func(c admission.CustomerLoad) { names = append(names, c.Customer) })
	for _, name := range names {
		q.updateCap(now, name)
	}
}

// apply carries out the policy's decisions. The lock must be held.
func (q *serviceQueue) apply(now time.Time, actions []admission.Action) {
	for _, a := range actions {
		w := q.waiters[a.ID]
		if w == nil {
			continue
		}
		delete(q.waiters, a.ID)
		if a.Kind == admission.Refuse {
			refusal := a
			if w.claim.returned && a.Reason == wire.ReasonDeadline {
				refusal.Reason = reasonFull
			}
			w.refused = &refusal
			q.countRefusal(w.claim.customer, refusal.Reason)
		} else {
			w.grant = grant{queue: q, id: w.id, class: w.claim.class, baselineCost: q.estimator.BaselineCost(w.claim.class, 0), at: now}
			q.metrics.wait.Update(now.Sub(w.since))
		}
		close(w.decided)
	}
	load := q.policy.Load()
	q.metrics.inFlight.Update(int64(load.Running))
	q.metrics.waiting.Update(int64(load.Queued))
	if load.Queued > 0 {
		q.resetTimer(now)
	}
	q.logPressure(now)
}

// resetTimer has tick called when the next request expires, or when a limit may have changed.
// The lock must be held.
func (q *serviceQueue) resetTimer(now time.Time) {
	delay := waitingRefreshInterval
	if at, ok := q.policy.NextExpiry(); ok {
		delay = min(delay, max(at.Sub(now), 0)+time.Millisecond)
	}
	if held := q.policy.HeldUntil(); held.After(now) {
		delay = min(delay, held.Sub(now))
	}
	q.timer.Reset(delay)
}
