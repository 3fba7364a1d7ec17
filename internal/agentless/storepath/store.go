// Package storepath calls the platform's store, through another process of the system
// (a peer) while this process is cut off from the store or refused by it. Package
// policy/storepath decides which path a call takes.
package storepath

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	policy "siskinloom.example/siskinloom/internal/policy/storepath"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// probeTimeout bounds the wait for the answer that shows whether the direct path
	// works.
	probeTimeout = 300 * time.Millisecond
	// relayTimeout bounds a relayed call. It covers a slow store's answer and the round
	// trip to the peer.
	relayTimeout = 700 * time.Millisecond
	// downProbeInterval is the least time between two probes of a store that answers no
	// process; operations that wait for its return are delayed by half of that on average.
	// A process in which nothing waits learns from others that the store is back
	// (PeersServed), and probes only at idleDownProbeInterval, in case no other process
	// reaches the store.
	downProbeInterval     = 400 * time.Millisecond
	idleDownProbeInterval = 4 * downProbeInterval
	// probeKey is the key that probes read. It is never written.
	probeKey = "live/look"
)

// Store reaches the platform's store directly or through peers. It implements
// kv.TransactionalStore and is safe for concurrent use.
type Store struct {
	// Recovered is called when the store answers again after it answered no process; it
	// may be nil.
	Recovered func()
	Switches  *mechanism.Switches // set before first use; may be nil
	// HasWaiters reports whether anything in this process waits for the store to
	// return; nil means always.
	HasWaiters func() bool

	direct     kv.TransactionalStore
	self       cluster.Member
	members    *cluster.Members
	peers      *rpcpool.Pool
	log        *logrus.Logger
	relaySlots chan struct{}
	relayedIn  metrics.Counter // relayed calls of other processes
	relayedOut metrics.Counter // own calls made through peers

	mu       sync.Mutex
	path     policy.Path
	probedAt time.Time // when a store that answers no process was last probed
	// estimator computes how long to wait for an answer before a peer is asked.
	estimator policy.TimeoutEstimator
	// switched is closed and replaced when calls switch to peers or back to the direct
	// path.
	switched chan struct{}
	// lastPeerName is the name of the peer that relayed the last call; empty if that
	// peer failed since or there was none.
	lastPeerName string
}

var _ kv.TransactionalStore = (*Store)(nil)

// New returns a Store that uses the direct path or, if that fails, one of members as a
// peer.
func New(direct kv.TransactionalStore, self cluster.Member, members *cluster.Members, peers *rpcpool.Pool, log *logrus.Logger, registry metrics.Registry) *Store {
	return &Store{
		direct: direct, self: self, members: members, peers: peers, log: log,
		relaySlots: make(chan struct{}, maxRelayedCalls),
		relayedIn:  metrics.GetOrRegisterCounter("store.relayed.in", registry),
		relayedOut: metrics.GetOrRegisterCounter("store.relayed.out", registry),
		switched:   make(chan struct{}),
	}
}

// outcome is the result of a call.
type outcome struct {
	result Result
	err    error
}

// do makes a call by whichever path works.
func (s *Store) do(ctx context.Context, q *Query) (Result, error) {
	s.mu.Lock()
	now := time.Now()
	relayFirst, probeDue, down := s.path.RelayFirst(now), s.path.ProbeDue(now), s.path.Down(now)
	s.mu.Unlock()
	if probeDue {
		go s.probe(context.Background())
	}
	if relayFirst && s.Switches.On(mechanism.Relay) {
		if o := s.relay(ctx, q, now); !errors.Is(o.err, kv.ErrUnavailable) || ctx.Err() != nil {
			return o.result, o.err
		}
	}
	if down && !s.hasRecovered(ctx, q.repeatable()) {
		return Result{}, errors.Wrap(kv.ErrUnavailable, "the store answers no process; the call was not sent")
	}
	return s.callDirect(ctx, q)
}

// callDirect makes the call on the direct path. If it fails or its answer is overdue, a
// peer is asked.
func (s *Store) callDirect(ctx context.Context, q *Query) (Result, error) {
	direct, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	directEnd := make(chan outcome, 1)
	go func() {
		result, err := execute(direct, s.direct, q)
		directEnd <- outcome{result, err}
	}()
	timeout := s.timeout()
	timer := time.NewTimer(q.Wait + timeout)
	defer timer.Stop()
	for {
		select {
		case o := <-directEnd:
			return s.directEnded(ctx, q, began, o)
		case <-timer.C:
			return s.callOverdue(ctx, q, began, directEnd)
		case <-s.switchSignal():
			if time.Since(began) > timeout {
				return s.retry(ctx, q)
			}
		}
	}
}

