package pool

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/policy/choose"
	"siskinloom.example/siskinloom/internal/wire"
)

// shard holds the endpoints of one service, protected by its own lock.
type shard struct {
	mu         sync.Mutex
	chooser    *choose.Chooser
	candidates []*choose.Candidate // sorted by ID
	peers      map[string]*peer    // by ID
}

func newShard(rng *rand.Rand) *shard {
	return &shard{chooser: choose.New(rng), peers: map[string]*peer{}}
}

func (s *shard) add(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[p.id] = p
	s.candidates = append(s.candidates, &p.candidate)
	sort.Slice(s.candidates, func(i, j int) bool { return s.candidates[i].ID < s.candidates[j].ID })
}

func (s *shard) remove(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p.id)
	for i, c := range s.candidates {
		if c == &p.candidate {
			s.candidates = append(s.candidates[:i], s.candidates[i+1:]...)
			return
		}
	}
}

// choose returns the peer for a request, or nil if there is none.
func (s *shard) choose(request choose.Request) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.chooser.Choose(request, s.candidates)
	if c == nil {
		return nil
	}
	return s.peers[c.ID]
}

// usable reports whether the peer may get requests.
func (s *shard) usable(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.candidate.Usable()
}

// engines returns the states of the usable endpoints.
func (s *shard) engines() []entry.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []entry.EngineState
	for _, c := range s.candidates {
		if c.Usable() {
			all = append(all, entry.EngineState{ID: c.ID, Domain: c.Domain, Load: c.Load})
		}
	}
	return all
}

func (s *shard) load(p *peer) wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.candidate.Load
}

func (s *shard) setLoad(p *peer, now time.Time, load wire.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.candidate.SetLoad(now, load)
}

func (s *shard) setReady(p *peer, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.candidate.Ready = ready
}

func (s *shard) setLeaving(p *peer, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.candidate.Leaving = leaving
}

func (s *shard) setSuspect(p *peer, suspect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.candidate.Suspect = suspect
}
