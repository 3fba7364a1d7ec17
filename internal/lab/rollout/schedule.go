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

// Violations is what a schedule must not show.
type Violations struct {
	Stale      int // samples taken that were older than the trainer accepts
	Duplicates int // samples taken twice
	Lost       int // samples that never came, or came out of their step
	Mislabeled int // samples whose segments differ from what produced them
}

func (v *Violations) add(other Violations) {
	v.Stale += other.Stale
	v.Duplicates += other.Duplicates
	v.Lost += other.Lost
	v.Mislabeled += other.Mislabeled
}

// FaultCounts counts the faults of schedules.
type FaultCounts struct {
	Crashes, Pauses, Elections, Restarts, Outages, DiscardedSamples, Superseded, AcceptedSamples int

	ShapeChanges, ReshapedSteps int // changes of shape, and steps that came in another than the one before
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
	scheduleSteps  = 3
	faultsFor      = 4 * time.Second
	giveUp         = 120 * time.Second
	versionsBound  = 2
	pullWait       = 120 * time.Millisecond
	pullPatience   = 200 * time.Millisecond
	generationTick = 8 * time.Millisecond
)

// world is one schedule.
type world struct {
	rng     *rand.Rand
	time    *timeline.Timeline
	faulty  bool
	kv      store
	nodes   []*node // live owners, newest last
	epoch   int64
	trainer trainer
	engine  int64 // version of the newest engines
	runs    []run // every sample run; the sample's text names its run
	cfg     handover.Config
	bad     Violations
	seen    FaultCounts
	harm    DisabledSafeguards
	steps   int
	shapes  *shapeChanges // nil: the shape stays
}

// RunSchedule plays one seeded schedule and returns what went wrong.
func RunSchedule(seed uint64, harm DisabledSafeguards) (Violations, FaultCounts) {
	return newWorld(seed, harm).play()
}

func (w *world) play() (Violations, FaultCounts) {
	w.elect()
	w.trainer.start()
	w.generate()
	w.chaos()
	w.time.After(faultsFor, w.heal)
	w.time.Run(giveUp, w.trainer.finished)
	w.trainer.settle()
	return w.bad, w.seen
}

func newWorld(seed uint64, harm DisabledSafeguards) *world {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	shape := sample.Shape{Groups: 1 + rng.IntN(3), Size: 1 + rng.IntN(4), Spare: rng.IntN(2)}
	w := &world{
		rng:    rng,
		time:   timeline.New(),
		faulty: true,
		engine: 1,
		harm:   harm,
		steps:  scheduleSteps,
		cfg: handover.Config{
			Shape:          shape,
			LotSize:        1 + rng.IntN(4),
			Limits:         sample.Limits{MaxVersionLag: versionsBound},
			RetryInterval:  40 * time.Millisecond,
			RecordInterval: 5 * time.Millisecond,
		},
	}
	w.kv.w = w
	w.trainer = newTrainer(w)
	return w
}

// delay is the time that one message takes.
func (w *world) delay() time.Duration {
	if w.faulty && w.rng.IntN(12) == 0 {
		return time.Duration(w.rng.IntN(500)) * time.Millisecond
	}
	return time.Duration(1+w.rng.IntN(3)) * time.Millisecond
}

// lost tells whether a message between trainer and owner vanishes.
func (w *world) lost() bool { return w.faulty && w.rng.IntN(10) == 0 }

// chaos brings the next fault about.
func (w *world) chaos() {
	if !w.faulty {
		return
	}
	switch w.rng.IntN(6) {
	case 0:
		w.crash()
	case 1:
		w.pause()
	case 2:
		w.elect()
	case 3:
		w.trainer.restart()
	case 4:
		w.outage()
	case 5:
		// Nothing: let the feed run between faults.
	}
	w.time.After(time.Duration(10+w.rng.IntN(350))*time.Millisecond, w.chaos)
}

func (w *world) heal() {
	w.faulty = false
	w.kv.outage = false
	w.elect()
}

func (w *world) outage() {
	if w.kv.outage {
		return
	}
	w.seen.Outages++
	w.kv.outage = true
	w.time.After(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { w.kv.outage = false })
}

// elect lets a new process take the duty, whatever the earlier ones do. The
// lease lives in the key-value service, so no one is elected in an outage.
func (w *world) elect() {
	if w.kv.outage {
		return
	}
	w.seen.Elections++
	w.epoch++
	w.nodes = append(w.nodes, newNode(w, w.epoch))
}

func (w *world) crash() {
	if len(w.nodes) == 0 {
		return
	}
	w.seen.Crashes++
	i := w.rng.IntN(len(w.nodes))
	w.nodes[i].dead = true
	w.nodes = append(w.nodes[:i:i], w.nodes[i+1:]...)
	w.time.After(time.Duration(w.rng.IntN(300))*time.Millisecond, w.elect)
}

func (w *world) pause() {
	if len(w.nodes) == 0 {
		return
	}
	w.seen.Pauses++
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	n.paused = true
	w.time.After(time.Duration(w.rng.IntN(1200))*time.Millisecond, n.resume)
	if w.rng.IntN(2) == 0 {
		w.time.After(time.Duration(w.rng.IntN(300))*time.Millisecond, w.elect)
	}
}

// route picks the owner that a pull reaches: mostly the newest, at times one
// that another entry still takes for the owner.
func (w *world) route() *node {
	if len(w.nodes) == 0 {
		return nil
	}
	if w.faulty && w.rng.IntN(4) == 0 {
		return w.nodes[w.rng.IntN(len(w.nodes))]
	}
	return w.nodes[len(w.nodes)-1]
}
