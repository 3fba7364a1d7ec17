package duties

import (
	"strings"
	"time"
)

// early is a candidate's watch over the holder of a duty whose receivers check
// epochs, such as the weights of a service.
//
// A lease keeps two holders from acting at once, at the price of waiting it out
// when the holder dies. Where every receiver refuses an epoch below the highest
// it has heard, two holders do no harm, and the wait only makes a rollout of
// weights late. So the next candidate asks the holder itself, and takes the
// duty with the next epoch after a few questions in vain.
type early struct {
	asking  bool
	askAt   time.Time
	misses  int       // questions in a row that found no holder
	changed time.Time // the epoch was first seen
	epoch   int64
}

// mayTakeEarly tells whether duties of this name may change hands before their
// lease ends.
func (k *Keeper) mayTakeEarly(d *duty) bool {
	for _, prefix := range k.config.EarlyTakeoverPrefixes {
		if strings.HasPrefix(d.name, prefix) {
			return true
		}
	}
	return false
}

// watches tells whether this process is the candidate that asks the holder:
// the first one that is not the holder itself.
func (k *Keeper) watches(d *duty) bool {
	held := d.known && d.revision != 0 && !d.seen.Released && d.seen.Address != "" && !d.holding
	if !held || k.stopping || !k.mayTakeEarly(d) {
		return false
	}
	for _, m := range k.candidates(d) {
		if m.ID != d.seen.Instance {
			return m.ID == k.self.ID
		}
	}
	return false
}

// Probes lists the holders to ask now whether they still hold; each must end
// in Probed.
func (k *Keeper) Probes(now time.Time) []KnownHolder {
	var due []KnownHolder
	for _, name := range k.order {
		d := k.duties[name]
		if d.early.asking || now.Before(d.early.askAt) || !k.watches(d) {
			continue
		}
		d.early.asking = true
		d.early.askAt = now.Add(k.config.ProbeInterval)
		due = append(due, KnownHolder{Duty: name, Address: d.seen.Address, Epoch: d.seen.Epoch})
	}
	return due
}

// ProbeDone takes in whether a holder that was asked holds the duty.
func (k *Keeper) ProbeDone(now time.Time, asked KnownHolder, holds bool) {
	d := k.duties[asked.Duty]
	if d == nil {
		return
	}
	d.early.asking = false
	if holds || asked.Epoch != d.seen.Epoch {
		d.early.misses = 0
		return
	}
	d.early.misses++
	if d.early.misses == 1 && !d.busy {
		// What the holder wrote last is known when the duty is taken.
		d.nextRead = now
	}
}

// renewed notes a record that changed. A holder that renews is alive, though
// this process cannot reach it.
func (e *early) renewed(now time.Time, epoch int64) {
	e.misses = 0
	if epoch != e.epoch {
		e.epoch = epoch
		e.changed = now
	}
}

// gone tells whether the holder was asked in vain often enough. Two candidates
// that cannot reach each other would take the duty from one another in turn, and
// each change makes its receivers start anew; the pause keeps that rare.
func (k *Keeper) gone(now time.Time, d *duty) bool {
	return d.early.misses >= k.config.ProbeFailureThreshold && now.Sub(d.early.changed) >= k.config.EarlyTakeoverInterval && k.watches(d)
}
