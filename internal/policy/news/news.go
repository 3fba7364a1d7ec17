// Package news keeps what a process knows of a prefix of a shared store, for
// others that take it up from there. It does no input or output and keeps no time.
//
// The load that it answers: hundreds of processes follow a list of thousands of
// endpoints through a few that watch the store. When one of these few is slow
// or gone, all its followers turn to another one at once. If each of them then
// needs the whole list, the answers take longer than the followers wait, who turn
// away again, and nobody hears of anything. So a follower says how far it has
// come, in the store's own revisions, and any process goes on from there; and it
// says which part it needs, so that what concerns few is not sent to all. A process
// that began to watch later than that names the keys that stand, and sends of them
// what has changed.
package news

import (
	"slices"
	"strings"
	"time"
)

// mostGone bounds what is remembered of keys that went. Who comes from before the
// oldest of them gets everything anew.
const mostGone = 4096

// Change is a key as it stands, or that went, with what is passed on of it.
type Change[C any] struct {
	Key      string
	Revision int64
	Deleted  bool
	Scope    string // the part that the key belongs to; empty: all of them
	Payload  C
}

// Interest says what a follower needs of a topic, and how far it has come.
type Interest struct {
	Prefix string
	Only   string   // keys with this prefix; empty: all
	Scopes []string // keys of these parts; nil: all
	AsOf   int64    // revision up to which it knows everything; 0: nothing yet
}

func (i *Interest) wants(key, scope, before string) bool {
	if !strings.HasPrefix(key, i.Only) {
		return false
	}
	return i.Scopes == nil || scope == "" || slices.Contains(i.Scopes, scope) || slices.Contains(i.Scopes, before)
}

// Position is how far a follower has come with one process's numbering.
type Position struct {
	Boot int64 // names the numbering
	Seq  int64
}

// Topic is what is known of one prefix. It is not safe for concurrent use.
type Topic[C any] struct {
	TTL time.Duration // how long the store's last word may be passed on

	boot  int64
	seq   *int64 // of the last change of any topic
	since int64  // every later change is known, removals too; 0: nothing was listed yet
	kept  int64  // seq after which no removal was forgotten
	asOf  int64
	heard time.Time
	keys  map[string]*entry[C]
	log   []logged // in the order of seq; superseded ones are passed over
	gone  int      // keys that went and are remembered
}

type entry[C any] struct {
	Change[C]
	seq    int64
	before string // scope before the last change
}

type logged struct {
	seq int64
	key string
}

// Topics are all topics of one process, under one numbering. They are not safe for
// concurrent use.
type Topics[C any] struct {
	boot   int64
	seq    int64
	byName map[string]*Topic[C]
}

// NewTopics returns no topics; boot names the process's numbering.
func NewTopics[C any](boot int64) *Topics[C] {
	return &Topics[C]{boot: boot, byName: map[string]*Topic[C]{}}
}

// Carry adds a topic whose last word from the store may be passed on for so long.
func (t *Topics[C]) Add(prefix string, lasting time.Duration) {
	t.byName[prefix] = &Topic[C]{TTL: lasting, boot: t.boot, seq: &t.seq, keys: map[string]*entry[C]{}}
}

// Get returns a topic, or nil.
func (t *Topics[C]) Get(prefix string) *Topic[C] { return t.byName[prefix] }

// Now returns the position after everything that is known.
func (t *Topics[C]) Position() Position { return Position{Boot: t.boot, Seq: t.seq} }

// FreshFor returns how long what is known of all the interests may yet be passed
// on; 0 or less: it may not.
func (t *Topics[C]) RemainingTTL(now time.Time, interests []Interest) time.Duration {
	least := time.Duration(1<<63 - 1)
	for i := range interests {
		topic := t.byName[interests[i].Prefix]
		if topic == nil || topic.since == 0 {
			return 0
		}
		least = min(least, topic.TTL-now.Sub(topic.heard))
	}
	return least
}

// Put takes in a change.
func (t *Topic[C]) Put(c Change[C]) {
	*t.seq++
	e := t.keys[c.Key]
	if e == nil {
		e = &entry[C]{before: c.Scope}
		t.keys[c.Key] = e
	} else {
		e.before = e.Scope
		if e.Deleted {
			t.gone--
		}
	}
	if c.Deleted {
		c.Scope = e.before
		t.gone++
	}
	e.Change, e.seq = c, *t.seq
	t.log = append(t.log, logged{e.seq, c.Key})
	if len(t.log) > 2*len(t.keys)+mostGone {
		t.compact()
	}
	if t.gone > mostGone {
		t.forgetGone()
	}
}

// compact takes out what later changes superseded.
func (t *Topic[C]) compact() {
	t.log = slices.DeleteFunc(t.log, func(l logged) bool {
		e := t.keys[l.key]
		return e == nil || e.seq != l.seq
	})
}

// forgetGone forgets the older half of the keys that went.
func (t *Topic[C]) forgetGone() {
	t.compact()
	t.log = slices.DeleteFunc(t.log, func(l logged) bool {
		e := t.keys[l.key]
		if !e.Deleted || t.gone <= mostGone/2 {
			return false
		}
		t.gone--
		t.since, t.kept = max(t.since, e.Revision), max(t.kept, l.seq)
		delete(t.keys, l.key)
		return true
	})
}

// Listed notes that a whole listing was taken in.
func (t *Topic[C]) MarkListed(asOf int64) {
	if t.since == 0 {
		t.since = asOf
	}
	t.asOf = max(t.asOf, asOf)
}

// Heard notes that the store answered and everything up to a revision was taken in.
func (t *Topic[C]) MarkSynced(now time.Time, asOf int64) {
	t.asOf = max(t.asOf, asOf)
	t.heard = now
}

// News are what a follower needs to know.
type Update[C any] struct {
	Full    bool // Changes and Stands are all keys that stand; others have gone
	AsOf    int64
	Changes []C
	Stands  []string // keys that are as the follower knows them, if Full
}

// After returns what changed for a follower since a position. One that comes from
// another process goes on from the revision that it had reached.
func (t *Topic[C]) Since(p Position, i *Interest) Update[C] {
	n := Update[C]{AsOf: t.asOf}
	same := p.Boot == t.boot
	switch {
	case i.AsOf == 0, same && p.Seq < t.kept, !same && i.AsOf < t.since:
		n.Full = true
		t.standing(&n, i)
	case same:
		at, _ := slices.BinarySearchFunc(t.log, p.Seq+1, func(l logged, seq int64) int { return int(l.seq - seq) })
		t.changed(&n, t.log[at:], 0, i)
	default:
		t.changed(&n, t.log, i.AsOf, i)
	}
	return n
}

// standing adds what stands: by its key alone what the follower has come past.
func (t *Topic[C]) standing(n *Update[C], i *Interest) {
	for _, l := range t.log {
		e := t.keys[l.key]
		switch {
		case e == nil, e.seq != l.seq, e.Deleted, !i.wants(l.key, e.Scope, ""):
		case e.Revision <= i.AsOf:
			n.Stands = append(n.Stands, l.key)
		default:
			n.Changes = append(n.Changes, e.Payload)
		}
	}
}

// changed adds what the part of the log says of keys changed after a revision.
func (t *Topic[C]) changed(n *Update[C], part []logged, after int64, i *Interest) {
	for _, l := range part {
		if e := t.keys[l.key]; e != nil && e.seq == l.seq && e.Revision > after && i.wants(l.key, e.Scope, e.before) {
			n.Changes = append(n.Changes, e.Payload)
		}
	}
}
