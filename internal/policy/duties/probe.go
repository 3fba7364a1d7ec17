package duties

import (
	"strings"
	"time"
)

// probe is the state of a candidate's probes of the holder of a duty whose receivers
// check epochs, such as the weights of a service.
//
// A lease prevents two holders from acting at the same time, but it has to expire
// before a dead holder is replaced. If every receiver rejects an epoch below the
// highest it has seen, two holders do no harm, and the wait would only delay a
// rollout of weights. The next candidate therefore probes the holder directly, and
// takes over the duty under the next epoch after a few failed probes.
type probe struct {
	pending     bool
	nextAt      time.Time
	failures    int       // failed probes in a row
	epochSeenAt time.Time // when epoch was first seen
	epoch       int64
}

// allowsEarlyTakeover reports whether the duty may be taken over before its lease
// ends.
func (k *Keeper) allowsEarlyTakeover(d *duty) bool {
	for _, prefix := range k.config.EarlyTakeoverPrefixes {
		if strings.HasPrefix(d.name, prefix) {
			return true
		}
	}
	return false
}

// isProber reports whether this process is the candidate that probes the holder: the
// first one that is not the holder itself.
func (k *Keeper) isProber(d *duty) bool {
	held := d.recordKnown && d.revision != 0 && !d.lastRecord.Released && d.lastRecord.Address != "" && !d.holding
	if !held || k.stopping || !k.allowsEarlyTakeover(d) {
		return false
	}
	for _, m := range k.candidates(d) {
		if m.ID != d.lastRecord.Instance {
			return m.ID == k.self.ID
		}
	}
	return false
}

// Probes returns the holders to probe now, that is, to ask whether they still hold
// their duty. ProbeDone must be called for each of them.
func (k *Keeper) Probes(now time.Time) []KnownHolder {
	var due []KnownHolder
	for _, name := range k.sortedNames {
		d := k.duties[name]
		if d.probe.pending || now.Before(d.probe.nextAt) || !k.isProber(d) {
			continue
		}
		d.probe.pending = true
		d.probe.nextAt = now.Add(k.config.ProbeInterval)
		due = append(due, KnownHolder{Duty: name, Address: d.lastRecord.Address, Epoch: d.lastRecord.Epoch})
	}
	return due
}

// ProbeDone handles the result of a probe. holds is false if the probed process
// doesn't hold the duty or didn't answer.
func (k *Keeper) ProbeDone(now time.Time, probed KnownHolder, holds bool) {
	d := k.duties[probed.Duty]
	if d == nil {
		return
	}
	d.probe.pending = false
	if holds || probed.Epoch != d.lastRecord.Epoch {
		d.probe.failures = 0
		return
	}
	d.probe.failures++
	if d.probe.failures == 1 && !d.callPending {
		// Reads the record now, so that the holder's last write is known when the
		// duty is taken over.
		d.nextRead = now
	}
}

// recordChanged resets the failures after a change of the record: a holder that
// renews is alive even if this process can't reach it.
func (p *probe) recordChanged(now time.Time, epoch int64) {
	p.failures = 0
	if epoch != p.epoch {
		p.epoch = epoch
		p.epochSeenAt = now
	}
}

// holderGone reports whether enough probes have failed to take over the duty before
// its lease ends. Two candidates that can't reach each other would take the duty from
// one another in turn, and each change makes its receivers start over;
// EarlyTakeoverInterval keeps that rare.
func (k *Keeper) holderGone(now time.Time, d *duty) bool {
	return d.probe.failures >= k.config.ProbeFailureThreshold && now.Sub(d.probe.epochSeenAt) >= k.config.EarlyTakeoverInterval && k.isProber(d)
}
