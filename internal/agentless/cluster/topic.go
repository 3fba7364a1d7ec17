package cluster

import (
	"maps"
	"strings"
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
	// RelayPrefix is the prefix of the relays' topic that this one is a part of; empty:
	// its own prefix.
	RelayPrefix string
	// Changed is called with each record as it stands, Deleted with each key that
	// went.
	Changed func(kv.Record)
	Deleted func(key string, revision int64)
	// Listed is called after each listing was told in full; may be nil.
	Listed func()
	// Scopes names the parts of the topic that this process needs, nil for all, and
	// whether it knows them yet; a nil function stands for all.
	Scopes func() (scopes []string, known bool)
	// Idle tells that changes are of no use now; may be nil.
	Idle func() bool
	// Relay takes in all that is told, for other processes; may be nil.
	Relay *Relay
	// SubTopic is told what concerns its prefix, which lies within this topic's; may be
	// nil.
	SubTopic *Topic

	mu    sync.Mutex
	known map[string]int64 // revision by key
	gone  map[string]tombstone
	asOf  int64 // everything up to it was told; 0: unknown
}

// tombstone is what is remembered of a key that went.
type tombstone struct {
	revision int64 // at which it went, at the latest
	inferred bool  // from a listing that lacked it, and not told as such
}

// carrier returns the prefix under which relays carry the topic.
func (t *Topic) carrier() string {
	if t.RelayPrefix != "" {
		return t.RelayPrefix
	}
	return t.Prefix
}

// needed returns the parts that this process needs, nil for all, and whether it
// knows them yet.
func (t *Topic) needed() (scopes []string, known bool) {
	if t.Scopes == nil {
		return nil, true
	}
	return t.Scopes()
}

func (t *Topic) idle() bool { return t.Idle != nil && t.Idle() }

func (t *Topic) init() {
	if t.known == nil {
		t.known = map[string]int64{}
	}
	if t.gone == nil || len(t.gone) > mostTombstones {
		t.gone = map[string]tombstone{}
	}
}

// AsOf returns the revision up to which everything was told; 0: unknown.
func (t *Topic) AsOf() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// restart has the topic be listed anew.
func (t *Topic) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = 0
}

// widen has the topic be listed anew with parts that were left out so far. A key that
// a listing lacked may have been of such a part and never have gone.
func (t *Topic) widen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = 0
	maps.DeleteFunc(t.gone, func(_ string, g tombstone) bool { return g.inferred })
}

// reached notes that everything up to a revision was told.
func (t *Topic) reached(asOf int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = max(t.asOf, asOf)
	if t.SubTopic != nil {
		t.SubTopic.reached(asOf)
	}
}

// tell passes a change on unless a newer one of its key was told.
func (t *Topic) tell(c kv.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.tellLocked(c, false)
	if t.SubTopic != nil && strings.HasPrefix(c.Record.Key, t.SubTopic.Prefix) {
		t.SubTopic.tell(c)
	}
}

func (t *Topic) tellLocked(c kv.Change, inferred bool) {
	r := c.Record
	if r.Revision <= t.known[r.Key] || r.Revision <= t.gone[r.Key].revision {
		return
	}
	if t.Relay != nil {
		t.Relay.put(t.Prefix, c)
	}
	if c.Deleted {
		delete(t.known, r.Key)
		t.gone[r.Key] = tombstone{r.Revision, inferred}
		if t.Deleted != nil {
			t.Deleted(r.Key, r.Revision)
		}
		return
	}
	delete(t.gone, r.Key)
	t.known[r.Key] = r.Revision
	if t.Changed != nil {
		t.Changed(r)
	}
}

// listing tells a whole listing: keys that it lacks have gone, unless they are
// newer than the listing. stands names keys of it that are as they were told.
func (t *Topic) listing(page kv.Page, stands ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	present := make(map[string]bool, len(page.Records)+len(stands))
	for _, key := range stands {
		present[key] = true
	}
	for _, r := range page.Records {
		present[r.Key] = true
		t.tellLocked(kv.Change{Record: r}, false)
	}
	for key, revision := range t.known {
		if !present[key] && revision <= page.AsOf {
			t.tellLocked(kv.Change{Record: kv.Record{Key: key, Revision: max(page.AsOf, revision+1)}, Deleted: true}, true)
		}
	}
	t.asOf = max(t.asOf, page.AsOf)
	if t.Relay != nil {
		t.Relay.listed(t.Prefix, page.AsOf)
	}
	if t.Listed != nil {
		t.Listed()
	}
	if t.SubTopic != nil {
		t.SubTopic.listing(partOf(page, t.SubTopic.Prefix))
	}
}

// partOf returns a listing's records under a prefix.
func partOf(page kv.Page, prefix string) kv.Page {
	part := kv.Page{AsOf: page.AsOf}
	for _, r := range page.Records {
		if strings.HasPrefix(r.Key, prefix) {
			part.Records = append(part.Records, r)
		}
	}
	return part
}
