// Package gossip selects the entries that an entry exchanges heartbeats with and
// detects entries that have failed. The fan-out is bounded, so the traffic of an
// entry doesn't grow with the fleet; information spread this way reaches all of
// n entries in about log n rounds.
package gossip

import (
	"math/rand/v2"
	"time"
)

// Peer is another entry.
type Peer struct {
	ID     string
	Domain string // failure domain
}

// Choose returns at most n random peers from as many failure domains other than the
// caller's own one as n allows, so that information crosses failure domains in every
// round.
func Choose(rnd *rand.Rand, own string, peers []Peer, n int) []Peer {
	return preferNewDomains(map[string]bool{own: true}, shuffled(rnd, peers), n)
}

// shuffled returns a copy of peers in random order.
func shuffled(rnd *rand.Rand, peers []Peer) []Peer {
	result := make([]Peer, len(peers))
	for i, j := range rnd.Perm(len(peers)) {
		result[i] = peers[j]
	}
	return result
}

// preferNewDomains returns at most n peers in their order, one for each failure domain
// that is not yet in domains, to which it adds that failure domain. If there are too few
// such peers, the first of the others follow.
func preferNewDomains(domains map[string]bool, peers []Peer, n int) []Peer {
	chosen := make([]Peer, 0, n)
	var remaining []Peer
	for _, peer := range peers {
		if len(chosen) < n && !domains[peer.Domain] {
			domains[peer.Domain] = true
			chosen = append(chosen, peer)
			continue
		}
		remaining = append(remaining, peer)
	}
	return append(chosen, remaining[:min(len(remaining), n-len(chosen))]...)
}

// FailureDetector decides which peers have failed. The platform's list lags and
// still names an entry for a while after it has crashed.
type FailureDetector struct {
	timeout time.Duration
	failing map[string]time.Time // time of the first failed call since the last contact
}

// NewFailureDetector returns a detector that reports a peer as dead once calls to
// it have failed for the timeout without any contact in between.
func NewFailureDetector(timeout time.Duration) *FailureDetector {
	return &FailureDetector{timeout: timeout, failing: map[string]time.Time{}}
}

// RecordContact records a contact with a peer: a heartbeat received from it or its
// reply to one.
func (d *FailureDetector) RecordContact(id string) {
	delete(d.failing, id)
}

// RecordFailure records that a call to a peer failed.
func (d *FailureDetector) RecordFailure(now time.Time, id string) {
	if _, failing := d.failing[id]; !failing {
		d.failing[id] = now
	}
}

// Dead reports whether calls to a peer have failed for at least the timeout.
func (d *FailureDetector) Dead(now time.Time, id string) bool {
	since, failing := d.failing[id]
	return failing && now.Sub(since) >= d.timeout
}

// Retain drops the state of every peer that is no longer listed.
func (d *FailureDetector) Retain(listed map[string]bool) {
	for id := range d.failing {
		if !listed[id] {
			delete(d.failing, id)
		}
	}
}
