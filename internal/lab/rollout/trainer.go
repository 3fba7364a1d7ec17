package rollout

import (
	"strconv"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// trainer is a trainer process with its durable state and the checker of what
// it takes.
type trainer struct {
	w       *world
	client  *handover.Client
	version int64
	call    uint64 // newest pull
	first   uint64 // first pull since the start; answers to earlier ones reach nobody
	held    []sample.ID
	step    int64 // complete ones, as told; only where shapes change
	kept    []checkpoint
	ended   error
}

// checkpoint is what the trainer keeps durably.
type checkpoint struct {
	at      handover.Position
	held    []sample.ID
	step    int64
	version int64
}

func newTrainer(w *world) trainer {
	return trainer{w: w, version: 1, kept: []checkpoint{{version: 1}}}
}

func (t *trainer) start() {
	last := t.kept[len(t.kept)-1]
	t.held = append([]sample.ID(nil), last.held...)
	t.step = last.step
	t.version = last.version
	t.first = t.call + 1
	t.client = handover.NewClient(last.at, versionsBound)
	t.pull()
}

// restart ends the process and starts it from one of its newest checkpoints.
// Going back to one gives up those after it.
func (t *trainer) restart() {
	t.w.seen.Restarts++
	back := min(t.w.rng.IntN(3), len(t.kept)-1)
	t.kept = t.kept[:len(t.kept)-back]
	t.start()
}

// publish makes a version of the engines the trainer's own.
func (t *trainer) publish(version int64) {
	t.version = version
	for _, n := range t.w.nodes {
		if !t.w.lost() {
			t.w.time.After(t.w.delay(), func() { n.deliver(handover.Announced{Version: version}) })
		}
	}
}

func (t *trainer) finished() bool {
	return t.ended != nil || t.client.Position().Cursor > 0 && t.complete() >= int64(t.w.steps)
}

func (t *trainer) complete() int64 {
	if t.w.shapes != nil {
		return t.step
	}
	return int64(len(t.held) / t.w.cfg.Shape.Needed())
}

// pull calls for the next lot and calls again when no answer comes. The earlier
// call stays under way: its answer may come after the newer one's.
func (t *trainer) pull() {
	t.call++
	call := t.call
	p := t.client.Pull(t.version)
	if t.w.harm.RewritePull != nil {
		p = t.w.harm.RewritePull(p)
	}
	t.w.time.After(pullPatience, func() {
		if t.call == call && !t.finished() {
			t.pull()
		}
	})
	copies := 1
	if t.w.faulty && t.w.rng.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		t.send(call, p)
	}
}

func (t *trainer) send(call uint64, p handover.Pull) {
	if t.w.lost() {
		return
	}
	t.w.time.After(t.w.delay(), func() {
		if n := t.w.route(); n != nil {
			n.pull(call, p)
		}
	})
}

// reach brings an answer to the process that pulled, if it still lives.
func (t *trainer) reach(call uint64, fn func(newest bool)) {
	if t.w.lost() {
		return
	}
	t.w.time.After(t.w.delay(), func() {
		if call >= t.first && !t.finished() {
			fn(call == t.call)
		}
	})
}

func (t *trainer) answered(call uint64, a handover.Answer) {
	t.reach(call, func(newest bool) {
		if t.w.harm.RewriteAnswer != nil {
			a = t.w.harm.RewriteAnswer(t.client.Position(), a)
		}
		lot := t.client.HandleAnswer(a, t.version)
		t.check(lot)
		if len(lot) > 0 && a.StepComplete {
			t.step++
		}
		if len(lot) > 0 && t.w.rng.IntN(2) == 0 {
			t.keep()
		}
		if newest || len(lot) > 0 {
			t.pull()
		}
	})
}

func (t *trainer) refused(call uint64, reason handover.Refusal) {
	t.reach(call, func(newest bool) {
		if !newest {
			return
		}
		err := t.client.HandleRefusal(reason)
		if errors.Is(err, handover.ErrSuperseded) {
			// A late pull of a run that is gone took the feed over. The process
			// ends and its supervisor starts it again.
			t.w.seen.Superseded++
			t.start()
			return
		}
		t.ended = err
	})
}

func (t *trainer) keep() {
	t.kept = append(t.kept, checkpoint{at: t.client.Position(), held: append([]sample.ID(nil), t.held...), step: t.step, version: t.version})
}

// check judges what was taken against what the world knows.
func (t *trainer) check(lot []sample.Sample) {
	t.w.seen.AcceptedSamples += len(lot)
	step := t.complete()
	for _, s := range lot {
		for _, held := range t.held {
			if held == s.ID {
				t.w.bad.Duplicates++
			}
		}
		if s.ID.Step != step {
			t.w.bad.Lost++
		}
		t.checkLabels(s)
	}
	for _, s := range lot {
		t.held = append(t.held, s.ID)
	}
}

func (t *trainer) checkLabels(s sample.Sample) {
	n, err := strconv.Atoi(s.Text)
	if err != nil {
		t.w.bad.Mislabeled++
		return
	}
	truth := t.w.runs[n].versions
	told := make([]int64, 0, len(truth))
	for _, segment := range s.Segments {
		for range segment.To - segment.From {
			told = append(told, segment.Version)
		}
	}
	same := len(told) == len(truth)
	stale := false
	for i, version := range truth {
		same = same && told[i] == version
		stale = stale || t.version-version > versionsBound
	}
	if !same {
		t.w.bad.Mislabeled++
	}
	if stale {
		t.w.bad.Stale++
	}
}

// settle counts what never came: every group of every finished step must be
// there with exactly its size.
func (t *trainer) settle() {
	if t.w.shapes != nil {
		t.settleShapes()
		return
	}
	shape := t.w.cfg.Shape
	counts := map[[2]int64]int{}
	for _, id := range t.held {
		counts[[2]int64{id.Step, id.Group}]++
	}
	for step := range int64(t.w.steps) {
		for group := range int64(shape.Groups) {
			if missing := shape.Size - counts[[2]int64{step, group}]; missing != 0 {
				t.w.bad.Lost += max(missing, -missing)
			}
		}
	}
}
