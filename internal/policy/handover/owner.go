package handover

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

type phase int

const (
	loading  phase = iota // the manifest has not been read
	claiming              // the write of our epoch has not taken effect
	serving
	deposed
)

// waiting is a pull that has no answer yet.
type waiting struct {
	call     uint64
	pull     Pull
	admitted bool
	token    Token
}

// offer is the lot last given for a cursor.
type offer struct {
	cursor   int64 // that the lot follows
	step     int64
	ids      []sample.ID
	complete bool // with it the trainer holds the whole step
}

// Owner is the state of one feed at the process that holds its duty.
type Owner struct {
	cfg      Config
	name     string // of this process; makes nonces unique
	epoch    int64  // of the duty's lease; higher than every predecessor's
	phase    phase
	truth    *Ledger // as the newest pull of the confirmed session tells
	opened   *Ledger // of a session opened and not yet confirmed; nil if none
	sessions int64   // opened under this epoch
	store    recorder
	pool     pool
	waits    []waiting
	last     offer
	version  int64 // the trainer's newest known
	changes  uint64
	counters Counters
}

// New returns the owner of a feed under the duty's epoch. name tells this
// process from every other. Its first event should be a Tick.
func New(cfg Config, name string, epoch int64) *Owner {
	return &Owner{cfg: cfg, name: name, epoch: epoch, pool: newPool()}
}

// Step takes one event and returns what is to be done, in order.
func (o *Owner) Step(now time.Time, e Event) []Action {
	if o.phase == deposed {
		return refuseIfPull(e)
	}
	var acts []Action
	switch e := e.(type) {
	case ReadDone:
		acts = o.loaded(now, e)
	case ReadFailed:
		o.store.reading = false
		o.store.retryAt = now.Add(o.cfg.RetryInterval)
	case WriteDone:
		acts = o.written(now, e)
	case Pulled:
		o.waits = append(o.waits, waiting{call: e.Call, pull: e.Pull})
	case PullTimedOut:
		acts = o.waitEnded(now, e.Call)
	case Completed:
		o.completed(e.Sample)
	case Announced:
		o.reached(now, e.Version)
	case Configured:
		o.cfg = e.Config
	case Tick:
		o.dropStale(now)
	}
	if o.phase == serving {
		acts = append(acts, o.admitAll(now)...)
		acts = append(acts, o.serve(now)...)
	}
	return append(acts, o.persist(now)...)
}

func refuseIfPull(e Event) []Action {
	if p, ok := e.(Pulled); ok {
		return []Action{Refuse{Call: p.Call, Reason: NotOwner}}
	}
	return nil
}

// depose ends the owner. Every pull is sent on; the trainer finds the successor.
func (o *Owner) depose() []Action {
	o.phase = deposed
	var acts []Action
	for _, w := range o.waits {
		acts = append(acts, Refuse{Call: w.call, Reason: NotOwner})
	}
	o.waits = nil
	return append(acts, Deposed{})
}

// waitEnded answers a pull with what there is, be it less than a lot: samples
// that wait for a straggler only grow older. Before the owner serves it can only
// be refused.
func (o *Owner) waitEnded(now time.Time, call uint64) []Action {
	for i, w := range o.waits {
		if w.call != call {
			continue
		}
		o.waits = append(o.waits[:i:i], o.waits[i+1:]...)
		if !w.admitted {
			return []Action{Refuse{Call: call, Reason: NotReady}}
		}
		if act, done := o.serveOne(now, w, 1); done {
			return []Action{act}
		}
		return []Action{Reply{Call: call, Answer: o.emptyAnswer(w)}}
	}
	return nil
}

func (o *Owner) emptyAnswer(w waiting) Answer {
	return Answer{
		Cursor:   w.pull.Cursor,
		Token:    o.tokenFor(w).String(),
		Recorded: o.recordedFor(w),
		Step:     o.ledgerFor(w).Step(),
	}
}

