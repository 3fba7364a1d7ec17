package poison

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// smallService is the largest number of endpoints at which the copies of a request that is no
	// suspect yet are limited: three copies at once take all endpoints of such a service.
	smallService = 3
	// lonelyLimit is the number of ends that quarantine a request of a service with one endpoint,
	// each of which interrupts the whole service.
	lonelyLimit = 2
	// turnLength is the interval in which one of several requests that ran at the same ends may
	// start. Starts are allowed in its first half: runs take up to some hundred milliseconds, and
	// the clocks of processes differ.
	turnLength = time.Second
	turnStarts = turnLength / 2
	// settleTime is how long a decision is expected to change after an end: reports of other
	// processes about the same end arrive, and copies of the same and of other suspects end.
	settleTime = 150 * time.Millisecond
	// maxContested is the factor by which the ends of a request may exceed the limit while others
	// ran at all of them. Without it, requests that always run together would never be quarantined.
	maxContested = 2
)

// Service describes the endpoints that may serve a request, as a process knows them.
type Service struct {
	Healthy []string // IDs of those that are listed, not leaving and not known to have ended
	Size    int      // number of endpoints, with those that are leaving and those that ended and are expected back
	// Others is the number of endpoints that are listed but have not the weights that the request
	// needs. The end of its only endpoint does not interrupt a service that has others.
	Others int
	// Unsure holds the IDs of endpoints that ended some time ago and are listed as before, as in an
	// outage of the store. A suspect goes there first: either the endpoint is gone and does not run it,
	// or its end was reported wrongly.
	Unsure []string
	// Tried holds the IDs of healthy or unsure endpoints that did not run the request when it was sent to
	// them. A suspect goes to another one.
	Tried []string
	// Engines says that the endpoints run texts. A text takes seconds, so that an engine that is
	// full or loads weights would hold up a suspect that may go nowhere else.
	Engines bool
}

// Decision says whether a copy of a request may be sent now.
type Decision struct {
	Admitted bool
	Only     []string // endpoints that may run it; nil: any

	// If it is not admitted:
	Quarantined bool
	Until       time.Time // when it may be sent; zero: when an endpoint is back or a copy has ended
	Reason      string
	Suspect     bool // an endpoint ended under it
	// Settled is the time from which waiting for the decision to change is of no use: reports by
	// other processes have arrived by then, or copies of this process take longer than usual.
	Settled time.Time
}

// SetAttribution sets whether the ends of endpoints are attributed: whether requests that ran at
// the same ends are told apart before one of them is quarantined, and whether ends at which a
// quarantined request ran count against others.
func (r *Registry) SetAttribution(on bool) { r.attribute = on }

// Copies are the endpoints that run copies of requests for this process, by fingerprint. An empty
// ID stands for a copy whose endpoint is not chosen yet.
type Copies map[uint64][]string

// Add adds a copy.
func (c Copies) Add(fingerprint uint64, endpoint string) {
	c[fingerprint] = append(c[fingerprint], endpoint)
}

// Remove removes a copy.
func (c Copies) Remove(fingerprint uint64, endpoint string) {
	running := c[fingerprint]
	if i := slices.Index(running, endpoint); i >= 0 {
		running = slices.Delete(running, i, i+1)
	}
	c[fingerprint] = running
	if len(running) == 0 {
		delete(c, fingerprint)
	}
}

