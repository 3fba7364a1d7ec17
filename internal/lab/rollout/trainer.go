package rollout

import (
	"strconv"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// trainer is a trainer process with its checkpoints. It also checks the samples that it
// accepts.
type trainer struct {
	world         *world
	client        *handover.Client
	version       int64
	lastCall      uint64 // number of the newest pull
	firstCall     uint64 // first pull since the process started; answers to earlier ones are lost
	held          []sample.ID
	reportedSteps int64 // steps that answers reported as complete; used only if shapes change
	checkpoints   []checkpoint
	err           error // set when the trainer gives up
}

// checkpoint is the state that the trainer stores durably.
type checkpoint struct {
	position      handover.Position
	held          []sample.ID
	reportedSteps int64
	version       int64
}

func newTrainer(w *world) trainer {
	return trainer{world: w, version: 1, checkpoints: []checkpoint{{version: 1}}}
}

func (t *trainer) start() {
	last := t.checkpoints[len(t.checkpoints)-1]
	t.held = append([]sample.ID(nil), last.held...)
	t.reportedSteps = last.reportedSteps
	t.version = last.version
	t.firstCall = t.lastCall + 1
	t.client = handover.NewClient(last.position, maxVersionLag)
	t.pull()
}

// restart restarts the process from one of its three newest checkpoints and discards the
// later ones.
func (t *trainer) restart() {
	t.world.faults.Restarts++
	discarded := min(t.world.rng.IntN(3), len(t.checkpoints)-1)
	t.checkpoints = t.checkpoints[:len(t.checkpoints)-discarded]
	t.start()
}

// publish sets the trainer's weight version and announces it to the owners.
func (t *trainer) publish(version int64) {
	t.version = version
	for _, owner := range t.world.owners {
		if !t.world.dropMessage() {
			t.world.clock.After(t.world.delay(), func() { owner.deliver(handover.Announced{Version: version}) })
		}
	}
}

// finished reports whether the trainer holds all steps or has given up.
func (t *trainer) finished() bool {
	return t.err != nil || t.client.Position().Cursor > 0 && t.completeSteps() >= int64(t.world.steps)
}

// completeSteps returns the number of steps that the trainer holds completely.
func (t *trainer) completeSteps() int64 {
	if t.world.shapes != nil {
		return t.reportedSteps
	}
	return int64(len(t.held) / t.world.config.Shape.Needed())
}

// pull requests the next lot and pulls again if no answer arrives in time. The earlier
// call is not cancelled, so its answer may arrive after that of a later one.
func (t *trainer) pull() {
	t.lastCall++
	call := t.lastCall
	pull := t.client.Pull(t.version)
	if t.world.disabled.RewritePull != nil {
		pull = t.world.disabled.RewritePull(pull)
	}
	t.world.clock.After(trainerPullTimeout, func() {
		if t.lastCall == call && !t.finished() {
			t.pull()
		}
	})
	copies := 1
	if t.world.faultsActive && t.world.rng.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		t.send(call, pull)
	}
}

func (t *trainer) send(call uint64, pull handover.Pull) {
	if t.world.dropMessage() {
		return
	}
	t.world.clock.After(t.world.delay(), func() {
		if owner := t.world.pickOwner(); owner != nil {
			owner.handlePull(call, pull)
		}
	})
}

// deliver calls fn when the answer to a call arrives, unless the answer is lost or the
// process that made the call has ended. newest tells whether the call is the newest.
func (t *trainer) deliver(call uint64, fn func(newest bool)) {
	if t.world.dropMessage() {
		return
	}
	t.world.clock.After(t.world.delay(), func() {
		if call >= t.firstCall && !t.finished() {
			fn(call == t.lastCall)
		}
	})
}

func (t *trainer) receiveAnswer(call uint64, a handover.Answer) {
	t.deliver(call, func(newest bool) {
		if t.world.disabled.RewriteAnswer != nil {
			a = t.world.disabled.RewriteAnswer(t.client.Position(), a)
		}
		lot := t.client.HandleAnswer(a, t.version)
		t.checkLot(lot)
		if len(lot) > 0 && a.StepComplete {
			t.reportedSteps++
		}
		if len(lot) > 0 && t.world.rng.IntN(2) == 0 {
			t.saveCheckpoint()
		}
		if newest || len(lot) > 0 {
			t.pull()
		}
	})
}

func (t *trainer) receiveRefusal(call uint64, reason handover.Refusal) {
	t.deliver(call, func(newest bool) {
		if !newest {
			return
		}
		err := t.client.HandleRefusal(reason)
		if errors.Is(err, handover.ErrSuperseded) {
			// A late pull of an earlier run has taken the feed over. The process exits
			// and its supervisor restarts it.
			t.world.faults.Superseded++
			t.start()
			return
		}
		t.err = err
	})
}

func (t *trainer) saveCheckpoint() {
	t.checkpoints = append(t.checkpoints, checkpoint{position: t.client.Position(), held: append([]sample.ID(nil), t.held...), reportedSteps: t.reportedSteps, version: t.version})
}

// checkLot counts the violations in a lot that the trainer accepted.
func (t *trainer) checkLot(lot []sample.Sample) {
	t.world.faults.AcceptedSamples += len(lot)
	step := t.completeSteps()
	for _, s := range lot {
		for _, held := range t.held {
			if held == s.ID {
				t.world.violations.Duplicates++
			}
		}
		if s.ID.Step != step {
			t.world.violations.Lost++
		}
		t.checkSegments(s)
	}
	for _, s := range lot {
		t.held = append(t.held, s.ID)
	}
}

// checkSegments compares a sample's segments with the versions that generated it.
func (t *trainer) checkSegments(s sample.Sample) {
	index, err := strconv.Atoi(s.Text)
	if err != nil {
		t.world.violations.Mislabeled++
		return
	}
	actual := t.world.generations[index].versions
	labelled := make([]int64, 0, len(actual))
	for _, segment := range s.Segments {
		for range segment.To - segment.From {
			labelled = append(labelled, segment.Version)
		}
	}
	equal := len(labelled) == len(actual)
	stale := false
	for i, version := range actual {
		equal = equal && labelled[i] == version
		stale = stale || t.version-version > maxVersionLag
	}
	if !equal {
		t.world.violations.Mislabeled++
	}
	if stale {
		t.world.violations.Stale++
	}
}

// checkMissing counts the samples that are missing or too many at the end of the schedule:
// the trainer must hold every group of every step with exactly the group's size.
func (t *trainer) checkMissing() {
	if t.world.shapes != nil {
		t.checkShapes()
		return
	}
	shape := t.world.config.Shape
	counts := map[[2]int64]int{}
	for _, id := range t.held {
		counts[[2]int64{id.Step, id.Group}]++
	}
	for step := range int64(t.world.steps) {
		for group := range int64(shape.Groups) {
			if missing := shape.Size - counts[[2]int64{step, group}]; missing != 0 {
				t.world.violations.Lost += max(missing, -missing)
			}
		}
	}
}
