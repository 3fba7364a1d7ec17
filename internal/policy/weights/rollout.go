package weights

import (
	"sort"
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Config holds the settings of a rollout. Start from DefaultConfig.
type Config struct {
	Duty          string
	Epoch         int64
	CapacityFloor float64 // minimum share of engines that serve at any time, 0 to 1
	Distribution  Distribution

	PollInterval    time.Duration // between status orders to an engine whose state is unknown, and after failures
	RecheckInterval time.Duration // between status orders to an engine whose state is known
	PrepareTimeout  time.Duration
	LoadTimeout     time.Duration // together with MaxTargetAge at most MaxOrderTimeout
	MaxTargetAge    time.Duration // maximum age of a status reply whose target is used in a load order
	MaxLoadFailures int           // consecutive failed loads of an engine after which it waits for FailureCooldown
	FailureCooldown time.Duration // how long no load is ordered after MaxLoadFailures
	DownGracePeriod time.Duration // an engine that is down for longer no longer counts towards the total for the capacity floor
}

// DefaultConfig returns the default settings. It leaves Duty, Epoch and CapacityFloor zero.
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

// Member is an engine as listed in the owner's directory.
type Member struct {
	ID      string // instance ID of its agent
	Address string // of its agent
	Domain  string // failure domain
	Serving bool   // its agent and the engine respond
	Leaving bool
}

// EngineOrder is an order to send to the agent of an engine. Its outcome must be passed to
// HandleReply.
type EngineOrder struct {
	Engine string
	Order  wire.Order
}

// Rollout runs at the holder of the weights duty. It brings every engine of a service to
// the newest announced version of each key, and keeps enough engines serving meanwhile.
type Rollout struct {
	config       Config
	engines      map[string]*engine
	ids          []string // of engines, sorted
	targets      map[Key]int64
	keys         []Key        // of targets, in the order announced
	plans        map[Key]plan // of the newest version of each key
	roles        []Role
	lastSequence int64 // of the orders issued so far
	deposed      bool
}

// NewRollout returns the rollout of an owner that has just acquired the duty. It inherits no
// state from its predecessor. An engine counts as serving only after its agent has answered
// an order of the new epoch; from then on the agent refuses orders of older epochs.
func NewRollout(c Config) *Rollout {
	return &Rollout{
		config:  c,
		engines: map[string]*engine{},
		targets: map[Key]int64{},
		plans:   map[Key]plan{},
	}
}

// Deposed reports whether an agent has refused an order because it knows a higher epoch.
// The rollout then issues no further orders.
func (r *Rollout) Deposed() bool { return r.deposed }

// SetCapacityFloor sets the declared capacity floor.
func (r *Rollout) SetCapacityFloor(floor float64) { r.config.CapacityFloor = floor }

// SetTarget records an announced version. It ignores a version that is not newer than the
// recorded one.
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
		e.state(key).resetBackoff()
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
	r.assignRoles()
	var out []EngineOrder
	for _, id := range r.ids {
		e := r.engines[id]
		for _, key := range r.keys {
			out = r.requestStatus(out, e, key, now)
			out = r.prepare(out, e, key, now)
		}
	}
	return r.startLoads(out, now)
}

// newOrder returns an order with the next sequence number.
func (r *Rollout) newOrder(key Key, kind wire.OrderKind, remaining time.Duration) wire.Order {
	r.lastSequence++
	return wire.Order{
		ID:        r.config.Duty + "/" + strconv.FormatInt(r.config.Epoch, 10) + "/" + strconv.FormatInt(r.lastSequence, 10),
		Fence:     wire.Fence{Duty: r.config.Duty, Epoch: r.config.Epoch},
		Sequence:  r.lastSequence,
		Kind:      kind,
		Model:     key.Model,
		Adapter:   key.Adapter,
		Remaining: remaining,
	}
}

// requestStatus adds a status order if the state of a key at the engine is unknown or the
// last status reply is old. It adds none while a load order awaits its reply.
func (r *Rollout) requestStatus(out []EngineOrder, e *engine, key Key, now time.Time) []EngineOrder {
	s := e.state(key)
	loading := e.load != nil && e.load.sequence != 0 && !e.load.outcomeUnknown
	if s.statusSequence != 0 || loading || now.Before(s.nextStatusAt) {
		return out
	}
	o := r.newOrder(key, wire.OrderStatus, r.config.LoadTimeout)
	s.statusSequence = o.Sequence
	s.statusSentAt = now
	return append(out, EngineOrder{Engine: e.ID, Order: o})
}

