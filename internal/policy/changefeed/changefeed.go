// Package changefeed serves the changes of a shared store to followers. It keeps a
// replica of the keys under some prefixes, and computes the update that brings a
// follower up to date from the revision or the position that it has reached. It does
// no I/O and reads no clock.
//
// Hundreds of processes follow a list of thousands of endpoints through a few
// processes that watch the store. When one of the few is slow or lost, all of its
// followers switch to another one at once. If each of them then needed the whole
// list, the answers would take longer than the followers' timeout, the followers
// would switch again, and none would ever get an update. Therefore a follower sends
// the store revision that it has reached, and any process can continue from there.
// It also sends the scopes that it needs, so that changes that concern few followers
// are not sent to all. A process that started to watch after the follower's revision
// sends the names of all existing keys, and the values only of those that changed.
package changefeed

import (
	"slices"
	"strings"
	"time"
)

// maxTombstones limits how many deleted keys a topic remembers. A follower whose
// revision is older than the oldest of them gets a full update.
const maxTombstones = 4096

// Change is the current state of a key, which may be deleted, with the payload that
// followers get.
type Change[C any] struct {
	Key      string
	Revision int64
	Deleted  bool
	Scope    string // the scope that the key belongs to; empty: every scope
	Payload  C
}

// Interest describes which keys of a topic a follower needs and which revision it has
// reached.
type Interest struct {
	Prefix string
	Only   string   // only keys with this prefix; empty: all keys
	Scopes []string // only keys of these scopes; nil: all scopes
	AsOf   int64    // the follower knows everything up to this revision; 0: it knows nothing
}

// matches reports whether the follower needs a key, given the key's scope now and
// before its last change.
func (i *Interest) matches(key, scope, prevScope string) bool {
	if !strings.HasPrefix(key, i.Only) {
		return false
	}
	return i.Scopes == nil || scope == "" || slices.Contains(i.Scopes, scope) || slices.Contains(i.Scopes, prevScope)
}

// Position identifies a change in one process's sequence of changes: the last one that
// a follower has received from that process.
type Position struct {
	Boot int64 // identifies the run of the process that numbered the changes
	Seq  int64
}

// Topic is the replica of one prefix. It is not safe for concurrent use.
type Topic[C any] struct {
	TTL time.Duration // how long the data may be served after the store's last answer

	boot          int64
	seq           *int64    // number of the last change of any topic; shared by all topics
	completeSince int64     // every change after this revision is known, deletions included; 0: nothing was listed yet
	prunedSeq     int64     // no tombstone after this sequence number was dropped
	asOf          int64     // every change up to this revision has been applied
	syncedAt      time.Time // time of the store's last answer
	keys          map[string]*entry[C]
	log           []logEntry // ordered by seq; superseded entries are skipped
	tombstones    int        // deleted keys that are remembered
}

type entry[C any] struct {
	Change[C]
	seq       int64
	prevScope string // scope before the last change
}

type logEntry struct {
	seq int64
	key string
}

// Topics holds all topics of one process, which share one sequence of changes. It
// is not safe for concurrent use.
type Topics[C any] struct {
	boot   int64
	seq    int64
	byName map[string]*Topic[C]
}

// NewTopics returns an empty set of topics; boot identifies this run of the process.
func NewTopics[C any](boot int64) *Topics[C] {
	return &Topics[C]{boot: boot, byName: map[string]*Topic[C]{}}
}

// Add adds a topic whose data may be served for ttl after the store's last answer.
func (t *Topics[C]) Add(prefix string, ttl time.Duration) {
	t.byName[prefix] = &Topic[C]{TTL: ttl, boot: t.boot, seq: &t.seq, keys: map[string]*entry[C]{}}
}

// Get returns the topic of a prefix, or nil if there is none.
func (t *Topics[C]) Get(prefix string) *Topic[C] { return t.byName[prefix] }

// Position returns the position after all known changes.
func (t *Topics[C]) Position() Position { return Position{Boot: t.boot, Seq: t.seq} }

// RemainingTTL returns how much longer the data of all the interests may be served.
// At 0 or less it may not.
func (t *Topics[C]) RemainingTTL(now time.Time, interests []Interest) time.Duration {
	least := time.Duration(1<<63 - 1)
	for i := range interests {
		topic := t.byName[interests[i].Prefix]
		if topic == nil || topic.completeSince == 0 {
			return 0
		}
		least = min(least, topic.TTL-now.Sub(topic.syncedAt))
	}
	return least
}

