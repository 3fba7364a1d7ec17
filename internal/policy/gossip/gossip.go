// Package gossip decides which entries an entry exchanges heartbeats with, and
// which of them it takes for dead. The fan-out is bounded, so that the traffic
// of an entry does not grow with the fleet; what is told this way reaches all of
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

// Choose returns at most n peers at random, of as many failure domains other
// than own as n allows: news then crosses failure domains in every round.
func Choose(rnd *rand.Rand, own string, peers []Peer, n int) []Peer {
	return choose(map[string]bool{own: true}, shuffled(rnd, peers), n)
}

func shuffled(rnd *rand.Rand, peers []Peer) []Peer {
	mixed := make([]Peer, len(peers))
	for i, j := range rnd.Perm(len(peers)) {
		mixed[i] = peers[j]
	}
	return mixed
}

// choose takes the first n peers, those first whose failure domain is not among
// the domains, to which it adds those of the peers that it chooses.
func choose(domains map[string]bool, peers []Peer, n int) []Peer {
	chosen := make([]Peer, 0, n)
	var rest []Peer
	for _, peer := range peers {
		if len(chosen) < n && !domains[peer.Domain] {
			domains[peer.Domain] = true
			chosen = append(chosen, peer)
			continue
		}
		rest = append(rest, peer)
	}
	return append(chosen, rest[:min(len(rest), n-len(chosen))]...)
}

// FailureDetector judges which peers have died. The platform's list lags, and an entry
// that has crashed stands on it for a while.
type FailureDetector struct {
	after   time.Duration
	failing map[string]time.Time // first failure since the last sign of life
}

// NewFailureDetector returns a judge that takes a peer for dead once its calls have
// failed for this long without a sign of life.
func NewFailureDetector(after time.Duration) *FailureDetector {
	return &FailureDetector{after: after, failing: map[string]time.Time{}}
}

// RecordContact notes a peer's sign of life.
func (s *FailureDetector) RecordContact(id string) {
	delete(s.failing, id)
}

// RecordFailure notes that a call to a peer failed.
func (s *FailureDetector) RecordFailure(now time.Time, id string) {
	if _, failing := s.failing[id]; !failing {
		s.failing[id] = now
	}
}

// Dead tells whether a peer is taken for dead.
func (s *FailureDetector) Dead(now time.Time, id string) bool {
	since, failing := s.failing[id]
	return failing && now.Sub(since) >= s.after
}

// Retain forgets every peer that is not listed any more.
func (s *FailureDetector) Retain(listed map[string]bool) {
	for id := range s.failing {
		if !listed[id] {
			delete(s.failing, id)
		}
	}
}
