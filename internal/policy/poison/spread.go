package poison

import (
	"cmp"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Wait notes that a suspect is about to start from here, false if a copy runs
// or waits here already. Begin or Forgo ends the wait.
//
// Two copies of a poison request that start side by side crash two endpoints
// before either crash can convict it, and a third falls to the next copy.
// Therefore an entry asks every other one between Wait and Begin, and begins
// only if none is Busy and it was not made to yield meanwhile. Of two entries
// that ask each other one always sees the other.
func (r *Registry) Reserve(id ID) bool {
	if r.running[id] > 0 || r.waiting[id] {
		return false
	}
	r.waiting[id] = true
	return true
}

// Ready tells whether a suspect that waited may start; false if its wait was
// ended by a yield. Begin follows.
func (r *Registry) Reserved(id ID) bool {
	return r.waiting[id]
}

// Forgo ends a wait without a start.
func (r *Registry) CancelReservation(id ID) {
	delete(r.waiting, id)
}

// Busy tells the entry from, which is about to start the suspect, that it must
// not yet. Of two that wait, the one with the greater instance id yields.
func (r *Registry) Busy(id ID, from string) bool {
	if r.running[id] > 0 {
		return true
	}
	if r.waiting[id] && from < r.self {
		delete(r.waiting, id)
	}
	return r.waiting[id]
}

// Suspicions lists the crashes known, for peers; those of requests that were
// answered since are marked, since they complete what is known of a crash.
func (r *Registry) Suspicions() []wire.Suspicion {
	var all []wire.Suspicion
	for _, id := range sorted(r.suspects) {
		all = append(all, r.suspects[id].crashes...)
	}
	for _, id := range sorted(r.acquitted) {
		for _, c := range r.acquitted[id].crashes {
			c.Cleared = true
			all = append(all, c)
		}
	}
	return all
}

// List returns the quarantine, released entries included, for peers and
// operators.
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

// Merge takes in what a peer knows. A release stands over a quarantine that
// does not outlast it, so that an operator's word holds on every entry; a
// quarantine made anew after the release outlasts it.
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
			r.moveCulprit(id, e.Released)
		}
	}
}

// Release lets every request with the fingerprint run again and tells whether
// one was in quarantine. Its past crashes no longer count.
func (r *Registry) Release(now time.Time, fingerprint uint64) bool {
	released := false
	for id, q := range r.quarantine {
		r.expire(now, id)
		if id.Fingerprint != fingerprint || r.quarantine[id] == nil || q.Released {
			continue
		}
		q.Released = true
		// Outlasts every quarantine that a peer has made before now.
		q.ExpiresUnix = now.Add(r.config.QuarantineTTL).UnixMilli()
		r.moveCulprit(id, true)
		released = true
	}
	return released
}

// moveCulprit ends the suspicion of a request on a word about its quarantine;
// the crashes of one that was released count for nothing.
func (r *Registry) moveCulprit(id ID, released bool) {
	if s := r.suspects[id]; s != nil && !released {
		r.culprits[id] = s
	}
	if released {
		delete(r.culprits, id)
	}
	delete(r.suspects, id)
}
