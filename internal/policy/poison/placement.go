package poison

import (
	"slices"
	"strings"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// placement says where copies of a request that was never answered run.
type placement struct {
	copies map[string]int // number of copies by endpoint, over all entries
	until  time.Time
}

// AllowedEndpoints returns the endpoints that may run the request now, sorted; none
// means any. If exclusive is true no other endpoint may, however long these are down.
//
// If a caller resends a poison request before the first copy crashes, several copies
// run before any request is a suspect. If each ran on another endpoint, each would
// crash one more. So a copy of a request that was never answered follows those that
// run. A crash at which several requests ran does not prove which of them caused it,
// but after two crashes the request can be retried where it ran already; a third
// endpoint is never needed.
func (r *Registry) AllowedEndpoints(now time.Time, id ID) (endpoints []string, exclusive bool) {
	if s := r.suspects[id]; s != nil {
		if crashed := s.endpoints(); len(crashed) > 1 {
			return crashed, true
		}
		// Suspects run one at a time, unless a message between two entries was
		// lost. Then the second copy follows the first.
	}
	p := r.placements[id]
	if p == nil || now.After(p.until) {
		return nil, false
	}
	for endpoint, copies := range p.copies {
		if copies < r.config.MaxCopiesPerEndpoint {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.Sort(endpoints)
	return endpoints, false
}

// StartCopy records a copy of the request that starts through this entry at the
// endpoint; if endpoint is empty, other copies need not follow it. It returns the
// placement to send to the other entries, or false if there is none.
func (r *Registry) StartCopy(now time.Time, id ID, endpoint string) (wire.Placement, bool) {
	delete(r.reserved, id)
	r.running[id]++
	if endpoint == "" || r.isCleared(now, id) {
		return wire.Placement{}, false
	}
	p := wire.Placement{Service: id.Service, Fingerprint: id.Fingerprint, Endpoint: endpoint}
	r.RecordPlacement(now, p)
	return p, true
}

// EndCopy records the end of a copy, with the same endpoint as StartCopy, and clears
// the request if it was answered. It returns the placement to send to the other
// entries, or false if there is none.
func (r *Registry) EndCopy(now time.Time, id ID, endpoint string, answered bool) (wire.Placement, bool) {
	if r.running[id]--; r.running[id] <= 0 {
		delete(r.running, id)
	}
	p := wire.Placement{Service: id.Service, Fingerprint: id.Fingerprint, Endpoint: endpoint, Ended: true, Cleared: answered}
	wasCleared := r.isCleared(now, id)
	r.RecordPlacement(now, p)
	return p, endpoint != "" && !wasCleared
}

// RecordPlacement records that a copy started or ended, here or at a peer. The copies
// of a peer that is lost no longer restrict others after PlacementTTL.
func (r *Registry) RecordPlacement(now time.Time, change wire.Placement) {
	id := ID{Service: change.Service, Fingerprint: change.Fingerprint}
	if change.Cleared {
		r.RecordAnswer(now, id)
		return
	}
	p := r.placements[id]
	if change.Ended {
		r.removeCopy(id, change.Endpoint)
		return
	}
	if r.isCleared(now, id) {
		return // the copy started before the answer, but its message was slower
	}
	if p == nil || now.After(p.until) {
		if p == nil && len(r.placements) >= r.config.MaxPlacements {
			return
		}
		p = &placement{copies: map[string]int{}}
		r.placements[id] = p
	}
	p.copies[change.Endpoint]++
	p.until = now.Add(r.config.PlacementTTL)
}

// Placements returns the copies of the request that are known to run, over all
// entries, ordered by endpoint.
func (r *Registry) Placements(id ID) []wire.Placement {
	p := r.placements[id]
	if p == nil {
		return nil
	}
	var all []wire.Placement
	for endpoint, copies := range p.copies {
		for range copies {
			all = append(all, wire.Placement{Service: id.Service, Fingerprint: id.Fingerprint, Endpoint: endpoint})
		}
	}
	slices.SortFunc(all, func(a, b wire.Placement) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// removeCopy removes a copy of the request from an endpoint.
func (r *Registry) removeCopy(id ID, endpoint string) {
	p := r.placements[id]
	if p == nil {
		return
	}
	if p.copies[endpoint]--; p.copies[endpoint] <= 0 {
		delete(p.copies, endpoint)
	}
	if len(p.copies) == 0 {
		delete(r.placements, id)
	}
}

// removeCopies removes all copies of the request from an endpoint that crashed, so
// that a suspect does not wait for them if the messages about their end were lost.
func (r *Registry) removeCopies(id ID, endpoint string) {
	if p := r.placements[id]; p != nil {
		p.copies[endpoint] = 0
		r.removeCopy(id, endpoint)
	}
}

// Endpoints returns the endpoints that crashed with a quarantined request, in order.
func (r *Registry) Endpoints(id ID) []string {
	if s := r.quarantinedSuspects[id]; s != nil {
		return s.endpoints()
	}
	return nil
}

// endpoints returns the endpoints that crashed, in order.
func (s *suspect) endpoints() []string {
	crashed := map[string]int{}
	for _, c := range s.crashes {
		crashed[c.Endpoint]++
	}
	return sortedKeys(crashed)
}

// sortedKeys returns the sortedKeys of a set in order.
func sortedKeys(set map[string]int) []string {
	all := make([]string, 0, len(set))
	for key := range set {
		all = append(all, key)
	}
	slices.Sort(all)
	return all
}
