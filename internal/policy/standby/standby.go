// Package standby decides when the standby of a job owner takes over the owner's jobs. It
// performs no I/O and reads no clock; callers pass the time.
//
// An owner may fail while a step of its trainer is half done. Its registration expires
// seconds later, or later still if the store is unavailable at the time, and a step has
// only a few seconds to spare. On the other hand, an owner that does not answer this
// process may still be running and reachable from others, and a second owner would run
// its items twice. The standby therefore pings the owner directly, and then asks other
// processes whether the owner answers them (an indirect ping).
package standby

import (
	"maps"
	"slices"
	"time"
)

const (
	// pingInterval is the time between pings of an owner, and between indirect pings.
	pingInterval = 300 * time.Millisecond
	// silenceTimeout is how long an owner must be silent before it can count as lost. An owner
	// that was killed and has restarted by then continues its jobs itself, with all its texts.
	silenceTimeout = 1200 * time.Millisecond
	// minFailedPings is how many consecutive pings must have failed in addition to
	// silenceTimeout, as this process may itself have been suspended during that time.
	minFailedPings = 3
	// indirectFailureTTL is how long a failed indirect ping remains valid.
	indirectFailureTTL = time.Second
)

// FailureDetector detects failed owners of jobs. It is not safe for concurrent use.
type FailureDetector struct {
	owners map[string]*owner
}

type owner struct {
	lastAnswer          time.Time
	lastPing            time.Time
	failedPings         int       // consecutive
	lastIndirectFailure time.Time // when another process last reported the owner unreachable; zero if none did
	lastIndirectPing    time.Time
}

// NewFailureDetector returns a detector that monitors no owners.
func NewFailureDetector() *FailureDetector { return &FailureDetector{owners: map[string]*owner{}} }

// Retain makes names the set of monitored owners. A new owner is treated as if it had
// answered at now.
func (d *FailureDetector) Retain(now time.Time, names []string) {
	maps.DeleteFunc(d.owners, func(name string, _ *owner) bool { return !slices.Contains(names, name) })
	for _, name := range names {
		if d.owners[name] == nil {
			d.owners[name] = &owner{lastAnswer: now, lastPing: now}
		}
	}
}

// DuePings returns the owners to ping now and records the pings as sent.
func (d *FailureDetector) DuePings(now time.Time) []string {
	return d.due(func(o *owner) bool {
		if now.Sub(o.lastPing) < pingInterval {
			return false
		}
		o.lastPing = now
		return true
	})
}

// DueIndirectPings returns the owners that other processes are to be asked about now, and
// records the indirect pings as sent.
func (d *FailureDetector) DueIndirectPings(now time.Time) []string {
	return d.due(func(o *owner) bool {
		if !o.silent(now) || now.Sub(o.lastIndirectPing) < pingInterval {
			return false
		}
		o.lastIndirectPing = now
		return true
	})
}

func (d *FailureDetector) due(isDue func(*owner) bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(d.owners)) {
		if isDue(d.owners[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (o *owner) silent(now time.Time) bool {
	return now.Sub(o.lastAnswer) >= silenceTimeout && o.failedPings >= minFailedPings
}

// RecordContact records that an owner answered this process or another one.
func (d *FailureDetector) RecordContact(now time.Time, name string) {
	if o := d.owners[name]; o != nil {
		o.lastAnswer, o.failedPings, o.lastIndirectFailure = now, 0, time.Time{}
	}
}

// RecordFailure records that an owner did not answer a ping.
func (d *FailureDetector) RecordFailure(name string) {
	if o := d.owners[name]; o != nil {
		o.failedPings++
	}
}

// RecordIndirectFailure records that another process cannot reach the owner either. Without
// such a report, this process may be the one that is disconnected.
func (d *FailureDetector) RecordIndirectFailure(now time.Time, name string) {
	if o := d.owners[name]; o != nil {
		o.lastIndirectFailure = now
	}
}

// Lost reports whether an owner has failed: it has not answered for silenceTimeout, at least
// minFailedPings consecutive pings failed, and another process recently failed to reach it.
func (d *FailureDetector) Lost(now time.Time, name string) bool {
	o := d.owners[name]
	return o != nil && o.silent(now) && !o.lastIndirectFailure.IsZero() && now.Sub(o.lastIndirectFailure) < indirectFailureTTL
}
