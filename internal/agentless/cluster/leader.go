package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// candidateLook is how often a process that does not lead looks whether it may;
	// the registrations' follower tells it of most changes at once.
	candidateLook = 2 * time.Second
	// regainLook and regainFor are for one that held the duty until just now: after
	// an outage its key mostly stands, and it goes on at once.
	regainLook = 250 * time.Millisecond
	regainFor  = 10 * time.Second
	// dutyTTL is the duty's own lease: a holder that is gone is replaced after it,
	// and a shorter one would be renewed twice a second.
	dutyTTL = 2 * time.Second
	// actWithin is how long after the store's word a holder may act on it.
	actWithin = 500 * time.Millisecond
	// waitMargin covers the time a call takes.
	waitMargin = 100 * time.Millisecond
)

// Leader holds one duty that one process at a time may have. Its term is the
// revision at which the store took the holder's name, which only grows and so
// serves as a fencing token.
type Leader struct {
	Store         kv.Shared
	Key           string
	Self          string
	TTL           time.Duration
	HandoverDelay time.Duration // must lie between the acts of two holders
	Log           func(taken bool, term int64)
	// Eligible tells whether this process should stand for the duty.
	Eligible func() bool

	mu     sync.Mutex
	lease  kv.LeaseID
	term   int64
	from   time.Time // may act
	proven time.Time // the store last confirmed the lease, counted from the call's start
	lost   time.Time // the duty was last lost unasked
	look   chan struct{}
}

// NewLeader returns a leader that does not hold the duty.
func NewLeader(store kv.Shared, key, self string, apart, shortest time.Duration, may func() bool, log func(bool, int64)) *Leader {
	return &Leader{Store: store, Key: key, Self: self, TTL: max(dutyTTL, shortest), HandoverDelay: apart, Eligible: may, Log: log, look: make(chan struct{}, 1)}
}

// TryNow tells that the duty's key may have gone.
func (l *Leader) TryNow() {
	select {
	case l.look <- struct{}{}:
	default:
	}
}

// Run stands for the duty and renews it until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.holds() {
			l.renew(ctx)
		} else if l.Eligible() {
			l.stand(ctx)
		}
		wait := l.pause()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.look:
		}
		timer.Stop()
	}
	return nil
}

// pause is how long to wait before the next look.
func (l *Leader) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.lease != 0:
		return time.Duration(renewShare * float64(l.TTL))
	case time.Since(l.lost) < regainFor:
		return regainLook
	default:
		return candidateLook
	}
}

func (l *Leader) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != 0
}

// Term returns the fencing token while this process may act.
func (l *Leader) Term(now time.Time) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == 0 || now.Before(l.from) || now.Sub(l.proven) > l.TTL {
		return 0, false
	}
	return l.term, true
}

// Confirm asks the store whether the term still stands. A store may take a
// process's keys away without a word to it, and a pause of the process does not
// count in its own clock, so it is asked before each round of orders.
func (l *Leader) Confirm(ctx context.Context) (int64, bool) {
	began := time.Now()
	term, held := l.Term(began)
	if !held {
		return 0, false
	}
	record, err := l.Store.Read(ctx, l.Key)
	if err != nil {
		return 0, false
	}
	if record.Revision != term {
		l.Resign()
		return 0, false
	}
	return term, ConfirmationValid(began)
}

// ConfirmationValid tells whether a holder may still act on what the store said to a call that began
// then. The steady clock does not count a time for which the machine was suspended, and
// the clock of the day may be set, so that both are looked at.
func ConfirmationValid(began time.Time) bool {
	now := time.Now()
	return now.Sub(began) < actWithin/2 && now.Round(0).Sub(began.Round(0)) < actWithin/2
}

// Resign forgets the duty; another process has it.
func (l *Leader) Resign() {
	l.mu.Lock()
	term := l.term
	had := l.lease != 0
	l.lease = 0
	if had {
		l.lost = time.Now()
	}
	l.mu.Unlock()
	if had {
		l.Log(false, term)
	}
}

// wait is how long a new holder waits. The last one acted at most actWithin
// after a proof of its lease, which lapsed a whole time after that proof.
func (l *Leader) wait() time.Duration { return max(0, l.HandoverDelay-l.TTL) + actWithin + waitMargin }

// Suspend has this process act no more while it still holds the duty, and returns
// after a lease's time.
func (l *Leader) Suspend(ctx context.Context) {
	l.mu.Lock()
	l.from = time.Now().Add(2 * l.HandoverDelay)
	l.mu.Unlock()
	sleep(ctx, l.HandoverDelay)
}

// Release gives the duty up, so that another can take it at once.
func (l *Leader) Release(ctx context.Context) error {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if lease == 0 {
		return nil
	}
	l.Resign()
	return l.Store.RevokeLease(ctx, lease)
}

func (l *Leader) renew(ctx context.Context) {
	l.mu.Lock()
	lease, proven := l.lease, l.proven
	l.mu.Unlock()
	began := time.Now()
	err := l.Store.KeepLease(ctx, lease)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound), err != nil && time.Since(proven) > l.TTL:
		l.Resign()
	case err == nil:
		l.mu.Lock()
		l.proven = began
		l.mu.Unlock()
	}
}

// stand takes the duty if nobody has it. A predecessor on this very machine is
// no other holder: its term is taken over at once.
func (l *Leader) stand(ctx context.Context) {
	standing, err := l.Store.Read(ctx, l.Key)
	if err != nil || standing.Revision != 0 && string(standing.Value) != l.Self {
		return
	}
	began := time.Now()
	lease, ttl, err := l.Store.GrantLease(ctx, l.TTL)
	if err != nil || ttl < l.TTL {
		return
	}
	committed, err := l.Store.Commit(ctx, kv.Transaction{
		Expect: []kv.Expectation{{Key: l.Key, Revision: standing.Revision}},
		Puts:   []kv.Put{{Key: l.Key, Value: []byte(l.Self), Lease: lease}},
	})
	if errors.Is(err, kv.ErrUnknown) {
		var put kv.Record
		put, err = settlePut(ctx, l.Store, l.Key, lease, err)
		committed = kv.Committed{Done: err == nil, Revision: put.Revision}
	}
	if err != nil || !committed.Done {
		return // the lease lapses unused
	}
	from := time.Now()
	if standing.Revision == 0 {
		from = from.Add(l.wait())
	}
	l.mu.Lock()
	l.lease, l.term, l.from, l.proven = lease, committed.Revision, from, began
	l.mu.Unlock()
	l.Log(true, committed.Revision)
}
