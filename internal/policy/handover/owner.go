package handover

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// phase is the state of an owner in the claim of its feed.
type phase int

const (
	loading  phase = iota // the manifest has not been read
	claiming              // the manifest has not been written under the owner's epoch
	serving               // the manifest is written under the owner's epoch
	deposed               // a successor owns the feed
)

// pendingPull is a pull that was not answered yet.
type pendingPull struct {
	call     uint64
	pull     Pull
	admitted bool  // admitPulls has accepted it
	token    Token // of its session; valid if admitted
}

// sentLot is the lot that was sent last.
type sentLot struct {
	cursor   int64 // of the pull; the lot follows it
	step     int64
	ids      []sample.ID
	complete bool // the lot completes the step
}

// Owner is the state machine of a feed at the process that holds the feed's duty.
type Owner struct {
	cfg            Config
	name           string // unique name of this process; makes nonces unique
	epoch          int64  // of the duty's lease; higher than those of all predecessors
	phase          phase
	confirmed      *Ledger // of the confirmed session, as of its newest pull
	unconfirmed    *Ledger // of a session that was opened and is not yet confirmed; nil if none
	sessionCount   int64   // number of sessions opened under this epoch
	stored         storedManifest
	pool           pool
	pulls          []pendingPull // not yet answered
	lastSent       sentLot
	trainerVersion int64  // newest known version of the trainer
	changeCount    uint64 // see ChangeCount
	counters       Counters
}

// New returns the owner of a feed under the epoch of the feed's duty. The name must be
// unique among processes. The first event should be a Tick.
func New(cfg Config, name string, epoch int64) *Owner {
	return &Owner{cfg: cfg, name: name, epoch: epoch, pool: newPool()}
}

// Step processes an event and returns the actions to execute, in order.
func (o *Owner) Step(now time.Time, e Event) []Action {
	if o.phase == deposed {
		return refuseIfPull(e)
	}
	var acts []Action
	switch e := e.(type) {
	case ReadDone:
		acts = o.handleReadDone(now, e)
	case ReadFailed:
		o.stored.reading = false
		o.stored.nextTryAt = now.Add(o.cfg.RetryInterval)
	case WriteDone:
		acts = o.handleWriteDone(now, e)
	case Pulled:
		o.pulls = append(o.pulls, pendingPull{call: e.Call, pull: e.Pull})
	case PullTimedOut:
		acts = o.handlePullTimeout(now, e.Call)
	case Completed:
		o.addSample(e.Sample)
	case Announced:
		o.observeVersion(now, e.Version)
	case Configured:
		o.cfg = e.Config
	case Tick:
		o.dropStale(now)
	}
	if o.phase == serving {
		acts = append(acts, o.admitPulls(now)...)
		acts = append(acts, o.servePulls(now)...)
	}
	return append(acts, o.persist(now)...)
}

func refuseIfPull(e Event) []Action {
	if p, ok := e.(Pulled); ok {
		return []Action{Refuse{Call: p.Call, Reason: NotOwner}}
	}
	return nil
}

// depose ends the owner. It refuses all pulls with NotOwner, so that the trainer finds the
// successor.
func (o *Owner) depose() []Action {
	o.phase = deposed
	var acts []Action
	for _, p := range o.pulls {
		acts = append(acts, Refuse{Call: p.call, Reason: NotOwner})
	}
	o.pulls = nil
	return append(acts, Deposed{})
}

// handlePullTimeout answers a pull with the samples that are ready, even if they are fewer
// than a lot, because samples that wait for a slow one only grow older. A pull that was
// not admitted, because the owner is not serving yet, is refused.
func (o *Owner) handlePullTimeout(now time.Time, call uint64) []Action {
	for i, p := range o.pulls {
		if p.call != call {
			continue
		}
		o.pulls = append(o.pulls[:i:i], o.pulls[i+1:]...)
		if !p.admitted {
			return []Action{Refuse{Call: call, Reason: NotReady}}
		}
		if act, done := o.servePull(now, p, 1); done {
			return []Action{act}
		}
		return []Action{Reply{Call: call, Answer: o.emptyAnswer(p)}}
	}
	return nil
}

func (o *Owner) emptyAnswer(p pendingPull) Answer {
	return Answer{
		Cursor:   p.pull.Cursor,
		Token:    o.tokenFor(p).String(),
		Recorded: o.recordedCursorFor(p),
		Step:     o.ledgerFor(p).Step(),
	}
}

