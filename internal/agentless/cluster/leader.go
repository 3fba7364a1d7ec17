package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// acquireInterval is how often a process that does not hold the duty tries to
	// acquire it. Watching the registrations triggers most attempts at once.
	acquireInterval = 2 * time.Second
	// reacquireInterval and reacquirePeriod apply to a process that has just lost the
	// duty. After an outage of the store its key mostly still exists, and the process
	// continues immediately.
	reacquireInterval = 250 * time.Millisecond
	reacquirePeriod   = 10 * time.Second
	// dutyTTL is the TTL of the duty's lease, unless the store's minimum is longer. A
	// lost holder is replaced after that time. A shorter lease would have to be renewed
	// twice a second.
	dutyTTL = 2 * time.Second
	// confirmationTTL is the longest time after a confirmation by the store for which a
	// holder acts. ConfirmationValid accepts half of it.
	confirmationTTL = 500 * time.Millisecond
	// waitMargin covers the duration of a call.
	waitMargin = 100 * time.Millisecond
)

// Leader holds one duty, which at most one process may have at a time. Its term is the
// revision at which the store accepted the holder's name. Terms only increase, so a
// term serves as a fencing token.
type Leader struct {
	Store         kv.TransactionalStore
	Key           string
	Self          string
	TTL           time.Duration
	HandoverDelay time.Duration // least time between the acts of two holders
	// Log is called with the term when this process acquired the duty, and when it lost it
	// or gave it up.
	Log func(acquired bool, term int64)
	// Eligible reports whether this process should try to acquire the duty.
	Eligible func() bool

	mu          sync.Mutex
	lease       kv.LeaseID
	term        int64
	actFrom     time.Time // earliest time at which this process may act
	confirmedAt time.Time // start of the last call in which the store confirmed the lease
	lostAt      time.Time // when the duty was last lost or given up
	wake        chan struct{}
}

// NewLeader returns a Leader that does not hold the duty. minTTL is the store's
// shortest lease TTL.
func NewLeader(store kv.TransactionalStore, key, self string, handoverDelay, minTTL time.Duration, eligible func() bool, log func(bool, int64)) *Leader {
	return &Leader{Store: store, Key: key, Self: self, TTL: max(dutyTTL, minTTL), HandoverDelay: handoverDelay, Eligible: eligible, Log: log, wake: make(chan struct{}, 1)}
}

// TryNow makes Run try to acquire the duty now, because its key may have been deleted.
func (l *Leader) TryNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run acquires the duty and renews its lease until ctx is done.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.holds() {
			l.renew(ctx)
		} else if l.Eligible() {
			l.acquire(ctx)
		}
		wait := l.interval()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake:
		}
		timer.Stop()
	}
	return nil
}

// interval returns the time until the next renewal or attempt to acquire the duty.
func (l *Leader) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.lease != 0:
		return time.Duration(renewFraction * float64(l.TTL))
	case time.Since(l.lostAt) < reacquirePeriod:
		return reacquireInterval
	default:
		return acquireInterval
	}
}

// holds reports whether this process has the duty's lease, as far as it knows.
func (l *Leader) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != 0
}

// Term returns the fencing token and whether this process may act under it at the given
// time.
func (l *Leader) Term(now time.Time) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == 0 || now.Before(l.actFrom) || now.Sub(l.confirmedAt) > l.TTL {
		return 0, false
	}
	return l.term, true
}

// Confirm reads from the store whether this process still holds the duty, and returns
// its term. It is called before each round of orders, because a store may delete a
// process's keys without notice, and the process's own clock does not count time for
// which the process was paused.
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

// ConfirmationValid reports whether a holder may still act on a confirmation that it
// requested from the store at began. The monotonic clock does not count time for which
// the machine was suspended, and the wall clock may be set, so both are checked.
func ConfirmationValid(began time.Time) bool {
	now := time.Now()
	return now.Sub(began) < confirmationTTL/2 && now.Round(0).Sub(began.Round(0)) < confirmationTTL/2
}

// Resign makes this process forget the duty, without a call to the store. It is called when
// another process has the duty or may have it.
func (l *Leader) Resign() {
	l.mu.Lock()
	term := l.term
	held := l.lease != 0
	l.lease = 0
	if held {
		l.lostAt = time.Now()
	}
	l.mu.Unlock()
	if held {
		l.Log(false, term)
	}
}

// handoverWait returns how long a new holder waits before its first act. Its
// predecessor acted at most confirmationTTL after the last confirmation of its lease,
// and the lease expired one TTL after that confirmation.
func (l *Leader) handoverWait() time.Duration {
	return max(0, l.HandoverDelay-l.TTL) + confirmationTTL + waitMargin
}

// Suspend keeps this process from acting while it still holds the duty, and returns
// after HandoverDelay.
func (l *Leader) Suspend(ctx context.Context) {
	l.mu.Lock()
	l.actFrom = time.Now().Add(2 * l.HandoverDelay)
	l.mu.Unlock()
	sleep(ctx, l.HandoverDelay)
}

// Release gives up the duty, so that another process can acquire it immediately.
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

// renew renews the lease. It gives up the duty if the lease does not exist any more or
// was not confirmed for a TTL.
func (l *Leader) renew(ctx context.Context) {
	l.mu.Lock()
	lease, confirmedAt := l.lease, l.confirmedAt
	l.mu.Unlock()
	began := time.Now()
	err := l.Store.KeepLease(ctx, lease)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound), err != nil && time.Since(confirmedAt) > l.TTL:
		l.Resign()
	case err == nil:
		l.mu.Lock()
		l.confirmedAt = began
		l.mu.Unlock()
	}
}

// acquire tries to acquire the duty if no other process holds it. A predecessor on this
// same machine is not another holder: this process replaces it without waiting.
func (l *Leader) acquire(ctx context.Context) {
	current, err := l.Store.Read(ctx, l.Key)
	if err != nil || current.Revision != 0 && string(current.Value) != l.Self {
		return
	}
	began := time.Now()
	lease, ttl, err := l.Store.GrantLease(ctx, l.TTL)
	if err != nil || ttl < l.TTL {
		return
	}
	committed, err := l.Store.Commit(ctx, kv.Transaction{
		Expect: []kv.Expectation{{Key: l.Key, Revision: current.Revision}},
		Puts:   []kv.Put{{Key: l.Key, Value: []byte(l.Self), Lease: lease}},
	})
	if errors.Is(err, kv.ErrUnknown) {
		var put kv.Record
		put, err = resolvePut(ctx, l.Store, l.Key, lease, err)
		committed = kv.Committed{Done: err == nil, Revision: put.Revision}
	}
	if err != nil || !committed.Done {
		return // the unused lease expires
	}
	from := time.Now()
	if current.Revision == 0 {
		from = from.Add(l.handoverWait())
	}
	l.mu.Lock()
	l.lease, l.term, l.actFrom, l.confirmedAt = lease, committed.Revision, from, began
	l.mu.Unlock()
	l.Log(true, committed.Revision)
}
