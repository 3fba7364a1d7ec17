package handover

import (
	"math/bits"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// keptSteps is the number of steps before the current one whose single lots are kept, and
// maxMarks the maximum number of marks. They limit the manifest to a few tens of kilobytes.
const (
	keptSteps = 2
	maxMarks  = 512
)

// Set is a bit set of the slots of a step.
type Set []byte

// NewSet returns an empty set for the given number of slots.
func NewSet(slots int) Set { return make(Set, (slots+7)/8) }

// Has reports whether slot is in the set.
func (s Set) Has(slot int) bool {
	return slot/8 < len(s) && s[slot/8]&(1<<(slot%8)) != 0
}

// Add adds slot to the set.
func (s Set) Add(slot int) { s[slot/8] |= 1 << (slot % 8) }

// Len returns the number of slots in the set.
func (s Set) Len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// State is the set of samples that a trainer holds at a cursor: all samples of the steps
// before Step, and the slots in Done of Step.
type State struct {
	Cursor int64 `json:"cursor"`
	Step   int64 `json:"step"`
	Done   Set   `json:"done"`
}

// Lot is a set of samples of one step that were handed over together and advanced the
// cursor by one.
type Lot struct {
	Step  int64 `json:"step"`
	Slots Set   `json:"slots"`
}

// Mark records the cursor at which a step was complete. Step is the step after it.
type Mark struct {
	Cursor int64 `json:"cursor"`
	Step   int64 `json:"step"`
}

// Branch records that a session resumed from the cursor From while earlier sessions had
// already passed it. The lots that those sessions got after From are abandoned.
type Branch struct {
	Session Session `json:"session"`
	From    int64   `json:"from"`
}

// Ledger records lot by lot which samples a trainer holds.
type Ledger struct {
	Shape    sample.Shape  `json:"shape"`   // shape of the steps before the first change
	Session  Session       `json:"session"` // session that head belongs to
	Base     State         `json:"base"`    // the oldest state after which every lot is kept
	Lots     []Lot         `json:"lots"`    // Lots[i] advanced the cursor to Base.Cursor+1+i
	Marks    []Mark        `json:"marks"`   // in order of cursor; the first is the start of the feed
	Branches []Branch      `json:"branches,omitempty"`
	Changes  []ShapeChange `json:"changes,omitempty"` // changes of the shape, in order of step
	head     State         // Base with all lots applied; not stored
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

// Step returns the current step, which is being handed over.
func (l *Ledger) Step() int64 { return l.head.Step }

// Holds reports whether the trainer holds the sample.
func (l *Ledger) Holds(id sample.ID) bool {
	if id.Step != l.head.Step {
		return id.Step < l.head.Step
	}
	slot := l.ShapeOf(id.Step).Slot(id)
	return slot >= 0 && l.head.Done.Has(slot)
}

// Needs reports whether the sample may still be handed over.
func (l *Ledger) Needs(id sample.ID) bool {
	return !l.Holds(id) && l.ShapeOf(id.Step).Slot(id) >= 0
}

// GroupHeld returns how many samples of a group of the current step are held.
func (l *Ledger) GroupHeld(group int) int {
	return countHeld(l.ShapeOf(l.head.Step), l.head.Done, group)
}

func countHeld(shape sample.Shape, done Set, group int) int {
	n := 0
	first := group * shape.PerGroup()
	for slot := first; slot < first+shape.PerGroup(); slot++ {
		if done.Has(slot) {
			n++
		}
	}
	return n
}

// Remaining returns how many samples of the current step remain to be handed over.
func (l *Ledger) Remaining() int { return l.ShapeOf(l.head.Step).Needed() - l.head.Done.Len() }

// Append adds a lot, which advances the cursor by one. It returns Inconsistent if the lot
// is empty, not of the current step, or contains samples that are already held.
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

// apply adds a lot to the head, and a mark if the lot completes the step.
func (l *Ledger) apply(lot Lot) {
	l.advance(&l.head, lot)
	if l.head.Step > lot.Step {
		l.Marks = append(l.Marks, Mark{Cursor: l.head.Cursor, Step: l.head.Step})
		l.prune()
	}
}

// advance adds a lot to a state.
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

// prune advances the base past the steps whose lots are no longer kept, and drops the
// oldest marks, except the one at the start of the feed, and the oldest shape changes beyond
// their maximum numbers.
func (l *Ledger) prune() {
	for len(l.Lots) > 0 && l.Lots[0].Step < l.head.Step-keptSteps {
		l.advance(&l.Base, l.Lots[0])
		l.Lots = l.Lots[1:]
	}
	l.pruneShapes()
	if extra := len(l.Marks) - maxMarks; extra > 0 {
		l.Marks = append(l.Marks[:1:1], l.Marks[1+extra:]...)
	}
}

// At returns the ledger as it was at a cursor, or nil if that state is not kept.
func (l *Ledger) At(cursor int64) *Ledger {
	if cursor > l.head.Cursor {
		return nil
	}
	c := &Ledger{Shape: l.Shape, Session: l.Session, Branches: l.Branches[:len(l.Branches):len(l.Branches)]}
	c.Changes = l.Changes[:len(l.Changes):len(l.Changes)]
	if cursor >= l.Base.Cursor {
		c.Base = copyState(l.Base)
		c.Lots = l.Lots[: cursor-l.Base.Cursor : cursor-l.Base.Cursor]
	} else if !l.setBaseFromMark(c, cursor) {
		return nil
	}
	for _, m := range l.Marks {
		if m.Cursor <= cursor {
			c.Marks = append(c.Marks, m)
		}
	}
	c.rebuildHead()
	return c
}

// setBaseFromMark sets the base of c to the mark at the cursor. It returns false if there is
// no such mark.
func (l *Ledger) setBaseFromMark(c *Ledger, cursor int64) bool {
	for _, m := range l.Marks {
		if m.Cursor == cursor {
			c.Base = State{Cursor: m.Cursor, Step: m.Step, Done: NewSet(l.ShapeOf(m.Step).Slots())}
			return true
		}
	}
	return false
}

// rebuildHead computes the head from the base and the lots.
func (l *Ledger) rebuildHead() {
	l.head = copyState(l.Base)
	for _, lot := range l.Lots {
		l.advance(&l.head, lot)
	}
}

// abandoned reports whether a later session resumed from before the cursor, so that the
// state of the given session at the cursor is no longer valid.
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
