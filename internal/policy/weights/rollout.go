package weights

import (
	"sort"
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Config sets a rollout's pace. Start from DefaultConfig.
type Config struct {
	Duty          string
	Epoch         int64
	CapacityFloor float64 // share of engines that serve at every moment, 0..1
	Distribution  Distribution

	PollInterval    time.Duration // between questions to an engine whose state is open
	RecheckInterval time.Duration // between questions to an engine whose state is known
	PrepareTimeout  time.Duration
	LoadTimeout     time.Duration // together with TargetAge at most MaxOrder
	MaxTargetAge    time.Duration // of a status reply whose target may still be used
	MaxLoadFailures int           // loads in a row before an engine is set aside
	FailureCooldown time.Duration // how long it stays so
	DownGracePeriod time.Duration // an engine down for longer no longer counts as capacity to keep
}

// DefaultConfig returns the pace used unless something speaks against it.
func DefaultConfig() Config {
	return Config{
		Distribution:    Distribution{Stripes: 4, RootsPerStripe: 1},
		PollInterval:    250 * time.Millisecond,
		RecheckInterval: 5 * time.Second,
		PrepareTimeout:  time.Minute,
		LoadTimeout:     8 * time.Second,
		MaxTargetAge:    time.Second,
		MaxLoadFailures: 3,
		FailureCooldown: 30 * time.Second,
		DownGracePeriod: 10 * time.Second,
	}
}

// Member is one engine as the owner's directory has it.
type Member struct {
	ID      string // instance id of its agent
	Address string // of its agent
	Domain  string // failure domain
	Serving bool   // its agent and the engine answer
	Leaving bool
}

// EngineOrder is an order to give to an engine's agent. Each must end in Reply.
type EngineOrder struct {
	Engine string
	Order  wire.Order
}

// Rollout is the duty owner's side: it brings every engine of a service to the
// newest version announced for each key, and keeps enough of them serving.
type Rollout struct {
	config  Config
	engines map[string]*engine
	ids     []string // of engines, sorted
	targets map[Key]int64
	keys    []Key // of targets, in the order announced
	plans   map[Key]plan
	roles   []Role
	orders  int64 // given so far
	deposed bool
}

// NewRollout returns the rollout of an owner that has just taken the duty. It
// takes nothing over from its predecessor: an engine counts as serving only once
// its agent has answered under the new epoch, and so refuses the old one.
func NewRollout(c Config) *Rollout {
	return &Rollout{
		config:  c,
		engines: map[string]*engine{},
		targets: map[Key]int64{},
		plans:   map[Key]plan{},
	}
}

// Deposed tells whether an agent has heard of a higher epoch. The rollout gives
// no further order.
func (r *Rollout) Deposed() bool { return r.deposed }

// SetCapacityFloor changes the declared capacity floor.
func (r *Rollout) SetCapacityFloor(floor float64) { r.config.CapacityFloor = floor }

// SetTarget notes an announced version. A lower one than known is ignored.
func (r *Rollout) SetTarget(key Key, version int64) {
	known, ok := r.targets[key]
	if version <= known {
		return
	}
	if !ok {
		r.keys = append(r.keys, key)
	}
	r.targets[key] = version
	for _, e := range r.engines {
		e.track(key).renew()
	}
}

// SetMembers replaces the list of engines.
func (r *Rollout) SetMembers(all []Member, now time.Time) {
	listed := map[string]bool{}
	for _, m := range all {
		listed[m.ID] = true
		e, ok := r.engines[m.ID]
		if !ok {
			e = newEngine()
			r.engines[m.ID] = e
		}
		e.update(m, now)
	}
	r.ids = r.ids[:0]
	for id := range r.engines {
		if listed[id] {
			r.ids = append(r.ids, id)
		} else {
			delete(r.engines, id)
		}
	}
	sort.Strings(r.ids)
}

// Step returns the orders due now.
func (r *Rollout) Step(now time.Time) []EngineOrder {
	if r.deposed {
		return nil
	}
	r.assign()
	var out []EngineOrder
	for _, id := range r.ids {
		e := r.engines[id]
		for _, key := range r.keys {
			out = r.ask(out, e, key, now)
			out = r.prepare(out, e, key, now)
		}
	}
	return r.wave(out, now)
}

func (r *Rollout) order(key Key, kind wire.OrderKind, remaining time.Duration) wire.Order {
	r.orders++
	return wire.Order{
		ID:        r.config.Duty + "/" + strconv.FormatInt(r.config.Epoch, 10) + "/" + strconv.FormatInt(r.orders, 10),
		Fence:     wire.Fence{Duty: r.config.Duty, Epoch: r.config.Epoch},
		Sequence:  r.orders,
		Kind:      kind,
		Model:     key.Model,
		Adapter:   key.Adapter,
		Remaining: remaining,
	}
}

// ask asks for an engine's state when it is open or was last heard long ago.
func (r *Rollout) ask(out []EngineOrder, e *engine, key Key, now time.Time) []EngineOrder {
	t := e.track(key)
	given := e.load != nil && e.load.order != 0 && !e.load.open
	if t.asking != 0 || given || now.Before(t.askAt) {
		return out
	}
	o := r.order(key, wire.OrderStatus, r.config.LoadTimeout)
	t.asking = o.Sequence
	t.askedAt = now
	return append(out, EngineOrder{Engine: e.ID, Order: o})
}

// prepare has an engine's agent fetch the newest version, also while it still
// waits to load an earlier one: preparing takes no capacity.
func (r *Rollout) prepare(out []EngineOrder, e *engine, key Key, now time.Time) []EngineOrder {
	t := e.track(key)
	version := r.targets[key]
	due := t.known && !e.Leaving && t.preparing == 0 && !now.Before(t.prepareAt)
	if !due || t.version >= version || t.prepared >= version {
		return out
	}
	o := r.order(key, wire.OrderPrepare, r.config.PrepareTimeout)
	o.Version = version
	o.Sources = r.sources(e, key, t.attempts)
	t.preparing = o.Sequence
	return append(out, EngineOrder{Engine: e.ID, Order: o})
}

// HandleReply feeds back what became of an order. Delivered false means that no answer
// came, so that the agent may or may not have acted.
func (r *Rollout) HandleReply(id string, o wire.Order, reply wire.OrderReply, delivered bool, now time.Time) {
	if delivered && reply.Reason == wire.ReasonStaleEpoch {
		r.deposed = true
		return
	}
	e, ok := r.engines[id]
	if !ok {
		return
	}
	key := Key{Model: o.Model, Adapter: o.Adapter}
	t := e.track(key)
	if key == RoleKey {
		reply = e.roleReply(o, reply, delivered)
	}
	switch {
	case o.Kind == wire.OrderStatus && t.asking == o.Sequence:
		r.replyStatus(e, t, o, reply, delivered, now)
	case o.Kind == wire.OrderPrepare && t.preparing == o.Sequence:
		r.replyPrepare(t, o, reply, delivered, now)
	case o.Kind == key.LoadKind() && e.load != nil && e.load.order == o.Sequence:
		r.replyLoad(e, t, o, reply, delivered, now)
	}
}

func (r *Rollout) replyStatus(e *engine, t *track, o wire.Order, reply wire.OrderReply, delivered bool, now time.Time) {
	t.asking = 0
	if !delivered || reply.Outcome != wire.Answered {
		t.known = false
		t.askAt = now.Add(r.config.PollInterval)
		return
	}
	t.known = true
	t.version = reply.Version
	t.target = reply.Target
	t.targetAt = t.askedAt
	t.askAt = now.Add(r.config.RecheckInterval)
	if e.load == nil || !e.load.open || e.load.key != t.key || o.Sequence < e.load.order {
		return
	}
	// The agent is settled and refuses loads given before this question, so the
	// load whose end was not known has ended, or will never begin.
	done := t.version >= e.load.version
	e.load = nil
	if !done {
		t.fail(r.config, now)
	}
}

func (r *Rollout) replyPrepare(t *track, o wire.Order, reply wire.OrderReply, delivered bool, now time.Time) {
	t.preparing = 0
	if delivered && reply.Outcome == wire.Answered {
		t.prepared = max(t.prepared, o.Version)
		t.attempts = 0
		return
	}
	t.attempts++
	t.prepareAt = now.Add(r.config.PollInterval)
}

func (r *Rollout) replyLoad(e *engine, t *track, o wire.Order, reply wire.OrderReply, delivered bool, now time.Time) {
	switch {
	case !delivered || reply.Outcome == wire.Unknown || reply.Outcome == wire.Running:
		e.load.open = true
		t.lose(now.Add(r.config.PollInterval))
		return
	case reply.Outcome == wire.Answered:
		t.known = true
		t.version = reply.Version
		t.failures = 0
	case reply.Reason == wire.ReasonLoadFailed:
		// An agent that started anew may no longer hold the version; one that
		// does prepares it at once.
		t.prepared = 0
		t.fail(r.config, now)
		t.askAt = now
	case reply.Reason == wire.ReasonOldVersion:
		t.prepared = 0
		t.lose(now)
	default:
		t.lose(now.Add(r.config.PollInterval))
	}
	e.load = nil
}
