package duties

import (
	"math/rand/v2"
	"time"
)

// nextAction returns the call that is due for one duty; false if none is.
func (k *Keeper) nextAction(now time.Time, d *duty, rnd *rand.Rand, mayTake bool) (Action, bool) {
	if d.holding {
		return k.nextHolderAction(now, d)
	}
	if k.stopping || d.rank < 0 && d.offeredEpoch < max(d.lastRecord.Epoch, 1) {
		return Action{}, false
	}
	if !d.recordKnown || !now.Before(d.nextRead) {
		if now.Before(d.nextRead) {
			return Action{}, false
		}
		return Action{Kind: Read, Duty: d.name}, true
	}
	if mayTake && k.mayTake(now, d, rnd) {
		return k.newWrite(d, d.lastRecord.Epoch+1, false), true
	}
	return Action{}, false
}

// nextHolderAction returns the due call for a duty that this process holds: a
// renewal, a release, or a read after a write of unknown outcome.
func (k *Keeper) nextHolderAction(now time.Time, d *duty) (Action, bool) {
	if !d.recordKnown {
		if now.Before(d.nextRead) {
			return Action{}, false
		}
		return Action{Kind: Read, Duty: d.name}, true
	}
	if (k.stopping || k.shouldHandBack(now, d)) && !now.Before(d.noReleaseBefore) {
		d.holding = false // stop acting as the holder before another entry may start
		d.releasedEpoch = d.lastRecord.Epoch
		k.recordChange(now, d)
		return k.newWrite(d, d.lastRecord.Epoch, true), true
	}
	if now.Before(d.renewAt) {
		return Action{}, false
	}
	// An expired lease is renewed under the next epoch, since other processes may
	// have acted on its expiry.
	epoch := d.lastRecord.Epoch
	if !now.Before(d.leaseUntil) {
		epoch++
	}
	return k.newWrite(d, epoch, false), true
}

// shouldHandBack reports whether to release the duty to its preferred holder. An
// entry hands duties back only if it holds more than its share, and only to an entry
// that a recent contact proves to be alive. The list may still name a dead entry; a
// duty handed to it would have no holder until a candidate takes it over, and this
// would repeat.
func (k *Keeper) shouldHandBack(now time.Time, d *duty) bool {
	if d.misplacedSince.IsZero() || now.Sub(d.misplacedSince) <= k.config.HandBackAfter || !now.Before(d.leaseUntil) || !d.preferred.Alive {
		return false
	}
	held := 0
	for _, other := range k.duties {
		if other.holding {
			held++
		}
	}
	share := (len(k.duties) + len(k.members) - 1) / len(k.members)
	return held > share+1
}

// mayTake reports whether this process may take over the duty now. A duty whose record
// is absent or released goes to the preferred holder or to a process that it was offered
// to, and after a whole TTL to any candidate. Otherwise one of three conditions must
// hold: the record names this process, the holder has failed its probes, or the record
// has been unchanged for longer than its holder may act on it.
func (k *Keeper) mayTake(now time.Time, d *duty, rnd *rand.Rand) bool {
	if d.mayTakeOffered() {
		return true
	}
	if d.revision == 0 || d.lastRecord.Released {
		return d.isPreferred || now.Sub(d.revisionSeenAt) > k.config.TTL
	}
	if d.lastRecord.Instance == k.self.ID && d.lastRecord.Boot == k.boot {
		return true // this process gave the duty up, but the release has not taken effect
	}
	if k.holderGone(now, d) {
		return true
	}
	if now.Sub(d.revisionSeenAt) <= k.config.TTL+k.config.Margin {
		d.takeOverAt = time.Time{}
		return false
	}
	// When a failure domain fails, many leases expire at once. The random delay
	// spreads their takeovers. Each candidate waits longer than those before it, so
	// that the first one normally takes over alone.
	if d.takeOverAt.IsZero() {
		spread := time.Duration(rnd.Int64N(int64(k.config.Jitter) + 1))
		d.takeOverAt = now.Add(spread + time.Duration(d.rank)*k.config.Jitter)
	}
	return !now.Before(d.takeOverAt)
}

