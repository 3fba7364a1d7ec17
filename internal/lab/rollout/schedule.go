// Package rollout measures the decisions on rollouts in virtual time: hand-over
// and labels under seeded schedules of faults, and the scheduler's idle time
// and staleness on a model of batching engines.
package rollout

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// Violations counts violations of the invariants.
type Violations struct {
	Stale      int // accepted samples that were older than the trainer permits
	Duplicates int // samples that the trainer accepted more than once
	Lost       int // samples that the trainer did not get, or got in another step than their own
	Mislabeled int // samples whose segments differ from the versions that generated them
}

func (v *Violations) add(other Violations) {
	v.Stale += other.Stale
	v.Duplicates += other.Duplicates
	v.Lost += other.Lost
	v.Mislabeled += other.Mislabeled
}

// FaultCounts counts the faults and some other events of schedules.
//
// Crashes and Pauses are of owners, Elections are the owners that started, Restarts are
// restarts of the trainer, Outages are of the key-value service. DiscardedSamples are
// samples that labels.Builder rejected, Superseded are restarts of the trainer because
// another run of it had taken the feed over, AcceptedSamples are samples that the trainer
// accepted.
type FaultCounts struct {
	Crashes, Pauses, Elections, Restarts, Outages, DiscardedSamples, Superseded, AcceptedSamples int

	ShapeChanges, ReshapedSteps int // declarations of another shape; steps whose shape differs from the previous step's
}

func (f *FaultCounts) add(other FaultCounts) {
	f.Crashes += other.Crashes
	f.Pauses += other.Pauses
	f.Elections += other.Elections
	f.Restarts += other.Restarts
	f.Outages += other.Outages
	f.DiscardedSamples += other.DiscardedSamples
	f.Superseded += other.Superseded
	f.AcceptedSamples += other.AcceptedSamples
	f.ShapeChanges += other.ShapeChanges
	f.ReshapedSteps += other.ReshapedSteps
}

// DisabledSafeguards selects safeguards that a schedule runs without, to show that the
// checks detect the violations that follow. A nil function keeps its safeguard.
type DisabledSafeguards struct {
	// RewritePull changes the pulls on their way to the owner.
	RewritePull func(handover.Pull) handover.Pull
	// RewriteAnswer changes the answers on their way to the trainer, which is at the
	// given position.
	RewriteAnswer func(at handover.Position, a handover.Answer) handover.Answer
	// DropLastSegment drops the last segment of a sample.
	DropLastSegment bool
}

const (
	scheduleSteps      = 3
	faultPeriod        = 4 * time.Second // faults are injected until then
	scheduleTimeout    = 120 * time.Second
	maxVersionLag      = 2
	ownerPullTimeout   = 120 * time.Millisecond // the owner answers a pull without samples after it
	trainerPullTimeout = 200 * time.Millisecond // the trainer pulls again if it has no answer after it
	generationInterval = 8 * time.Millisecond
)

// world simulates one schedule: the owners of a feed, its trainer and the key-value
// service.
type world struct {
	rng           *rand.Rand
	clock         *timeline.Timeline
	faultsActive  bool
	store         store
	owners        []*ownerProcess // owners that have not crashed and were not deposed, newest last
	epoch         int64
	trainer       trainer
	engineVersion int64        // newest weight version of the engines
	generations   []generation // generations of all samples; a sample's text is its index
	config        handover.Config
	violations    Violations
	faults        FaultCounts
	disabled      DisabledSafeguards
	steps         int
	shapes        *shapeChanges // nil if the shape doesn't change
}

// RunSchedule simulates the schedule of a seed.
func RunSchedule(seed uint64, disabled DisabledSafeguards) (Violations, FaultCounts) {
	return newWorld(seed, disabled).run()
}

func (w *world) run() (Violations, FaultCounts) {
	w.startOwner()
	w.trainer.start()
	w.generateSamples()
	w.injectFaults()
	w.clock.After(faultPeriod, w.endFaults)
	w.clock.Run(scheduleTimeout, w.trainer.finished)
	w.trainer.checkMissing()
	return w.violations, w.faults
}

