package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/policy/limit"
	"siskinloom.example/siskinloom/internal/wire"
)

// ErrPreempted is the cancellation cause of a rollout's context if a caller's
// request needs its slot.
var ErrPreempted = errors.New("agent: preempted")

const (
	defaultSlots      = 16
	defaultQueueLimit = 1000
)

// Queue holds all requests for this agent's endpoint until they may run. One lock
// protects the whole queue. It is safe for concurrent use.
type Queue struct {
	service string
	metrics *queueMetrics

	mu        sync.Mutex
	policy    *admission.Queue
	limiter   *limit.Limiter
	estimator *limit.Estimator
	waiters   map[string]*waiter
	timer     *time.Timer
	drained   chan struct{} // closed once draining and empty
	draining  bool
}

// waiter is the request behind an item of the admission policy.
type waiter struct {
	parent       context.Context
	events       chan struct{} // signalled once per decision on the request
	runCtx       context.Context
	cancel       context.CancelCauseFunc
	refused      *wire.Answer
	baselineCost float64 // seconds it holds a slot if the endpoint is not slow
	startedAt    time.Time
	runs         int
}

// NewQueue returns the queue of an endpoint of the service. It uses default
// sizes until Configure sets the declared ones.
func NewQueue(service string, registry metrics.Registry) *Queue {
	q := &Queue{
		service:   service,
		policy:    admission.New(admission.Config{Slots: defaultSlots, QueueLimit: defaultQueueLimit}),
		limiter:   limit.New(limit.Config{Max: defaultSlots}),
		estimator: limit.NewEstimator(),
		waiters:   map[string]*waiter{},
		drained:   make(chan struct{}),
	}
	q.metrics = newQueueMetrics(registry, q)
	q.timer = time.AfterFunc(time.Hour, q.tick)
	return q
}

// Configure applies the deployment's slots, queue limit, weights and rates.
// Requests that are already waiting keep waiting.
func (q *Queue) Configure(d decl.Deployment) {
	cfg := queueConfig(d, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Configure(limit.Config{Max: cfg.Slots})
	q.apply(q.policy.Configure(time.Now(), cfg))
	q.apply(q.policy.SetSlots(time.Now(), q.limiter.Limit()))
}

// SetAgentCount sets the number of the service's agents over which an entry
// spreads its requests. Callers' rate limits are divided by it.
func (q *Queue) SetAgentCount(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.SetAgentCount(time.Now(), n)
}

// Run waits for a slot and calls run, or returns NotRun immediately if the
// request can't be served in time.
//
// The context passed to run ends with the request's own context, or with the
// cause ErrPreempted. A rollout that stops for that cause must return
// ReasonCancelled, unless it was answered anyway. It is then queued again, and
// run is called again and resumes where it stopped.
func (q *Queue) Run(ctx context.Context, req wire.Request, run func(ctx context.Context) wire.Answer) wire.Answer {
	w := &waiter{parent: ctx, events: make(chan struct{}, 1)}
	q.enqueue(req, w)
	for {
		select {
		case <-w.events:
		case <-ctx.Done():
			if answer, left := q.abandon(ctx, req.ID, w); left {
				return answer
			}
			<-w.events
		}
		if w.refused != nil {
			return *w.refused
		}
		answer := run(w.runCtx)
		preempted := context.Cause(w.runCtx) == ErrPreempted && answer.Reason == wire.ReasonCancelled
		w.cancel(nil)
		if !q.finish(req, w, answer, preempted) {
			answer.Load = q.Load()
			return answer
		}
	}
}

// Load returns the endpoint's load for replies and heartbeats.
func (q *Queue) Load() wire.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.load()
}

func (q *Queue) load() wire.Load {
	l := q.policy.Load()
	return wire.Load{
		Running:       l.Running,
		Queued:        l.Queued,
		Rollouts:      l.Rollouts,
		Slots:         l.Slots,
		QueuedSeconds: l.QueuedSeconds,
		Leaving:       l.Leaving,
	}
}

// Drain starts the graceful stop: new requests are refused with ReasonLeaving.
// The returned channel is closed once everything accepted before has been
// answered.
func (q *Queue) Drain() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.draining {
		q.draining = true
		q.apply(q.policy.Drain(time.Now()))
	}
	return q.drained
}

// enqueue offers a request to the admission policy.
func (q *Queue) enqueue(req wire.Request, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	item := admission.Item{
		ID:        req.ID,
		Principal: req.Principal,
		Priority:  req.Priority,
		Cost:      q.estimator.Cost(req.Class, req.Cost),
		TailCost:  q.estimator.TailCost(req.Class, req.Cost),
		Rollout:   req.Rollout,
		Suspect:   req.Suspect,
	}
	if req.Remaining > 0 {
		item.Deadline = now.Add(req.Remaining)
	}
	w.baselineCost = q.estimator.BaselineCost(req.Class, req.Cost)
	if _, taken := q.waiters[req.ID]; taken {
		// The outcome is not NotRun, since the request with this ID may be running.
		w.refused = &wire.Answer{ID: req.ID, Outcome: wire.Unknown, Reason: wire.ReasonDuplicate, Load: q.load()}
		w.events <- struct{}{}
		return
	}
	q.waiters[req.ID] = w
	q.apply(q.policy.Offer(now, item))
}