// newWrite returns the write that acquires, renews or releases the duty.
func (k *Keeper) newWrite(d *duty, epoch int64, release bool) Action {
	return Action{Kind: Write, Duty: d.name, Expected: d.revision, Record: Record{
		Duty:     d.name,
		Instance: k.self.ID,
		Boot:     k.boot,
		Address:  k.self.Address,
		Epoch:    epoch,
		Released: release,
	}}
}

// ReadDone handles the result of a Read. The revision is 0 if the record is absent;
// ok is false if the read failed.
func (k *Keeper) ReadDone(now time.Time, name string, record Record, revision int64, ok bool) {
	d := k.duties[name]
	if d == nil {
		return
	}
	d.callPending = false
	d.nextRead = now.Add(k.config.PollInterval)
	if !ok {
		return
	}
	k.updateRecord(now, d, record, revision)
	d.scheduleReread(now)
	k.recordChange(now, d)
}

// updateRecord updates the duty with the record that the service holds, and starts
// or ends the lease of this process accordingly.
func (k *Keeper) updateRecord(now time.Time, d *duty, record Record, revision int64) {
	if !d.recordKnown || revision != d.revision {
		d.revisionSeenAt = now
		d.takeOverAt = time.Time{}
	}
	if revision != d.revision {
		d.probe.recordChanged(now, record.Epoch)
	}
	if revision == 0 {
		record.Epoch = d.lastRecord.Epoch // the epoch never decreases
	}
	d.recordKnown, d.lastRecord, d.revision = true, record, revision
	own := record.Instance == k.self.ID && record.Boot == k.boot && !record.Released && revision != 0
	if !own {
		d.holding = false
		d.unsettledSince = time.Time{}
		return
	}
	if record.Epoch <= d.releasedEpoch {
		// A release whose answer was lost may still take effect and let a
		// successor start at once. This process therefore doesn't act under this
		// epoch any more, although the record still names it.
		d.holding = false
		return
	}
	if revision == d.leaseRevision || d.unsettledSince.IsZero() {
		// Challengers measure the lease from this revision, so a write that has
		// not taken effect yet doesn't extend it.
		return
	}
	d.leaseRevision = revision
	k.startLease(d, d.unsettledSince)
}

// startLease starts or extends the lease, measured from the time its write was sent.
// The write can't have taken effect earlier, so no challenger can have started to
// measure it earlier.
func (k *Keeper) startLease(d *duty, sent time.Time) {
	d.holding = true
	d.leaseUntil = sent.Add(k.config.TTL - k.config.Margin)
	d.renewAt = sent.Add(k.config.RenewInterval)
	d.unsettledSince = time.Time{}
}

// WriteDone handles the outcome of a Write. current and revision are the record and
// its revision after the call; they are used for Swapped and Conflict only.
func (k *Keeper) WriteDone(now time.Time, action Action, outcome Outcome, current Record, revision int64) {
	d, sent := k.duties[action.Duty], action.Sent
	if d == nil {
		return
	}
	d.callPending = false
	switch outcome {
	case Swapped, Conflict:
		if outcome == Swapped && d.unsettledSince.Before(sent) {
			d.unsettledSince = sent
		}
		k.updateRecord(now, d, current, revision)
		if outcome == Swapped && action.Record.Released {
			k.addOffer(d, action.Record.Epoch)
		}
	case NotApplied:
		if d.unsettledSince.Equal(sent) {
			d.unsettledSince = time.Time{}
		}
		k.retryLater(now, d)
	case Indeterminate:
		// The record may name this process without its knowledge. Until a read
		// shows it, the process relies only on the lease it had before.
		d.recordKnown = false
		k.retryLater(now, d)
	}
	d.scheduleReread(now)
	k.recordChange(now, d)
}

// retryLater delays the next call after a failed one, so that calls that fail
// immediately, as during an outage, don't spin.
func (k *Keeper) retryLater(now time.Time, d *duty) {
	delay := k.config.RenewInterval / 4
	d.nextRead = now.Add(delay)
	d.renewAt = now.Add(delay)
	if !d.holding {
		d.takeOverAt = now.Add(delay)
	}
}
