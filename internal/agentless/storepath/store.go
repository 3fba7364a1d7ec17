// Package storepath reaches the platform's store through another process
// of the system, a peer, while this one is cut off from it or turned away.
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
	// probeLimit bounds the wait for an answer that shows whether the direct
	// path works.
	probeLimit = 300 * time.Millisecond
	// relayLimit bounds a call that is relayed: a slow store's answer and the way
	// to the other process and back.
	relayLimit = 700 * time.Millisecond
	// lookDownEvery passes at least between two looks at a store that answers nobody;
	// what waits for its return waits half of that on average. Processes where nothing
	// waits hear from others that the store is back (MayBeBack), and look by themselves
	// only in case nobody else reaches it.
	lookDownEvery     = 400 * time.Millisecond
	idleLookDownEvery = 4 * lookDownEvery
	// probeKey is read to see whether the direct path works again; nobody writes it.
	probeKey = "live/look"
)

// Store is the platform's store by whichever way works. It implements kv.Shared
// and is safe for concurrent use.
type Store struct {
	// Recovered is called when the store answers again after it answered nobody; may
	// be nil.
	Recovered func()
	Switches *mechanism.Switches // set before first use; may be nil
	// HasWaiters tells whether something here waits for a store that is away; nil: always.
	HasWaiters func() bool

	direct     kv.Shared
	self       cluster.Member
	members    *cluster.Members
	peers      *rpcpool.Pool
	log        *logrus.Logger
	carrying   chan struct{}
	relayedIn  metrics.Counter // calls of others
	relayedOut metrics.Counter // own calls through peers

	mu     sync.Mutex
	path   policy.Path
	looked time.Time // when a store that answers nobody was last looked at
	// times says how long an answer may stay out before another process is asked.
	times policy.TimeoutEstimator
	// switched is closed and replaced when calls switch to peers or back.
	switched chan struct{}
	// helper is the process that last relayed a call, empty if none did lately.
	helper string
}

var _ kv.Shared = (*Store)(nil)

// New returns the store of a process that reaches it by the direct path, or
// through one of members.
func New(direct kv.Shared, self cluster.Member, members *cluster.Members, peers *rpcpool.Pool, log *logrus.Logger, registry metrics.Registry) *Store {
	return &Store{
		direct: direct, self: self, members: members, peers: peers, log: log,
		carrying:   make(chan struct{}, mostRelayed),
		relayedIn:  metrics.GetOrRegisterCounter("store.relayed.in", registry),
		relayedOut: metrics.GetOrRegisterCounter("store.relayed.out", registry),
		switched:   make(chan struct{}),
	}
}

// outcome is how a call ended.
type outcome struct {
	result Result
	err    error
}

// do makes a call by whichever way works.
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
	if down && !s.answersAgain(ctx, q.repeatable()) {
		return Result{}, errors.Wrap(kv.ErrUnavailable, "the store answers nobody; the call was not sent")
	}
	return s.callDirect(ctx, q)
}

// callDirect makes the call directly. If the answer stays out or never comes,
// another process is asked.
func (s *Store) callDirect(ctx context.Context, q *Query) (Result, error) {
	direct, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	own := make(chan outcome, 1)
	go func() {
		result, err := execute(direct, s.direct, q)
		own <- outcome{result, err}
	}()
	limit := s.limit()
	timer := time.NewTimer(q.Wait + limit)
	defer timer.Stop()
	for {
		select {
		case o := <-own:
			return s.settle(ctx, q, began, o)
		case <-timer.C:
			return s.overdue(ctx, q, began, own)
		case <-s.switches():
			if time.Since(began) > limit {
				return s.again(ctx, q)
			}
		}
	}
}

// overdue asks another process while the own answer stays out. A call that must
// not be made twice is not repeated there: a read shows whether the direct path is
// cut, and the outcome is unknown if it is.
func (s *Store) overdue(ctx context.Context, q *Query, began time.Time, own <-chan outcome) (Result, error) {
	switched := s.switches()
	var giveUp <-chan time.Time // of a write, once another process reached the store
	others := make(chan outcome, 1)
	if s.mayRelay() {
		asked := q
		if !q.repeatable() {
			asked = &Query{Operation: Read, Key: probeKey}
		}
		go func() { others <- s.relay(ctx, asked, began) }()
	}
	for {
		select {
		case o := <-own:
			return s.settle(ctx, q, began, o)
		case o := <-others:
			switch {
			case !answered(o.err):
				continue
			case q.repeatable():
				return o.result, o.err
			}
			giveUp = time.After(time.Until(began.Add(s.writeLimit())))
		case <-giveUp:
			return Result{}, errConnectionLost
		case <-switched: // another call found the way that works
			return s.again(ctx, q)
		}
	}
}