// Decide decides whether one more copy of the request may be sent, while the process runs these
// copies of this and of other requests. service is called only if the decision depends on it.
//
// Before the first end, copies of one request may occupy all but one endpoint of a small service.
// After it the request is a suspect: one copy at a time, at one endpoint that is the same in all
// processes, and never at the last healthy one of several. Of requests that ran at the same ends,
// each has turns in which only it may start, so that the next end tells them apart.
func (r *Registry) Decide(now time.Time, id ID, service func() Service, copies Copies) Decision {
	if until := r.BlockedUntil(now, id); !until.IsZero() {
		return Decision{Quarantined: true, Until: until, Reason: "quarantined"}
	}
	ends := r.unexplained(id)
	if len(ends) == 0 {
		return r.decideUnsuspected(now, id, service, copies[id.Fingerprint])
	}
	view := service()
	tied, outweighed := r.rivals(id, ends)
	if len(ends) >= r.limit(view.Size+view.Others) && len(tied) == 1 && !outweighed {
		r.quarantineSuspect(now, id)
		return Decision{Quarantined: true, Until: r.BlockedUntil(now, id), Reason: "quarantined"}
	}
	switch {
	case len(copies[id.Fingerprint]) > 0:
		return Decision{Suspect: true, Reason: "another copy runs", Settled: now.Add(settleTime)}
	case len(view.Healthy)+len(view.Unsure) == 0:
		return Decision{Suspect: true, Reason: "no endpoint is healthy"}
	case outweighed:
		return Decision{Admitted: true}
	case len(view.Unsure) == 0 && len(view.Healthy) == 1 && view.Size > 1:
		return Decision{Suspect: true, Reason: "one endpoint is healthy", Settled: r.suspects[id].last.Add(settleTime)}
	}
	endpoint := isolation(id, &view)
	if endpoint == "" {
		return Decision{Suspect: true, Reason: "its endpoint did not run it"}
	}
	if r.suspectRuns(id, endpoint, ends, copies) {
		return Decision{Suspect: true, Reason: "another suspect runs", Settled: now.Add(settleTime)}
	}
	if len(tied) > 1 && (len(ends) > 1 || view.Size < smallService) {
		if start := nextTurn(now, slices.Index(tied, id), len(tied)); start.After(now) {
			return Decision{Suspect: true, Until: start, Reason: "others ran at the same ends"}
		}
	}
	if view.Engines && view.Size > smallService {
		return Decision{Admitted: true}
	}
	return Decision{Admitted: true, Only: []string{endpoint}}
}

// suspectRuns reports whether this process runs another suspect at the endpoint that may have caused
// one of these ends, so that the next end would be shared again.
func (r *Registry) suspectRuns(id ID, endpoint string, ends []wire.Suspicion, copies Copies) bool {
	for other, s := range r.suspects {
		running := copies[other.Fingerprint]
		if other == id || !slices.Contains(running, endpoint) && !slices.Contains(running, "") {
			continue
		}
		if slices.ContainsFunc(ends, func(c wire.Suspicion) bool { return r.ranAt(s, c) }) {
			return true
		}
	}
	return false
}

// decideUnsuspected decides about a request under which no endpoint has ended so far. Further
// copies of a request that was never answered follow those that run.
func (r *Registry) decideUnsuspected(now time.Time, id ID, service func() Service, running []string) Decision {
	if len(running) == 0 || r.isCleared(now, id) {
		return Decision{Admitted: true}
	}
	view := service()
	if view.Size > smallService || view.Engines {
		return Decision{Admitted: true}
	}
	var occupied []string
	starting := 0
	for _, endpoint := range running {
		switch {
		case endpoint == "":
			starting++
		case slices.Contains(view.Healthy, endpoint) && !slices.Contains(occupied, endpoint):
			occupied = append(occupied, endpoint)
		}
	}
	switch {
	case len(occupied)+starting < max(1, len(view.Healthy)-1):
		return Decision{Admitted: true}
	case len(occupied) == 0:
		return Decision{Reason: "another copy starts", Settled: now.Add(settleTime)}
	}
	return Decision{Admitted: true, Only: occupied}
}

// limit returns the number of ends that quarantine a request of a service with so many endpoints.
func (r *Registry) limit(size int) int {
	if size == 1 {
		return lonelyLimit
	}
	return r.config.UnattributedCrashes
}

