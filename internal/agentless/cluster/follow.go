// Package cluster maintains a process's view of the keys in the platform's store:
// declarations, endpoints and the system's own members. Every view starts with a
// listing and continues with a watch from the listing's revision. Most processes get
// the changes from relays, which are the few workers that watch the store.
package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// minWatchTimeout is the minimum timeout of a watch call. If the store drops history
	// that a waiting watch has not received, it reports that only at the next change,
	// and a declaration would be missed until then. A new call detects it. A relay that
	// is cut off from the store also serves outdated data for as long as a call waits.
	// Declarations and leaving endpoints must take effect within two seconds; a longer
	// timeout would save calls but exceed that.
	minWatchTimeout = time.Second
	// initialBackoff and maxBackoff bound the delay after a failed call. A store that
	// has recovered must be noticed within the second that remains for new
	// declarations, and a store that is down should not get more calls than that
	// requires.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 700 * time.Millisecond
	// relistInterval is the least time between two listings that became necessary
	// because the store dropped history. A store that drops history as fast as it grows
	// refuses every watch, so that each listing is followed by a refusal and another
	// listing.
	relistInterval = 400 * time.Millisecond
	// idleCheckInterval is how often an idle follower checks whether its topic is still
	// idle.
	idleCheckInterval = time.Second
	// urgentCoalesceDelay replaces a longer CoalesceDelay after an urgent change. The reports
	// of two endpoints that end under one request follow each other within milliseconds, and
	// a process that knows only of the first one sends its copy to a third endpoint. A crash
	// of many endpoints costs each follower at most 50 calls per second.
	urgentCoalesceDelay = 20 * time.Millisecond
)

// Follower watches one prefix of the store and applies the changes to its topic,
// starting from the topic's revision. It makes no calls while the topic is idle.
type Follower struct {
	Store kv.TransactionalStore
	Topic *Topic
	// WatchTimeout is how long a watch call waits for changes. Values below
	// minWatchTimeout are raised to it.
	WatchTimeout time.Duration
	// CoalesceDelay is the delay before the next watch call after one returned changes,
	// so that many changes in a row need few calls.
	CoalesceDelay time.Duration
	// Synced is called after each successful call, before CoalesceDelay, with the
	// revision up to which all changes were applied. It may be nil.
	Synced func(asOf int64)
	// Failed is called when a call fails, Recovered when a call succeeds again. Both
	// may be nil.
	Failed    func(error)
	Recovered func()

	failing bool
}

// Run watches the prefix until ctx is done. It lists the topic again when that is reset.
func (f *Follower) Run(ctx context.Context) error {
	backoff := initialBackoff
	wait := time.Duration(0)    // the first call shows whether the store answers at all
	var historyLostAt time.Time // when the store last lacked the history that a watch needed
	for ctx.Err() == nil {
		asOf, delay, err := f.step(ctx, f.Topic.AsOf(), wait)
		if err == nil {
			wait = max(f.WatchTimeout, minWatchTimeout)
			backoff = initialBackoff
			f.succeeded(asOf)
			sleep(ctx, delay)
			continue
		}
		wait = 0 // a recovered store is noticed by its first answer, not at the end of a watch
		if errors.Is(err, kv.ErrHistoryGone) {
			f.Topic.reset()
			sleep(ctx, relistInterval-time.Since(historyLostAt))
			historyLostAt = time.Now()
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// callOnce makes one call, which waits for changes for up to wait.
func (f *Follower) callOnce(ctx context.Context, wait time.Duration) error {
	_, _, err := f.step(ctx, f.Topic.AsOf(), wait)
	if errors.Is(err, kv.ErrHistoryGone) {
		f.Topic.reset()
		return nil
	}
	if err != nil {
		f.failed(ctx, err)
	}
	return err
}

// Confirm brings the topic up to date with the store by one call that does not wait for changes, or
// by a listing if the store no longer has the history that the topic lacks.
func (f *Follower) Confirm(ctx context.Context) error {
	_, _, err := f.step(ctx, f.Topic.AsOf(), 0)
	if errors.Is(err, kv.ErrHistoryGone) {
		_, err = f.list(ctx)
	}
	return err
}

// step makes one call to the store: a listing if asOf is 0, otherwise a watch. It
// returns the revision that the topic has reached, and the delay before the next call. If
// the topic is idle, it only pauses.
func (f *Follower) step(ctx context.Context, asOf int64, wait time.Duration) (next int64, delay time.Duration, err error) {
	switch {
	case f.Topic.isIdle():
		sleep(ctx, idleCheckInterval)
		return asOf, 0, nil
	case asOf <= 0:
		next, err = f.list(ctx)
		return next, 0, err
	}
	began := time.Now()
	changes, err := f.Store.Await(ctx, f.Topic.Prefix, asOf, wait)
	if err != nil {
		return 0, 0, err
	}
	for _, c := range changes.Changes {
		f.Topic.apply(c)
	}
	asOf = max(asOf, changes.AsOf)
	f.Topic.advance(asOf)
	// A store whose watches get no notifications for a moment ends them without changes, too. Only
	// what it looked up at the beginning of the call is certain.
	f.Topic.confirm(began)
	return asOf, f.coalesceDelay(changes.Changes), nil
}

// coalesceDelay returns the delay after a watch that returned the changes.
func (f *Follower) coalesceDelay(changes []kv.Change) time.Duration {
	if len(changes) == 0 {
		return 0
	}
	for _, c := range changes {
		if f.Topic.Urgent != nil && f.Topic.Urgent(c.Record.Key) {
			return min(f.CoalesceDelay, urgentCoalesceDelay)
		}
	}
	return f.CoalesceDelay
}

// list applies a listing of the prefix and returns its revision.
func (f *Follower) list(ctx context.Context) (int64, error) {
	began := time.Now()
	page, err := kv.ReadAll(ctx, f.Store, f.Topic.Prefix)
	if err != nil {
		return 0, err
	}
	f.Topic.applyListing(page)
	f.Topic.confirm(began)
	return page.AsOf, nil
}

// succeeded reports a successful call to the callbacks.
func (f *Follower) succeeded(asOf int64) {
	if f.Synced != nil {
		f.Synced(asOf)
	}
	if f.failing && f.Recovered != nil {
		f.Recovered()
	}
	f.failing = false
}

// failed reports a failed call to the callback unless ctx is done.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failing = true
	if f.Failed != nil {
		f.Failed(err)
	}
}

// sleep pauses for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