// again repeats a call whose connection is given up, if it may be repeated.
func (s *Store) again(ctx context.Context, q *Query) (Result, error) {
	if !q.repeatable() {
		return Result{}, errConnectionLost
	}
	return s.do(ctx, q)
}

// errConnectionLost is the end of a write that was under way when calls left
// the direct path or returned to it.
var errConnectionLost = errors.Wrap(kv.ErrUnknown, "storepath: a write was under way when its connection was lost")

// settle takes in the end of a call by the direct path. One that certainly had no
// effect is made through a peer.
func (s *Store) settle(ctx context.Context, q *Query, began time.Time, o outcome) (Result, error) {
	if answered(o.err) {
		if q.Operation != Await {
			s.observe(time.Since(began))
		}
		s.served(began)
		return o.result, o.err
	}
	if ctx.Err() != nil {
		return o.result, o.err // the caller ended it, which says nothing of the store
	}
	s.mu.Lock()
	s.path.DirectFailed(began)
	s.mu.Unlock()
	if !errors.Is(o.err, kv.ErrUnavailable) || !s.mayRelay() {
		return o.result, o.err
	}
	if by := s.relay(ctx, q, began); !errors.Is(by.err, kv.ErrUnavailable) {
		return by.result, by.err
	}
	return o.result, o.err
}

// probe tells whether the direct path works, and notes it.
func (s *Store) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	began := time.Now()
	if _, err := s.direct.Read(ctx, probeKey); err != nil {
		return false
	}
	s.served(began)
	return true
}

// answersAgain tells whether a store that seemed to answer nobody does again. For
// reads one call finds it out for all: otherwise each watch and listing of each
// process would try for itself, and an outage would bring the store many times its
// usual calls. A write looks for itself: callers
// wait for it, and one sent into an outage has no outcome.
func (s *Store) answersAgain(ctx context.Context, read bool) bool {
	every := s.lookEvery()
	s.mu.Lock()
	if read && time.Since(s.looked) < every {
		s.mu.Unlock()
		return false
	}
	s.looked = time.Now()
	s.mu.Unlock()
	return s.probe(ctx)
}

// PeersServed tells that another process hears from the store: if it seemed to answer
// nobody, the next call looks at once.
func (s *Store) PeersServed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looked = time.Time{}
	s.path.PeersServed()
}

// Unreachable tells whether nobody seems to reach the store.
func (s *Store) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Unreachable()
}

// PeersCutOff tells that the processes that follow the store for others do not hear
// from it.
func (s *Store) PeersCutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path.PeersCutOff(time.Now())
}

func (s *Store) lookEvery() time.Duration {
	if s.HasWaiters == nil || s.HasWaiters() {
		return lookDownEvery
	}
	return idleLookDownEvery
}

// limit returns how long an answer may stay out.
func (s *Store) limit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.Timeout()
}

func (s *Store) writeLimit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.WriteTimeout()
}

func (s *Store) observe(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times.Observe(took)
}

func (s *Store) relaying() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Relaying()
}

func (s *Store) mayRelay() bool {
	if !s.Switches.On(mechanism.Relay) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.MayRelay(time.Now())
}

// switches returns a channel that is closed when calls switch to peers or back,
// so that those under way need not wait out their time.
func (s *Store) switches() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switched
}

// notifySwitch wakes the calls under way; mu is held.
func (s *Store) notifySwitch() {
	close(s.switched)
	s.switched = make(chan struct{})
}

func (s *Store) served(began time.Time) {
	s.mu.Lock()
	away := s.path.Relaying()
	switched := s.path.DirectServed(began)
	if switched {
		s.notifySwitch()
	}
	s.mu.Unlock()
	if away {
		events.StoreDirect.Log(s.log, logrus.Fields{})
	}
	if switched && s.Recovered != nil {
		s.Recovered()
	}
}