// recordedCursorFor returns the cursor up to which the trainer may drop its lots. The
// manifest counts only if it records the trainer's session. After a restart from before the
// last recorded lot, it still contains lots that were abandoned.
func (o *Owner) recordedCursorFor(p pendingPull) int64 {
	if o.stored.session == p.token.Session {
		return min(o.stored.cursor, p.pull.Cursor)
	}
	return p.pull.recordedCursor()
}

// tokenFor returns the token to send with the answer to a pull.
func (o *Owner) tokenFor(p pendingPull) Token {
	token := p.token
	if ledger := o.ledgerFor(p); ledger != nil {
		token.Shapes = ledger.shapesFrom(p.pull.firstStep(ledger.Step()))
	}
	token.Recorded = token.Recorded || o.stored.session == token.Session
	return token
}

// addSample adds a completed sample to the pool. It drops a sample that no lot can need and
// a second result for the same ID.
func (o *Owner) addSample(s sample.Sample) {
	if o.pool.has(s.ID) || o.phase == serving && !o.needs(s.ID) {
		o.counters.Surplus++
		return
	}
	o.pool.add(s)
	if o.cfg.Shape.Spare > 0 {
		// The spare samples of its group may no longer be needed.
		o.changeCount++
	}
}

// needs reports whether the trainer may still need the sample.
func (o *Owner) needs(id sample.ID) bool {
	return o.confirmed.Needs(id) || o.unconfirmed != nil && o.unconfirmed.Needs(id)
}

// dropHeld removes the samples from the pool that the trainer no longer needs.
func (o *Owner) dropHeld() {
	for id := range o.pool.samples {
		if !o.needs(id) {
			o.pool.remove(id)
		}
	}
	o.changeCount++
}

// observeVersion records the trainer's version if it is newer than the known one.
func (o *Owner) observeVersion(now time.Time, version int64) {
	if version > o.trainerVersion {
		o.trainerVersion = version
		o.dropStale(now)
	}
}

// dropStale removes the samples from the pool that are too old for the trainer, so that
// they are generated again before their lot is due.
func (o *Owner) dropStale(now time.Time) {
	stale := o.pool.removeStale(o.cfg.Limits, o.trainerVersion, now)
	if stale > 0 {
		o.counters.Stale += stale
		o.changeCount++
	}
}

// ChangeCount returns a number that increases whenever the result of Wanted may have
// changed, except by the Completed events passed to Step.
func (o *Owner) ChangeCount() uint64 { return o.changeCount }

// Counters returns the current counters.
func (o *Owner) Counters() Counters { return o.counters }

// Serving reports whether the owner has written the manifest under its epoch and answers
// pulls.
func (o *Owner) Serving() bool { return o.phase == serving }

// Version returns the newest known weight version of the trainer.
func (o *Owner) Version() int64 { return o.trainerVersion }

// Shape returns the shape of the current step. It must only be called while Serving.
func (o *Owner) Shape() sample.Shape { return o.confirmed.ShapeOf(o.confirmed.Step()) }

// FirstStep returns the first step that generation should work on, which is the step being
// handed over. It must only be called while Serving.
func (o *Owner) FirstStep() (first int64) {
	if o.unconfirmed != nil {
		return min(o.confirmed.Step(), o.unconfirmed.Step())
	}
	return o.confirmed.Step()
}

// Training reports whether all samples of the current step were sent and the trainer has
// not pulled again since. It must only be called while Serving.
func (o *Owner) Training() bool {
	return o.lastSent.complete && o.lastSent.cursor == o.confirmed.Cursor() && o.lastSent.step == o.confirmed.Step()
}

// Wanted returns the samples of a step that are still to be generated: those that are
// neither held nor in the pool, except those of groups that have enough samples. It must
// only be called while Serving.
func (o *Owner) Wanted(step int64) []sample.ID {
	shape := o.confirmed.ShapeOf(step)
	var ids []sample.ID
	for group := range shape.Groups {
		missing := o.missingOf(step, group)
		if len(missing) > shape.Spare {
			ids = append(ids, missing...)
		}
	}
	return ids
}

// missingOf returns the samples of a group that are neither held nor in the pool. If they
// are no more than the spare samples, the group is complete.
func (o *Owner) missingOf(step int64, group int) []sample.ID {
	shape := o.confirmed.ShapeOf(step)
	var missing []sample.ID
	for index := range shape.PerGroup() {
		id := shape.IDAt(step, group*shape.PerGroup()+index)
		if !o.pool.has(id) && o.needs(id) {
			missing = append(missing, id)
		}
	}
	return missing
}