// isolation returns the endpoint that runs the copies of a suspect, or an empty string if all were
// tried. Each suspect has its own: at one endpoint for all suspects of a service, a harmless one
// would run beside the cause of its first end again.
func isolation(id ID, s *Service) string {
	var candidates []string
	var nodes []uint64
	among := s.Healthy
	if len(s.Unsure) > 0 {
		among = s.Unsure
	}
	for _, endpoint := range among {
		if !slices.Contains(s.Tried, endpoint) {
			candidates = append(candidates, endpoint)
			nodes = append(nodes, rendezvous.Key(endpoint))
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rendezvous.Ranked(id.Fingerprint, nodes, 1)[0]]
}

// nextTurn returns when the request with an index among n may start: now, or the start of its next
// turn.
func nextTurn(now time.Time, index, n int) time.Time {
	turn := now.Truncate(turnLength)
	for i := 0; ; i++ {
		start := turn.Add(time.Duration(i) * turnLength)
		if int(start.Unix()%int64(n)) != index {
			continue
		}
		if i > 0 {
			return start
		}
		if now.Sub(start) < turnStarts {
			return now
		}
	}
}

// unexplained returns the ends that count against a suspect.
func (r *Registry) unexplained(id ID) []wire.Suspicion {
	s := r.suspects[id]
	if s == nil {
		return nil
	}
	var ends []wire.Suspicion
	for _, c := range s.crashes {
		if c.Batch == 0 && !(r.attribute && r.explained(c)) {
			ends = append(ends, c)
		}
	}
	return ends
}

// rivals returns the suspects that ran at exactly these ends of a request, itself included, in
// order, and whether another one ran at all of them and at more. That one has most likely caused
// them.
func (r *Registry) rivals(id ID, ends []wire.Suspicion) (tied []ID, outweighed bool) {
	tied = []ID{id}
	if !r.attribute {
		return tied, false
	}
	for _, group := range []map[ID]*suspect{r.suspects, r.quarantinedSuspects} {
		for other, s := range group {
			switch n := s.unattributed(); {
			case other == id || n < len(ends) || !r.ranAtAll(s, ends):
			case n > len(ends):
				outweighed = true
			default:
				tied = append(tied, other)
			}
		}
	}
	slices.SortFunc(tied, compareIDs)
	return tied, outweighed
}

// ranAtAll reports whether the request ran at all these ends.
func (r *Registry) ranAtAll(s *suspect, ends []wire.Suspicion) bool {
	return !slices.ContainsFunc(ends, func(c wire.Suspicion) bool { return !r.ranAt(s, c) })
}

// contested reports whether another request ran at all of a suspect's ends, so that it may have
// caused them.
func (r *Registry) contested(id ID, ends []wire.Suspicion) bool {
	if len(ends) >= maxContested*r.config.UnattributedCrashes {
		return false
	}
	return r.hasRival(id, ends)
}

// hasRival reports whether another request ran at all these ends. Each end is followed by a check of
// all suspects; with hundreds of them, listing the rivals of each would take seconds.
func (r *Registry) hasRival(id ID, ends []wire.Suspicion) bool {
	if !r.attribute {
		return false
	}
	for _, group := range []map[ID]*suspect{r.suspects, r.quarantinedSuspects} {
		for other, s := range group {
			if other != id && s.unattributed() >= len(ends) && r.ranAtAll(s, ends) {
				return true
			}
		}
	}
	return false
}

// Suspected reports whether an endpoint ended under the request and it was not answered since.
func (r *Registry) Suspected(id ID) bool { return r.suspects[id] != nil }

// Contested reports whether another request ran at all ends that count against a suspect.
func (r *Registry) Contested(id ID) bool {
	ends := r.unexplained(id)
	return len(ends) > 0 && r.contested(id, ends)
}

// releaseContested ends the quarantine of requests at whose ends, as a later report shows, another
// request ran as well. A process hears of its own ends first.
func (r *Registry) releaseContested() {
	if !r.attribute || r.config.UnattributedCrashes <= 0 {
		return
	}
	for _, id := range sortedIDs(r.quarantinedSuspects) {
		s, q := r.quarantinedSuspects[id], r.quarantine[id]
		if q == nil || q.Released || s.unattributed() != len(s.crashes) || !r.contested(id, s.crashes) {
			continue
		}
		r.suspects[id] = s
		delete(r.quarantinedSuspects, id)
		delete(r.quarantine, id)
		r.justReleased = append(r.justReleased, id)
	}
}

// TakeReleased returns the requests whose quarantine ended since the last call because others ran
// at the same ends.
func (r *Registry) TakeReleased() []ID {
	taken := r.justReleased
	r.justReleased = nil
	return taken
}
