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
	// lookLimit bounds the wait for an answer that shows whether the own way works.
	lookLimit = 300 * time.Millisecond
	// passLimit bounds a call that is passed on: a slow store's answer and the way
	// to the other process and back.
	passLimit = 700 * time.Millisecond
	// lookKey is read to see whether the own way works again; nobody writes it.
	lookKey = "live/look"
)

// Store is the platform's store by whichever way works. It implements kv.Shared
// and is safe for concurrent use.
type Store struct {
	// Returned is called when the store answers again after it answered nobody; may
	// be nil.
	Returned func()

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
	// patience is how long an answer may stay out before another process is asked.
	patience policy.Patience
	// turned is closed and replaced when calls leave the own way or return to it.
	turned chan struct{}
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
		turned:   make(chan struct{}),
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
	othersFirst, look, down := s.path.OthersFirst(now), s.path.Look(now), s.path.Down(now)
	s.mu.Unlock()
	if look {
		go s.look(context.Background())
	}
	if othersFirst {
		if o := s.askOthers(ctx, q, now); !errors.Is(o.err, kv.ErrUnavailable) || ctx.Err() != nil {
			return o.result, o.err
		}
	}
	if down && !q.repeatable() && !s.look(ctx) {
		return Result{}, errors.Wrap(kv.ErrUnavailable, "the store answers nobody; the write was not sent")
	}
	return s.ownWay(ctx, q)
}

// ownWay makes the call directly. If the answer stays out or never comes,
// another process is asked.
func (s *Store) ownWay(ctx context.Context, q *Query) (Result, error) {
	direct, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	own := make(chan outcome, 1)
	go func() {
		result, err := execute(direct, s.own, q)
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
		case <-s.turns():
			if time.Since(began) > limit {
				return s.again(ctx, q)
			}
		}
	}
}

// overdue asks another process while the own answer stays out. A call that must
// not be made twice is not repeated there: a read shows whether the own way is
// cut, and the outcome is unknown if it is.
func (s *Store) overdue(ctx context.Context, q *Query, began time.Time, own <-chan outcome) (Result, error) {
	turned := s.turns()
	var giveUp <-chan time.Time // of a write, once another process reached the store
	others := make(chan outcome, 1)
	if s.mayAsk() {
		asked := q
		if !q.repeatable() {
			asked = &Query{Operation: Read, Key: lookKey}
		}
		go func() { others <- s.askOthers(ctx, asked, began) }()
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
			return Result{}, errAdrift
		case <-turned: // another call found the way that works
			return s.again(ctx, q)
		}
	}
}

// again repeats a call whose connection is given up, if it may be repeated.
func (s *Store) again(ctx context.Context, q *Query) (Result, error) {
	if !q.repeatable() {
		return Result{}, errAdrift
	}
	return s.do(ctx, q)
}

// errAdrift is the end of a write that was under way when calls left the own way
// or returned to it.
var errAdrift = errors.Wrap(kv.ErrUnknown, "storepath: a write was under way when its connection was lost")

// settle takes in the end of a call by the own way. One that certainly had no
// effect is made by way of another process.
func (s *Store) settle(ctx context.Context, q *Query, began time.Time, o outcome) (Result, error) {
	if answered(o.err) {
		if q.Operation != Await {
			s.timed(time.Since(began))
		}
		s.served(began)
		return o.result, o.err
	}
	if ctx.Err() != nil {
		return o.result, o.err // the caller ended it, which says nothing of the store
	}
	s.mu.Lock()
	s.path.Failed(began)
	s.mu.Unlock()
	if !errors.Is(o.err, kv.ErrUnavailable) || !s.mayAsk() {
		return o.result, o.err
	}
	if by := s.askOthers(ctx, q, began); !errors.Is(by.err, kv.ErrUnavailable) {
		return by.result, by.err
	}
	return o.result, o.err
}

// look tells whether the own way works.
func (s *Store) look(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	began := time.Now()
	if _, err := s.own.Read(ctx, lookKey); err != nil {
		return false
	}
	s.served(began)
	return true
}

// limit returns how long an answer may stay out.
func (s *Store) limit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.patience.Limit()
}

func (s *Store) writeLimit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.patience.WriteLimit()
}

func (s *Store) timed(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience.Answered(took)
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

// turns returns a channel that is closed when calls leave the own way or return
// to it, so that those under way need not wait out their time.
func (s *Store) turns() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turned
}

// turn wakes the calls under way; mu is held.
func (s *Store) turn() {
	close(s.turned)
	s.turned = make(chan struct{})
}

func (s *Store) served(began time.Time) {
	s.mu.Lock()
	away := s.path.Away()
	turned := s.path.Served(began)
	if turned {
		s.turn()
	}
	s.mu.Unlock()
	if away {
		events.StoreDirect.Log(s.log, logrus.Fields{})
	}
	if turned && s.Returned != nil {
		s.Returned()
	}
}
