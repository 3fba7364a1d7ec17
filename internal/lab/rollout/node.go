package rollout

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/labels"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// node is a process that holds, or believes to hold, the feed's duty.
type node struct {
	w      *world
	owner  *handover.Owner
	dead   bool
	paused bool
	queued []handover.Event // while paused
	calls  map[uint64]uint64
	next   uint64
}

func newNode(w *world, epoch int64) *node {
	n := &node{w: w, owner: handover.New(w.declared(), fmt.Sprintf("entry-%d", epoch), epoch), calls: map[uint64]uint64{}}
	n.tick()
	return n
}

func (n *node) tick() {
	if n.dead {
		return
	}
	n.deliver(handover.Tick{})
	n.w.time.After(30*time.Millisecond, n.tick)
}

func (n *node) deliver(e handover.Event) {
	switch {
	case n.dead:
	case n.paused:
		n.queued = append(n.queued, e)
	default:
		n.act(n.owner.Step(n.w.time.Now(), e))
	}
}

func (n *node) resume() {
	n.paused = false
	queued := n.queued
	n.queued = nil
	for _, e := range queued {
		n.deliver(e)
	}
}

func (n *node) act(acts []handover.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case handover.Read:
			n.w.kv.read(n)
		case handover.Write:
			n.w.kv.write(n, a)
		case handover.Reply:
			n.w.trainer.answered(n.calls[a.Call], a.Answer)
		case handover.Refuse:
			n.w.trainer.refused(n.calls[a.Call], a.Reason)
		case handover.Deposed:
			n.leave()
		}
	}
}

func (n *node) leave() {
	for i, other := range n.w.nodes {
		if other == n {
			n.w.nodes = append(n.w.nodes[:i:i], n.w.nodes[i+1:]...)
			return
		}
	}
}

// pull takes a trainer's call.
func (n *node) pull(call uint64, p handover.Pull) {
	n.next++
	local := n.next
	n.calls[local] = call
	n.w.time.After(pullWait, func() { n.deliver(handover.PullTimedOut{Call: local}) })
	n.deliver(handover.Pulled{Call: local, Pull: p})
}

// run is one generation of a sample: what the engines really did.
type run struct{ versions []int64 }

// generate lets every owner complete some of the samples it wants.
func (w *world) generate() {
	for _, n := range w.nodes {
		if !n.paused && n.owner.Serving() {
			n.generateOne()
		}
	}
	if w.rng.IntN(20) == 0 {
		w.engine++
		w.trainer.publish(w.engine)
	}
	w.time.After(generationTick, w.generate)
}

func (n *node) generateOne() {
	step := n.owner.FirstStep() + int64(n.w.rng.IntN(2))
	wanted := n.owner.Wanted(step)
	if len(wanted) == 0 {
		return
	}
	id := wanted[n.w.rng.IntN(len(wanted))]
	s, err := n.w.run(id)
	if err != nil {
		n.w.seen.DiscardedSamples++
		return
	}
	n.w.time.After(n.w.delay(), func() { n.deliver(handover.Completed{Sample: s}) })
}

// run generates one sample through a stream that repeats, loses and resumes
// reads while engines of several versions take part.
func (w *world) run(id sample.ID) (sample.Sample, error) {
	var b labels.Builder
	var truth []int64
	total := 1 + w.rng.IntN(12)
	engine := w.oldEngine()
	base := 0
	for b.Tokens() < total {
		if w.rng.IntN(6) == 0 && engine < w.engine {
			engine++
		}
		if w.rng.IntN(8) == 0 {
			engine, base, truth = w.moveRun(&b, truth)
		}
		from, versions := w.nextRead(&b, base, truth, engine, total)
		truth = append(truth[:from:from], versions...)
		if err := w.read(&b, from-base, versions); err != nil {
			return sample.Sample{}, err
		}
	}
	segments, err := b.Finish(len(truth), nil)
	if err != nil {
		return sample.Sample{}, err
	}
	if w.harm.DropLastSegment && len(segments) > 1 {
		segments = segments[:len(segments)-1]
	}
	w.runs = append(w.runs, run{versions: truth})
	return sample.Sample{ID: id, Text: fmt.Sprint(len(w.runs) - 1), Segments: segments, FirstTokenAt: w.time.Now()}, nil
}

func (w *world) oldEngine() int64 {
	return max(1, w.engine-int64(w.rng.IntN(2)))
}

// moveRun gives a run to another engine, which goes on after part of what was
// delivered, at times with the KV cache of the engine before.
func (w *world) moveRun(b *labels.Builder, truth []int64) (engine int64, base int, kept []int64) {
	base = b.Tokens()
	if base > 0 {
		base -= w.rng.IntN(2)
	}
	_ = b.Resume(base) // base is at most what was read
	if base > 0 && w.rng.IntN(2) == 0 {
		_ = b.Import(truth[base-1])
	}
	return w.oldEngine(), base, truth[:base:base]
}

// nextRead returns the next tokens' versions; at times from before what was
// read, as when an answer was late.
func (w *world) nextRead(b *labels.Builder, base int, truth []int64, engine int64, total int) (from int, versions []int64) {
	from = b.Tokens()
	if from > base && w.rng.IntN(4) == 0 {
		from--
		versions = append(versions, truth[from])
	}
	fresh := 1 + w.rng.IntN(min(4, total-b.Tokens()))
	for range fresh {
		versions = append(versions, engine)
	}
	return from, versions
}

// read gives the builder one reply, at times damaged: then the sample must be
// refused rather than guessed.
func (w *world) read(b *labels.Builder, offset int, versions []int64) error {
	told := append([]int64(nil), versions...)
	if w.faulty && w.rng.IntN(40) == 0 {
		if w.rng.IntN(2) == 0 {
			told[len(told)-1] = 0
		} else {
			offset += len(told)
		}
	}
	return b.Add(wire.ReadReply{Offset: offset, Tokens: make([]string, len(told)), Versions: told})
}
