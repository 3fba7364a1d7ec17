package storepath

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// maxPeersPerRole is how many workers and how many entries are asked to relay a
	// call. A network partition may cut a process off from all workers but not from the
	// other entries, a third of which may be cut off as well.
	maxPeersPerRole = 2
	// hedgeDelay is how long one peer may be silent before the next one is asked as
	// well. Peers are milliseconds away, and the store answers in 4 ms. If peers were
	// asked one after the other, two that are cut off would use up the time that a
	// submitter waits.
	hedgeDelay = 100 * time.Millisecond
	// maxFailingPeers is how many peers have to report that the store fails for them
	// before no further ones are asked. The store itself is down then, and each peer
	// would make another call to it.
	maxFailingPeers = 2
)

// peerFailedError means that the store fails for a peer as well.
type peerFailedError struct{ peer, text string }

// Error implements error.
func (e *peerFailedError) Error() string { return "the store also fails for " + e.peer + ": " + e.text }

// Unwrap returns ErrUnavailable, because the call had no effect.
func (e *peerFailedError) Unwrap() error { return kv.ErrUnavailable }

// relay makes the call through a peer. A repeatable call goes to several, and the
// first answer of the store counts. Any other call goes to one peer only: the one that
// relayed the last call, or one that has just relayed a read. began is when the call
// was first sent.
func (s *Store) relay(ctx context.Context, q *Query, began time.Time) outcome {
	if q.repeatable() {
		peer, o := s.firstAnswer(ctx, q)
		if !answered(o.err) {
			return outcome{err: errors.Wrap(kv.ErrUnavailable, o.err.Error())}
		}
		s.relayServed(peer, began)
		return o
	}
	peer, found := s.lastPeer()
	if !found {
		var o outcome
		if peer, o = s.firstAnswer(ctx, &Query{Operation: Read, Key: probeKey}); !answered(o.err) {
			return outcome{err: errors.Wrap(kv.ErrUnavailable, o.err.Error())}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout()+hedgeDelay)
	defer cancel()
	o := s.relayThrough(ctx, peer, q)
	if answered(o.err) {
		s.relayServed(peer, began)
	} else {
		s.forgetPeer(peer)
	}
	return o
}

// firstAnswer asks the candidates one after the other with a delay of hedgeDelay, and
// returns the first peer that got an answer of the store, with that answer.
func (s *Store) firstAnswer(ctx context.Context, q *Query) (cluster.Member, outcome) {
	type relayed struct {
		peer cluster.Member
		outcome
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := s.candidates()
	ended := make(chan relayed, len(candidates))
	next := time.NewTimer(0)
	defer next.Stop()
	last := outcome{err: errors.New("storepath: there is no peer to ask")}
	asked, failing := 0, 0
	var peerFailed *peerFailedError
	for inFlight := 0; inFlight > 0 || asked < len(candidates); {
		select {
		case <-next.C:
			if asked < len(candidates) {
				m := candidates[asked]
				asked++
				inFlight++
				go func() { ended <- relayed{m, s.relayThrough(ctx, m, q)} }()
				next.Reset(hedgeDelay)
			}
		case r := <-ended:
			inFlight--
			last = r.outcome
			switch {
			case answered(r.err):
				return r.peer, r.outcome
			case errors.As(r.err, &peerFailed):
				failing++
			}
			if failing == maxFailingPeers || ctx.Err() != nil {
				asked = len(candidates)
			}
			next.Reset(0)
		}
	}
	if len(candidates) > 0 && ctx.Err() == nil {
		s.relaysFailed()
	}
	return cluster.Member{}, last
}

// candidates returns the peers to ask: the one that relayed the last call, then
// workers, which have spare CPU time, then entries; of each role the nearest.
func (s *Store) candidates() []cluster.Member {
	var workers, entries, first []cluster.Member
	peer, known := s.lastPeer()
	if known {
		first = append(first, peer)
	}
	for _, m := range s.members.Live() {
		switch {
		case m.Leaving, m.Name == s.self.Name, known && m.Name == peer.Name:
		case m.Worker:
			workers = append(workers, m)
		default:
			entries = append(entries, m)
		}
	}
	return append(append(first, s.nearest(workers)...), s.nearest(entries)...)
}

// nearest returns the nearest of the given members, at most maxPeersPerRole.
func (s *Store) nearest(members []cluster.Member) []cluster.Member {
	cluster.SortNearest(s.self, members)
	return members[:min(len(members), maxPeersPerRole)]
}

// relayThrough makes the call through one peer. ErrUnavailable means that the call
// certainly had no effect.
func (s *Store) relayThrough(ctx context.Context, m cluster.Member, q *Query) outcome {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+relayTimeout)
	defer cancel()
	s.relayedOut.Inc(1)
	var reply Reply
	began := time.Now()
	err := s.peers.Call(ctx, m.Address, callDo, *q, &reply)
	var dial *rpcpool.DialError
	switch {
	case errors.As(err, &dial):
		return outcome{err: errors.Wrap(kv.ErrUnavailable, err.Error())}
	case err != nil:
		return outcome{err: errors.Wrap(kv.ErrUnknown, err.Error())} // net/rpc may still write to reply
	case reply.Tried && reply.Code == Unavailable:
		return outcome{err: &peerFailedError{peer: m.Name, text: reply.Text}}
	case reply.Code != Served:
		return outcome{err: errors.Wrapf(codeErrors[reply.Code], "through %s: %s", m.Name, reply.Text)}
	}
	if q.Operation != Await {
		s.observe(time.Since(began))
	}
	return outcome{result: reply.Result}
}

// lastPeer returns the peer that relayed the last call, if it is still a member.
func (s *Store) lastPeer() (cluster.Member, bool) {
	s.mu.Lock()
	name := s.lastPeerName
	s.mu.Unlock()
	if name == "" {
		return cluster.Member{}, false
	}
	return s.members.Get(name)
}

// forgetPeer makes the next call choose another peer than m.
func (s *Store) forgetPeer(m cluster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastPeerName == m.Name {
		s.lastPeerName = ""
	}
}

// relayServed records that a peer reached the store. While the store is slow, that
// doesn't mean that the direct path is broken: its answer is just as late.
func (s *Store) relayServed(m cluster.Member, began time.Time) {
	s.mu.Lock()
	switched := !s.estimator.Slow() && s.path.RelayServed(time.Now(), began)
	s.lastPeerName = m.Name
	if switched {
		s.notifySwitch()
	}
	s.mu.Unlock()
	if switched {
		events.StoreRelayed.Log(s.log, logrus.Fields{"by": m.Name})
	}
}

// relaysFailed records that no peer reached the store.
func (s *Store) relaysFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path.RelaysFailed(time.Now())
}
