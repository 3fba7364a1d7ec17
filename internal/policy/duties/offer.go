package duties

import "time"

// Offer notifies the candidates for a duty that its holder has released it. Without
// an offer they notice the release at their next poll. Then only the candidate that
// should hold the duty takes it at once; if it doesn't know yet that the old holder
// leaves, a whole lease passes.
type Offer struct {
	Duty  string
	Epoch int64    // epoch that was released
	To    []Member // in the order in which to offer the duty, the preferred holder first
}

// Offers returns the new offers since the last call. The sender of an offer
// continues with the next member if one doesn't accept it. An offer that is lost or
// arrives twice only costs time.
func (k *Keeper) Offers() []Offer {
	due := k.offers
	k.offers = nil
	return due
}

// addOffer adds the offer for a release that certainly took effect.
func (k *Keeper) addOffer(d *duty, epoch int64) {
	o := Offer{Duty: d.name, Epoch: epoch}
	for _, m := range k.candidates(d) {
		if m.ID != k.self.ID {
			o.To = append(o.To, m)
		}
	}
	if len(o.To) > 0 {
		k.offers = append(k.offers, o)
	}
}

// Offered handles an offer of another process and reports whether this one will try
// to take the duty. An offer doesn't grant the duty: the record is read and swapped
// as for any takeover. It allows a process to take a released duty although another
// member should hold it according to its list of members, which may be outdated.
func (k *Keeper) Offered(now time.Time, name string, epoch int64) bool {
	d := k.duties[name]
	if d == nil || k.stopping || epoch < d.lastRecord.Epoch || d.holding {
		return false
	}
	d.offeredEpoch = epoch
	d.readAgain = d.callPending
	d.recordKnown = false
	d.nextRead = now
	return true
}

// mayTakeOffered reports whether the duty is released and was offered to this
// process.
func (d *duty) mayTakeOffered() bool {
	return d.lastRecord.Released && d.offeredEpoch == d.lastRecord.Epoch && d.offeredEpoch > 0
}

// scheduleReread schedules another read of the record if an offer arrived during a
// call. The call may have started before the release, and the next poll may be far
// off.
func (d *duty) scheduleReread(now time.Time) {
	if d.readAgain {
		d.readAgain = false
		d.recordKnown = false
		d.nextRead = now
	}
}