// finish records the end of a run. It returns true if the request is queued for
// another run.
func (q *Queue) finish(req wire.Request, w *waiter, answer wire.Answer, preempted bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if preempted {
		q.apply(q.policy.Preempted(now, req.ID))
		return true
	}
	latency := now.Sub(w.startedAt)
	delete(q.waiters, req.ID)
	running := q.policy.Load().Running
	q.apply(q.policy.Done(now, req.ID))
	q.observe(now, req, w, latency, running, answer)
	return false
}

// observe updates the estimates and the slot limit from a completed run.
func (q *Queue) observe(now time.Time, req wire.Request, w *waiter, latency time.Duration, running int, answer wire.Answer) {
	if answer.Reason == wire.ReasonCancelled || w.runs > 1 {
		return // the duration of a partial run says nothing about the endpoint
	}
	failed := answer.Outcome != wire.Answered || answer.Status == 429 || answer.Status == 503
	if q.estimator.Known(req.Class) {
		q.adaptLimit(now, limit.Sample{Latency: latency, Cost: w.baselineCost, Running: running, Failed: failed})
	}
	if !failed {
		q.estimator.Observe(req.Class, req.Cost, latency.Seconds())
	}
}

func (q *Queue) adaptLimit(now time.Time, sample limit.Sample) {
	before := q.limiter.Limit()
	if after := q.limiter.Observe(now, sample); after != before {
		q.apply(q.policy.SetSlots(now, after))
	}
}

// abandon removes a waiting request whose caller gave up from the queue. It
// returns false if the request was decided on concurrently.
func (q *Queue) abandon(ctx context.Context, id string, w *waiter) (wire.Answer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	removed, started, actions := q.policy.Cancel(time.Now(), id)
	q.apply(actions)
	if !removed {
		return wire.Answer{}, false
	}
	delete(q.waiters, id)
	q.checkDrained()
	answer := wire.Answer{ID: id, Outcome: wire.NotRun, Reason: wire.ReasonCancelled, Load: q.load()}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		answer.Reason = wire.ReasonDeadline
	}
	if started {
		answer.Outcome = wire.Unknown
	}
	return answer, true
}

func (q *Queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.policy.Tick(time.Now()))
}

// apply carries out the policy's decisions. The lock must be held.
func (q *Queue) apply(actions []admission.Action) {
	for _, a := range actions {
		q.metrics.count(a)
		w := q.waiters[a.ID]
		if w == nil {
			continue
		}
		switch a.Kind {
		case admission.Start:
			w.runCtx, w.cancel = context.WithCancelCause(w.parent)
			w.startedAt = time.Now()
			w.runs++
			w.events <- struct{}{}
		case admission.Preempt:
			w.cancel(ErrPreempted)
		case admission.Refuse:
			w.refused = q.refusal(a)
			delete(q.waiters, a.ID)
			w.events <- struct{}{}
		}
	}
	q.resetTimer()
	q.checkDrained()
}

func (q *Queue) refusal(a admission.Action) *wire.Answer {
	answer := &wire.Answer{
		ID:         a.ID,
		Outcome:    wire.NotRun,
		Reason:     a.Reason,
		RetryAfter: a.RetryAfter,
		Load:       q.load(),
	}
	if a.Started {
		answer.Outcome = wire.Unknown
	}
	return answer
}

// resetTimer sets the timer to the policy's next expiry. The lock must be held.
func (q *Queue) resetTimer() {
	if at, ok := q.policy.NextExpiry(); ok {
		q.timer.Reset(max(time.Until(at), 0) + time.Millisecond)
	}
}

// checkDrained closes drained if the queue is draining and empty. The lock must
// be held.
func (q *Queue) checkDrained() {
	if !q.draining || len(q.waiters) > 0 {
		return
	}
	select {
	case <-q.drained:
	default:
		close(q.drained)
	}
}

func queueConfig(d decl.Deployment, service string) admission.Config {
	cfg := admission.Config{
		Slots:      defaultSlots,
		QueueLimit: defaultQueueLimit,
		Weights:    map[wire.Principal]float64{},
		Rates:      map[wire.Principal]admission.Rate{},
	}
	for _, s := range d.Services {
		if s.Name == service {
			cfg.Slots = orDefault(s.Slots, defaultSlots)
			cfg.QueueLimit = orDefault(s.QueueLimit, defaultQueueLimit)
		}
	}
	for _, b := range d.Businesses {
		cfg.Weights[wire.Principal{Business: b.Name}] = b.Weight
	}
	businessOf := map[string]string{}
	for _, a := range d.Agencies {
		businessOf[a.Name] = a.Business
		cfg.Weights[wire.Principal{Business: a.Business, Agency: a.Name}] = a.Weight
	}
	for _, f := range d.Feeds {
		cfg.Weights[wire.FeedPrincipal(f.Business, f.Name)] = f.Share
	}
	for _, c := range d.Callers {
		p := wire.Principal{Business: businessOf[c.Agency], Agency: c.Agency, Caller: c.Name}
		cfg.Weights[p] = c.Weight
		cfg.Rates[p] = admission.Rate{PerSecond: c.RateLimit, Burst: c.Burst}
	}
	return cfg
}

func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
