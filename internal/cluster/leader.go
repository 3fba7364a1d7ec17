package cluster

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

// candidateLook is how often a process that does not lead looks whether it may.
const candidateLook = time.Second

// Leader holds one duty that one process at a time may have. Its term is the
// revision at which the store took the holder's name, which only grows and so
// serves as a fencing token.
type Leader struct {
	Store kv.Shared
	Key   string
	Self  string
	TTL   time.Duration
	Log   func(taken bool, term int64)
	// May tells whether this process should stand for the duty.
	May func() bool

	mu     sync.Mutex
	lease  kv.LeaseID
	term   int64
	taken  time.Time
	proven time.Time // the store last confirmed the lease, counted from the call's start
}

// Run stands for the duty and renews it until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := candidateLook
		if l.holds() {
			l.renew(ctx)
			wait = time.Duration(renewShare * float64(l.TTL))
		} else if l.May() {
			l.stand(ctx)
		}
		sleep(ctx, wait)
	}
	return nil
}

func (l *Leader) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != 0
}

// Term returns the fencing token while this process may act. A new holder waits
// for one lease's time, as the one before may have acted until just now; and
// nobody acts on a lease that may have lapsed.
func (l *Leader) Term(now time.Time) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == 0 || now.Sub(l.taken) < l.TTL || now.Sub(l.proven) > l.TTL*2/3 {
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
	return term, time.Since(began) < l.TTL/3
}

// Resign forgets the duty; another process has it.
func (l *Leader) Resign() {
	l.mu.Lock()
	term := l.term
	had := l.lease != 0
	l.lease = 0
	l.mu.Unlock()
	if had {
		l.Log(false, term)
	}
}

// End gives the duty up, so that another can take it at once.
func (l *Leader) End(ctx context.Context) error {
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

func (l *Leader) stand(ctx context.Context) {
	standing, err := l.Store.Read(ctx, l.Key)
	if err != nil || standing.Revision != 0 {
		return
	}
	began := time.Now()
	lease, ttl, err := l.Store.GrantLease(ctx, l.TTL)
	if err != nil || ttl < l.TTL {
		return
	}
	committed, err := l.Store.Commit(ctx, kv.Transaction{
		Expect: []kv.Expectation{{Key: l.Key}},
		Puts:   []kv.Put{{Key: l.Key, Value: []byte(l.Self + " " + strconv.FormatInt(began.UnixNano(), 10)), Lease: lease}},
	})
	if err != nil || !committed.Done {
		return // the lease lapses unused
	}
	l.mu.Lock()
	l.lease, l.term, l.taken, l.proven = lease, committed.Revision, time.Now(), began
	l.mu.Unlock()
	l.Log(true, committed.Revision)
}