func newWorld(seed uint64, disabled DisabledSafeguards) *world {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	shape := sample.Shape{Groups: 1 + rng.IntN(3), Size: 1 + rng.IntN(4), Spare: rng.IntN(2)}
	w := &world{
		rng:           rng,
		clock:         timeline.New(),
		faultsActive:  true,
		engineVersion: 1,
		disabled:      disabled,
		steps:         scheduleSteps,
		config: handover.Config{
			Shape:          shape,
			LotSize:        1 + rng.IntN(4),
			Limits:         sample.Limits{MaxVersionLag: maxVersionLag},
			RetryInterval:  40 * time.Millisecond,
			RecordInterval: 5 * time.Millisecond,
		},
	}
	w.store.world = w
	w.trainer = newTrainer(w)
	return w
}

// delay returns the time that a message takes.
func (w *world) delay() time.Duration {
	if w.faultsActive && w.rng.IntN(12) == 0 {
		return time.Duration(w.rng.IntN(500)) * time.Millisecond
	}
	return time.Duration(1+w.rng.IntN(3)) * time.Millisecond
}

// dropMessage reports at random whether a message between trainer and owner is lost.
func (w *world) dropMessage() bool { return w.faultsActive && w.rng.IntN(10) == 0 }

// injectFaults injects a fault, or none, and repeats at random intervals until the period
// of faults is over.
func (w *world) injectFaults() {
	if !w.faultsActive {
		return
	}
	switch w.rng.IntN(6) {
	case 0:
		w.crashOwner()
	case 1:
		w.pauseOwner()
	case 2:
		w.startOwner()
	case 3:
		w.trainer.restart()
	case 4:
		w.startOutage()
	case 5:
		// No fault, so that the feed runs for a while between faults.
	}
	w.clock.After(time.Duration(10+w.rng.IntN(350))*time.Millisecond, w.injectFaults)
}

func (w *world) endFaults() {
	w.faultsActive = false
	w.store.outage = false
	w.startOwner()
}

func (w *world) startOutage() {
	if w.store.outage {
		return
	}
	w.faults.Outages++
	w.store.outage = true
	w.clock.After(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { w.store.outage = false })
}

// startOwner starts a process that takes the duty over. Earlier owners may keep running.
// During an outage it does nothing, because the lease is in the key-value service.
func (w *world) startOwner() {
	if w.store.outage {
		return
	}
	w.faults.Elections++
	w.epoch++
	w.owners = append(w.owners, newOwnerProcess(w, w.epoch))
}

func (w *world) crashOwner() {
	if len(w.owners) == 0 {
		return
	}
	w.faults.Crashes++
	i := w.rng.IntN(len(w.owners))
	w.owners[i].crashed = true
	w.owners = append(w.owners[:i:i], w.owners[i+1:]...)
	w.clock.After(time.Duration(w.rng.IntN(300))*time.Millisecond, w.startOwner)
}

func (w *world) pauseOwner() {
	if len(w.owners) == 0 {
		return
	}
	w.faults.Pauses++
	o := w.owners[w.rng.IntN(len(w.owners))]
	o.paused = true
	w.clock.After(time.Duration(w.rng.IntN(1200))*time.Millisecond, o.resume)
	if w.rng.IntN(2) == 0 {
		w.clock.After(time.Duration(w.rng.IntN(300))*time.Millisecond, w.startOwner)
	}
}

// pickOwner returns the owner that a pull reaches. It is mostly the newest. Some pulls
// reach an earlier one, as if an entry didn't yet know the newest.
func (w *world) pickOwner() *ownerProcess {
	if len(w.owners) == 0 {
		return nil
	}
	if w.faultsActive && w.rng.IntN(4) == 0 {
		return w.owners[w.rng.IntN(len(w.owners))]
	}
	return w.owners[len(w.owners)-1]
}
