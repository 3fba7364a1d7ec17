// Package handover hands a feed's samples to its trainer, each exactly once and
// none older than the trainer accepts.
//
// The trainer's own pull is the truth. It carries its cursor and the samples of
// every lot that it has not been told to be recorded for good, so any owner that
// has the manifest, be it the paused predecessor or a successor that knows
// nothing else, derives the same set of samples held. An owner therefore serves
// without waiting for the key-value service; the manifest only lets the trainer
// forget what it carries. An owner that cannot account for a cursor serves
// nothing.
//
// Owner is the feed owner's side, Client the trainer's. Both are stepped with
// typed events and own no clock, goroutine or connection.
package handover

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// Refusal says why a pull got no answer.
type Refusal string

// The refusals.
const (
	None Refusal = ""
	// NotOwner: another process owns the feed; pull there.
	NotOwner Refusal = "not-owner"
	// NotReady: the owner has not yet read the feed's manifest; pull again.
	NotReady Refusal = "not-ready"
	// Late: a later pull of the same trainer was seen.
	Late Refusal = "late"
	// Superseded: the trainer was restarted, and its restart has taken over.
	Superseded Refusal = "superseded"
	// Unaccounted: neither the manifest nor the pull tells what some lots held.
	Unaccounted Refusal = "unaccounted"
	// Inconsistent: the lots that the pull carries cannot have been handed over.
	Inconsistent Refusal = "inconsistent"
	// TooOld: the trainer went back further than the manifest keeps, or to a
	// state that an earlier restart gave up.
	TooOld Refusal = "too-old"
	// BadToken: the pull token is not one that was handed out.
	BadToken Refusal = "bad-token"
)

// HeldLot is a lot that a trainer holds.
type HeldLot struct {
	Cursor int64
	IDs    []sample.ID
}

// Pull is a trainer's call for the lot after Cursor.
type Pull struct {
	Cursor     int64
	Version    int64 // the trainer's weight version
	Token      string
	Restarted  bool
	Unrecorded []HeldLot // in order of cursor, up to Cursor
}

// Answer is what a pull gets.
type Answer struct {
	Cursor       int64 // once the lot is held
	Token        string
	Samples      []sample.Sample // empty: nothing ready; the cursor stays
	Recorded     int64
	Step         int64
	StepComplete bool // with this lot
}

// Event is something that happened to the owner.
type Event interface{ event() }

// ReadDone is the answer to a Read: the manifest and its revision, 0 if absent.
type ReadDone struct {
	Value    []byte
	Revision int64
}

// ReadFailed tells that a Read got no answer.
type ReadFailed struct{}

// WriteResult is the outcome of a Write.
type WriteResult int

// The outcomes of a Write.
const (
	WriteApplied       WriteResult = iota // in effect
	WriteConflict                         // another write was first; Value stands
	WriteIndeterminate                    // may or may not have taken effect
	WriteNotApplied                       // had no effect
)

// WriteDone is the answer to a Write.
type WriteDone struct {
	Nonce    string
	Result   WriteResult
	Value    []byte // that stands; with WriteConflict
	Revision int64  // of what stands; with WriteTaken and WriteConflict
}

// Pulled is a trainer's pull. Call names it in the answer.
type Pulled struct {
	Call uint64
	Pull Pull
}

// PullTimedOut tells that a pull has waited as long as its trainer allows.
type PullTimedOut struct{ Call uint64 }

// Completed is a sample that is generated, labelled and scored.
type Completed struct{ Sample sample.Sample }

// Announced tells that the trainer has published a weight version.
type Announced struct{ Version int64 }

// Configured carries a new declaration of the feed.
type Configured struct{ Config Config }

// Tick tells that time has passed.
type Tick struct{}

func (ReadDone) event()     {}
func (ReadFailed) event()   {}
func (WriteDone) event()    {}
func (Pulled) event()       {}
func (PullTimedOut) event() {}
func (Completed) event()    {}
func (Announced) event()    {}
func (Configured) event()   {}
func (Tick) event()         {}

// Action is something that the owner's runtime is to do.
type Action interface{ action() }

// Read asks for the feed's manifest.
type Read struct{}

// Write asks for a compare-and-swap of the feed's manifest.
type Write struct {
	Nonce    string
	Expected int64
	Value    []byte
}

// Reply answers a pull.
type Reply struct {
	Call   uint64
	Answer Answer
}

// Refuse ends a pull without an answer.
type Refuse struct {
	Call   uint64
	Reason Refusal
}

// Deposed tells that a successor owns the feed; the owner is done.
type Deposed struct{}

func (Read) action()    {}
func (Write) action()   {}
func (Reply) action()   {}
func (Refuse) action()  {}
func (Deposed) action() {}

// Config is the feed's declaration as far as hand-over needs it.
type Config struct {
	Shape          sample.Shape
	LotSize        int // samples handed over at once at most
	Limits         sample.Limits
	RetryInterval  time.Duration // between tries of the key-value service
	RecordInterval time.Duration // between writes of the manifest at least
}

// Counters count what happened to samples and pulls since the owner began.
type Counters struct {
	Handed     int64 // samples in answers, repeats included
	Repeats    int64 // answers that gave a lot again
	Stale      int64 // samples dropped for their age
	Surplus    int64 // complete samples that nobody needed
	Refused    int64
	Recordings int64 // manifest writes that took effect
	Rewinds    int64 // restarts from before the last recorded lot
}
