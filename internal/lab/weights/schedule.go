package weights

import (
	"math/rand/v2"
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// Times of a schedule. They are about a fifth of those of the product, so that
// faults often coincide.
const (
	maxOrderTimeout   = 2 * time.Second
	ownerPollInterval = 200 * time.Millisecond
	reportInterval    = 500 * time.Millisecond
	rpcTimeout        = 2 * time.Second
	minSilenceTimeout = 500 * time.Millisecond // shortest time after which an owner gives up a silent connection
	minLoadTime       = 50 * time.Millisecond
	maxLoadTime       = 2 * time.Second
	faultPeriod       = 15 * time.Second
	scheduleTimeout   = 60 * time.Second
	firstEpoch        = 1
	firstVersion      = 1
)

// DisabledSafeguards selects safeguards that a schedule runs without, to show that
// the checks detect the violations that follow.
type DisabledSafeguards struct {
	OrderFilter        bool // agents pass every load to the engine on arrival
	StartupWait        bool // a new agent does not wait until its predecessor's orders have expired
	TargetAge          bool // an agent accepts orders whatever the age of their target
	StatusInvalidation bool // a status order does not invalidate the loads issued before it
}

// Violations counts violations of the invariants.
type Violations struct {
	Reverts      int // loads that lowered an engine's version
	TwoEffective int // loads that took effect after one with a higher epoch
	FloorBreaks  int // loads that began with too few engines left serving for the capacity floor
	Unfinished   int // engines without the last version at the end; one more if the roles don't match
}

func (v *Violations) add(o Violations) {
	v.Reverts += o.Reverts
	v.TwoEffective += o.TwoEffective
	v.FloorBreaks += o.FloorBreaks
	v.Unfinished += o.Unfinished
}

// FaultCounts counts the faults of schedules.
type FaultCounts struct {
	Takeovers      int // owners that crashed or were paused and replaced
	ReplacedAgents int
	AgentPauses    int
	LostAnswers    int
	FailedLoads    int
	Versions       int // announced after the first one
	RoleChanges    int // declarations of roles
	NoFencing      int // engines that ignore fencing tokens
}

func (f *FaultCounts) add(o FaultCounts) {
	f.Takeovers += o.Takeovers
	f.ReplacedAgents += o.ReplacedAgents
	f.AgentPauses += o.AgentPauses
	f.LostAnswers += o.LostAnswers
	f.FailedLoads += o.FailedLoads
	f.Versions += o.Versions
	f.RoleChanges += o.RoleChanges
	f.NoFencing += o.NoFencing
}

// world simulates one schedule: a small service with its owners, agents and engines.
type world struct {
	clock      *timeline.Timeline
	rng        *rand.Rand
	disabled   DisabledSafeguards
	startedAt  time.Time
	floor      float64
	engines    []*engine
	owners     []*owner
	target     int64          // newest version, as recorded in the key-value service
	roles      []weights.Role // declared roles; nil if none
	violations Violations
	faults     FaultCounts
}

// RunSchedule simulates the schedule of a seed.
func RunSchedule(seed uint64, disabled DisabledSafeguards) (Violations, FaultCounts) {
	return newWorld(seed, disabled).run()
}

// RunRoleSchedule simulates the schedule of a seed with roles, which also change
// during the schedule.
func RunRoleSchedule(seed uint64, disabled DisabledSafeguards) (Violations, FaultCounts) {
	w := newWorld(seed, disabled)
	w.declareRoles()
	w.scheduleFault(2*time.Second, 6*time.Second, w.declareRoles)
	return w.run()
}

func newWorld(seed uint64, disabled DisabledSafeguards) *world {
	w := &world{
		clock:    timeline.New(),
		rng:      rand.New(rand.NewPCG(seed, 7)),
		disabled: disabled,
		target:   firstVersion + 1,
	}
	w.startedAt = w.clock.Now()
	w.floor = []float64{0.5, 0.6, 0.75}[w.rng.IntN(3)]
	for i := range 4 + w.rng.IntN(3) {
		w.engines = append(w.engines, newEngine(w, i))
	}
	return w
}

func (w *world) run() (Violations, FaultCounts) {
	w.addOwner()
	w.scheduleFault(300*time.Millisecond, 2*time.Second, w.announce)
	w.scheduleFault(time.Second, 6*time.Second, w.takeOver)
	w.scheduleFault(time.Second, 8*time.Second, w.replaceAgent)
	w.scheduleFault(time.Second, 5*time.Second, w.pauseAgent)
	w.clock.Run(scheduleTimeout, w.finished)
	for _, e := range w.engines {
		if e.version != w.target {
			w.violations.Unfinished++
		}
	}
	if !w.rolesAssigned() {
		w.violations.Unfinished++
	}
	return w.violations, w.faults
}

// scheduleFault injects a fault repeatedly, at random intervals between least and
// most, until the period of faults is over.
func (w *world) scheduleFault(least, most time.Duration, fault func()) {
	w.clock.After(w.between(least, most), func() {
		if w.faultsEnded() {
			return
		}
		fault()
		w.scheduleFault(least, most, fault)
	})
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// faultsEnded reports whether the period of faults is over.
func (w *world) faultsEnded() bool { return w.clock.Now().Sub(w.startedAt) > faultPeriod }

func (w *world) finished() bool {
	if !w.faultsEnded() {
		return false
	}
	for _, e := range w.engines {
		if e.version != w.target || len(e.loads) > 0 {
			return false
		}
	}
	return w.rolesAssigned()
}

func (w *world) announce() {
	w.target += 1 + w.rng.Int64N(2)
	w.faults.Versions++
}

// delay returns the time that a message takes. During the period of faults, 5% of
// the messages take much longer.
func (w *world) delay() time.Duration {
	if !w.faultsEnded() && w.chance(0.05) {
		return w.between(500*time.Millisecond, 5*time.Second)
	}
	return w.between(time.Millisecond, 20*time.Millisecond)
}

// owner is a process that holds the duty or has held it.
type owner struct {
	world       *world
	rollout     *weights.Rollout
	epoch       int64
	crashed     bool
	pausedUntil time.Time
}

func (w *world) addOwner() {
	config := weights.DefaultConfig()
	config.Duty = "weights/s"
	config.Epoch = int64(firstEpoch + len(w.owners))
	config.CapacityFloor = w.floor
	config.PollInterval = ownerPollInterval
	config.RecheckInterval = 3 * time.Second
	config.PrepareTimeout = rpcTimeout
	config.LoadTimeout = maxOrderTimeout * 3 / 4
	config.FailureCooldown = 2 * time.Second
	config.DownGracePeriod = 2 * time.Second
	o := &owner{world: w, rollout: weights.NewRollout(config), epoch: config.Epoch}
	w.owners = append(w.owners, o)
	o.tick()
}

// takeOver starts a successor to the current owner, which crashes or is paused. A
// paused owner resumes later and may then run concurrently with its successor.
func (w *world) takeOver() {
	last := w.owners[len(w.owners)-1]
	last.crashed = w.chance(0.4)
	last.pausedUntil = w.clock.Now().Add(w.between(0, 5*time.Second))
	w.faults.Takeovers++
	w.clock.After(w.between(0, time.Second), w.addOwner)
}

func (o *owner) tick() {
	w := o.world
	if o.crashed {
		return
	}
	now := w.clock.Now()
	if now.Before(o.pausedUntil) {
		w.clock.After(o.pausedUntil.Sub(now), o.tick)
		return
	}
	o.rollout.SetMembers(w.members(), now)
	o.rollout.SetTarget(weights.Key{Model: "m"}, w.target)
	o.rollout.SetRoles(w.roles)
	for _, send := range o.rollout.Step(now) {
		o.send(send)
	}
	if !o.rollout.Deposed() {
		w.clock.After(ownerPollInterval, o.tick)
	}
}

func (w *world) members() []weights.Member {
	var all []weights.Member
	for _, e := range w.engines {
		all = append(all, weights.Member{
			ID:      e.id,
			Address: e.id,
			Domain:  e.domain,
			Serving: e.agent != nil,
		})
	}
	return all
}

// send delivers an order to the engine's current agent. A connection ends with its
// agent, so no message in transit reaches the agent's successor, but a paused agent
// still reads what is in its socket after it resumes.
func (o *owner) send(s weights.EngineOrder) {
	w := o.world
	e := w.engine(s.Engine)
	agent := e.agent
	answered := false
	end := func(reply wire.OrderReply, delivered bool) {
		if answered || o.crashed {
			return
		}
		answered = true
		o.whenResumed(func() { o.rollout.HandleReply(s.Engine, s.Order, reply, delivered, w.clock.Now()) })
	}
	w.clock.After(w.between(minSilenceTimeout, rpcTimeout), func() { end(wire.OrderReply{}, false) })
	if agent == nil {
		return
	}
	agent.onDisconnect = append(agent.onDisconnect, func() { end(wire.OrderReply{}, false) })
	lost := !w.faultsEnded() && w.chance(0.05)
	w.clock.After(w.delay(), func() {
		agent.receive(s.Order, func(reply wire.OrderReply) {
			if lost {
				w.faults.LostAnswers++
				return
			}
			w.clock.After(w.delay(), func() { end(reply, true) })
		})
	})
}

// whenResumed calls fn when the owner is not paused, at the earliest now.
func (o *owner) whenResumed(fn func()) {
	now := o.world.clock.Now()
	if now.Before(o.pausedUntil) {
		o.world.clock.After(o.pausedUntil.Sub(now), func() { o.whenResumed(fn) })
		return
	}
	fn()
}

func (w *world) engine(id string) *engine {
	index, _ := strconv.Atoi(id)
	return w.engines[index]
}
