package rollout

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/labels"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// ownerProcess is a process that holds the feed's duty or believes that it does.
type ownerProcess struct {
	world        *world
	owner        *handover.Owner
	crashed      bool
	paused       bool
	pending      []handover.Event  // events that arrived while the process was paused
	trainerCalls map[uint64]uint64 // number of the trainer's call by number of the owner's
	lastCall     uint64            // last number given to a call of the owner
}

func newOwnerProcess(w *world, epoch int64) *ownerProcess {
	o := &ownerProcess{world: w, owner: handover.New(w.initialConfig(), fmt.Sprintf("entry-%d", epoch), epoch), trainerCalls: map[uint64]uint64{}}
	o.tick()
	return o
}

func (o *ownerProcess) tick() {
	if o.crashed {
		return
	}
	o.deliver(handover.Tick{})
	o.world.clock.After(30*time.Millisecond, o.tick)
}

func (o *ownerProcess) deliver(e handover.Event) {
	switch {
	case o.crashed:
	case o.paused:
		o.pending = append(o.pending, e)
	default:
		o.execute(o.owner.Step(o.world.clock.Now(), e))
	}
}

func (o *ownerProcess) resume() {
	o.paused = false
	pending := o.pending
	o.pending = nil
	for _, e := range pending {
		o.deliver(e)
	}
}

func (o *ownerProcess) execute(actions []handover.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case handover.Read:
			o.world.store.read(o)
		case handover.Write:
			o.world.store.write(o, a)
		case handover.Reply:
			o.world.trainer.receiveAnswer(o.trainerCalls[a.Call], a.Answer)
		case handover.Refuse:
			o.world.trainer.receiveRefusal(o.trainerCalls[a.Call], a.Reason)
		case handover.Deposed:
			o.remove()
		}
	}
}

func (o *ownerProcess) remove() {
	for i, other := range o.world.owners {
		if other == o {
			o.world.owners = append(o.world.owners[:i:i], o.world.owners[i+1:]...)
			return
		}
	}
}

// handlePull passes a pull of the trainer to the owner.
func (o *ownerProcess) handlePull(trainerCall uint64, p handover.Pull) {
	o.lastCall++
	ownerCall := o.lastCall
	o.trainerCalls[ownerCall] = trainerCall
	o.world.clock.After(ownerPullTimeout, func() { o.deliver(handover.PullTimedOut{Call: ownerCall}) })
	o.deliver(handover.Pulled{Call: ownerCall, Pull: p})
}

// generation records the versions of the weights that generated each token of a sample.
type generation struct{ versions []int64 }

// generateSamples periodically lets every owner that is serving generate one of the
// samples that it wants, and at random publishes a new weight version.
func (w *world) generateSamples() {
	for _, o := range w.owners {
		if !o.paused && o.owner.Serving() {
			o.generateSample()
		}
	}
	if w.rng.IntN(20) == 0 {
		w.engineVersion++
		w.trainer.publish(w.engineVersion)
	}
	w.clock.After(generationInterval, w.generateSamples)
}

func (o *ownerProcess) generateSample() {
	step := o.owner.FirstStep() + int64(o.world.rng.IntN(2))
	wanted := o.owner.Wanted(step)
	if len(wanted) == 0 {
		return
	}
	id := wanted[o.world.rng.IntN(len(wanted))]
	s, err := o.world.generateWithFaults(id)
	if err != nil {
		o.world.faults.DiscardedSamples++
		return
	}
	o.world.clock.After(o.world.delay(), func() { o.deliver(handover.Completed{Sample: s}) })
}

// generateWithFaults generates one sample on engines of several weight versions. Its
// reads overlap, it moves between engines, and replies may be damaged.
func (w *world) generateWithFaults(id sample.ID) (sample.Sample, error) {
	var builder labels.Builder
	var actual []int64
	tokens := 1 + w.rng.IntN(12)
	engine := w.pickEngineVersion()
	streamStart := 0
	for builder.Tokens() < tokens {
		if w.rng.IntN(6) == 0 && engine < w.engineVersion {
			engine++
		}
		if w.rng.IntN(8) == 0 {
			engine, streamStart, actual = w.moveToOtherEngine(&builder, actual)
		}
		from, versions := w.nextVersions(&builder, streamStart, actual, engine, tokens)
		actual = append(actual[:from:from], versions...)
		if err := w.addReply(&builder, from-streamStart, versions); err != nil {
			return sample.Sample{}, err
		}
	}
	segments, err := builder.Finish(len(actual), nil)
	if err != nil {
		return sample.Sample{}, err
	}
	if w.disabled.DropLastSegment && len(segments) > 1 {
		segments = segments[:len(segments)-1]
	}
	w.generations = append(w.generations, generation{versions: actual})
	return sample.Sample{ID: id, Text: fmt.Sprint(len(w.generations) - 1), Segments: segments, FirstTokenAt: w.clock.Now()}, nil
}

// pickEngineVersion returns the newest weight version or the one before it.
func (w *world) pickEngineVersion() int64 {
	return max(1, w.engineVersion-int64(w.rng.IntN(2)))
}

// moveToOtherEngine continues a sample on another engine, whose stream starts at or one
// token before the first token not yet read. In half of the cases the engine imports the
// KV cache of the previous one.
func (w *world) moveToOtherEngine(builder *labels.Builder, actual []int64) (engine int64, streamStart int, kept []int64) {
	streamStart = builder.Tokens()
	if streamStart > 0 {
		streamStart -= w.rng.IntN(2)
	}
	_ = builder.Resume(streamStart) // can't fail: streamStart is at most the number of tokens read
	if streamStart > 0 && w.rng.IntN(2) == 0 {
		_ = builder.Import(actual[streamStart-1])
	}
	return w.pickEngineVersion(), streamStart, actual[:streamStart:streamStart]
}

// nextVersions returns the versions of the next tokens and the index of the first of
// them. In some cases they begin with a token that was already read, as after a late
// answer.
func (w *world) nextVersions(builder *labels.Builder, streamStart int, actual []int64, engine int64, tokens int) (from int, versions []int64) {
	from = builder.Tokens()
	if from > streamStart && w.rng.IntN(4) == 0 {
		from--
		versions = append(versions, actual[from])
	}
	count := 1 + w.rng.IntN(min(4, tokens-builder.Tokens()))
	for range count {
		versions = append(versions, engine)
	}
	return from, versions
}

// addReply adds a reply to the builder. Some replies are damaged: they lack a version or
// skip tokens. The builder must then reject the sample.
func (w *world) addReply(builder *labels.Builder, offset int, versions []int64) error {
	reported := append([]int64(nil), versions...)
	if w.faultsActive && w.rng.IntN(40) == 0 {
		if w.rng.IntN(2) == 0 {
			reported[len(reported)-1] = 0
		} else {
			offset += len(reported)
		}
	}
	return builder.Add(wire.ReadReply{Offset: offset, Tokens: make([]string, len(reported)), Versions: reported})
}
