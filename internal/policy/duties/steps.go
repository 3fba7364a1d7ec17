package duties

import (
	"math/rand/v2"
	"time"
)

// next decides on one duty.
func (k *Keeper) next(now time.Time, d *duty, rnd *rand.Rand, mayTake bool) (Action, bool) {
	if d.holding {
		return k.nextOfHolder(now, d)
	}
	if k.stopping || d.rank < 0 && d.offered < max(d.seen.Epoch, 1) {
		return Action{}, false
	}
	if !d.known || !now.Before(d.nextRead) {
		if now.Before(d.nextRead) {
			return Action{}, false
		}
		return Action{Kind: Read, Duty: d.name}, true
	}
	if mayTake && k.mayTake(now, d, rnd) {
		return k.write(d, d.seen.Epoch+1, false), true
	}
	return Action{}, false
}

// nextOfHolder renews, gives up or, after an unclear write, reads.
func (k *Keeper) nextOfHolder(now time.Time, d *duty) (Action, bool) {
	if !d.known {
		if now.Before(d.nextRead) {
			return Action{}, false
		}
		return Action{Kind: Read, Duty: d.name}, true
	}
	if (k.stopping || k.handsBack(now, d)) && !now.Before(d.promised) {
		d.holding = false // stop acting before others may begin
		d.givenUp = d.seen.Epoch
		k.note(now, d)
		return k.write(d, d.seen.Epoch, true), true
	}
	if now.Before(d.renewAt) {
		return Action{}, false
	}
	// A lease that lapsed is taken anew with the next epoch: whoever saw the
	// lapse may have acted on it.
	epoch := d.seen.Epoch
	if !now.Before(d.until) {
		epoch++
	}
	return k.write(d, epoch, false), true
}

// handsBack tells whether the duty goes back to the entry that should hold it.
// Only an entry with more than its share gives duties away, and only to one
// that gave a sign of life: the list may still name an entry that is dead, and a
// duty handed to it would stand without a holder, over and over.
func (k *Keeper) handsBack(now time.Time, d *duty) bool {
	if d.wrongFor.IsZero() || now.Sub(d.wrongFor) <= k.config.HandBackAfter || !now.Before(d.until) || !d.owed.Alive {
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

// mayTake tells whether the record may be taken over now: it is absent or
// released, or has stood unchanged for longer than any holder acts on it.
func (k *Keeper) mayTake(now time.Time, d *duty, rnd *rand.Rand) bool {
	if d.mayTakeOffered() {
		return true
	}
	if d.revision == 0 || d.seen.Released {
		return d.first || now.Sub(d.since) > k.config.TTL
	}
	if d.seen.Instance == k.self.ID && d.seen.Boot == k.boot {
		return true // its own, dropped after a release that did not go out
	}
	if k.gone(now, d) {
		return true
	}
	if now.Sub(d.since) <= k.config.TTL+k.config.Margin {
		d.claimAt = time.Time{}
		return false
	}
	// When a failure domain goes, many leases lapse at once; the draw spreads
	// their take-over, and lower ranks leave the first one time.
	if d.claimAt.IsZero() {
		spread := time.Duration(rnd.Int64N(int64(k.config.Jitter) + 1))
		d.claimAt = now.Add(spread + time.Duration(d.rank)*k.config.Jitter)
	}
	return !now.Before(d.claimAt)
}

func (k *Keeper) write(d *duty, epoch int64, release bool) Action {
	return Action{Kind: Write, Duty: d.name, Expected: d.revision, Record: Record{
		Duty:     d.name,
		Instance: k.self.ID,
		Boot:     k.boot,
		Address:  k.self.Address,
		Epoch:    epoch,
		Released: release,
	}}
}

// ReadDone takes in a record that was read. ok false means that the read failed.
func (k *Keeper) ReadDone(now time.Time, name string, record Record, revision int64, ok bool) {
	d := k.duties[name]
	if d == nil {
		return
	}
	d.busy = false
	d.nextRead = now.Add(k.config.PollInterval)
	if !ok {
		return
	}
	k.see(now, d, record, revision)
	d.lookAgain(now)
	k.note(now, d)
}

// see adopts what the service holds.
func (k *Keeper) see(now time.Time, d *duty, record Record, revision int64) {
	if !d.known || revision != d.revision {
		d.since = now
		d.claimAt = time.Time{}
	}
	if revision != d.revision {
		d.early.renewed(now, record.Epoch)
	}
	if revision == 0 {
		record.Epoch = d.seen.Epoch // never below one that was seen
	}
	d.known, d.seen, d.revision = true, record, revision
	own := record.Instance == k.self.ID && record.Boot == k.boot && !record.Released && revision != 0
	if !own {
		d.holding = false
		d.unsettled = time.Time{}
		return
	}
	if record.Epoch <= d.givenUp {
		// A release whose answer was lost may still arrive and let a successor
		// begin at once, so this epoch is over although the record stands.
		d.holding = false
		return
	}
	if revision == d.held || d.unsettled.IsZero() {
		// Challengers count from this very revision: a write that is still on
		// its way extends nothing.
		return
	}
	d.held = revision
	k.hold(d, d.unsettled)
}

// hold counts the lease from when its write was sent: the service cannot have
// taken it in before, so no challenger can have begun to count earlier.
func (k *Keeper) hold(d *duty, sent time.Time) {
	d.holding = true
	d.until = sent.Add(k.config.TTL - k.config.Margin)
	d.renewAt = sent.Add(k.config.RenewInterval)
	d.unsettled = time.Time{}
}

// WriteDone takes in what became of a write. Current and revision are what stands
// after it, for Swapped and Refused.
func (k *Keeper) WriteDone(now time.Time, action Action, outcome Outcome, current Record, revision int64) {
	d, sent := k.duties[action.Duty], action.Sent
	if d == nil {
		return
	}
	d.busy = false
	switch outcome {
	case Swapped, Conflict:
		if outcome == Swapped && d.unsettled.Before(sent) {
			d.unsettled = sent
		}
		k.see(now, d, current, revision)
		if outcome == Swapped && action.Record.Released {
			k.offer(d, action.Record.Epoch)
		}
	case NotApplied:
		if d.unsettled.Equal(sent) {
			d.unsettled = time.Time{}
		}
		k.retryLater(now, d)
	case Indeterminate:
		// The record may be this process's own without its knowing. It acts
		// on nothing but the lease it had, until a read tells.
		d.known = false
		k.retryLater(now, d)
	}
	d.lookAgain(now)
	k.note(now, d)
}

// retryLater keeps calls that fail at once, as in an outage, from spinning.
func (k *Keeper) retryLater(now time.Time, d *duty) {
	pause := k.config.RenewInterval / 4
	d.nextRead = now.Add(pause)
	d.renewAt = now.Add(pause)
	if !d.holding {
		d.claimAt = now.Add(pause)
	}
}
