package config

import (
	"time"

	"siskinloom.example/siskinloom/internal/decl"
)

// maxRounds bounds how often an attempt that loses a race starts over. Each
// round ends in a verdict unless yet another writer came in between.
const maxRounds = 8

// Request is a change that an operator asks for.
type Request struct {
	Deployment string
	Expected   int64 // revision that the operator saw; AnyRevision: whichever
	Operator   string
	From       string
	ChangeID   string // the same over repeats of one change
	Action     string
	Now        time.Time
	// Edit returns the declarations that should stand, given those that do,
	// which it must not change. It may be called several times.
	Edit func(current *decl.Deployment) *decl.Deployment
}

// AnyRevision as the expected revision makes a change that does not depend on
// what else was changed, such as a drain.
const AnyRevision = -1

// Verdict is how an attempt ended.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // the change is in the record
	Unchanged                // the record says that already
	Conflict                 // refused: the record is not of the expected revision
	Failed                   // refused: certainly not accepted, as the service did not answer
	Unknown                  // it may be accepted; asking again with the same change id tells
)

// Result is an attempt's end.
type Result struct {
	Verdict Verdict
	Record  Record        // that stands, as far as known
	Changes []decl.Change // made, or on a conflict those since the expected revision
}

// StepKind is what the runtime of an attempt does next.
type StepKind int

// The kinds of step.
const (
	StepRead    StepKind = iota // read the record; pass it to Read
	StepWrite                   // compare-and-swap Key; pass the outcome to Wrote
	StepArchive                 // create Key if it is absent; pass what stands to Archived
	StepDone                    // Result is the end
)

// Step is the next step of an attempt.
type Step struct {
	Kind     StepKind
	Key      string
	Expected int64 // revision of the service's key
	Value    []byte
	Result   Result
}

// WriteOutcome is what became of a compare-and-swap.
type WriteOutcome int

// The outcomes of a compare-and-swap.
const (
	WriteSwapped       WriteOutcome = iota
	WriteConflict                   // another write was first
	WriteNotApplied                 // certainly without effect
	WriteIndeterminate              // it may have taken effect or may still do so
)

// Attempt carries one change into the record.
type Attempt struct {
	request Request
	rounds  int
	base    Record // read last
	keyRev  int64  // of the service's key, read last
	next    Record // written
	changes []decl.Change
	unclear bool  // a write of this change may be on its way
	sentOn  int64 // revision of the record that the unclear write builds on
}

// NewAttempt returns an attempt and its first step.
func NewAttempt(r Request) (*Attempt, Step) {
	a := &Attempt{request: r}
	return a, a.read()
}

func (a *Attempt) read() Step {
	return Step{Kind: StepRead, Key: Key(a.request.Deployment)}
}

// Read takes in the record; ok false means that it could not be read.
func (a *Attempt) ReadDone(record Record, keyRevision int64, ok bool) Step {
	if !ok {
		return a.unanswered()
	}
	a.base, a.keyRev = record, keyRevision
	if revision, found := record.find(a.request.ChangeID); found {
		return done(Result{Verdict: Accepted, Record: record, Changes: a.acceptedAs(revision)})
	}
	if a.unclear {
		if step, settled := a.settle(record); settled {
			return step
		}
	}
	return a.propose()
}

// settle judges a record that does not show the unclear write. Once the record
// has moved on from what the write builds on, the write can no longer take
// effect. While it has not, the write may still arrive: it is made again, as
// only one of the two can succeed, and stays unclear until an answer comes.
func (a *Attempt) settle(record Record) (Step, bool) {
	switch {
	case record.Revision == a.sentOn:
		return Step{}, false
	case record.covers(a.sentOn):
		a.unclear = false
		return Step{}, false
	default:
		return done(Result{Verdict: Unknown, Record: record}), true
	}
}

func (a *Attempt) acceptedAs(revision int64) []decl.Change {
	for _, entry := range a.base.Trail {
		if entry.Revision == revision {
			return entry.Changes
		}
	}
	return nil
}

// propose builds the next record on the one read last.
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

// Archived takes in the entries that stand under the archive key; ok false
// means that it is not known to stand. Only what stands there is dropped from
// the record: an archive left by an attempt that died may hold fewer entries.
func (a *Attempt) ArchiveDone(standing []Audit, ok bool) Step {
	if !ok || len(standing) == 0 {
		return a.unanswered()
	}
	last := standing[len(standing)-1].Revision
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

// Wrote takes in what became of the write of the record.
func (a *Attempt) WriteDone(outcome WriteOutcome) Step {
	switch outcome {
	case WriteSwapped:
		return done(Result{Verdict: Accepted, Record: a.next, Changes: a.changes})
	case WriteIndeterminate:
		a.unclear, a.sentOn = true, a.base.Revision
		return a.read()
	case WriteNotApplied:
		return a.unanswered()
	default:
		return a.read()
	}
}

// unanswered ends an attempt that the service does not answer.
func (a *Attempt) unanswered() Step {
	if a.unclear {
		return done(Result{Verdict: Unknown, Record: a.base})
	}
	return done(Result{Verdict: Failed, Record: a.base})
}

func done(r Result) Step {
	return Step{Kind: StepDone, Result: r}
}
