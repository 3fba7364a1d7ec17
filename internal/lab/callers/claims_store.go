package callers

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/claims"
)

const (
	storeTimeout       = 60 * time.Millisecond
	leaseTTL           = 700 * time.Millisecond
	leaseMargin        = 30 * time.Millisecond
	leaseRenewInterval = 150 * time.Millisecond
	maxLateStoreDelay  = 400 * time.Millisecond
)

// dutyRecord is the record of the partition's duty with its lease.
type dutyRecord struct {
	holder    string
	epoch     int64
	expiresAt time.Time
}

// store simulates the key-value service. It loses requests and answers, executes some
// requests late, and has outages.
type store struct {
	clock           *clock
	records         map[string]claims.Record
	revision        int64
	duty            dutyRecord
	down            bool
	writes          int
	noRevisionCheck bool // swaps succeed whatever the revision is
}

func newStore(c *clock) *store {
	return &store{clock: c, records: map[string]claims.Record{}}
}

// call executes op over a network that may lose the request or the answer. It calls
// onDone once: with true if the answer arrives in time, otherwise with false after the
// timeout.
func (k *store) call(op func(), onDone func(ok bool)) {
	done := false
	finish := func(ok bool) {
		if !done {
			done = true
			onDone(ok)
		}
	}
	k.clock.after(storeTimeout, func() { finish(false) })
	requestDelay := k.clock.between(time.Millisecond, 4*time.Millisecond)
	switch {
	case k.clock.chance(0.03):
		return
	case k.clock.chance(0.03):
		requestDelay = k.clock.between(storeTimeout, maxLateStoreDelay)
	}
	answerArrives := !k.clock.chance(0.05)
	k.clock.after(requestDelay, func() {
		if k.down {
			return
		}
		op()
		if answerArrives {
			k.clock.after(k.clock.between(time.Millisecond, 3*time.Millisecond), func() { finish(true) })
		}
	})
}

func (k *store) get(key string) claims.Record {
	r := k.records[key]
	r.Key = key
	return r
}

// swap stores a value if the record has the expected revision. It reports whether it
// did and returns the current record.
func (k *store) swap(w claims.Write) (bool, claims.Record) {
	k.writes++
	current := k.get(w.Key)
	if current.Revision != w.Expected && !k.noRevisionCheck {
		return false, current
	}
	k.revision++
	current.Value = w.Value
	current.Revision = k.revision
	k.records[w.Key] = current
	return true, current
}

// renewOrAcquire renews the duty for its holder, or acquires it for the process if the
// lease has expired, and returns the current record.
func (k *store) renewOrAcquire(process string) dutyRecord {
	now := k.clock.now
	if k.duty.holder != process && now.Before(k.duty.expiresAt) {
		return k.duty
	}
	if k.duty.holder != process || !now.Before(k.duty.expiresAt) {
		k.duty.epoch++
		k.duty.holder = process
	}
	k.duty.expiresAt = now.Add(leaseTTL)
	return k.duty
}

func (k *store) release(process string) {
	if k.duty.holder == process {
		k.duty.expiresAt = k.clock.now
	}
}
