// Package poison decides which requests may no longer run because they crash
// their endpoints. A request is known by its service and the fingerprint of
// its method, path and body: a caller's resend bears a new id.
//
// Everything that ran on an endpoint when it crashed is suspect and runs alone
// the next time, one copy at a time over all entries. One that is answered is
// cleared; one that crashes again beyond doubt is quarantined. An innocent
// neighbour is thus retried apart and never quarantined.
//
// A poison request reaches two endpoints at most: copies of a request that was
// never answered follow the first to its endpoint, and a suspect that crashed
// two endpoints runs on these two only until it is cleared or quarantined.
package poison

import (
	"cmp"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// ID names what a request asks for.
type ID struct {
	Service     string
	Fingerprint uint64
}

// Verdict is how a request may run.
type Verdict int

// The verdicts.
const (
	Unrestricted Verdict = iota
	Alone                // suspect: run alone, after a look at the other entries
	Blocked              // in quarantine
)

// Config holds the parameters.
type Config struct {
	SuspicionTTL         time.Duration // a suspicion lasts without a new crash
	QuarantineTTL        time.Duration // a quarantine lasts
	ClearedTTL           time.Duration // an answer clears, at least half as long
	SameCrashWindow      time.Duration // reports of one endpoint within this are one crash
	MaxCleared           int           // cleared requests remembered at most, per half of InnocentFor
	PlacementTTL         time.Duration // a copy at a peer binds others without news of it
	MaxPlacements        int           // placements remembered at most
	MaxCopiesPerEndpoint int           // copies that follow others to one endpoint at most
}

// DefaultConfig returns the parameters that siskinloomd uses.
func DefaultConfig() Config {
	return Config{
		SuspicionTTL:         10 * time.Minute,
		QuarantineTTL:        time.Hour,
		ClearedTTL:           10 * time.Minute,
		SameCrashWindow:      3 * time.Second,
		MaxCleared:           50_000,
		PlacementTTL:         30 * time.Second,
		MaxPlacements:        50_000,
		MaxCopiesPerEndpoint: 8,
	}
}

// suspect is what speaks against a request.
type suspect struct {
	crashes []wire.Suspicion // one per endpoint and crash
	last    time.Time        // the newest of them
}

// Registry is one entry's or agent's knowledge. It is not safe for concurrent
// use.
type Registry struct {
	config     Config
	self       string // instance id; breaks ties between entries
	suspects   map[ID]*suspect
	acquitted  map[ID]*suspect              // ran at a crash and was answered before or since
	culprits   map[ID]*suspect              // in quarantine; explains the crashes at which it ran
	quarantine map[ID]*wire.QuarantineEntry // a released one stays until it expires
	running    map[ID]int                   // copies that run through this entry
	waiting    map[ID]bool                  // suspects that are about to run from here
	placed     map[ID]*placement            // requests never answered: where copies run

	cleared, clearedBefore map[ID]bool // answered in this and the last half of InnocentFor
	turn                   time.Time   // when cleared becomes clearedBefore
}

// New returns a registry that suspects nothing.
func New(config Config, self string) *Registry {
	return &Registry{
		config:     config,
		self:       self,
		suspects:   map[ID]*suspect{},
		acquitted:  map[ID]*suspect{},
		culprits:   map[ID]*suspect{},
		quarantine: map[ID]*wire.QuarantineEntry{},
		running:    map[ID]int{},
		waiting:    map[ID]bool{},
		placed:     map[ID]*placement{},
		cleared:    map[ID]bool{},
	}
}

// Verdict tells how the request may run now.
func (r *Registry) Verdict(now time.Time, id ID) Verdict {
	r.expire(now, id)
	if q := r.quarantine[id]; q != nil && !q.Released {
		return Blocked
	}
	if r.suspects[id] != nil {
		return Alone
	}
	return Unrestricted
}

func (r *Registry) expire(now time.Time, id ID) {
	if q := r.quarantine[id]; q != nil && now.UnixMilli() >= q.ExpiresUnix {
		delete(r.quarantine, id)
	}
	for _, all := range []map[ID]*suspect{r.suspects, r.acquitted, r.culprits} {
		if s := all[id]; s != nil && now.Sub(s.last) > r.config.SuspicionTTL {
			delete(all, id)
		}
	}
}

// Sweep forgets everything that has expired.
func (r *Registry) Sweep(now time.Time) {
	for id := range r.quarantine {
		r.expire(now, id)
	}
	for id := range r.suspects {
		r.expire(now, id)
	}
	for id := range r.acquitted {
		r.expire(now, id)
	}
	for id := range r.culprits {
		r.expire(now, id)
	}
	for id, p := range r.placed {
		if now.After(p.until) {
			delete(r.placed, id)
		}
	}
}

// Crashed takes in that an endpoint crashed while it ran the request, from
// this process or a peer, and tells whether that puts it in quarantine.
func (r *Registry) RecordCrash(now time.Time, c wire.Suspicion) bool {
	id := ID{Service: c.Service, Fingerprint: c.Fingerprint}
	r.expire(now, id)
	if q := r.quarantine[id]; q != nil && !q.Released {
		r.blame(now, id, c)
		return false
	}
	file := r.suspects
	if (c.Cleared || r.innocent(now, id)) && c.Batch > 1 {
		file = r.acquitted
	}
	s := file[id]
	if s == nil {
		s = &suspect{}
		file[id] = s
	}
	if !r.add(s, c) {
		return false
	}
	s.last = now
	r.vacate(id, c.Endpoint)
	r.convict(now)
	return r.suspects[id] == nil && r.quarantine[id] != nil && !r.quarantine[id].Released
}

// blame notes another crash of a request in quarantine, so that no one else
// that ran there is convicted for it.
func (r *Registry) blame(now time.Time, id ID, c wire.Suspicion) {
	s := r.culprits[id]
	if s == nil {
		s = &suspect{}
		r.culprits[id] = s
	}
	if r.add(s, c) {
		s.last = now
	}
}

// convict quarantines whoever is beyond doubt; a crash may complete what is
// known of the crashes of others too.
func (r *Registry) convict(now time.Time) {
	for _, id := range sorted(r.suspects) {
		if r.convicted(id) {
			r.put(now, id)
		}
	}
}

// add notes a crash unless it is known; reports of it come by several ways.
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

// same tells whether two reports are of one crash of one endpoint. The clocks
// of those who report it differ; the number that the agent gave it does not.
func (r *Registry) same(a, b wire.Suspicion) bool {
	if a.Service != b.Service || a.Endpoint != b.Endpoint {
		return false
	}
	if a.Crash != 0 && b.Crash != 0 {
		return a.Crash == b.Crash
	}
	apart := time.Duration(a.UnixMilli-b.UnixMilli) * time.Millisecond
	return apart.Abs() <= r.config.SameCrashWindow
}

// convicted tells whether the request has crashed twice beyond doubt.
//
// An innocent request may run beside a culprit at one crash and be alone when
// another endpoint crashes by itself. Were that enough, it would be refused for
// an hour. So a crash in company counts only while nobody else who ran at it is
// suspect or in quarantine for it; until then the request runs on the endpoints
// that it crashed, and either is answered or crashes alone once more.
func (r *Registry) convicted(id ID) bool {
	s := r.suspects[id]
	for i, a := range s.crashes {
		for _, b := range s.crashes[i+1:] {
			if r.certain(id, a) && r.certain(id, b) && (a.Batch <= 1 || b.Batch <= 1) {
				return true
			}
			if r.onlyCommon(id, a, b) {
				return true
			}
		}
	}
	return false
}

// certain tells whether nobody else is known who may have caused the crash.
func (r *Registry) certain(id ID, c wire.Suspicion) bool {
	return c.Batch <= 1 || !r.othersAt(r.suspects, id, c) && !r.explained(c)
}

func (r *Registry) explained(c wire.Suspicion) bool {
	return r.othersAt(r.culprits, ID{}, c)
}

func (r *Registry) othersAt(file map[ID]*suspect, id ID, c wire.Suspicion) bool {
	for other, s := range file {
		if other != id && r.ranAt(s, c) {
			return true
		}
	}
	return false
}

// onlyCommon tells whether of all that ran at two crashes in company, being
// known, only this request ran at both: two copies of it were sent at once.
func (r *Registry) onlyCommon(id ID, a, b wire.Suspicion) bool {
	if a.Batch <= 1 || b.Batch <= 1 || r.explained(a) || r.explained(b) {
		return false
	}
	return r.complete(a) && r.complete(b) && !r.shared(id, a, b)
}

// complete tells whether every request that ran at the crash is known here.
func (r *Registry) complete(c wire.Suspicion) bool {
	known := 0
	for _, file := range []map[ID]*suspect{r.suspects, r.acquitted} {
		for _, s := range file {
			if r.ranAt(s, c) {
				known++
			}
		}
	}
	return known >= c.Batch
}

// shared tells whether another suspect ran at both crashes.
func (r *Registry) shared(id ID, a, b wire.Suspicion) bool {
	for other, s := range r.suspects {
		if other != id && r.ranAt(s, a) && r.ranAt(s, b) {
			return true
		}
	}
	return false
}

func (r *Registry) ranAt(s *suspect, c wire.Suspicion) bool {
	return slices.ContainsFunc(s.crashes, func(x wire.Suspicion) bool { return r.same(x, c) })
}

// put quarantines a suspect.
func (r *Registry) put(now time.Time, id ID) {
	endpoints := map[string]bool{}
	for _, c := range r.suspects[id].crashes {
		endpoints[c.Endpoint] = true
	}
	r.culprits[id] = r.suspects[id]
	delete(r.suspects, id)
	r.quarantine[id] = &wire.QuarantineEntry{
		Fingerprint: id.Fingerprint,
		Service:     id.Service,
		Endpoints:   len(endpoints),
		ExpiresUnix: now.Add(r.config.QuarantineTTL).UnixMilli(),
	}
}

// Answered clears a request that an endpoint answered.
func (r *Registry) RecordAnswer(now time.Time, id ID) {
	if s := r.suspects[id]; s != nil {
		delete(r.suspects, id)
		r.acquitted[id] = s
		r.convict(now)
	}
	delete(r.placed, id)
	r.turnOver(now)
	if len(r.cleared) < r.config.MaxCleared {
		r.cleared[id] = true
	}
}

func (r *Registry) innocent(now time.Time, id ID) bool {
	r.turnOver(now)
	return r.cleared[id] || r.clearedBefore[id]
}

func (r *Registry) turnOver(now time.Time) {
	if now.Before(r.turn) {
		return
	}
	half := r.config.ClearedTTL / 2
	r.clearedBefore = r.cleared
	if !now.Before(r.turn.Add(half)) {
		r.clearedBefore = nil // from longer ago than the half before this one
	}
	r.cleared = map[ID]bool{}
	r.turn = now.Add(half)
}

func sorted(file map[ID]*suspect) []ID {
	ids := make([]ID, 0, len(file))
	for id := range file {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
