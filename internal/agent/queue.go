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

// ErrPreempted is the cause with which a rollout's context is cancelled when a
// caller's request needs its slot.
var ErrPreempted = errors.New("agent: preempted")

const (
	defaultSlots      = 16
	defaultQueueLimit = 1000
)

// Queue is where all requests for this agent's endpoint wait their turn. It is
// safe for concurrent use; one endpoint is one shard with one lock.
type Queue struct {
	service string
	metrics *queueMetrics

	mu       sync.Mutex
	policy   *admission.Queue
	limiter  *limit.Limiter
	estimate *limit.Estimator
	waiters  map[string]*waiter
	timer    *time.Timer
	idle     chan struct{} // closed once draining and empty
	draining bool
}

// waiter is the request behind an item of the policy.
type waiter struct {
	parent  context.Context
	events  chan struct{} // signalled once per decision on the request
	run     context.Context
	cancel  context.CancelCauseFunc
	refused *wire.Answer
	usual   float64 // seconds it would hold a slot in the endpoint's usual state
	since   time.Time
	runs    int
}

// NewQueue returns the queue of an endpoint of the service, with default sizes
// until Configure brings the declared ones.
func NewQueue(service string, registry metrics.Registry) *Queue {
	q := &Queue{
		service:  service,
		policy:   admission.New(admission.Config{Slots: defaultSlots, QueueLimit: defaultQueueLimit}),
		limiter:  limit.New(limit.Config{Max: defaultSlots}),
		estimate: limit.NewEstimator(),
		waiters:  map[string]*waiter{},
		idle:     make(chan struct{}),
	}
	q.metrics = newQueueMetrics(registry, q)
	q.timer = time.AfterFunc(time.Hour, q.tick)
	return q
}

// Configure puts the deployment's slots, queue limit, weights and rates in
// force. Waiting requests keep waiting.
func (q *Queue) Configure(d decl.Deployment) {
	cfg := queueConfig(d, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Configure(limit.Config{Max: cfg.Slots})
	q.apply(q.policy.Configure(time.Now(), cfg))
	q.apply(q.policy.SetSlots(time.Now(), q.limiter.Limit()))
}

// SetAgentCount tells over how many agents of the service an entry spreads its
// requests; callers' rate limits are divided by it.
func (q *Queue) SetAgentCount(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.SetAgentCount(time.Now(), n)
}

// Run waits until it is the request's turn and calls run, or answers NotRun at
// once if the request cannot be served in time.
//
// run's context ends with the request's own context, or with cause
// ErrPreempted. A rollout stopped for that cause must answer with
// ReasonCancelled, unless it was answered all the same; it then waits again,
// and run is called again and resumes where it stopped.
func (q *Queue) Run(ctx context.Context, req wire.Request, run func(ctx context.Context) wire.Answer) wire.Answer {
	w := &waiter{parent: ctx, events: make(chan struct{}, 1)}
	q.offer(req, w)
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
		answer := run(w.run)
		preempted := context.Cause(w.run) == ErrPreempted && answer.Reason == wire.ReasonCancelled
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

// Drain begins the graceful stop: from now on requests are refused as leaving.
// The channel is closed once everything taken before was answered.
func (q *Queue) Drain() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.draining {
		q.draining = true
		q.apply(q.policy.Drain(time.Now()))
	}
	return q.idle
}

func (q *Queue) offer(req wire.Request, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	item := admission.Item{
		ID:        req.ID,
		Principal: req.Principal,
		Priority:  req.Priority,
		Cost:      q.estimate.Cost(req.Class, req.Cost),
		TailCost:  q.estimate.TailCost(req.Class, req.Cost),
		Rollout:   req.Rollout,
		Suspect:   req.Suspect,
	}
	if req.Remaining > 0 {
		item.Deadline = now.Add(req.Remaining)
	}
	w.usual = q.estimate.BaselineCost(req.Class, req.Cost)
	if _, taken := q.waiters[req.ID]; taken {
		// Not "not run": the request under this id may be running.
		w.refused = &wire.Answer{ID: req.ID, Outcome: wire.Unknown, Reason: wire.ReasonDuplicate, Load: q.load()}
		w.events <- struct{}{}
		return
	}
	q.waiters[req.ID] = w
	q.apply(q.policy.Offer(now, item))
}

// finish reports the end of a run; it returns true if the request waits for
// another one.
func (q *Queue) finish(req wire.Request, w *waiter, answer wire.Answer, preempted bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if preempted {
		q.apply(q.policy.Preempted(now, req.ID))
		return true
	}
	took := now.Sub(w.since)
	delete(q.waiters, req.ID)
	running := q.policy.Load().Running
	q.apply(q.policy.Done(now, req.ID))
	q.learn(now, req, w, took, running, answer)
	return false
}

func (q *Queue) learn(now time.Time, req wire.Request, w *waiter, took time.Duration, running int, answer wire.Answer) {
	if answer.Reason == wire.ReasonCancelled || w.runs > 1 {
		return // the time of a part says nothing about the endpoint
	}
	failed := answer.Outcome != wire.Answered || answer.Status == 429 || answer.Status == 503
	if q.estimate.Known(req.Class) {
		q.adapt(now, limit.Sample{Latency: took, Cost: w.usual, Running: running, Failed: failed})
	}
	if !failed {
		q.estimate.Observe(req.Class, req.Cost, took.Seconds())
	}
}

func (q *Queue) adapt(now time.Time, sample limit.Sample) {
	before := q.limiter.Limit()
	if after := q.limiter.Observe(now, sample); after != before {
		q.apply(q.policy.SetSlots(now, after))
	}
}

// abandon takes a waiting request whose caller gave up out of the queue; false
// if it was decided on at the same moment.
func (q *Queue) abandon(ctx context.Context, id string, w *waiter) (wire.Answer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	removed, started, actions := q.policy.Cancel(time.Now(), id)
	q.apply(actions)
	if !removed {
		return wire.Answer{}, false
	}
	delete(q.waiters, id)
	q.checkIdle()
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

// apply carries out the policy's decisions. It is called with the lock held.
func (q *Queue) apply(actions []admission.Action) {
	for _, a := range actions {
		q.metrics.count(a)
		w := q.waiters[a.ID]
		if w == nil {
			continue
		}
		switch a.Kind {
		case admission.Start:
			w.run, w.cancel = context.WithCancelCause(w.parent)
			w.since = time.Now()
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
	q.schedule()
	q.checkIdle()
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

func (q *Queue) schedule() {
	if at, some := q.policy.NextExpiry(); some {
		q.timer.Reset(max(time.Until(at), 0) + time.Millisecond)
	}
}

func (q *Queue) checkIdle() {
	if !q.draining || len(q.waiters) > 0 {
		return
	}
	select {
	case <-q.idle:
	default:
		close(q.idle)
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
