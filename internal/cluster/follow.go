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
	// declaration would be missed until another one comes. Asking anew every two
	// seconds finds it; longer waits would save calls and break the bound.
	watchWait = 2 * time.Second
	// firstRetry and mostRetry bound the pause after a failed call. A store that
	// is back must be noticed within the second that new declarations have to
	// spare, and one that is down is not worth more calls than that.
	firstRetry = 100 * time.Millisecond
	mostRetry  = 700 * time.Millisecond
)

// Follower follows one prefix of the store.
type Follower struct {
	Store  kv.Shared
	Prefix string
	// Changed is called with each record as it stands, in the order of revisions;
	// Deleted with each key that went. Both are called from one goroutine.
	Changed func(kv.Record)
	Deleted func(key string, revision int64)
	// Synced is called after each listing was told in full. May be nil.
	Synced func()
	// Failed is called when a call fails, Recovered when one succeeds again.
	Failed    func(error)
	Recovered func()

	known  map[string]int64 // revision by key
	broken bool
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.known = map[string]int64{}
	pause := firstRetry
	asOf := int64(-1)
	for ctx.Err() == nil {
		next, err := f.step(ctx, asOf)
		if err == nil {
			asOf = next
			pause = firstRetry
			f.fine()
			continue
		}
		if errors.Is(err, kv.ErrHistoryGone) {
			asOf = -1
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, mostRetry)
	}
	return nil
}

func (f *Follower) step(ctx context.Context, asOf int64) (int64, error) {
	if asOf < 0 {
		return f.list(ctx)
	}
	changes, err := f.Store.Await(ctx, f.Prefix, asOf, watchWait)
	if err != nil {
		return 0, err
	}
	for _, c := range changes.Changes {
		f.tell(c)
	}
	return max(asOf, changes.AsOf), nil
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	page, err := kv.ReadAll(ctx, f.Store, f.Prefix)
	if err != nil {
		return 0, err
	}
	present := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		present[r.Key] = true
		f.tell(kv.Change{Record: r})
	}
	for key := range f.known {
		if !present[key] {
			f.tell(kv.Change{Record: kv.Record{Key: key, Revision: page.AsOf}, Deleted: true})
		}
	}
	if f.Synced != nil {
		f.Synced()
	}
	return page.AsOf, nil
}

// tell passes a change on unless a newer one of its key was told: the pages of
// a listing are no snapshot, and the watch from its start repeats some changes.
func (f *Follower) tell(c kv.Change) {
	r := c.Record
	if r.Revision <= f.known[r.Key] {
		return
	}
	if c.Deleted {
		delete(f.known, r.Key)
		f.Deleted(r.Key, r.Revision)
		return
	}
	f.known[r.Key] = r.Revision
	f.Changed(r)
}

func (f *Follower) fine() {
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
