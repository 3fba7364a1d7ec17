package poison

import (
	"slices"
	"strings"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// placement is where copies of a request run that was never answered.
type placement struct {
	copies map[string]int // per endpoint, over all entries
	until  time.Time
}

// Allowed lists the endpoints that may run the request now, ordered; none
// means any. Firm means that no other one may, however long these are down.
//
// A caller that resends a poison request faster than it crashes has several
// copies run before anyone is suspect, and each on an endpoint of its own would
// crash one more. So a copy of a request that nobody has answered follows those
// that run. Crashes in company do not prove who caused them, but after two the
// request can be tried where it ran already; a third endpoint is never needed.
func (r *Registry) AllowedEndpoints(now time.Time, id ID) (endpoints []string, firm bool) {
	if s := r.suspects[id]; s != nil {
		if crashed := s.endpoints(); len(crashed) > 1 {
			return crashed, true
		}
		// Suspects run one at a time, unless the question between two entries
		// was lost. Then the second follows the first.
	}
	p := r.placed[id]
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

// Begin counts a copy of the request that starts through this entry at the
// endpoint; with none named, others need not follow it. It returns what to tell
// the other entries, false if nothing.
func (r *Registry) StartCopy(now time.Time, id ID, endpoint string) (wire.Placement, bool) {
	delete(r.waiting, id)
	r.running[id]++
	if endpoint == "" || r.innocent(now, id) {
		return wire.Placement{}, false
	}
	p := wire.Placement{Service: id.Service, Fingerprint: id.Fingerprint, Endpoint: endpoint}
	r.RecordPlacement(now, p)
	return p, true
}

// End counts its end, with the same endpoint, and clears the request if it was
// answered. It returns what to tell the other entries, false if nothing.
func (r *Registry) EndCopy(now time.Time, id ID, endpoint string, answered bool) (wire.Placement, bool) {
	if r.running[id]--; r.running[id] <= 0 {
		delete(r.running, id)
	}
	p := wire.Placement{Service: id.Service, Fingerprint: id.Fingerprint, Endpoint: endpoint, Ended: true, Cleared: answered}
	known := r.innocent(now, id)
	r.RecordPlacement(now, p)
	return p, endpoint != "" && !known
}

// Place takes in that a copy began or ended, here or at a peer. A peer that is
// lost with its copies no longer binds others after PlacedFor.
func (r *Registry) RecordPlacement(now time.Time, news wire.Placement) {
	id := ID{Service: news.Service, Fingerprint: news.Fingerprint}
	if news.Cleared {
		r.RecordAnswer(now, id)
		return
	}
	p := r.placed[id]
	if news.Ended {
		r.leave(id, news.Endpoint)
		return
	}
	if r.innocent(now, id) {
		return // began before it was answered, and is told by a slower way
	}
	if p == nil || now.After(p.until) {
		if p == nil && len(r.placed) >= r.config.MaxPlacements {
			return
		}
		p = &placement{copies: map[string]int{}}
		r.placed[id] = p
	}
	p.copies[news.Endpoint]++
	p.until = now.Add(r.config.PlacementTTL)
}

// Placed lists the copies of the request that are known to run, over all
// entries, ordered by endpoint.
func (r *Registry) Placements(id ID) []wire.Placement {
	p := r.placed[id]
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

func (r *Registry) leave(id ID, endpoint string) {
	p := r.placed[id]
	if p == nil {
		return
	}
	if p.copies[endpoint]--; p.copies[endpoint] <= 0 {
		delete(p.copies, endpoint)
	}
	if len(p.copies) == 0 {
		delete(r.placed, id)
	}
}

// vacate ends what ran at an endpoint that crashed, so that a suspect does not
// wait for it if the news of its copies' end was lost.
func (r *Registry) vacate(id ID, endpoint string) {
	if p := r.placed[id]; p != nil {
		p.copies[endpoint] = 0
		r.leave(id, endpoint)
	}
}

// endpoints lists those that crashed, ordered.
func (s *suspect) endpoints() []string {
	crashed := map[string]int{}
	for _, c := range s.crashes {
		crashed[c.Endpoint]++
	}
	return keys(crashed)
}

func keys(set map[string]int) []string {
	all := make([]string, 0, len(set))
	for key := range set {
		all = append(all, key)
	}
	slices.Sort(all)
	return all
}
