package config

import (
	"time"

	"siskinloom.example/siskinloom/internal/decl"
)

// maxRounds limits how often an attempt restarts after it lost a race. Each round
// ends in a verdict unless another writer was faster again.
const maxRounds = 8

// Request is a change that an operator requests.
type Request struct {
	Deployment string
	Expected   int64 // revision that the operator saw, or AnyRevision
	Operator   string
	From       string
	ChangeID   string // the same in all retries of one change; makes them idempotent
	Action     string
	Now        time.Time
	// Edit returns the wanted declarations, given the current ones, which it must
	// not modify. It may be called several times.
	Edit func(current *decl.Deployment) *decl.Deployment
}

// AnyRevision as the expected revision requests a change that does not depend on
// other changes, such as a drain.
const AnyRevision = -1

// Verdict is the outcome of an attempt.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // the change is in the record
	Unchanged                // the record already has what was requested
	Conflict                 // refused: the record does not have the expected revision
	Failed                   // refused: certainly not accepted, as the service did not answer or other writers were always faster
	Unknown                  // it may be accepted; a retry with the same change ID finds out
)

// Result is the result of an attempt.
type Result struct {
	Verdict Verdict
	Record  Record        // the current record, as far as known
	Changes []decl.Change // the changes made or, on a conflict, those since the expected revision
}

// StepKind says what the caller does next.
type StepKind int

// The kinds of step.
const (
	StepRead    StepKind = iota // read Key; pass the record to ReadDone
	StepWrite                   // compare-and-swap Key; pass the outcome to WriteDone
	StepArchive                 // create Key unless it exists; pass its content to ArchiveDone
	StepDone                    // finished with Result
)

// Step is the next step of an attempt or of a write of a RefusedLog.
type Step struct {
	Kind     StepKind
	Key      string
	Expected int64 // revision of Key in the service
	Value    []byte
	Result   Result
}

// WriteOutcome is the outcome of a compare-and-swap.
type WriteOutcome int

// The outcomes of a compare-and-swap.
const (
	WriteSwapped       WriteOutcome = iota
	WriteConflict                   // another write was faster
	WriteNotApplied                 // the call certainly had no effect
	WriteIndeterminate              // the call may have taken effect or may still do so
)

// Attempt writes one change to the record.
type Attempt struct {
	request           Request
	rounds            int
	base              Record // the record read last
	keyRev            int64  // revision of the key in the service, read last
	next              Record // the record that is written
	changes           []decl.Change
	indeterminate     bool  // a write of this change may still be in flight
	indeterminateBase int64 // revision of the record that the write builds on
}

// NewAttempt returns an attempt and its first step.
func NewAttempt(r Request) (*Attempt, Step) {
	a := &Attempt{request: r}
	return a, a.read()
}

func (a *Attempt) read() Step {
	return Step{Kind: StepRead, Key: Key(a.request.Deployment)}
}

// ReadDone processes the record that was read; ok is false if it could not be read.
func (a *Attempt) ReadDone(record Record, keyRevision int64, ok bool) Step {
	if !ok {
		return a.unanswered()
	}
	a.base, a.keyRev = record, keyRevision
	if revision, found := record.revisionOf(a.request.ChangeID); found {
		return done(Result{Verdict: Accepted, Record: record, Changes: a.acceptedAs(revision)})
	}
	if a.indeterminate {
		if step, settled := a.settle(record); settled {
			return step
		}
	}
	return a.propose()
}

// settle decides what a record that does not contain the indeterminate write says about
// that write. Once the record has a newer revision than the one the write builds on, the
// write can no longer take effect. Until then it may still arrive; it is repeated, since
// only one of the two can succeed, and stays indeterminate until an answer comes. If the
// trail does not go back to the write, the outcome stays unknown.
func (a *Attempt) settle(record Record) (Step, bool) {
	switch {
	case record.Revision == a.indeterminateBase:
		return Step{}, false
	case record.covers(a.indeterminateBase):
		a.indeterminate = false
		return Step{}, false
	default:
		return done(Result{Verdict: Unknown, Record: record}), true
	}
}

// acceptedAs returns the changes of an accepted revision.
func (a *Attempt) acceptedAs(revision int64) []decl.Change {
	for _, entry := range a.base.Trail {
		if entry.Revision == revision {
			return entry.Changes
		}
	}
	return nil
}

// propose builds the next record from the one read last.
func (a *Attempt) propose() Step {
	r := a.request
	if a.rounds++; a.rounds > maxRounds {
		return a.unanswered()
	}
	wanted := *r.Edit(&a.base.Deployment)
	changes := decl.Diff(&a.base.Deployment, &wanted)
	if len(changes) == 0 && a.base.Revision > 0 {
		return done(Result{Verdict: Unchanged, Record: a.base})
	}
	if r.Expected != AnyRevision && r.Expected != a.base.Revision {
		return done(Result{Verdict: Conflict, Record: a.base, Changes: a.base.Since(r.Expected)})
	}
	a.changes = changes
	if surplus := a.base.surplus(); surplus != nil {
		return Step{
			Kind:  StepArchive,
			Key:   ArchiveKey(r.Deployment, surplus[0].Revision),
			Value: EncodeArchive(surplus),
		}
	}
	return a.write(wanted)
}

// ArchiveDone processes the entries that the archive key holds; ok is false if they
// are not known. Only entries in the archive are removed from the record, since an
// archive left by an attempt that died may hold fewer entries.
func (a *Attempt) ArchiveDone(archived []Audit, ok bool) Step {
	if !ok || len(archived) == 0 {
		return a.unanswered()
	}
	last := archived[len(archived)-1].Revision
	trail := a.base.Trail
	for len(trail) > 0 && trail[0].Revision <= last {
		trail = trail[1:]
	}
	a.base.Trail = trail
	return a.write(*a.request.Edit(&a.base.Deployment))
}

func (a *Attempt) write(wanted decl.Deployment) Step {
	r := a.request
	a.next = Record{Revision: a.base.Revision + 1, Deployment: wanted}
	entry := Audit{
		Revision:  a.next.Revision,
		UnixMilli: r.Now.UnixMilli(),
		Operator:  r.Operator,
		From:      r.From,
		ChangeID:  r.ChangeID,
		Action:    r.Action,
		Changes:   a.changes,
		Outcome:   OutcomeAccepted,
	}
	a.next.Trail = append(append([]Audit(nil), a.base.Trail...), entry)
	return Step{Kind: StepWrite, Key: Key(r.Deployment), Expected: a.keyRev, Value: a.next.Encode()}
}

// WriteDone processes the outcome of the write of the record.
func (a *Attempt) WriteDone(outcome WriteOutcome) Step {
	switch outcome {
	case WriteSwapped:
		return done(Result{Verdict: Accepted, Record: a.next, Changes: a.changes})
	case WriteIndeterminate:
		a.indeterminate, a.indeterminateBase = true, a.base.Revision
		return a.read()
	case WriteNotApplied:
		return a.unanswered()
	default:
		return a.read()
	}
}

// unanswered returns the end of an attempt for which the service does not answer or
// other writers were always faster.
func (a *Attempt) unanswered() Step {
	if a.indeterminate {
		return done(Result{Verdict: Unknown, Record: a.base})
	}
	return done(Result{Verdict: Failed, Record: a.base})
}

func done(r Result) Step {
	return Step{Kind: StepDone, Result: r}
}
