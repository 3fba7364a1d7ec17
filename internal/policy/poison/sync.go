package poison

import (
	"cmp"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Reserve reserves the start of a suspect for this entry. It returns false if a copy
// runs or is reserved here already. StartCopy or CancelReservation ends the
// reservation.
//
// If two copies of a poison request start concurrently, they crash two endpoints
// before the request can be quarantined, and the next copy crashes a third.
// Therefore an entry asks every other one between Reserve and StartCopy, and starts
// the copy only if none of them is Busy and it has not had to yield meanwhile. Of two
// entries that ask each other, at least one sees the other's reservation.
func (r *Registry) Reserve(id ID) bool {
	if r.running[id] > 0 || r.reserved[id] {
		return false
	}
	r.reserved[id] = true
	return true
}

// Reserved reports whether this entry still holds its reservation and may call
// StartCopy. It is false if the entry had to yield.
func (r *Registry) Reserved(id ID) bool {
	return r.reserved[id]
}

// CancelReservation ends a reservation without a start.
func (r *Registry) CancelReservation(id ID) {
	delete(r.reserved, id)
}

// Busy reports whether the entry from, which is about to start the suspect, must not
// do so yet. Of two entries with a reservation, the one with the greater instance ID
// yields.
func (r *Registry) Busy(now time.Time, id ID, from string) bool {
	if s := r.suspects[id]; s != nil {
		s.wantedAt = now
	}
	if r.running[id] > 0 {
		return true
	}
	if r.reserved[id] && from < r.self {
		delete(r.reserved, id)
	}
	return r.reserved[id]
}

// Suspicions returns the known crashes, for peers. Those of requests that were
// answered are included, marked as cleared, since they complete what is known about
// a crash.
func (r *Registry) Suspicions() []wire.Suspicion {
	var all []wire.Suspicion
	for _, id := range sortedIDs(r.suspects) {
		all = append(all, r.suspects[id].crashes...)
	}
	for _, id := range sortedIDs(r.clearedSuspects) {
		for _, c := range r.clearedSuspects[id].crashes {
			c.Cleared = true
			all = append(all, c)
		}
	}
	return all
}

// List returns the quarantine, including released entries, for peers and operators.
func (r *Registry) List(now time.Time) []wire.QuarantineEntry {
	r.Sweep(now)
	all := make([]wire.QuarantineEntry, 0, len(r.quarantine))
	for _, q := range r.quarantine {
		all = append(all, *q)
	}
	slices.SortFunc(all, func(a, b wire.QuarantineEntry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all
}

// Merge merges the quarantine of a peer. A release overrides every quarantine that
// does not expire later, so that an operator's release holds on every entry. A
// quarantine made after the release expires later.
func (r *Registry) Merge(now time.Time, entries []wire.QuarantineEntry) {
	for _, e := range entries {
		id := ID{Service: e.Service, Fingerprint: e.Fingerprint}
		r.expire(now, id)
		if now.UnixMilli() >= e.ExpiresUnix {
			continue
		}
		q := r.quarantine[id]
		newer := q == nil || e.ExpiresUnix > q.ExpiresUnix ||
			e.ExpiresUnix == q.ExpiresUnix && e.Released
		if newer {
			r.quarantine[id] = &e
			r.endSuspicion(id, e.Released)
		}
	}
}

// Release lets every request with the fingerprint run again and reports whether one
// was quarantined. Its past crashes no longer count.
func (r *Registry) Release(now time.Time, fingerprint uint64) bool {
	released := false
	for id, q := range r.quarantine {
		r.expire(now, id)
		if id.Fingerprint != fingerprint || r.quarantine[id] == nil || q.Released {
			continue
		}
		q.Released = true
		// Expires later than every quarantine that a peer has made before now.
		q.ExpiresUnix = now.Add(r.config.QuarantineTTL).UnixMilli()
		r.endSuspicion(id, true)
		released = true
	}
	return released
}

// endSuspicion ends the suspicion of a request whose quarantine was made or released.
// The crashes of a quarantined request are kept, since they may explain those of
// others; the crashes of a released request are dropped.
func (r *Registry) endSuspicion(id ID, released bool) {
	if s := r.suspects[id]; s != nil && !released {
		r.quarantinedSuspects[id] = s
	}
	if released {
		delete(r.quarantinedSuspects, id)
	}
	delete(r.suspects, id)
}
