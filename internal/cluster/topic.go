package cluster

import (
	"sync"

	"siskinloom.example/siskinloom/internal/kv"
)

// mostTombstones bounds what is remembered of keys that went.
const mostTombstones = 2048

// Topic is one prefix of the store and who is told of its changes. News may
// come from the store or from other processes that follow it, some of which lag
// behind: what is older than what was told is not told again. It is safe for
// concurrent use; its functions are called one at a time.
type Topic struct {
	Prefix string
	// Changed is called with each record as it stands, Deleted with each key that
	// went.
	Changed func(kv.Record)
	Deleted func(key string, revision int64)
	// Synced is called after each listing was told in full; may be nil.
	Synced func()

	mu    sync.Mutex
	known map[string]int64 // revision by key
	gone  map[string]int64 // revision at which a key went
}

func (t *Topic) init() {
	if t.known == nil {
		t.known = map[string]int64{}
	}
	if t.gone == nil || len(t.gone) > mostTombstones {
		t.gone = map[string]int64{}
	}
}

// tell passes a change on unless a newer one of its key was told.
func (t *Topic) tell(c kv.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.tellLocked(c)
}

func (t *Topic) tellLocked(c kv.Change) {
	r := c.Record
	if r.Revision <= t.known[r.Key] || r.Revision <= t.gone[r.Key] {
		return
	}
	if c.Deleted {
		delete(t.known, r.Key)
		t.gone[r.Key] = r.Revision
		t.Deleted(r.Key, r.Revision)
		return
	}
	delete(t.gone, r.Key)
	t.known[r.Key] = r.Revision
	t.Changed(r)
}

// listing tells a whole listing: keys that it lacks have gone, unless they are
// newer than the listing.
func (t *Topic) listing(page kv.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	present := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		present[r.Key] = true
		t.tellLocked(kv.Change{Record: r})
	}
	for key, revision := range t.known {
		if !present[key] && revision <= page.AsOf {
			t.tellLocked(kv.Change{Record: kv.Record{Key: key, Revision: max(page.AsOf, revision+1)}, Deleted: true})
		}
	}
	if t.Synced != nil {
		t.Synced()
	}
}
