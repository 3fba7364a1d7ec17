// Package handover hands the samples of a feed over to its trainer, each exactly once and
// none older than the trainer accepts.
//
// The source of truth is the trainer's own pull. It contains the trainer's cursor and the
// sample IDs of every lot that the trainer does not yet know to be recorded. From the
// manifest and the pull, any owner can derive the set of samples that the trainer holds,
// whether it is a paused predecessor or a successor without any other state. So an owner
// need not wait for the key-value service to answer a pull. Recording the manifest only
// allows the trainer to drop lots from its pulls. An owner that cannot account for all lots
// up to a pull's cursor refuses the pull.
//
// Owner implements the side of the feed's owner, Client that of the trainer. Both are state
// machines without clocks, goroutines or connections. Owner is driven by typed events.
package handover

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// Refusal is the reason why a pull was refused.
type Refusal string

// The reasons of refusals.
const (
	None Refusal = ""
	// NotOwner means that another process owns the feed. The trainer should pull there.
	NotOwner Refusal = "not-owner"
	// NotReady means that the owner has not yet claimed the feed's manifest. The trainer
	// should pull again.
	NotReady Refusal = "not-ready"
	// Late means that the owner has seen a later pull of the same trainer.
	Late Refusal = "late"
	// Superseded means that a later session of the trainer has taken over.
	Superseded Refusal = "superseded"
	// Unaccounted means that the contents of some lots are neither in the manifest nor in
	// the pull.
	Unaccounted Refusal = "unaccounted"
	// Inconsistent means that the lots in the pull cannot have been handed over.
	Inconsistent Refusal = "inconsistent"
	// TooOld means that the trainer resumed from a state older than the manifest keeps, or
	// from a state that was abandoned by an earlier restart.
	TooOld Refusal = "too-old"
	// BadToken means that the pull token was not issued by an owner.
	BadToken Refusal = "bad-token"
)

// HeldLot is a lot that a trainer holds. Cursor is the trainer's cursor after it.
type HeldLot struct {
	Cursor int64
	IDs    []sample.ID
}

// Pull is a trainer's request for the lot that follows Cursor.
type Pull struct {
	Cursor     int64
	Version    int64     // the trainer's weight version
	Token      string    // of the latest answer; empty before the first
	Restarted  bool      // the trainer has restarted and opens a new session
	Unrecorded []HeldLot // lots not known to be recorded, in order of cursor, up to Cursor
}

// Answer is the answer to a pull.
type Answer struct {
	Cursor       int64 // the trainer's cursor after it accepts the answer
	Token        string
	Samples      []sample.Sample // empty if none are ready; the cursor then stays the same
	Recorded     int64           // cursor up to which the lots are recorded
	Step         int64           // current step of the trainer; the step of the samples
	StepComplete bool            // this lot completes the step
}

// Event is an input of an Owner.
type Event interface{ event() }

// ReadDone is the result of a Read: the manifest and its revision, which is 0 if the
// manifest does not exist.
type ReadDone struct {
	Value    []byte
	Revision int64
}

// ReadFailed reports that a Read failed.
type ReadFailed struct{}

// WriteResult is the outcome of a Write.
type WriteResult int

// The outcomes of a Write.
const (
	WriteApplied       WriteResult = iota // it took effect
	WriteConflict                         // another write took effect first; Value is the current value
	WriteIndeterminate                    // it may or may not have taken effect
	WriteNotApplied                       // it had no effect
)

// WriteDone is the result of a Write.
type WriteDone struct {
	Nonce    string
	Result   WriteResult
	Value    []byte // current value; only with WriteConflict
	Revision int64  // current revision; only with WriteApplied and WriteConflict
}

// Pulled reports a trainer's pull. Call identifies it in the Reply or Refuse action.
type Pulled struct {
	Call uint64
	Pull Pull
}

// PullTimedOut reports that a pull has waited as long as its trainer allows.
type PullTimedOut struct{ Call uint64 }

// Completed reports a sample that was generated, labelled and scored.
type Completed struct{ Sample sample.Sample }

// Announced reports that the trainer has published a weight version.
type Announced struct{ Version int64 }

// Configured reports a new declaration of the feed.
type Configured struct{ Config Config }

// Tick reports that time has passed.
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

// Action is an output of an Owner, which its runtime must execute.
type Action interface{ action() }

// Read asks the runtime to read the feed's manifest. It must end in ReadDone or ReadFailed.
type Read struct{}

// Write asks the runtime for a compare-and-swap of the feed's manifest. It must end in
// WriteDone.
type Write struct {
	Nonce    string
	Expected int64 // revision
	Value    []byte
}

// Reply sends an answer to a pull.
type Reply struct {
	Call   uint64
	Answer Answer
}

// Refuse refuses a pull.
type Refuse struct {
	Call   uint64
	Reason Refusal
}

// Deposed reports that a successor owns the feed. The owner does nothing any more.
type Deposed struct{}

func (Read) action()    {}
func (Write) action()   {}
func (Reply) action()   {}
func (Refuse) action()  {}
func (Deposed) action() {}

// Config is the part of the feed's declaration that the hand-over needs.
type Config struct {
	Shape          sample.Shape
	LotSize        int // maximum number of samples in a lot
	Limits         sample.Limits
	RetryInterval  time.Duration // minimum time after a failed try to access the manifest until the next one
	RecordInterval time.Duration // minimum time from one write of the manifest to the next
}

// Counters counts events of an owner since it began.
type Counters struct {
	Handed     int64 // samples in answers, including repeated lots
	Repeats    int64 // answers that repeated a lot
	Stale      int64 // samples dropped as too old
	Surplus    int64 // completed samples that were not needed
	Refused    int64 // new pulls refused for what they carry
	Recordings int64 // manifest writes that took effect
	Rewinds    int64 // sessions confirmed that resumed from before the confirmed cursor
}
