package rollout

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// shapeChanges declares other shapes of the steps while a schedule plays. Its
// draws are its own, so that the faults are those of the seed.
type shapeChanges struct {
	rng      *rand.Rand
	declared []sample.Shape
}

// RunShapeSchedule plays one seeded schedule in which the shape changes.
func RunShapeSchedule(seed uint64, harm DisabledSafeguards) (Violations, FaultCounts) {
	w := newWorld(seed, harm)
	w.shapes = &shapeChanges{
		rng:      rand.New(rand.NewPCG(seed, 0x5a9e)),
		declared: []sample.Shape{w.cfg.Shape},
	}
	w.redeclare()
	return w.play()
}

// redeclare changes the shape; word of it reaches the owners at different times.
func (w *world) redeclare() {
	if !w.faulty {
		return
	}
	rng := w.shapes.rng
	w.time.After(time.Duration(20+rng.IntN(400))*time.Millisecond, w.redeclare)
	w.cfg.Shape = sample.Shape{Groups: 1 + rng.IntN(3), Size: 1 + rng.IntN(4), Spare: rng.IntN(2)}
	w.shapes.declared = append(w.shapes.declared, w.cfg.Shape)
	w.seen.ShapeChanges++
	cfg := w.cfg
	for _, n := range w.nodes {
		w.time.After(time.Duration(rng.IntN(300))*time.Millisecond, func() { n.deliver(handover.Configured{Config: cfg}) })
	}
}

// declared is the declaration that a process starts with: at times the one
// before the newest.
func (w *world) declared() handover.Config {
	cfg := w.cfg
	if w.shapes == nil || !w.faulty {
		return cfg
	}
	known := w.shapes.declared
	if len(known) > 1 && w.shapes.rng.IntN(4) == 0 {
		cfg.Shape = known[len(known)-2]
	}
	return cfg
}

// settleShapes counts the steps that came in no shape that was ever declared.
func (t *trainer) settleShapes() {
	var before sample.Shape
	for step := range int64(t.w.steps) {
		groups := map[int64]int{}
		for _, id := range t.held {
			if id.Step == step {
				groups[id.Group]++
			}
		}
		shape, whole := t.w.shapes.match(groups)
		if !whole {
			t.w.bad.Lost++
		}
		if step > 0 && (shape.Groups != before.Groups || shape.Size != before.Size) {
			t.w.seen.ReshapedSteps++
		}
		before = shape
	}
}

// match returns the declared shape that a step's groups make up.
func (s *shapeChanges) match(groups map[int64]int) (sample.Shape, bool) {
	for _, shape := range s.declared {
		whole := len(groups) == shape.Groups
		for group := range int64(shape.Groups) {
			whole = whole && groups[group] == shape.Size
		}
		if whole {
			return shape, true
		}
	}
	return sample.Shape{}, false
}
