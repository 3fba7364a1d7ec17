package cluster

import (
	"maps"
	"strings"
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/kv"
)

// maxTombstones limits the deleted keys that a topic remembers.
const maxTombstones = 2048

// Topic is the view of one prefix of the store, with callbacks for its changes. Updates
// may come from the store or from relays, some of which lag behind; a change that is
// older than the known state of its key is ignored. It is safe for concurrent use. Its
// callbacks run one at a time.
type Topic struct {
	Prefix string
	// RelayPrefix is the prefix of the relays' topic that contains this one; empty
	// means that it is the same prefix.
	RelayPrefix string
	// Changed is called with the new state of a record, Deleted with a deleted key.
	// Both may be nil.
	Changed func(kv.Record)
	Deleted func(key string, revision int64)
	// Listed is called after a listing was applied; it may be nil.
	Listed func()
	// Scopes returns the scopes that this process needs, or nil for all, and whether it
	// knows them yet. If the function is nil, all scopes are needed.
	Scopes func() (scopes []string, known bool)
	// Idle reports whether changes are of no use at present; it may be nil.
	Idle func() bool
	// Urgent reports whether further changes are likely soon after one of the key and must
	// not wait for Follower.CoalesceDelay; it may be nil.
	Urgent func(key string) bool
	// Confirmed is called when the topic is known to include all changes that the store had at a
	// time, with the previous such time, zero for none. It may be nil.
	Confirmed func(at, previous time.Time)
	// Relay receives all changes, to serve them to other processes; it may be nil.
	Relay *Relay
	// SubTopic receives the changes under its own prefix, which must be within this
	// topic's; it may be nil.
	SubTopic *Topic

	mu         sync.Mutex
	revisions  map[string]int64 // by key
	tombstones map[string]tombstone
	asOf       int64 // all changes up to it were applied; 0: unknown

	confirmedAt time.Time // the topic includes all changes that the store had then; zero: never
}

// tombstone records the deletion of a key.
type tombstone struct {
	revision int64 // latest possible revision of the deletion
	inferred bool  // the key was missing in a listing; no deletion was received
}

// relayPrefix returns the prefix of the relays' topic that contains this one.
func (t *Topic) relayPrefix() string {
	if t.RelayPrefix != "" {
		return t.RelayPrefix
	}
	return t.Prefix
}

// neededScopes returns the scopes that this process needs, or nil for all, and whether
// it knows them yet.
func (t *Topic) neededScopes() (scopes []string, known bool) {
	if t.Scopes == nil {
		return nil, true
	}
	return t.Scopes()
}

func (t *Topic) isIdle() bool { return t.Idle != nil && t.Idle() }

// init creates the maps. It drops all tombstones when there are more than
// maxTombstones.
func (t *Topic) init() {
	if t.revisions == nil {
		t.revisions = map[string]int64{}
	}
	if t.tombstones == nil || len(t.tombstones) > maxTombstones {
		t.tombstones = map[string]tombstone{}
	}
}

// AsOf returns the revision up to which all changes were applied; 0 means that it is
// unknown.
func (t *Topic) AsOf() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// confirm records that the topic includes all changes that the store had at a time.
func (t *Topic) confirm(at time.Time) {
	t.mu.Lock()
	previous := t.confirmedAt
	later := at.After(previous)
	if later {
		t.confirmedAt = at
	}
	t.mu.Unlock()
	if !later {
		return
	}
	if t.Relay != nil {
		t.Relay.markConfirmed(t.Prefix, at)
	}
	if t.Confirmed != nil {
		t.Confirmed(at, previous)
	}
}

// ConfirmedAt returns the latest time of which the topic is known to include all changes that the
// store had then. It is zero if there is none.
func (t *Topic) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// HasKeys reports whether a key with the prefix exists.
func (t *Topic) HasKeys(prefix string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.revisions {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// VisitKeys calls visit with each known key. It must not call the topic.
func (t *Topic) VisitKeys(visit func(key string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.revisions {
		visit(key)
	}
}

// reset makes the topic be listed again.
func (t *Topic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = 0
}

// resetForScopes makes the topic be listed again with additional scopes. Deletions that
// were inferred from a listing are forgotten: the key may belong to a scope that was
// left out and may still exist.
func (t *Topic) resetForScopes() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = 0
	maps.DeleteFunc(t.tombstones, func(_ string, stone tombstone) bool { return stone.inferred })
}

// advance records that all changes since the revision before were applied up to another one. A topic
// that was reset meanwhile still has to be listed.
func (t *Topic) advance(asOf int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asOf != 0 {
		t.asOf = max(t.asOf, asOf)
	}
	if t.SubTopic != nil {
		t.SubTopic.advance(asOf)
	}
}

// apply applies a change unless the topic knows a newer state of the key.
func (t *Topic) apply(c kv.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.applyLocked(c, false)
	if t.SubTopic != nil && strings.HasPrefix(c.Record.Key, t.SubTopic.Prefix) {
		t.SubTopic.apply(c)
	}
}

// applyLocked is apply with mu held, without the SubTopic. inferred means that a
// listing lacked the key.
func (t *Topic) applyLocked(c kv.Change, inferred bool) {
	r := c.Record
	if r.Revision <= t.revisions[r.Key] || r.Revision <= t.tombstones[r.Key].revision {
		return
	}
	if t.Relay != nil {
		t.Relay.put(t.Prefix, c)
	}
	if c.Deleted {
		delete(t.revisions, r.Key)
		t.tombstones[r.Key] = tombstone{r.Revision, inferred}
		if t.Deleted != nil {
			t.Deleted(r.Key, r.Revision)
		}
		return
	}
	delete(t.tombstones, r.Key)
	t.revisions[r.Key] = r.Revision
	if t.Changed != nil {
		t.Changed(r)
	}
}

// applyListing applies a complete listing. Keys that it lacks are deleted unless they
// are newer than the listing. unchanged names keys that exist and have not changed.
func (t *Topic) applyListing(page kv.Page, unchanged ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	present := make(map[string]bool, len(page.Records)+len(unchanged))
	for _, key := range unchanged {
		present[key] = true
	}
	for _, r := range page.Records {
		present[r.Key] = true
		t.applyLocked(kv.Change{Record: r}, false)
	}
	for key, revision := range t.revisions {
		if !present[key] && revision <= page.AsOf {
			t.applyLocked(kv.Change{Record: kv.Record{Key: key, Revision: max(page.AsOf, revision+1)}, Deleted: true}, true)
		}
	}
	t.asOf = max(t.asOf, page.AsOf)
	if t.Relay != nil {
		t.Relay.markListed(t.Prefix, page.AsOf)
	}
	if t.Listed != nil {
		t.Listed()
	}
	if t.SubTopic != nil {
		t.SubTopic.applyListing(filterPage(page, t.SubTopic.Prefix))
	}
}

// filterPage returns the records of a listing under a prefix.
func filterPage(page kv.Page, prefix string) kv.Page {
	part := kv.Page{AsOf: page.AsOf}
	for _, r := range page.Records {
		if strings.HasPrefix(r.Key, prefix) {
			part.Records = append(part.Records, r)
		}
	}
	return part
}
