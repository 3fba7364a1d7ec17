package handover

import (
	"fmt"
	"time"
)

// storedManifest is what the owner knows of the manifest in the key-value service.
type storedManifest struct {
	revision   int64
	cursor     int64           // recorded cursor
	session    Session         // recorded session
	epoch      int64           // of the owner that wrote the manifest
	pending    *Write          // write of unknown outcome; nil if none
	writing    bool            // pending has no answer yet
	content    manifestContent // of pending
	reading    bool            // a read has no answer yet
	nextTryAt  time.Time       // persist begins no read or write before
	writeCount int64           // makes nonces unique
}

// manifestContent is what a write records.
type manifestContent struct {
	cursor  int64
	session Session
	change  *ShapeChange // planned change of shape; nil if none
}

// readManifest returns a Read unless one is already in progress.
func (o *Owner) readManifest() []Action {
	if o.stored.reading {
		return nil
	}
	o.stored.reading = true
	return []Action{Read{}}
}

// persist records the confirmed ledger in the manifest. At most one write is in progress at
// a time. While the service is unavailable, RetryInterval limits the tries, and pulls are
// still answered.
func (o *Owner) persist(now time.Time) []Action {
	if o.phase == deposed || o.stored.reading || o.stored.writing || now.Before(o.stored.nextTryAt) {
		return nil
	}
	if o.phase == loading || o.stored.pending != nil {
		// A read shows by the nonce whether a write of unknown outcome took effect.
		return o.readManifest()
	}
	if o.phase == serving && !o.hasUnrecorded() {
		return nil
	}
	return o.writeManifest()
}

// hasUnrecorded reports whether the manifest lacks a planned change of shape or part of the
// confirmed ledger.
func (o *Owner) hasUnrecorded() bool {
	if _, found := o.plannedChange(); found {
		return true
	}
	return o.stored.cursor != o.confirmed.Cursor() || o.stored.session != o.confirmed.Session
}

// writeManifest returns a Write of the confirmed ledger and a planned change of shape.
func (o *Owner) writeManifest() []Action {
	o.stored.writeCount++
	nonce := fmt.Sprintf("%s/%d/%d", o.name, o.epoch, o.stored.writeCount)
	manifest := Manifest{Nonce: nonce, Epoch: o.epoch, Ledger: o.confirmed}
	content := manifestContent{cursor: o.confirmed.Cursor(), session: o.confirmed.Session}
	if change, found := o.plannedChange(); found {
		// The change takes effect only after this write, so that a successor does not begin
		// the step with another shape.
		manifest.Ledger = o.confirmed.At(o.confirmed.Cursor())
		manifest.Ledger.setShape(change.From, change.Shape)
		content.change = &change
	}
	w := Write{Nonce: nonce, Expected: o.stored.revision, Value: manifest.encode()}
	o.stored.pending = &w
	o.stored.writing = true
	o.stored.content = content
	return []Action{w}
}

// handleWriteDone processes the outcome of a write.
func (o *Owner) handleWriteDone(now time.Time, e WriteDone) []Action {
	if o.stored.pending == nil || o.stored.pending.Nonce != e.Nonce {
		return nil
	}
	o.stored.writing = false
	switch e.Result {
	case WriteApplied:
		o.writeApplied(now, e.Revision)
	case WriteConflict:
		o.stored.pending = nil
		return o.reconcile(now, e.Value, e.Revision)
	case WriteIndeterminate:
		o.stored.nextTryAt = now.Add(o.cfg.RetryInterval)
	case WriteNotApplied:
		o.stored.pending = nil
		o.stored.nextTryAt = now.Add(o.cfg.RetryInterval)
	}
	return nil
}

// writeApplied updates the state after the pending write took effect.
func (o *Owner) writeApplied(now time.Time, revision int64) {
	o.stored.pending = nil
	o.stored.revision = revision
	o.stored.epoch = o.epoch
	o.stored.cursor = o.stored.content.cursor
	o.stored.session = o.stored.content.session
	o.stored.nextTryAt = now.Add(o.cfg.RecordInterval)
	if change := o.stored.content.change; change != nil {
		o.applyShapeChange(*change)
	}
	o.counters.Recordings++
	if o.phase == claiming {
		o.phase = serving
		o.dropHeld()
	}
}

// handleReadDone processes the manifest that was read.
func (o *Owner) handleReadDone(now time.Time, e ReadDone) []Action {
	o.stored.reading = false
	if p := o.stored.pending; p != nil && e.Revision == p.Expected {
		// The write has not taken effect yet. If it still does, the next write conflicts
		// with a manifest that has this owner's nonce.
		o.stored.pending = nil
		return nil
	}
	return o.reconcile(now, e.Value, e.Revision)
}

// reconcile updates the state by the manifest in the key-value service. A manifest of a
// higher epoch deposes this owner. One of its own epoch is from one of its writes, perhaps
// one regarded as lost. One of a lower epoch was written by a predecessor before this
// owner's claim took effect. As no pull was answered on the basis of the earlier read, the
// newer manifest replaces it.
func (o *Owner) reconcile(now time.Time, value []byte, revision int64) []Action {
	if revision == 0 {
		return o.adopt(NewLedger(o.cfg.Shape), 0)
	}
	manifest, err := DecodeManifest(value)
	if err != nil {
		// A manifest that cannot be decoded is never overwritten. An operator must handle it.
		o.stored.nextTryAt = now.Add(o.cfg.RetryInterval)
		return nil
	}
	if manifest.Epoch > o.epoch {
		return o.depose()
	}
	own := manifest.Epoch == o.epoch && o.phase != loading
	if !own {
		return o.adopt(manifest.Ledger, revision)
	}
	pending := o.stored.pending
	if pending != nil && pending.Nonce == manifest.Nonce {
		o.writeApplied(now, revision)
		return nil
	}
	o.stored.pending = nil
	o.stored.revision = revision
	o.stored.cursor = manifest.Ledger.Cursor()
	o.stored.session = manifest.Ledger.Session
	if o.phase == claiming {
		o.phase = serving
	}
	return nil
}

// adopt takes over a ledger that another owner wrote, or an empty one, so that the next
// write claims the feed.
func (o *Owner) adopt(ledger *Ledger, revision int64) []Action {
	o.stored.revision = revision
	o.stored.pending = nil
	if o.phase == serving {
		// The service lost a write that it had confirmed. The confirmed ledger is newer and
		// is written again.
		o.stored.cursor = 0
		o.stored.session = Session{}
		return nil
	}
	o.confirmed = ledger
	o.stored.cursor = ledger.Cursor()
	o.stored.session = ledger.Session
	o.phase = claiming
	return nil
}
