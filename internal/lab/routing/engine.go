package routing

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/policy/limit"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// networkDelay is the one-way delay between entry and agent.
	networkDelay = time.Millisecond
	// preemptionDelay is the time from the order to stop a rollout until its slot is free.
	preemptionDelay = 10 * time.Millisecond
)

// request is a request with its state in the model.
type request struct {
	item      admission.Item
	class     string
	service   float64 // seconds that it holds a slot on an engine of speed 1
	startedAt time.Time
	remaining float64 // remaining service seconds; less than service after a preemption
	runs      int     // number of the current run; the end of a preempted run is ignored
	end       func(outcome wire.Outcome)
}

// engine is an endpoint with its queue.
type engine interface {
	offer(r *request)
	load() wire.Load
	drain()
	setSpeed(speed float64)
}

// fairEngine queues requests by the admission policy and the concurrency limit,
// connected as in the agent.
type fairEngine struct {
	clock      *clock
	queue      *admission.Queue
	limiter    *limit.Limiter
	estimate   *limit.Estimator
	requests   map[string]*request
	speed      float64
	onServed   func(r *request, held float64)
	onAccepted func(r *request)
}

func newFairEngine(c *clock, cfg admission.Config) *fairEngine {
	e := &fairEngine{
		clock:      c,
		queue:      admission.New(cfg),
		limiter:    limit.New(limit.Config{Max: cfg.Slots}),
		estimate:   limit.NewEstimator(),
		requests:   map[string]*request{},
		speed:      1,
		onServed:   func(*request, float64) {},
		onAccepted: func(*request) {},
	}
	c.every(5*time.Millisecond, func() { e.apply(e.queue.Tick(c.now)) })
	return e
}

func (e *fairEngine) setSpeed(speed float64) { e.speed = speed }

func (e *fairEngine) offer(r *request) {
	e.requests[r.item.ID] = r
	claimed := r.item.Cost
	item := r.item
	item.Cost = e.estimate.Cost(r.class, claimed)
	item.TailCost = e.estimate.TailCost(r.class, claimed)
	r.remaining = r.service
	e.apply(e.queue.Offer(e.clock.now, item))
	if e.requests[r.item.ID] != nil {
		e.onAccepted(r)
	}
}

func (e *fairEngine) drain() { e.apply(e.queue.Drain(e.clock.now)) }

func (e *fairEngine) load() wire.Load {
	l := e.queue.Load()
	return wire.Load{Running: l.Running, Queued: l.Queued, Slots: l.Slots, QueuedSeconds: l.QueuedSeconds, Leaving: l.Leaving}
}

func (e *fairEngine) apply(actions []admission.Action) {
	// The queue reuses its slice, and starting a request may call the queue again.
	actions = append([]admission.Action(nil), actions...)
	for _, a := range actions {
		r := e.requests[a.ID]
		switch a.Kind {
		case admission.Start:
			e.start(r)
		case admission.Preempt:
			e.clock.after(preemptionDelay, func() { e.preempted(r, r.runs) })
		case admission.Refuse:
			delete(e.requests, a.ID)
			r.end(wire.NotRun)
		}
	}
}

func (e *fairEngine) start(r *request) {
	r.runs++
	r.startedAt = e.clock.now
	run := r.runs
	e.clock.after(time.Duration(r.remaining/e.speed*float64(time.Second)), func() { e.finish(r, run) })
}

func (e *fairEngine) preempted(r *request, run int) {
	if r.runs != run || e.requests[r.item.ID] == nil {
		return
	}
	r.runs++
	held := e.clock.now.Sub(r.startedAt).Seconds()
	r.remaining = max(r.remaining-held*e.speed, 0)
	e.onServed(r, held)
	e.apply(e.queue.Preempted(e.clock.now, r.item.ID))
}

func (e *fairEngine) finish(r *request, run int) {
	if r.runs != run {
		return
	}
	held := e.clock.now.Sub(r.startedAt)
	delete(e.requests, r.item.ID)
	running := e.queue.Load().Running
	e.onServed(r, held.Seconds())
	e.apply(e.queue.Done(e.clock.now, r.item.ID))
	e.observe(r, held, running)
	r.end(wire.Answered)
}

func (e *fairEngine) observe(r *request, held time.Duration, running int) {
	if r.runs > 1 {
		return // after a preemption, the last run does not give the total time
	}
	if e.estimate.Known(r.class) {
		baseline := e.estimate.BaselineCost(r.class, r.item.Cost)
		e.adapt(limit.Sample{Latency: held, Cost: baseline, Running: running})
	}
	e.estimate.Observe(r.class, r.item.Cost, held.Seconds())
}

func (e *fairEngine) adapt(sample limit.Sample) {
	before := e.limiter.Limit()
	if after := e.limiter.Observe(e.clock.now, sample); after != before {
		e.apply(e.queue.SetSlots(e.clock.now, after))
	}
}

// fifoEngine is the baseline: a FIFO queue that refuses and preempts nothing.
type fifoEngine struct {
	clock    *clock
	slots    int
	running  int
	waiting  []*request
	speed    float64
	onServed func(r *request, held float64)
}

func newFIFOEngine(c *clock, slots int) *fifoEngine {
	return &fifoEngine{clock: c, slots: slots, speed: 1, onServed: func(*request, float64) {}}
}

func (e *fifoEngine) setSpeed(speed float64) { e.speed = speed }

func (e *fifoEngine) drain() {}

func (e *fifoEngine) offer(r *request) {
	e.waiting = append(e.waiting, r)
	e.startNext()
}

func (e *fifoEngine) load() wire.Load {
	return wire.Load{Running: e.running, Queued: len(e.waiting), Slots: e.slots}
}

func (e *fifoEngine) startNext() {
	for e.running < e.slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		held := r.service / e.speed
		e.clock.after(time.Duration(held*float64(time.Second)), func() {
			e.running--
			e.onServed(r, held)
			r.end(wire.Answered)
			e.startNext()
		})
	}
}