// callOverdue asks peers while the direct answer is overdue. A call that is not
// repeatable is not repeated there: a relayed read shows whether the direct path is
// broken, and if it is, the outcome of the call is unknown.
func (s *Store) callOverdue(ctx context.Context, q *Query, began time.Time, directEnd <-chan outcome) (Result, error) {
	switched := s.switchSignal()
	var giveUp <-chan time.Time // ends the wait for a write once a peer reached the store
	relayEnd := make(chan outcome, 1)
	if s.mayRelay() {
		asked := q
		if !q.repeatable() {
			asked = &Query{Operation: Read, Key: probeKey}
		}
		go func() { relayEnd <- s.relay(ctx, asked, began) }()
	}
	for {
		select {
		case o := <-directEnd:
			return s.directEnded(ctx, q, began, o)
		case o := <-relayEnd:
			switch {
			case !answered(o.err):
				continue
			case q.repeatable():
				return o.result, o.err
			}
			giveUp = time.After(time.Until(began.Add(s.writeTimeout())))
		case <-giveUp:
			return Result{}, errConnectionLost
		case <-switched: // another call found a path that works
			return s.retry(ctx, q)
		}
	}
}

// retry repeats a call whose connection was given up, if the call is repeatable.
func (s *Store) retry(ctx context.Context, q *Query) (Result, error) {
	if !q.repeatable() {
		return Result{}, errConnectionLost
	}
	return s.do(ctx, q)
}

// errConnectionLost is the outcome of a write that was in flight when calls switched to
// peers or back to the direct path.
var errConnectionLost = errors.Wrap(kv.ErrUnknown, "storepath: the connection was lost while a write was in flight")

// directEnded handles the outcome of a call on the direct path. A call that certainly
// had no effect is made through a peer.
func (s *Store) directEnded(ctx context.Context, q *Query, began time.Time, o outcome) (Result, error) {
	if answered(o.err) {
		if q.Operation != Await {
			s.observe(time.Since(began))
		}
		s.directServed(began)
		return o.result, o.err
	}
	if ctx.Err() != nil {
		return o.result, o.err // the caller cancelled the call, which says nothing about the store
	}
	s.mu.Lock()
	s.path.DirectFailed(began)
	s.mu.Unlock()
	if !errors.Is(o.err, kv.ErrUnavailable) || !s.mayRelay() {
		return o.result, o.err
	}
	if relayed := s.relay(ctx, q, began); !errors.Is(relayed.err, kv.ErrUnavailable) {
		return relayed.result, relayed.err
	}
	return o.result, o.err
}

// probe reports whether the direct path works, and records it if so.
func (s *Store) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	if _, err := s.direct.Read(ctx, probeKey); err != nil {
		return false
	}
	s.directServed(began)
	return true
}

// hasRecovered probes whether a store that answered no process answers again. Repeatable
// calls of this process share one probe per interval: otherwise every watch and listing
// of every process would try for itself, and an outage would bring the store many times
// its usual number of calls. Every transaction probes for itself, because callers wait
// for it, and one that is sent during an outage has an unknown outcome.
func (s *Store) hasRecovered(ctx context.Context, repeatable bool) bool {
	interval := s.probeInterval()
	s.mu.Lock()
	if repeatable && time.Since(s.probedAt) < interval {
		s.mu.Unlock()
		return false
	}
	s.probedAt = time.Now()
	s.mu.Unlock()
	return s.probe(ctx)
}

// PeersServed records that a peer reaches the store. If the store seemed to answer no
// process, the next call probes immediately.
func (s *Store) PeersServed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probedAt = time.Time{}
	s.path.PeersServed()
}

// Unreachable reports whether no process seems to reach the store.
func (s *Store) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Unreachable()
}

// PeersCutOff records that the peers that watch the store for others do not reach it.
func (s *Store) PeersCutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path.PeersCutOff(time.Now())
}

// probeInterval returns the least time between two probes of a store that is down.
func (s *Store) probeInterval() time.Duration {
	if s.HasWaiters == nil || s.HasWaiters() {
		return downProbeInterval
	}
	return idleDownProbeInterval
}

// timeout returns how long to wait for an answer.
func (s *Store) timeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.Timeout()
}

// writeTimeout returns how long to wait for the answer to a write although a peer
// reached the store.
func (s *Store) writeTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.WriteTimeout()
}

// observe records the latency of an answer.
func (s *Store) observe(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimator.Observe(took)
}

// relaying reports whether calls go through peers.
func (s *Store) relaying() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Relaying()
}

// mayRelay reports whether peers may be asked now.
func (s *Store) mayRelay() bool {
	if !s.Switches.On(mechanism.Relay) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.MayRelay(time.Now())
}

// switchSignal returns a channel that is closed when calls switch to peers or back, so
// that calls in flight need not wait for their timeout.
func (s *Store) switchSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switched
}

// notifySwitch wakes the calls in flight. mu must be held.
func (s *Store) notifySwitch() {
	close(s.switched)
	s.switched = make(chan struct{})
}

// directServed records that the direct path answered a call that was sent at began.
func (s *Store) directServed(began time.Time) {
	s.mu.Lock()
	wasRelaying := s.path.Relaying()
	switched := s.path.DirectServed(began)
	if switched {
		s.notifySwitch()
	}
	s.mu.Unlock()
	if wasRelaying {
		events.StoreDirect.Log(s.log, logrus.Fields{})
	}
	if switched && s.Recovered != nil {
		s.Recovered()
	}
}