// Listed reports whether the topics of all the interests were listed completely.
func (t *Topics[C]) Listed(interests []Interest) bool {
	for i := range interests {
		if topic := t.byName[interests[i].Prefix]; topic == nil || topic.completeSince == 0 {
			return false
		}
	}
	return true
}

// Age returns the time since the store's last answer.
func (t *Topic[C]) Age(now time.Time) time.Duration { return now.Sub(t.syncedAt) }

// Put applies a change.
func (t *Topic[C]) Put(c Change[C]) {
	*t.seq++
	e := t.keys[c.Key]
	if e == nil {
		e = &entry[C]{prevScope: c.Scope}
		t.keys[c.Key] = e
	} else {
		e.prevScope = e.Scope
		if e.Deleted {
			t.tombstones--
		}
	}
	if c.Deleted {
		c.Scope = e.prevScope
		t.tombstones++
	}
	e.Change, e.seq = c, *t.seq
	t.log = append(t.log, logEntry{e.seq, c.Key})
	if len(t.log) > 2*len(t.keys)+maxTombstones {
		t.compact()
	}
	if t.tombstones > maxTombstones {
		t.pruneTombstones()
	}
}

// compact removes superseded entries from the log.
func (t *Topic[C]) compact() {
	t.log = slices.DeleteFunc(t.log, func(l logEntry) bool {
		e := t.keys[l.key]
		return e == nil || e.seq != l.seq
	})
}

// pruneTombstones drops the older half of the deleted keys.
func (t *Topic[C]) pruneTombstones() {
	t.compact()
	t.log = slices.DeleteFunc(t.log, func(l logEntry) bool {
		e := t.keys[l.key]
		if !e.Deleted || t.tombstones <= maxTombstones/2 {
			return false
		}
		t.tombstones--
		t.completeSince, t.prunedSeq = max(t.completeSince, e.Revision), max(t.prunedSeq, l.seq)
		delete(t.keys, l.key)
		return true
	})
}

// MarkListed records that a complete listing as of a revision has been applied.
func (t *Topic[C]) MarkListed(asOf int64) {
	if t.completeSince == 0 {
		t.completeSince = asOf
	}
	t.asOf = max(t.asOf, asOf)
}

// MarkSynced records that the store answered and that every change up to a revision
// has been applied.
func (t *Topic[C]) MarkSynced(now time.Time, asOf int64) {
	t.asOf = max(t.asOf, asOf)
	if now.After(t.syncedAt) {
		t.syncedAt = now
	}
}

// Synced reports whether the store has answered yet.
func (t *Topic[C]) Synced() bool { return !t.syncedAt.IsZero() }

// Update brings a follower up to date.
type Update[C any] struct {
	Full    bool // Changes and Stands cover all existing keys; every other key is deleted
	AsOf    int64
	Changes []C
	Stands  []string // if Full: existing keys that have not changed since the follower's revision
}

// Since returns what changed for a follower since a position. If the position is one in
// the sequence of another process, the follower continues from the revision that it
// reached there.
func (t *Topic[C]) Since(p Position, i *Interest) Update[C] {
	u := Update[C]{AsOf: t.asOf}
	sameBoot := p.Boot == t.boot
	switch {
	case i.AsOf == 0, sameBoot && p.Seq < t.prunedSeq, !sameBoot && i.AsOf < t.completeSince:
		u.Full = true
		t.addExisting(&u, i)
	case sameBoot:
		at, _ := slices.BinarySearchFunc(t.log, p.Seq+1, func(l logEntry, seq int64) int { return int(l.seq - seq) })
		t.addChanges(&u, t.log[at:], 0, i)
	default:
		t.addChanges(&u, t.log, i.AsOf, i)
	}
	return u
}

// addExisting adds all existing keys to an update. If the follower already has the last
// change of a key, only the name of the key is added.
func (t *Topic[C]) addExisting(u *Update[C], i *Interest) {
	for _, l := range t.log {
		e := t.keys[l.key]
		switch {
		case e == nil, e.seq != l.seq, e.Deleted, !i.matches(l.key, e.Scope, ""):
		case e.Revision <= i.AsOf:
			u.Stands = append(u.Stands, l.key)
		default:
			u.Changes = append(u.Changes, e.Payload)
		}
	}
}

// addChanges adds the changes of a part of the log that came after a revision.
func (t *Topic[C]) addChanges(u *Update[C], part []logEntry, after int64, i *Interest) {
	for _, l := range part {
		if e := t.keys[l.key]; e != nil && e.seq == l.seq && e.Revision > after && i.matches(l.key, e.Scope, e.prevScope) {
			u.Changes = append(u.Changes, e.Payload)
		}
	}
}
