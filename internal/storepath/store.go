// Package storepath reaches the platform's store by way of another process of
// the system while this one is cut off from it or turned away.
package storepath

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	policy "siskinloom.example/siskinloom/internal/policy/storepath"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// patience is how long an answer may stay out before another process is asked
	// whether it reaches the store. It lies above the 240 ms of a store that is
	// slowed sixtyfold; with the third of a lease's time between renewals it leaves
	// time to renew it by way of another process before it lapses.
	patience = 300 * time.Millisecond
	// passLimit bounds a call that is passed on: a slow store's answer and the way
	// to the other process and back.
	passLimit = 700 * time.Millisecond
	// lookKey is read to see whether the own way works again; nobody writes it.
	lookKey = "live/look"
)

// Store is the platform's store by whichever way works. It implements kv.Shared
// and is safe for concurrent use.
type Store struct {
	own      kv.Shared
	self     cluster.Member
	members  *cluster.Members
	peers    *rpcpool.Pool
	log      *logrus.Logger
	passing  chan struct{}
	passedOn metrics.Counter // calls of others
	byOthers metrics.Counter // own calls by way of others

	mu   sync.Mutex
	path policy.Path
	left chan struct{} // closed when calls leave the own way
	// helper is the process that last passed a call on, empty if none did lately.
	helper string
}

var _ kv.Shared = (*Store)(nil)

// New returns the store of a process that reaches it by own, or by way of the
// workers among members.
func New(own kv.Shared, self cluster.Member, members *cluster.Members, peers *rpcpool.Pool, log *logrus.Logger, registry metrics.Registry) *Store {
	return &Store{
		own: own, self: self, members: members, peers: peers, log: log,
		passing:  make(chan struct{}, mostPassedOn),
		passedOn: metrics.GetOrRegisterCounter("store.passed-on", registry),
		byOthers: metrics.GetOrRegisterCounter("store.by-others", registry),
		left:     make(chan struct{}),
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
	away, othersFirst, look := s.path.Away(), s.path.OthersFirst(now), s.path.Look(now)
	s.mu.Unlock()
	if look {
		go s.look()
	}
	if othersFirst {
		if o := s.askOthers(ctx, q, !away); !errors.Is(o.err, kv.ErrUnavailable) || ctx.Err() != nil {
			return o.result, o.err
		}
	}
	return s.ownWay(ctx, q)
}

// ownWay makes the call directly. If the answer stays out or never comes,
// another process is asked.
func (s *Store) ownWay(ctx context.Context, q *Query) (Result, error) {
	direct, cancel := context.WithCancel(ctx)
	defer cancel()
	own := make(chan outcome, 1)
	go func() {
		result, err := execute(direct, s.own, q)
		own <- outcome{result, err}
	}()
	timer := time.NewTimer(q.Wait + patience)
	defer timer.Stop()
	select {
	case o := <-own:
		return s.settle(ctx, q, o)
	case <-s.leaves():
	case <-timer.C:
	}
	return s.overdue(ctx, q, own)
}

// overdue asks another process while the own answer stays out. A call that must
// not be made twice is not repeated there: a read shows whether the own way is
// cut, and the outcome is unknown if it is.
func (s *Store) overdue(ctx context.Context, q *Query, own <-chan outcome) (Result, error) {
	if !s.mayAsk() {
		return s.settle(ctx, q, <-own)
	}
	asked := q
	if !q.repeatable() {
		asked = &Query{Operation: Read, Key: lookKey}
	}
	others := make(chan outcome, 1)
	go func() { others <- s.askOthers(ctx, asked, true) }()
	for {
		select {
		case o := <-own:
			return s.settle(ctx, q, o)
		case o := <-others:
			switch {
			case !answered(o.err):
				others = nil
			case q.repeatable():
				return o.result, o.err
			default:
				return Result{}, errors.Wrap(kv.ErrUnknown, "cut off from the store with a write under way")
			}
		}
	}
}

// settle takes in the end of a call by the own way. One that certainly had no
// effect is made by way of another process.
func (s *Store) settle(ctx context.Context, q *Query, o outcome) (Result, error) {
	if answered(o.err) {
		s.served()
		return o.result, o.err
	}
	if ctx.Err() != nil {
		return o.result, o.err // the caller ended it, which says nothing of the store
	}
	s.mu.Lock()
	s.path.Failed()
	s.mu.Unlock()
	if !errors.Is(o.err, kv.ErrUnavailable) || !s.mayAsk() {
		return o.result, o.err
	}
	if by := s.askOthers(ctx, q, true); !errors.Is(by.err, kv.ErrUnavailable) {
		return by.result, by.err
	}
	return o.result, o.err
}

// look tries the own way while calls go by way of others.
func (s *Store) look() {
	ctx, cancel := context.WithTimeout(context.Background(), passLimit)
	defer cancel()
	if _, err := s.own.Read(ctx, lookKey); err == nil {
		s.served()
	}
}

func (s *Store) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Away()
}

func (s *Store) mayAsk() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.MayAsk(time.Now())
}

// leaves returns a channel that is closed when calls leave the own way, so that
// those under way need not wait out their time.
func (s *Store) leaves() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

func (s *Store) served() {
	s.mu.Lock()
	back := s.path.Served()
	s.mu.Unlock()
	if back {
		events.StoreDirect.Log(s.log, logrus.Fields{})
	}
}
