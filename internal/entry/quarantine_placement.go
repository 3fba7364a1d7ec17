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

// maxPendingPlacements bounds what waits for one peer. What is beyond is not told: a
// peer that does not answer would fill the memory.
const maxPendingPlacements = 10_000

const (
	// maxBroadcastPeers is up to how many other entries each hears of every copy. In
	// a fleet of hundreds that would be the larger part of an entry's work; there
	// the request's home hears of it alone, and tells all once it has two copies.
	maxBroadcastPeers = 16
	// placementSendDelay lets news for one peer gather while its requests are many.
	placementSendDelay = 2 * time.Millisecond
)

// outbox is what one peer has yet to be told. Nobody waits for it: a caller's
// request starts at once, and its peers know a moment later where.
type outbox struct {
	pending []wire.Placement
	sending bool
}

// announcePlacement passes the news of a copy here on. The caller holds the lock.
func (g *PoisonQuarantine) announcePlacement(placement wire.Placement) {
	others := g.peers.Others()
	if len(others) <= maxBroadcastPeers {
		g.post(others, placement)
		return
	}
	if coordinator := g.coordinator(others, placement.Fingerprint); coordinator != nil {
		g.post([]kv.Instance{*coordinator}, placement)
		return
	}
	g.broadcastCopies(others, placement)
}

// home returns the entry that hears of every copy of the request, nil if that
// is this one. All entries that know the same list find the same. While the list
// names one that is lost, copies of its requests are not followed.
func (g *PoisonQuarantine) coordinator(others []kv.Instance, fingerprint uint64) *kv.Instance {
	var best *kv.Instance
	most := rendezvous.Weight(fingerprint, rendezvous.Key(g.self))
	for i := range others {
		if w := rendezvous.Weight(fingerprint, rendezvous.Key(others[i].ID)); w > most {
			best, most = &others[i], w
		}
	}
	return best
}

// relay tells every entry of a request that has two copies or more: the third
// must follow them. One with a single copy at a time, as nearly all are, costs
// its home two messages. The caller holds the lock.
func (g *PoisonQuarantine) broadcastCopies(others []kv.Instance, placement wire.Placement) {
	id := poison.ID{Service: placement.Service, Fingerprint: placement.Fingerprint}
	copies := g.registry.Placements(id)
	switch {
	case g.broadcasting[id]:
		g.post(others, markRelayed(placement)...)
		if len(copies) == 0 {
			delete(g.broadcasting, id)
		}
	case len(copies) > 1:
		g.broadcasting[id] = true
		g.post(others, markRelayed(copies...)...)
	}
}

func markRelayed(all ...wire.Placement) []wire.Placement {
	for i := range all {
		all[i].Relayed = true
	}
	return all
}

// post puts news into the peers' outboxes. The caller holds the lock.
func (g *PoisonQuarantine) post(peers []kv.Instance, placements ...wire.Placement) {
	for _, peer := range peers {
		box := g.outboxes[peer.Address]
		if box == nil {
			box = &outbox{}
			g.outboxes[peer.Address] = box
		}
		if len(box.pending) >= maxPendingPlacements {
			continue
		}
		box.pending = append(box.pending, placements...)
		if !box.sending {
			box.sending = true
			go g.sendPlacements(peer.Address, box)
		}
	}
}

// sendPlacements sends one call after the other, each with all that came
// meanwhile, until nothing is left.
func (g *PoisonQuarantine) sendPlacements(address string, box *outbox) {
	for {
		placements := g.drainOutbox(address, box)
		if len(placements) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		var none struct{}
		// News that is lost binds nobody, or for PlacedFor at most.
		_ = g.peers.CallPeer(ctx, address, false, methodPlace, placements, &none)
		cancel()
		time.Sleep(placementSendDelay)
	}
}

func (g *PoisonQuarantine) drainOutbox(address string, box *outbox) []wire.Placement {
	g.mu.Lock()
	defer g.mu.Unlock()
	placements := box.pending
	box.pending = nil
	if len(placements) == 0 {
		box.sending = false
		delete(g.outboxes, address)
	}
	return placements
}

// Place takes in where copies of requests run through another entry.
func (s *PoisonServer) Place(placements []wire.Placement, _ *struct{}) error {
	g := s.quarantine
	others := g.peers.Others()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, p := range placements {
		g.registry.RecordPlacement(now, p)
		if !p.Relayed && len(others) > maxBroadcastPeers {
			g.broadcastCopies(others, p)
		}
	}
	return nil
}
