// Package cluster keeps a process's view of what the platform's store holds:
// declarations, endpoints and the system's own members. Every view is a listing
// followed by a watch that continues from its revision.
package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// watchWait is how long one watch call waits. A store that dropped history
	// which a waiting watch had not heard says so only at the next change, so a
	// declaration would be missed until another one comes; asking anew finds it.
	// And a scout that is cut off from the store passes old news on for as long.
	// Declarations and leaving endpoints have two seconds; longer waits would save
	// calls and break that.
	watchWait = time.Second
	// firstRetry and mostRetry bound the pause after a failed call. A store that
	// is back must be noticed within the second that new declarations have to
	// spare, and one that is down is not worth more calls than that.
	firstRetry = 100 * time.Millisecond
	mostRetry  = 700 * time.Millisecond
	// goneAgain passes at least between two listings because history was gone. A
	// store that drops it as fast as it comes refuses every watch, and each listing is
	// followed by a refusal and the next listing.
	goneAgain = 400 * time.Millisecond
	// idleLook is how often an idle follower looks whether it still is.
	idleLook = time.Second
)

// Follower follows one prefix of the store, from where its topic stands. While
// the topic is idle it makes no calls.
type Follower struct {
	Store kv.Shared
	Topic *Topic
	// Wait is how long one watch call waits; 0 stands for the shortest.
	Wait time.Duration
	// CoalesceDelay is how long changes are gathered after some came, so that a crowd of
	// them makes few calls.
	CoalesceDelay time.Duration
	// Synced is called after each call that succeeded, with the revision up to
	// which everything was told, before changes are gathered; may be nil.
	Synced func(asOf int64)
	// Failed is called when a call fails, Recovered when one succeeds again.
	Failed    func(error)
	Recovered func()

	broken bool
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := firstRetry
	asOf := f.Topic.AsOf()
	wait := time.Duration(0) // the first answer tells whether the store answers at all
	var gone time.Time       // when history was last found gone
	for ctx.Err() == nil {
		next, changed, err := f.step(ctx, asOf, wait)
		if err == nil {
			wait = max(f.Wait, watchWait)
			asOf = next
			pause = firstRetry
			f.fine(asOf)
			if changed {
				sleep(ctx, f.CoalesceDelay)
			}
			continue
		}
		wait = 0 // a store that is back is noticed by its first answer, not when a watch ends
		if errors.Is(err, kv.ErrHistoryGone) {
			asOf = 0
			sleep(ctx, goneAgain-time.Since(gone))
			gone = time.Now()
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, mostRetry)
	}
	return nil
}

// once makes one call, which may wait for so long.
func (f *Follower) once(ctx context.Context, wait time.Duration) error {
	_, _, err := f.step(ctx, f.Topic.AsOf(), wait)
	if errors.Is(err, kv.ErrHistoryGone) {
		f.Topic.restart()
		return nil
	}
	if err != nil {
		f.failed(ctx, err)
	}
	return err
}

// step makes one call; changed tells that a watch told something.
func (f *Follower) step(ctx context.Context, asOf int64, wait time.Duration) (next int64, changed bool, err error) {
	switch {
	case f.Topic.idle():
		sleep(ctx, idleLook)
		return asOf, false, nil
	case asOf <= 0:
		next, err = f.list(ctx)
		return next, false, err
	}
	changes, err := f.Store.Await(ctx, f.Topic.Prefix, asOf, wait)
	if err != nil {
		return 0, false, err
	}
	for _, c := range changes.Changes {
		f.Topic.tell(c)
	}
	asOf = max(asOf, changes.AsOf)
	f.Topic.reached(asOf)
	return asOf, len(changes.Changes) > 0, nil
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	page, err := kv.ReadAll(ctx, f.Store, f.Topic.Prefix)
	if err != nil {
		return 0, err
	}
	f.Topic.listing(page)
	return page.AsOf, nil
}

func (f *Follower) fine(asOf int64) {
	if f.Synced != nil {
		f.Synced(asOf)
	}
	if f.broken && f.Recovered != nil {
		f.Recovered()
	}
	f.broken = false
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.broken = true
	if f.Failed != nil {
		f.Failed(err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
