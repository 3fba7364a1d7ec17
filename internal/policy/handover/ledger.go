package handover

import (
	"math/bits"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// Steps of which single lots are kept beside the current one, and the ends of
// steps kept beyond them; they bound the manifest to a few tens of kilobytes.
const (
	keptSteps = 2
	keptMarks = 512
)

// Set is a set of a step's slots, one bit each.
type Set []byte

// NewSet returns an empty set for slots slots.
func NewSet(slots int) Set { return make(Set, (slots+7)/8) }

// Has tells whether slot is in the set.
func (s Set) Has(slot int) bool {
	return slot/8 < len(s) && s[slot/8]&(1<<(slot%8)) != 0
}

// Add puts slot into the set.
func (s Set) Add(slot int) { s[slot/8] |= 1 << (slot % 8) }

// Len returns the number of slots in the set.
func (s Set) Len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// State is what a trainer holds at a cursor: every step before Step, and of
// Step the slots in Done.
type State struct {
	Cursor int64 `json:"cursor"`
	Step   int64 `json:"step"`
	Done   Set   `json:"done"`
}

// Lot is the samples that moved the cursor by one; they are of one step.
type Lot struct {
	Step  int64 `json:"step"`
	Slots Set   `json:"slots"`
}

// Mark is the cursor at which a step was complete; Step is the next one.
type Mark struct {
	Cursor int64 `json:"cursor"`
	Step   int64 `json:"step"`
}

// Branch tells that a session went on from a cursor at which an earlier one had
// not ended. What that session was given after From no longer counts.
type Branch struct {
	Session Session `json:"session"`
	From    int64   `json:"from"`
}

// Ledger says what a trainer holds, lot by lot.
type Ledger struct {
	Shape    sample.Shape  `json:"shape"`   // of the steps before the first change
	Session  Session       `json:"session"` // of the trainer's life that Head belongs to
	Base     State         `json:"base"`    // the oldest state from which every lot is kept
	Lots     []Lot         `json:"lots"`    // Lots[i] moved the cursor to Base.Cursor+1+i
	Marks    []Mark        `json:"marks"`   // in order of cursor; the first is the feed's beginning
	Branches []Branch      `json:"branches,omitempty"`
	Changes  []ShapeChange `json:"changes,omitempty"` // of the shape, in order of step
	head     State         // Base with every lot; derived
}

// NewLedger returns the ledger of a trainer that holds nothing.
func NewLedger(shape sample.Shape) *Ledger {
	l := &Ledger{Shape: shape, Marks: []Mark{{}}}
	l.Base.Done = NewSet(shape.Slots())
	l.head = copyState(l.Base)
	return l
}

// Cursor returns the number of lots held.
func (l *Ledger) Cursor() int64 { return l.head.Cursor }

// Step returns the step that is being handed over.
func (l *Ledger) Step() int64 { return l.head.Step }

// Holds tells whether the trainer holds id.
func (l *Ledger) Holds(id sample.ID) bool {
	if id.Step != l.head.Step {
		return id.Step < l.head.Step
	}
	slot := l.ShapeOf(id.Step).Slot(id)
	return slot >= 0 && l.head.Done.Has(slot)
}

// Needs tells whether id may still be handed over.
func (l *Ledger) Needs(id sample.ID) bool {
	return !l.Holds(id) && l.ShapeOf(id.Step).Slot(id) >= 0
}

// GroupHeld returns how many samples of a group of the current step are held.
func (l *Ledger) GroupHeld(group int) int {
	return heldOf(l.ShapeOf(l.head.Step), l.head.Done, group)
}

func heldOf(shape sample.Shape, done Set, group int) int {
	n := 0
	first := group * shape.PerGroup()
	for slot := first; slot < first+shape.PerGroup(); slot++ {
		if done.Has(slot) {
			n++
		}
	}
	return n
}

// Remaining returns how many samples of the current step are still to be handed over.
func (l *Ledger) Remaining() int { return l.ShapeOf(l.head.Step).Needed() - l.head.Done.Len() }

// Append adds the lot that moves the cursor by one. It is refused if it is
// empty, not of the current step, or holds what is held already.
func (l *Ledger) Append(ids []sample.ID) Refusal {
	shape := l.ShapeOf(l.head.Step)
	lot := Lot{Step: l.head.Step, Slots: NewSet(shape.Slots())}
	if len(ids) == 0 {
		return Inconsistent
	}
	for _, id := range ids {
		slot := shape.Slot(id)
		if id.Step != lot.Step || slot < 0 || lot.Slots.Has(slot) || l.head.Done.Has(slot) {
			return Inconsistent
		}
		lot.Slots.Add(slot)
	}
	l.Lots = append(l.Lots, lot)
	l.apply(lot)
	return None
}

func (l *Ledger) apply(lot Lot) {
	l.advance(&l.head, lot)
	if l.head.Step > lot.Step {
		l.Marks = append(l.Marks, Mark{Cursor: l.head.Cursor, Step: l.head.Step})
		l.prune()
	}
}

func (l *Ledger) advance(s *State, lot Lot) {
	for i, b := range lot.Slots {
		s.Done[i] |= b
	}
	s.Cursor++
	if s.Done.Len() >= l.ShapeOf(s.Step).Needed() {
		s.Step++
		s.Done = NewSet(l.ShapeOf(s.Step).Slots())
	}
}

// prune moves the base past the steps whose lots are no longer kept.
func (l *Ledger) prune() {
	for len(l.Lots) > 0 && l.Lots[0].Step < l.head.Step-keptSteps {
		l.advance(&l.Base, l.Lots[0])
		l.Lots = l.Lots[1:]
	}
	l.foldShapes()
	if extra := len(l.Marks) - keptMarks; extra > 0 {
		l.Marks = append(l.Marks[:1:1], l.Marks[1+extra:]...)
	}
}

// At returns the ledger as it was at an earlier cursor; nil if that is not kept.
func (l *Ledger) At(cursor int64) *Ledger {
	if cursor > l.head.Cursor {
		return nil
	}
	c := &Ledger{Shape: l.Shape, Session: l.Session, Branches: l.Branches[:len(l.Branches):len(l.Branches)]}
	c.Changes = l.Changes[:len(l.Changes):len(l.Changes)]
	if cursor >= l.Base.Cursor {
		c.Base = copyState(l.Base)
		c.Lots = l.Lots[: cursor-l.Base.Cursor : cursor-l.Base.Cursor]
	} else if !l.atMark(c, cursor) {
		return nil
	}
	for _, m := range l.Marks {
		if m.Cursor <= cursor {
			c.Marks = append(c.Marks, m)
		}
	}
	c.rebuild()
	return c
}

func (l *Ledger) atMark(c *Ledger, cursor int64) bool {
	for _, m := range l.Marks {
		if m.Cursor == cursor {
			c.Base = State{Cursor: m.Cursor, Step: m.Step, Done: NewSet(l.ShapeOf(m.Step).Slots())}
			return true
		}
	}
	return false
}

// rebuild derives the head from the base and the lots.
func (l *Ledger) rebuild() {
	l.head = copyState(l.Base)
	for _, lot := range l.Lots {
		l.advance(&l.head, lot)
	}
}

// abandoned tells whether what a trainer of session held up to cursor was given
// up by a later session that went on from before it.
func (l *Ledger) abandoned(session Session, cursor int64) bool {
	for _, b := range l.Branches {
		if b.Session.After(session) && b.From < cursor {
			return true
		}
	}
	return false
}

func copyState(s State) State {
	s.Done = append(Set(nil), s.Done...)
	return s
}