// prepare adds an order for the engine's agent to fetch the newest version, even if the
// engine still waits to load an earlier one. A fetch does not affect serving capacity.
func (r *Rollout) prepare(out []EngineOrder, e *engine, key Key, now time.Time) []EngineOrder {
	s := e.state(key)
	version := r.targets[key]
	due := s.known && !e.Leaving && s.prepareSequence == 0 && !now.Before(s.nextPrepareAt)
	if !due || s.version >= version || s.prepared >= version {
		return out
	}
	o := r.newOrder(key, wire.OrderPrepare, r.config.PrepareTimeout)
	o.Version = version
	o.Sources = r.sources(e, key, s.prepareFailures)
	s.prepareSequence = o.Sequence
	return append(out, EngineOrder{Engine: e.ID, Order: o})
}

// HandleReply records the outcome of an order. delivered is false if no reply arrived, in
// which case the agent may or may not have executed the order.
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
	s := e.state(key)
	if key == RoleKey {
		reply = e.applyRoleReply(o, reply, delivered)
	}
	switch {
	case o.Kind == wire.OrderStatus && s.statusSequence == o.Sequence:
		r.replyStatus(e, s, o, reply, delivered, now)
	case o.Kind == wire.OrderPrepare && s.prepareSequence == o.Sequence:
		r.replyPrepare(s, o, reply, delivered, now)
	case o.Kind == key.LoadKind() && e.load != nil && e.load.sequence == o.Sequence:
		r.replyLoad(e, s, o, reply, delivered, now)
	}
}

func (r *Rollout) replyStatus(e *engine, s *keyState, o wire.Order, reply wire.OrderReply, delivered bool, now time.Time) {
	s.statusSequence = 0
	if !delivered || reply.Outcome != wire.Answered {
		s.known = false
		s.nextStatusAt = now.Add(r.config.PollInterval)
		return
	}
	s.known = true
	s.version = reply.Version
	s.target = reply.Target
	s.targetAt = s.statusSentAt
	s.nextStatusAt = now.Add(r.config.RecheckInterval)
	if e.load == nil || !e.load.outcomeUnknown || e.load.key != s.key || o.Sequence < e.load.sequence {
		return
	}
	// The agent knows the engine's state and refuses loads issued before this status
	// order. So the load of unknown outcome has ended or will never begin.
	done := s.version >= e.load.version
	e.load = nil
	if !done {
		s.recordLoadFailure(r.config, now)
	}
}

func (r *Rollout) replyPrepare(s *keyState, o wire.Order, reply wire.OrderReply, delivered bool, now time.Time) {
	s.prepareSequence = 0
	if delivered && reply.Outcome == wire.Answered {
		s.prepared = max(s.prepared, o.Version)
		s.prepareFailures = 0
		return
	}
	s.prepareFailures++
	s.nextPrepareAt = now.Add(r.config.PollInterval)
}

func (r *Rollout) replyLoad(e *engine, s *keyState, o wire.Order, reply wire.OrderReply, delivered bool, now time.Time) {
	switch {
	case !delivered || reply.Outcome == wire.Unknown || reply.Outcome == wire.Running:
		e.load.outcomeUnknown = true
		s.markUnknown(now.Add(r.config.PollInterval))
		return
	case reply.Outcome == wire.Answered:
		s.known = true
		s.version = reply.Version
		s.loadFailures = 0
	case reply.Reason == wire.ReasonLoadFailed:
		// A restarted agent may have lost the fetched version. An agent that still has
		// it answers the next prepare order at once.
		s.prepared = 0
		s.recordLoadFailure(r.config, now)
		s.nextStatusAt = now
	case reply.Reason == wire.ReasonOldVersion:
		s.prepared = 0
		s.markUnknown(now)
	default:
		s.markUnknown(now.Add(r.config.PollInterval))
	}
	e.load = nil
}
