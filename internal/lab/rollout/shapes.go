package rollout

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// shapeChanges declares other shapes of the steps during a schedule. It has its own
// source of random numbers, so that its draws do not change the faults of a seed.
type shapeChanges struct {
	rng      *rand.Rand
	declared []sample.Shape // all shapes declared so far, oldest first
}

// RunShapeSchedule simulates the schedule of a seed with changes of the shape.
func RunShapeSchedule(seed uint64, disabled DisabledSafeguards) (Violations, FaultCounts) {
	w := newWorld(seed, disabled)
	w.shapes = &shapeChanges{
		rng:      rand.New(rand.NewPCG(seed, 0x5a9e)),
		declared: []sample.Shape{w.config.Shape},
	}
	w.redeclare()
	return w.run()
}

// redeclare declares a random shape at random intervals until the period of faults is
// over. The declaration reaches each owner after a delay of its own.
func (w *world) redeclare() {
	if !w.faultsActive {
		return
	}
	rng := w.shapes.rng
	w.clock.After(time.Duration(20+rng.IntN(400))*time.Millisecond, w.redeclare)
	w.config.Shape = sample.Shape{Groups: 1 + rng.IntN(3), Size: 1 + rng.IntN(4), Spare: rng.IntN(2)}
	w.shapes.declared = append(w.shapes.declared, w.config.Shape)
	w.faults.ShapeChanges++
	cfg := w.config
	for _, o := range w.owners {
		w.clock.After(time.Duration(rng.IntN(300))*time.Millisecond, func() { o.deliver(handover.Configured{Config: cfg}) })
	}
}

// initialConfig returns the configuration that a process starts with. In some cases its
// shape is the one declared before the newest.
func (w *world) initialConfig() handover.Config {
	cfg := w.config
	if w.shapes == nil || !w.faultsActive {
		return cfg
	}
	declared := w.shapes.declared
	if len(declared) > 1 && w.shapes.rng.IntN(4) == 0 {
		cfg.Shape = declared[len(declared)-2]
	}
	return cfg
}

// checkShapes counts the steps whose samples match no declared shape.
func (t *trainer) checkShapes() {
	var previous sample.Shape
	for step := range int64(t.world.steps) {
		groups := map[int64]int{}
		for _, id := range t.held {
			if id.Step == step {
				groups[id.Group]++
			}
		}
		shape, matched := t.world.shapes.matchShape(groups)
		if !matched {
			t.world.violations.Lost++
		}
		if step > 0 && (shape.Groups != previous.Groups || shape.Size != previous.Size) {
			t.world.faults.ReshapedSteps++
		}
		previous = shape
	}
}

// matchShape returns the declared shape that matches the numbers of samples in a step's
// groups.
func (s *shapeChanges) matchShape(groups map[int64]int) (sample.Shape, bool) {
	for _, shape := range s.declared {
		matched := len(groups) == shape.Groups
		for group := range int64(shape.Groups) {
			matched = matched && groups[group] == shape.Size
		}
		if matched {
			return shape, true
		}
	}
	return sample.Shape{}, false
}
