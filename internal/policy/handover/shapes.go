package handover

import (
	"fmt"
	"strings"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// ShapeChange tells that the steps from From on have another shape.
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

// newest returns the shape of the last step that a change is known for.
func (l *Ledger) newest() sample.Shape {
	if n := len(l.Changes); n > 0 {
		return l.Changes[n-1].Shape
	}
	return l.Shape
}

// setShape gives the steps from step on a shape; of step no lot may be held.
func (l *Ledger) setShape(step int64, shape sample.Shape) {
	var kept []ShapeChange
	for _, c := range l.Changes {
		if c.From < step {
			kept = append(kept, c)
		}
	}
	l.Changes = kept
	if l.newest() != shape {
		l.Changes = append(l.Changes, ShapeChange{From: step, Shape: shape})
	}
	for _, state := range []*State{&l.Base, &l.head} {
		if state.Step == step && state.Done.Len() == 0 {
			state.Done = NewSet(shape.Slots())
		}
	}
}

// keptChanges is how many changes of shape are kept. They are needed for as long
// as a trainer carries lots of their steps, be those older than the lots kept
// here, as in an outage; in one no change can be declared.
const keptChanges = 64

func (l *Ledger) foldShapes() {
	for len(l.Changes) > keptChanges {
		l.Shape = l.Changes[0].Shape
		l.Changes = l.Changes[1:]
	}
}

// shapesOf returns the shapes of the steps from first to the current one.
func (l *Ledger) shapesOf(first int64) stepShapes {
	shapes := stepShapes{{From: first, Shape: l.ShapeOf(first)}}
	for _, c := range l.Changes {
		if c.From > first && c.From <= l.head.Step {
			shapes = append(shapes, c)
		}
	}
	return shapes
}

// take adds a lot that a trainer carries. The trainer's token tells the shape
// under which its step was served: a paused owner, which has not read of a
// change, may have begun the step in the old shape beside its successor that
// recorded the new one, and the same ids would be counted against other groups.
func (l *Ledger) take(held HeldLot, told stepShapes) Refusal {
	step := l.head.Step
	if shape, known := told.of(step); known && shape != l.ShapeOf(step) {
		if l.head.Done.Len() > 0 {
			return Inconsistent
		}
		l.setShape(step, shape)
	}
	return l.Append(held.IDs)
}

// stepShapes is the part of a token that tells the shapes of the steps whose
// lots its trainer carries, in order.
type stepShapes []ShapeChange

func (s stepShapes) of(step int64) (shape sample.Shape, known bool) {
	for _, c := range s {
		if c.From <= step {
			shape, known = c.Shape, true
		}
	}
	return shape, known
}

const shapeFormat = "%d:%d.%d.%d"

func (s stepShapes) String() string {
	var b strings.Builder
	for _, c := range s {
		if !sound(c.Shape) {
			continue // the reader would refuse the whole token
		}
		fmt.Fprintf(&b, "+"+shapeFormat, c.From, c.Shape.Groups, c.Shape.Size, c.Shape.Spare)
	}
	return b.String()
}

// parseShapes reads what String wrote; its callers hold the text against it.
func parseShapes(text string) stepShapes {
	var shapes stepShapes
	for _, part := range strings.Split(text, "+") {
		var c ShapeChange
		n, err := fmt.Sscanf(part, shapeFormat, &c.From, &c.Shape.Groups, &c.Shape.Size, &c.Shape.Spare)
		if err != nil || n != 4 || !sound(c.Shape) {
			continue
		}
		shapes = append(shapes, c)
	}
	return shapes
}

// maxSlots bounds the step of a shape that a token tells; a forged one must not
// take the owner's memory.
const maxSlots = 1 << 20

func sound(s sample.Shape) bool {
	inRange := func(n, least int) bool { return n >= least && n <= maxSlots }
	return inRange(s.Groups, 1) && inRange(s.Size, 1) && inRange(s.Spare, 0) && s.Groups <= maxSlots/s.PerGroup()
}

// planned returns the change of shape that is declared and not yet in force: it
// begins with the next step.
func (o *Owner) planned() (ShapeChange, bool) {
	if o.cfg.Shape == o.truth.newest() {
		return ShapeChange{}, false
	}
	return ShapeChange{From: o.truth.Step() + 1, Shape: o.cfg.Shape}, true
}

// reshape puts a recorded change in force. If its step has begun meanwhile, the
// change is planned again, for the step after.
func (o *Owner) reshape(c ShapeChange) {
	if c.From <= o.truth.Step() {
		return
	}
	o.truth.setShape(c.From, c.Shape)
	if o.opened != nil && c.From > o.opened.Step() {
		o.opened.setShape(c.From, c.Shape)
	}
	o.changes++
}
