package entry

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/wire"
)

const methodPlace = wire.PoisonService + ".Place"

// maxPendingPlacements limits the placements queued for one peer. Further ones are
// dropped, since a peer that does not answer would exhaust the memory.
const maxPendingPlacements = 10_000

const (
	// maxBroadcastPeers is the largest number of other entries at which every
	// placement is sent to all of them. In a fleet of hundreds that would be most of
	// an entry's work; there placements go only to the request's coordinator, which
	// sends them to all entries once the request has two copies.
	maxBroadcastPeers = 16
	// placementSendDelay is the delay between two calls to the same peer, in which
	// placements are collected into one call under load.
	placementSendDelay = 2 * time.Millisecond
)

// outbox is the queue of placements to send to one peer. Sending is asynchronous: a
// caller's request starts at once, and the peers learn of its endpoint slightly
// later.
type outbox struct {
	pending []wire.Placement
	sending bool
}

// announcePlacement sends the placement of a copy of this entry to the other
// entries, or in a large fleet to the request's coordinator. q.mu must be held.
func (q *PoisonQuarantine) announcePlacement(placement wire.Placement) {
	others := q.peers.Others()
	if len(others) <= maxBroadcastPeers {
		q.post(others, placement)
		return
	}
	if coordinator := q.coordinator(others, placement.Fingerprint); coordinator != nil {
		q.post([]kv.Instance{*coordinator}, placement)
		return
	}
	q.broadcastCopies(others, placement)
}

// coordinator returns the entry that gets the placements of all copies of the
// request, or nil if that is this entry. All entries that have the same list select
// the same one by rendezvous hashing. While the list contains an entry that is lost,
// the placements of its requests are not shared.
func (q *PoisonQuarantine) coordinator(others []kv.Instance, fingerprint uint64) *kv.Instance {
	var best *kv.Instance
	most := rendezvous.Weight(fingerprint, rendezvous.Key(q.self))
	for i := range others {
		if w := rendezvous.Weight(fingerprint, rendezvous.Key(others[i].ID)); w > most {
			best, most = &others[i], w
		}
	}
	return best
}

// broadcastCopies sends the placements of a request with two or more copies to
// every entry, as the third copy must run at one of their endpoints. A request with
// a single copy at a time, as nearly all are, costs its coordinator two messages.
// q.mu must be held.
func (q *PoisonQuarantine) broadcastCopies(others []kv.Instance, placement wire.Placement) {
	id := poison.ID{Service: placement.Service, Fingerprint: placement.Fingerprint}
	copies := q.registry.Placements(id)
	switch {
	case q.broadcasting[id]:
		q.post(others, markRelayed(placement)...)
		if len(copies) == 0 {
			delete(q.broadcasting, id)
		}
	case len(copies) > 1:
		q.broadcasting[id] = true
		q.post(others, markRelayed(copies...)...)
	}
}

func markRelayed(all ...wire.Placement) []wire.Placement {
	for i := range all {
		all[i].Relayed = true
	}
	return all
}

// post adds placements to the peers' outboxes. q.mu must be held.
func (q *PoisonQuarantine) post(peers []kv.Instance, placements ...wire.Placement) {
	for _, peer := range peers {
		box := q.outboxes[peer.Address]
		if box == nil {
			box = &outbox{}
			q.outboxes[peer.Address] = box
		}
		if len(box.pending) >= maxPendingPlacements {
			continue
		}
		box.pending = append(box.pending, placements...)
		if !box.sending {
			box.sending = true
			go q.sendPlacements(peer.Address, box)
		}
	}
}

// sendPlacements sends the outbox of one peer until it is empty. The calls are made
// one after the other, each with all placements queued meanwhile.
func (q *PoisonQuarantine) sendPlacements(address string, box *outbox) {
	for {
		placements := q.drainOutbox(address, box)
		if len(placements) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		var none struct{}
		// The placement of a started copy that is lost restricts no other copy; if the
		// end of a copy is lost, its placement expires after PlacementTTL.
		_ = q.peers.CallPeer(ctx, address, false, methodPlace, placements, &none)
		cancel()
		time.Sleep(placementSendDelay)
	}
}

// drainOutbox returns and removes the placements queued for a peer. If there are
// none, it removes the outbox.
func (q *PoisonQuarantine) drainOutbox(address string, box *outbox) []wire.Placement {
	q.mu.Lock()
	defer q.mu.Unlock()
	placements := box.pending
	box.pending = nil
	if len(placements) == 0 {
		box.sending = false
		delete(q.outboxes, address)
	}
	return placements
}

// Place records placements of copies that run through other entries.
func (s *PoisonServer) Place(placements []wire.Placement, _ *struct{}) error {
	q := s.quarantine
	others := q.peers.Others()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, p := range placements {
		q.registry.RecordPlacement(now, p)
		if !p.Relayed && len(others) > maxBroadcastPeers {
			q.broadcastCopies(others, p)
		}
	}
	return nil
}
