// Package crashfeed holds the reports about endpoints that ended under requests that one process
// passes on to others without the store. It performs no I/O and reads no clock.
//
// The load it answers: a request crashes each endpoint that runs it, and its caller sends it again
// to other processes within milliseconds, while the store is down, slow or cut off. A process that
// lacks the reports of the others sends it to further endpoints, until a service of nineteen has
// none left.
//
// A report has two states, and the second one is final. So reports may arrive in any order, more than
// once and by several ways, and all processes reach the same state.
package crashfeed

import (
	"slices"

	"siskinloom.example/siskinloom/internal/policy/changefeed"
)

// Entry is the state of one report. R is the type of the report.
type Entry[R any] struct {
	Key       string // of the report in the store
	At        int64  // end of the endpoint, Unix milliseconds
	Report    R      // not set if it is withdrawn
	Withdrawn bool   // the report no longer counts
}

// numbered is an entry with its number in the sequence of a process.
type numbered[R any] struct {
	seq   int64
	entry Entry[R]
}

// Log holds the newest state of reports, in the order in which this process received them. It is not
// safe for concurrent use.
type Log[R any] struct {
	boot       int64
	seq        int64
	maxEntries int
	// droppedAt is the time of the newest entry that was dropped. Older ones are not taken again:
	// two logs that are full would send each other what the other one has dropped for ever.
	droppedAt int64
	byKey     map[string]*numbered[R]
	inOrder   []*numbered[R] // by seq
}

// NewLog returns an empty log of at most maxEntries reports. boot identifies this run of the process.
func NewLog[R any](boot int64, maxEntries int) *Log[R] {
	return &Log[R]{boot: boot, maxEntries: maxEntries, byKey: map[string]*numbered[R]{}}
}

// Supersedes reports whether the entry is newer than what the log holds of its report.
func (l *Log[R]) Supersedes(e Entry[R]) bool {
	known := l.byKey[e.Key]
	if known == nil {
		return e.At > l.droppedAt
	}
	return e.Withdrawn && !known.entry.Withdrawn
}

// IsWithdrawn reports whether the log holds that a report no longer counts.
func (l *Log[R]) IsWithdrawn(key string) bool {
	known := l.byKey[key]
	return known != nil && known.entry.Withdrawn
}

// Put adds an entry and reports whether it supersedes what the log held. The entry of the earliest end
// is dropped if there are too many.
func (l *Log[R]) Put(e Entry[R]) bool {
	if !l.Supersedes(e) {
		return false
	}
	if known := l.byKey[e.Key]; known != nil {
		l.inOrder = slices.DeleteFunc(l.inOrder, func(n *numbered[R]) bool { return n == known })
	}
	l.seq++
	added := &numbered[R]{l.seq, e}
	l.byKey[e.Key] = added
	l.inOrder = append(l.inOrder, added)
	if len(l.inOrder) > l.maxEntries {
		l.dropEarliest()
	}
	return true
}

func (l *Log[R]) dropEarliest() {
	earliest := 0
	for i, n := range l.inOrder {
		if n.entry.At < l.inOrder[earliest].entry.At {
			earliest = i
		}
	}
	dropped := l.inOrder[earliest].entry
	l.droppedAt = max(l.droppedAt, dropped.At)
	delete(l.byKey, dropped.Key)
	l.inOrder = slices.Delete(l.inOrder, earliest, earliest+1)
}

// Since returns at most limit entries after a position, and the position after them. A position of
// another process, or of an earlier run of this one, stands for the beginning.
func (l *Log[R]) Since(p changefeed.Position, limit int) ([]Entry[R], changefeed.Position) {
	if p.Boot != l.boot {
		p = changefeed.Position{Boot: l.boot}
	}
	first, _ := slices.BinarySearchFunc(l.inOrder, p.Seq+1, func(n *numbered[R], seq int64) int { return int(n.seq - seq) })
	var entries []Entry[R]
	for _, n := range l.inOrder[first:min(len(l.inOrder), first+limit)] {
		entries = append(entries, n.entry)
		p.Seq = n.seq
	}
	return entries, p
}
