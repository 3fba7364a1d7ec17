package handover

import (
	"fmt"
	"time"
)

// recorder is what the owner knows of the manifest in the key-value service.
type recorder struct {
	revision int64
	cursor   int64   // recorded for good
	session  Session // whose lots are recorded
	epoch    int64   // of the manifest's writer
	pending  *Write  // whose outcome is not known yet
	sent     bool    // pending awaits its answer
	asked    recorded
	reading  bool
	retryAt  time.Time
	writes   int64
}

// recorded is what a write would record.
type recorded struct {
	cursor  int64
	session Session
	change  *ShapeChange // planned; nil: none
}

func (o *Owner) read() []Action {
	if o.store.reading {
		return nil
	}
	o.store.reading = true
	return []Action{Read{}}
}

// persist brings the manifest up to what pulls have told. One write is under
// way at a time; while the service is away only Retry limits the tries, and
// serving goes on.
func (o *Owner) persist(now time.Time) []Action {
	if o.phase == deposed || o.store.reading || o.store.sent || now.Before(o.store.retryAt) {
		return nil
	}
	if o.phase == loading || o.store.pending != nil {
		// A write of unknown outcome is settled by reading its nonce.
		return o.read()
	}
	if o.phase == serving && !o.unrecorded() {
		return nil
	}
	return o.write()
}

func (o *Owner) unrecorded() bool {
	if _, some := o.planned(); some {
		return true
	}
	return o.store.cursor != o.truth.Cursor() || o.store.session != o.truth.Session
}

func (o *Owner) write() []Action {
	o.store.writes++
	nonce := fmt.Sprintf("%s/%d/%d", o.name, o.epoch, o.store.writes)
	manifest := Manifest{Nonce: nonce, Epoch: o.epoch, Ledger: o.truth}
	asked := recorded{cursor: o.truth.Cursor(), session: o.truth.Session}
	if change, some := o.planned(); some {
		// It is in force only once this write has taken effect: a successor must
		// not begin the step in another shape.
		manifest.Ledger = o.truth.At(o.truth.Cursor())
		manifest.Ledger.setShape(change.From, change.Shape)
		asked.change = &change
	}
	w := Write{Nonce: nonce, Expected: o.store.revision, Value: manifest.encode()}
	o.store.pending = &w
	o.store.sent = true
	o.store.asked = asked
	return []Action{w}
}

func (o *Owner) written(now time.Time, e WriteDone) []Action {
	if o.store.pending == nil || o.store.pending.Nonce != e.Nonce {
		return nil
	}
	o.store.sent = false
	switch e.Result {
	case WriteApplied:
		o.taken(now, e.Revision)
	case WriteConflict:
		o.store.pending = nil
		return o.settle(now, e.Value, e.Revision)
	case WriteIndeterminate:
		o.store.retryAt = now.Add(o.cfg.RetryInterval)
	case WriteNotApplied:
		o.store.pending = nil
		o.store.retryAt = now.Add(o.cfg.RetryInterval)
	}
	return nil
}

func (o *Owner) taken(now time.Time, revision int64) {
	o.store.pending = nil
	o.store.revision = revision
	o.store.epoch = o.epoch
	o.store.cursor = o.store.asked.cursor
	o.store.session = o.store.asked.session
	o.store.retryAt = now.Add(o.cfg.RecordInterval)
	if change := o.store.asked.change; change != nil {
		o.reshape(*change)
	}
	o.counters.Recordings++
	if o.phase == claiming {
		o.phase = serving
		o.dropHeld()
	}
}

func (o *Owner) loaded(now time.Time, e ReadDone) []Action {
	o.store.reading = false
	if p := o.store.pending; p != nil && e.Revision == p.Expected {
		// Not in effect as of this read. It may still land; then the next
		// write meets a conflict that carries our own nonce.
		o.store.pending = nil
		return nil
	}
	return o.settle(now, e.Value, e.Revision)
}

// settle takes what stands in the service. A higher epoch ends this owner. Its
// own epoch is one of its writes, perhaps one given up for lost. A lower one is
// a predecessor's that was faster than our claim: nothing was served on the
// older reading, so the newer one simply replaces it.
func (o *Owner) settle(now time.Time, value []byte, revision int64) []Action {
	if revision == 0 {
		return o.adopt(NewLedger(o.cfg.Shape), 0)
	}
	manifest, err := DecodeManifest(value)
	if err != nil {
		// Never overwrite what cannot be read: an operator has to look.
		o.store.retryAt = now.Add(o.cfg.RetryInterval)
		return nil
	}
	if manifest.Epoch > o.epoch {
		return o.depose()
	}
	ours := manifest.Epoch == o.epoch && o.phase != loading
	if !ours {
		return o.adopt(manifest.Ledger, revision)
	}
	pending := o.store.pending
	if pending != nil && pending.Nonce == manifest.Nonce {
		o.taken(now, revision)
		return nil
	}
	o.store.pending = nil
	o.store.revision = revision
	o.store.cursor = manifest.Ledger.Cursor()
	o.store.session = manifest.Ledger.Session
	if o.phase == claiming {
		o.phase = serving
	}
	return nil
}

func (o *Owner) adopt(ledger *Ledger, revision int64) []Action {
	o.store.revision = revision
	o.store.pending = nil
	if o.phase == serving {
		// The service lost a write that it had confirmed. What pulls told is
		// newer and is written again.
		o.store.cursor = 0
		o.store.session = Session{}
		return nil
	}
	o.truth = ledger
	o.store.cursor = ledger.Cursor()
	o.store.session = ledger.Session
	o.phase = claiming
	return nil
}