// recordedFor returns the cursor up to which w's trainer may forget its lots.
// The manifest speaks for the session that wrote it only: after a restart from
// before the last recorded lot it still tells of lots that were given up.
func (o *Owner) recordedFor(w waiting) int64 {
	if o.store.session == w.token.Session {
		return min(o.store.cursor, w.pull.Cursor)
	}
	return w.pull.known()
}

func (o *Owner) tokenFor(w waiting) Token {
	token := w.token
	if ledger := o.ledgerFor(w); ledger != nil {
		token.Shapes = ledger.shapesOf(w.pull.firstStep(ledger.Step()))
	}
	token.Recorded = token.Recorded || o.store.session == token.Session
	return token
}

// completed takes a sample. The first one wins; a second run of the same sample
// and one that no lot can need are dropped.
func (o *Owner) completed(s sample.Sample) {
	if o.pool.has(s.ID) || o.phase == serving && !o.needs(s.ID) {
		o.counters.Surplus++
		return
	}
	o.pool.add(s)
	if o.cfg.Shape.Spare > 0 {
		// It may have made its group's spare samples unneeded.
		o.changes++
	}
}

func (o *Owner) needs(id sample.ID) bool {
	return o.truth.Needs(id) || o.opened != nil && o.opened.Needs(id)
}

// dropHeld forgets the payloads that the trainer holds.
func (o *Owner) dropHeld() {
	for id := range o.pool.samples {
		if !o.needs(id) {
			o.pool.remove(id)
		}
	}
	o.changes++
}

// reached takes word of the trainer's version.
func (o *Owner) reached(now time.Time, version int64) {
	if version > o.version {
		o.version = version
		o.dropStale(now)
	}
}

// dropStale forgets the samples that the trainer would not take now or later,
// so that they are generated again before their lot is due.
func (o *Owner) dropStale(now time.Time) {
	stale := o.pool.removeStale(o.cfg.Limits, o.version, now)
	if stale > 0 {
		o.counters.Stale += stale
		o.changes++
	}
}

// ChangeCount grows whenever Wanted may have changed other than by the Completed
// events that the owner was given.
func (o *Owner) ChangeCount() uint64 { return o.changes }

// Counters returns what was counted so far.
func (o *Owner) Counters() Counters { return o.counters }

// Serving tells whether the owner holds the manifest under its own epoch.
func (o *Owner) Serving() bool { return o.phase == serving }

// Version returns the newest weight version the trainer is known to be at.
func (o *Owner) Version() int64 { return o.version }

// Shape returns the shape of the step being handed over. Only while Serving.
func (o *Owner) Shape() sample.Shape { return o.truth.ShapeOf(o.truth.Step()) }

// FirstStep returns the steps that generation should work on: the one that is being
// handed over first. Only while Serving.
func (o *Owner) FirstStep() (first int64) {
	if o.opened != nil {
		return min(o.truth.Step(), o.opened.Step())
	}
	return o.truth.Step()
}

// Training tells whether the trainer was given all of the current step and has
// not come for more. Only while Serving.
func (o *Owner) Training() bool {
	return o.last.complete && o.last.cursor == o.truth.Cursor() && o.last.step == o.truth.Step()
}

// Wanted returns the samples of a step that are neither held nor complete, and
// of full groups none. Only while Serving.
func (o *Owner) Wanted(step int64) []sample.ID {
	shape := o.truth.ShapeOf(step)
	var ids []sample.ID
	for group := range shape.Groups {
		missing := o.missingOf(step, group)
		if len(missing) > shape.Spare {
			ids = append(ids, missing...)
		}
	}
	return ids
}

// missingOf returns a group's samples that are neither held nor in the pool. A
// group with no more of them than spare ones has all that is handed over.
func (o *Owner) missingOf(step int64, group int) []sample.ID {
	shape := o.truth.ShapeOf(step)
	var missing []sample.ID
	for index := range shape.PerGroup() {
		id := shape.IDAt(step, group*shape.PerGroup()+index)
		if !o.pool.has(id) && o.needs(id) {
			missing = append(missing, id)
		}
	}
	return missing
}
