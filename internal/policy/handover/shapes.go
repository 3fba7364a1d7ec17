package handover

import (
	"fmt"
	"strings"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// ShapeChange records the shape of the steps from step From on.
type ShapeChange struct {
	From  int64        `json:"from"`
	Shape sample.Shape `json:"shape"`
}

// ShapeOf returns the shape of a step.
func (l *Ledger) ShapeOf(step int64) sample.Shape {
	shape := l.Shape
	for _, c := range l.Changes {
		if c.From <= step {
			shape = c.Shape
		}
	}
	return shape
}

// newestShape returns the shape after all known changes.
func (l *Ledger) newestShape() sample.Shape {
	if n := len(l.Changes); n > 0 {
		return l.Changes[n-1].Shape
	}
	return l.Shape
}

// setShape sets the shape of the steps from step on. No lot of step may be held.
func (l *Ledger) setShape(step int64, shape sample.Shape) {
	var kept []ShapeChange
	for _, c := range l.Changes {
		if c.From < step {
			kept = append(kept, c)
		}
	}
	l.Changes = kept
	if l.newestShape() != shape {
		l.Changes = append(l.Changes, ShapeChange{From: step, Shape: shape})
	}
	for _, state := range []*State{&l.Base, &l.head} {
		if state.Step == step && state.Done.Len() == 0 {
			state.Done = NewSet(shape.Slots())
		}
	}
}

// maxShapeChanges is the maximum number of changes of shape that are kept. A change is
// needed as long as a trainer carries lots of its steps. During an outage these may be older
// than the lots kept in the ledger, but no change can be declared during one.
const maxShapeChanges = 64

// pruneShapes merges the oldest changes beyond maxShapeChanges into Shape.
func (l *Ledger) pruneShapes() {
	for len(l.Changes) > maxShapeChanges {
		l.Shape = l.Changes[0].Shape
		l.Changes = l.Changes[1:]
	}
}

// shapesFrom returns the shapes of the steps from first to the current one.
func (l *Ledger) shapesFrom(first int64) stepShapes {
	shapes := stepShapes{{From: first, Shape: l.ShapeOf(first)}}
	for _, c := range l.Changes {
		if c.From > first && c.From <= l.head.Step {
			shapes = append(shapes, c)
		}
	}
	return shapes
}

// appendHeld adds a lot that a trainer carries. The shapes are those in the trainer's token,
// by which the lots were served. They may differ from the ledger's shapes: a paused owner
// that does not know of a change may have begun the step with the old shape after its
// successor recorded the new one. With the new shape the same IDs would be counted in
// other groups.
func (l *Ledger) appendHeld(held HeldLot, shapes stepShapes) Refusal {
	step := l.head.Step
	if shape, known := shapes.at(step); known && shape != l.ShapeOf(step) {
		if l.head.Done.Len() > 0 {
			return Inconsistent
		}
		l.setShape(step, shape)
	}
	return l.Append(held.IDs)
}

// stepShapes is the part of a token that contains the shapes of the steps whose lots the
// trainer carries, in order of step.
type stepShapes []ShapeChange

// at returns the shape of a step and whether it is known.
func (s stepShapes) at(step int64) (shape sample.Shape, known bool) {
	for _, c := range s {
		if c.From <= step {
			shape, known = c.Shape, true
		}
	}
	return shape, known
}

const shapeFormat = "%d:%d.%d.%d"

// String returns the shapes as they are encoded in tokens.
func (s stepShapes) String() string {
	var b strings.Builder
	for _, c := range s {
		if !validShape(c.Shape) {
			continue // parseToken would reject the whole token
		}
		fmt.Fprintf(&b, "+"+shapeFormat, c.From, c.Shape.Groups, c.Shape.Size, c.Shape.Spare)
	}
	return b.String()
}

// parseShapes parses the result of String. It skips malformed parts, so callers must compare
// the text with the String of the result.
func parseShapes(text string) stepShapes {
	var shapes stepShapes
	for _, part := range strings.Split(text, "+") {
		var c ShapeChange
		n, err := fmt.Sscanf(part, shapeFormat, &c.From, &c.Shape.Groups, &c.Shape.Size, &c.Shape.Spare)
		if err != nil || n != 4 || !validShape(c.Shape) {
			continue
		}
		shapes = append(shapes, c)
	}
	return shapes
}

// maxSlots is the maximum number of slots in a step of a shape from a token, so that a forged
// token cannot exhaust the owner's memory.
const maxSlots = 1 << 20

// validShape reports whether the numbers of a shape are within bounds.
func validShape(s sample.Shape) bool {
	inRange := func(n, minimum int) bool { return n >= minimum && n <= maxSlots }
	return inRange(s.Groups, 1) && inRange(s.Size, 1) && inRange(s.Spare, 0) && s.Groups <= maxSlots/s.PerGroup()
}

// plannedChange returns the declared change of shape that is not yet in force, if any. It
// begins with the next step.
func (o *Owner) plannedChange() (ShapeChange, bool) {
	if o.cfg.Shape == o.confirmed.newestShape() {
		return ShapeChange{}, false
	}
	return ShapeChange{From: o.confirmed.Step() + 1, Shape: o.cfg.Shape}, true
}

// applyShapeChange puts a recorded change in force. If its step has begun meanwhile, it does
// nothing, and the change is planned again for the step after that.
func (o *Owner) applyShapeChange(c ShapeChange) {
	if c.From <= o.confirmed.Step() {
		return
	}
	o.confirmed.setShape(c.From, c.Shape)
	if o.unconfirmed != nil && c.From > o.unconfirmed.Step() {
		o.unconfirmed.setShape(c.From, c.Shape)
	}
	o.changeCount++
}
