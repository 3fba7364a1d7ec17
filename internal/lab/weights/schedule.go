package weights

import (
	"math/rand/v2"
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// Times of a schedule. They are the product's, shortened by about five, so that
// faults meet each other often.
const (
	maxOrder    = 2 * time.Second
	ownerTick   = 200 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	rpcTimeout  = 2 * time.Second
	silentAfter = 500 * time.Millisecond // when an owner first gives a connection up
	loadShort   = 50 * time.Millisecond
	loadLong    = 2 * time.Second
	faultsEnd   = 15 * time.Second
	longestRun  = 60 * time.Second
	firstOwner  = 1
	firstWeight = 1
)

// DisabledSafeguards takes a safeguard out, to show that the checks notice.
type DisabledSafeguards struct {
	OrderFilter        bool // agents pass every load to the engine as it comes
	StartupWait        bool // a new agent does not wait out its predecessor's orders
	TargetAge          bool // an agent takes an order however old its target is
	StatusInvalidation bool // a status does not void the loads given before it
}

// Violations counts what must never happen. Reverts: an engine's version fell by
// an order. TwoEffective: an engine obeyed a lower epoch after a higher one.
// FloorBreaks: more engines were loading at once than the floor leaves.
// Unfinished: an engine did not reach the last version after the faults ended.
type Violations struct {
	Reverts      int
	TwoEffective int
	FloorBreaks  int
	Unfinished   int
}

func (v *Violations) add(o Violations) {
	v.Reverts += o.Reverts
	v.TwoEffective += o.TwoEffective
	v.FloorBreaks += o.FloorBreaks
	v.Unfinished += o.Unfinished
}

// FaultCounts counts the faults of a schedule.
type FaultCounts struct {
	Takeovers      int // owners that crashed or were paused past their lease
	ReplacedAgents int
	AgentPauses    int
	LostAnswers    int
	FailedLoads    int
	Versions       int // announced while a rollout was under way
	RoleChanges    int
	NoFencing      int // engines that ignore fencing numbers
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

// world is one schedule: a small service with its owners, agents and engines.
type world struct {
	clock   *timeline.Timeline
	rng     *rand.Rand
	harm    DisabledSafeguards
	began   time.Time
	floor   float64
	engines []*engine
	owners  []*owner
	target  int64          // the record in the key-value service
	roles   []weights.Role // declared; nil: none
	bad     Violations
	seen    FaultCounts
}

// RunSchedule plays the schedule of a seed.
func RunSchedule(seed uint64, harm DisabledSafeguards) (Violations, FaultCounts) {
	return newWorld(seed, harm).play()
}

// RunRoleSchedule plays the schedule of a seed with roles, which change as
// versions do.
func RunRoleSchedule(seed uint64, harm DisabledSafeguards) (Violations, FaultCounts) {
	w := newWorld(seed, harm)
	w.declareRoles()
	w.plan(2*time.Second, 6*time.Second, w.declareRoles)
	return w.play()
}

func newWorld(seed uint64, harm DisabledSafeguards) *world {
	w := &world{
		clock:  timeline.New(),
		rng:    rand.New(rand.NewPCG(seed, 7)),
		harm:   harm,
		target: firstWeight + 1,
	}
	w.began = w.clock.Now()
	w.floor = []float64{0.5, 0.6, 0.75}[w.rng.IntN(3)]
	for i := range 4 + w.rng.IntN(3) {
		w.engines = append(w.engines, newEngine(w, i))
	}
	return w
}

func (w *world) play() (Violations, FaultCounts) {
	w.addOwner()
	w.plan(300*time.Millisecond, 2*time.Second, w.announce)
	w.plan(time.Second, 6*time.Second, w.takeOver)
	w.plan(time.Second, 8*time.Second, w.replaceAgent)
	w.plan(time.Second, 5*time.Second, w.pauseAgent)
	w.clock.Run(longestRun, w.finished)
	for _, e := range w.engines {
		if e.version != w.target {
			w.bad.Unfinished++
		}
	}
	if !w.rolesHeld() {
		w.bad.Unfinished++
	}
	return w.bad, w.seen
}

// plan repeats a fault at random intervals until the faults end.
func (w *world) plan(least, most time.Duration, fault func()) {
	w.clock.After(w.between(least, most), func() {
		if w.quiet() {
			return
		}
		fault()
		w.plan(least, most, fault)
	})
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) quiet() bool { return w.clock.Now().Sub(w.began) > faultsEnd }

func (w *world) finished() bool {
	if !w.quiet() {
		return false
	}
	for _, e := range w.engines {
		if e.version != w.target || len(e.loads) > 0 {
			return false
		}
	}
	return w.rolesHeld()
}

func (w *world) announce() {
	w.target += 1 + w.rng.Int64N(2)
	w.seen.Versions++
}

// delay is the time of one message. Now and then it is stuck for long.
func (w *world) delay() time.Duration {
	if !w.quiet() && w.chance(0.05) {
		return w.between(500*time.Millisecond, 5*time.Second)
	}
	return w.between(time.Millisecond, 20*time.Millisecond)
}

// owner is one holder of the duty.
type owner struct {
	world       *world
	rollout     *weights.Rollout
	epoch       int64
	dead        bool
	pausedUntil time.Time
}

func (w *world) addOwner() {
	config := weights.DefaultConfig()
	config.Duty = "weights/s"
	config.Epoch = int64(firstOwner + len(w.owners))
	config.CapacityFloor = w.floor
	config.PollInterval = ownerTick
	config.RecheckInterval = 3 * time.Second
	config.PrepareTimeout = rpcTimeout
	config.LoadTimeout = maxOrder * 3 / 4
	config.FailureCooldown = 2 * time.Second
	config.DownGracePeriod = 2 * time.Second
	o := &owner{world: w, rollout: weights.NewRollout(config), epoch: config.Epoch}
	w.owners = append(w.owners, o)
	o.tick()
}

// takeOver gives the duty to a successor. The holder crashes, or is paused and
// wakes up later beside its successor.
func (w *world) takeOver() {
	last := w.owners[len(w.owners)-1]
	last.dead = w.chance(0.4)
	last.pausedUntil = w.clock.Now().Add(w.between(0, 5*time.Second))
	w.seen.Takeovers++
	w.clock.After(w.between(0, time.Second), w.addOwner)
}

func (o *owner) tick() {
	w := o.world
	if o.dead {
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
		w.clock.After(ownerTick, o.tick)
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

// send carries an order to the agent that stands there now. A connection ends
// with its agent, so nothing on its way reaches the successor, but a paused agent
// still reads what lies in its socket.
func (o *owner) send(s weights.EngineOrder) {
	w := o.world
	e := w.engine(s.Engine)
	agent := e.agent
	answered := false
	end := func(reply wire.OrderReply, delivered bool) {
		if answered || o.dead {
			return
		}
		answered = true
		o.wake(func() { o.rollout.HandleReply(s.Engine, s.Order, reply, delivered, w.clock.Now()) })
	}
	w.clock.After(w.between(silentAfter, rpcTimeout), func() { end(wire.OrderReply{}, false) })
	if agent == nil {
		return
	}
	agent.broken = append(agent.broken, func() { end(wire.OrderReply{}, false) })
	lost := !w.quiet() && w.chance(0.05)
	w.clock.After(w.delay(), func() {
		agent.receive(s.Order, func(reply wire.OrderReply) {
			if lost {
				w.seen.LostAnswers++
				return
			}
			w.clock.After(w.delay(), func() { end(reply, true) })
		})
	})
}

// wake runs fn once the owner is not paused.
func (o *owner) wake(fn func()) {
	now := o.world.clock.Now()
	if now.Before(o.pausedUntil) {
		o.world.clock.After(o.pausedUntil.Sub(now), func() { o.wake(fn) })
		return
	}
	fn()
}

func (w *world) engine(id string) *engine {
	index, _ := strconv.Atoi(id)
	return w.engines[index]
}
