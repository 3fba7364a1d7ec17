// Package poison decides which requests may no longer run because they crash
// their endpoints. A request is identified by its service and the fingerprint of
// its method, path and body, since a caller's retry has a new request ID.
//
// Every request that ran on an endpoint when it crashed becomes a suspect and runs
// alone the next time, one copy at a time over all entries. A suspect that is
// answered is cleared. One that has certainly caused two crashes is quarantined. So a
// harmless request that ran beside a poison request is retried separately and never
// quarantined.
//
// A poison request reaches at most two endpoints: copies of a request that was
// never answered follow the first copy to its endpoint, and a suspect that crashed
// two endpoints runs only on these two until it is cleared or quarantined.
//
// Without agents beside the endpoints nobody knows all requests that ran at a crash,
// and requests can't be made to run alone. There the number of crashes since the last
// answer decides; see Config.UnattributedCrashes. A request that is retried at once
// then crashes all endpoints of a service of three within half a second, and harmless
// requests that ran beside it count like it. Registry.Decide limits where such a request
// may be sent by the endpoints that are left, and tells it apart from the others.
package poison

import (
	"cmp"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// ID identifies all requests with the same content.
type ID struct {
	Service     string
	Fingerprint uint64
}

// Verdict says how a request may run.
type Verdict int

// The verdicts.
const (
	Unrestricted Verdict = iota
	Alone                // a suspect: it runs alone, after the other entries were asked
	Blocked              // quarantined: it may not run
)

// Config holds the parameters of a Registry.
type Config struct {
	SuspicionTTL         time.Duration // how long a suspicion lasts without a new crash
	QuarantineTTL        time.Duration // how long a quarantine lasts
	ClearedTTL           time.Duration // how long an answer clears a request; it does so for at least half of this
	QuietTime            time.Duration // after this time without a copy, a suspect no longer casts doubt on others
	SameCrashWindow      time.Duration // reports about one endpoint within this time are one crash
	MaxCleared           int           // maximum number of cleared requests remembered, per half of ClearedTTL
	PlacementTTL         time.Duration // how long a copy at a peer restricts other copies without an update
	MaxPlacements        int           // maximum number of placements remembered
	MaxCopiesPerEndpoint int           // a copy follows others to an endpoint only if fewer copies than this run there
	// UnattributedCrashes is the number of crashes at which nobody knows what else ran, and
	// without an answer in between, that quarantine a request; 0: no number does.
	UnattributedCrashes int
}

// DefaultConfig returns the parameters that siskinloomd uses.
func DefaultConfig() Config {
	return Config{
		SuspicionTTL:         10 * time.Minute,
		QuarantineTTL:        time.Hour,
		ClearedTTL:           10 * time.Minute,
		QuietTime:            3 * time.Second,
		SameCrashWindow:      3 * time.Second,
		MaxCleared:           50_000,
		PlacementTTL:         30 * time.Second,
		MaxPlacements:        50_000,
		MaxCopiesPerEndpoint: 8,
	}
}

// suspect is the evidence against a request.
type suspect struct {
	crashes  []wire.Suspicion // one per endpoint and crash
	last     time.Time        // when the newest crash was recorded
	wantedAt time.Time        // when a copy was last about to start, here or at a peer
}

// quiet reports whether no copy was about to start lately. The caller has given up, or waits for
// longer than the one whose request crashes endpoints.
func (s *suspect) quiet(now time.Time, d time.Duration) bool {
	return now.Sub(s.last) >= d && now.Sub(s.wantedAt) >= d
}

// Registry is what one entry or agent knows about poison requests. It is not safe
// for concurrent use.
type Registry struct {
	config              Config
	self                string // instance ID; breaks ties between entries
	suspects            map[ID]*suspect
	clearedSuspects     map[ID]*suspect              // ran at a crash and was answered before or after it
	quarantinedSuspects map[ID]*suspect              // explain the crashes at which they ran
	quarantine          map[ID]*wire.QuarantineEntry // a released entry stays until it expires
	running             map[ID]int                   // number of copies that run through this entry
	reserved            map[ID]bool                  // suspects that are about to start from this entry
	placements          map[ID]*placement            // where copies of requests that were never answered run

	attribute       bool // see SetAttribution
	justQuarantined []ID // since the last call of TakeQuarantined
	justReleased    []ID // since the last call of TakeReleased

	cleared, clearedBefore map[ID]bool // answered in the current and in the last half of ClearedTTL
	rotateAt               time.Time   // when cleared becomes clearedBefore
}

// New returns a registry without suspects.
func New(config Config, self string) *Registry {
	return &Registry{
		config:              config,
		self:                self,
		suspects:            map[ID]*suspect{},
		clearedSuspects:     map[ID]*suspect{},
		quarantinedSuspects: map[ID]*suspect{},
		quarantine:          map[ID]*wire.QuarantineEntry{},
		running:             map[ID]int{},
		reserved:            map[ID]bool{},
		placements:          map[ID]*placement{},
		cleared:             map[ID]bool{},
	}
}

// Verdict returns how the request may run now.
func (r *Registry) Verdict(now time.Time, id ID) Verdict {
	r.expire(now, id)
	if q := r.quarantine[id]; q != nil && !q.Released {
		return Blocked
	}
	s := r.suspects[id]
	if s == nil {
		return Unrestricted
	}
	s.wantedAt = now
	if r.causedTwoCrashes(now, id) {
		r.quarantineSuspect(now, id)
		return Blocked
	}
	return Alone
}

// expire drops what is known about a request once its time is over.
func (r *Registry) expire(now time.Time, id ID) {
	if q := r.quarantine[id]; q != nil && now.UnixMilli() >= q.ExpiresUnix {
		delete(r.quarantine, id)
	}
	for _, all := range []map[ID]*suspect{r.suspects, r.clearedSuspects, r.quarantinedSuspects} {
		if s := all[id]; s != nil && now.Sub(s.last) > r.config.SuspicionTTL {
			delete(all, id)
		}
	}
}

// Sweep drops everything that has expired.
func (r *Registry) Sweep(now time.Time) {
	for id := range r.quarantine {
		r.expire(now, id)
	}
	for id := range r.suspects {
		r.expire(now, id)
	}
	for id := range r.clearedSuspects {
		r.expire(now, id)
	}
	for id := range r.quarantinedSuspects {
		r.expire(now, id)
	}
	for id, p := range r.placements {
		if now.After(p.until) {
			delete(r.placements, id)
		}
	}
}

// RecordCrash records that an endpoint crashed while it ran the request, as this
// process or a peer observed, and reports whether that quarantines the request.
func (r *Registry) RecordCrash(now time.Time, c wire.Suspicion) bool {
	id := ID{Service: c.Service, Fingerprint: c.Fingerprint}
	r.expire(now, id)
	if q := r.quarantine[id]; q != nil && !q.Released {
		r.recordQuarantinedCrash(now, id, c)
		return false
	}
	if c.Cleared {
		r.clearCrash(now, id, c)
	}
	group := r.suspects
	if c.Cleared || r.isCleared(now, id) && c.Batch > 1 {
		group = r.clearedSuspects
	}
	s := group[id]
	if s == nil {
		s = &suspect{}
		group[id] = s
	}
	if !r.add(s, c) {
		return false
	}
	s.last = now
	r.removeCopies(id, c.Endpoint)
	r.updateQuarantine(now)
	return r.suspects[id] == nil && r.quarantine[id] != nil && !r.quarantine[id].Released
}

// clearCrash drops a crash of a suspect that a peer got answered after it. Other crashes of the
// request still count, since the peer may not know them.
func (r *Registry) clearCrash(now time.Time, id ID, c wire.Suspicion) {
	s := r.suspects[id]
	if s == nil {
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(x wire.Suspicion) bool { return r.same(x, c) })
	if len(s.crashes) == 0 {
		delete(r.suspects, id)
	}
	r.updateQuarantine(now)
}

// recordQuarantinedCrash records another crash of a quarantined request, so that no other
// request that ran at it is quarantined for it.
func (r *Registry) recordQuarantinedCrash(now time.Time, id ID, c wire.Suspicion) {
	s := r.quarantinedSuspects[id]
	if s == nil {
		s = &suspect{}
		r.quarantinedSuspects[id] = s
	}
	if !r.add(s, c) {
		return
	}
	s.last = now
	if r.attribute {
		r.updateQuarantine(now) // the end may tell it apart from another request, or show that one ran at all its ends
	}
}

// updateQuarantine quarantines every suspect that has certainly caused two crashes, or ran at
// too many of which the cause is unknown. It
// checks all of them, since a new report may also complete the evidence about crashes of
// other suspects.
func (r *Registry) updateQuarantine(now time.Time) {
	r.releaseContested()
	for _, id := range sortedIDs(r.suspects) {
		if r.causedTwoCrashes(now, id) || r.exceedsUnattributed(id) {
			r.quarantineSuspect(now, id)
		}
	}
}

// add records a crash and reports whether it is new. Several reports of one crash
// may arrive.
func (r *Registry) add(s *suspect, c wire.Suspicion) bool {
	for i, old := range s.crashes {
		if r.same(old, c) {
			s.crashes[i].Batch = min(old.Batch, c.Batch)
			return false
		}
	}
	s.crashes = append(s.crashes, c)
	return true
}

// same reports whether two reports are about the same crash of an endpoint. The
// clocks of the reporting processes differ, but the number that the agent gave the
// crash does not.
func (r *Registry) same(a, b wire.Suspicion) bool {
	if a.Service != b.Service || a.Endpoint != b.Endpoint {
		return false
	}
	if a.Crash != 0 && b.Crash != 0 {
		return a.Crash == b.Crash
	}
	gap := time.Duration(a.UnixMilli-b.UnixMilli) * time.Millisecond
	return gap.Abs() <= r.config.SameCrashWindow
}

// causedTwoCrashes reports whether the request has certainly caused two crashes.
//
// A harmless request may run beside a poison request at one crash and run alone when
// another endpoint crashes for a different reason. If that sufficed, it would be
// refused for an hour. So a crash at which other requests ran counts only while none
// of them is a suspect or is quarantined for it. Until then the request runs on the
// endpoints that crashed with it, and either is answered or crashes one alone.
//
// A suspect that nobody sends any more is neither cleared nor caught. If it counted for as long
// as the suspicion lasts, the copies of a poison request would wait all that time for its crashed
// endpoints.
func (r *Registry) causedTwoCrashes(now time.Time, id ID) bool {
	s := r.suspects[id]
	for i, a := range s.crashes {
		for _, b := range s.crashes[i+1:] {
			if a.Batch == 0 || b.Batch == 0 {
				continue
			}
			if r.onlyPossibleCause(now, id, a) && r.onlyPossibleCause(now, id, b) && (a.Batch <= 1 || b.Batch <= 1) {
				return true
			}
			if r.onlyCommon(id, a, b) {
				return true
			}
		}
	}
	return false
}

// onlyPossibleCause reports whether no other known request that is still sent may have caused
// the crash.
func (r *Registry) onlyPossibleCause(now time.Time, id ID, c wire.Suspicion) bool {
	return c.Batch <= 1 || !r.doubted(now, id, c) && !r.explained(c)
}

// doubted reports whether another suspect that is still sent ran at the crash.
func (r *Registry) doubted(now time.Time, id ID, c wire.Suspicion) bool {
	for other, s := range r.suspects {
		if other != id && r.ranAt(s, c) && !(r.running[other] == 0 && s.quiet(now, r.config.QuietTime)) {
			return true
		}
	}
	return false
}

// explained reports whether a quarantined request ran at the crash.
func (r *Registry) explained(c wire.Suspicion) bool {
	for _, s := range r.quarantinedSuspects {
		if r.ranAt(s, c) {
			return true
		}
	}
	return false
}

// onlyCommon reports whether this request is the only one that ran at both of two
// crashes. All requests that ran at them must be known, and others must have run at
// each. This happens when two copies of a request are sent at once.
func (r *Registry) onlyCommon(id ID, a, b wire.Suspicion) bool {
	if a.Batch <= 1 || b.Batch <= 1 || r.explained(a) || r.explained(b) {
		return false
	}
	return r.complete(a) && r.complete(b) && !r.shared(id, a, b)
}

// complete reports whether every request that ran at the crash is known here.
func (r *Registry) complete(c wire.Suspicion) bool {
	known := 0
	for _, group := range []map[ID]*suspect{r.suspects, r.clearedSuspects} {
		for _, s := range group {
			if r.ranAt(s, c) {
				known++
			}
		}
	}
	return known >= c.Batch
}

// shared reports whether another suspect ran at both crashes.
func (r *Registry) shared(id ID, a, b wire.Suspicion) bool {
	for other, s := range r.suspects {
		if other != id && r.ranAt(s, a) && r.ranAt(s, b) {
			return true
		}
	}
	return false
}

// ranAt reports whether the request ran at the crash.
func (r *Registry) ranAt(s *suspect, c wire.Suspicion) bool {
	return slices.ContainsFunc(s.crashes, func(x wire.Suspicion) bool { return r.same(x, c) })
}

// quarantineSuspect quarantines a suspect for QuarantineTTL.
func (r *Registry) quarantineSuspect(now time.Time, id ID) {
	endpoints := map[string]bool{}
	for _, c := range r.suspects[id].crashes {
		endpoints[c.Endpoint] = true
	}
	r.justQuarantined = append(r.justQuarantined, id)
	r.quarantinedSuspects[id] = r.suspects[id]
	delete(r.suspects, id)
	r.quarantine[id] = &wire.QuarantineEntry{
		Fingerprint: id.Fingerprint,
		Service:     id.Service,
		Endpoints:   len(endpoints),
		ExpiresUnix: now.Add(r.config.QuarantineTTL).UnixMilli(),
	}
}

// TakeQuarantined returns the requests that this process has quarantined since the last call. An
// answer to one request may quarantine another, whose crash it explains.
func (r *Registry) TakeQuarantined() []ID {
	taken := r.justQuarantined
	r.justQuarantined = nil
	return taken
}

// RecordAnswer clears a request that an endpoint answered.
func (r *Registry) RecordAnswer(now time.Time, id ID) {
	if s := r.suspects[id]; s != nil {
		delete(r.suspects, id)
		r.clearedSuspects[id] = s
		r.updateQuarantine(now)
	}
	delete(r.placements, id)
	r.rotateCleared(now)
	if len(r.cleared) < r.config.MaxCleared {
		r.cleared[id] = true
	}
}

// rotateCleared drops cleared requests in steps of half of ClearedTTL.
func (r *Registry) rotateCleared(now time.Time) {
	if now.Before(r.rotateAt) {
		return
	}
	half := r.config.ClearedTTL / 2
	r.clearedBefore = r.cleared
	if !now.Before(r.rotateAt.Add(half)) {
		r.clearedBefore = nil // older than the last half
	}
	r.cleared = map[ID]bool{}
	r.rotateAt = now.Add(half)
}

// sortedIDs returns the IDs of a group in order.
func sortedIDs(group map[ID]*suspect) []ID {
	ids := make([]ID, 0, len(group))
	for id := range group {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
