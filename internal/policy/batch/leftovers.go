package batch

import (
	"bytes"
	"slices"
	"time"
)

const (
	// leftoverLife is how long the texts of an ended job are kept: its unfinished
	// groups return with the next step, some seconds later.
	leftoverLife = 30 * time.Second
	// mostLeftovers bounds their memory; at 5 kB a text, some 10 MB.
	mostLeftovers = 2000
)

// Leftover is what an ended job had of an item that it did not list.
type Leftover struct {
	body          []byte
	path          string
	text          [][]byte
	lastEvent     int64
	versions      []int64
	eventVersions []int64
	complete      bool
	until         time.Time
}

// Leftovers keeps texts of ended jobs for the jobs in which their items return.
// A step waits for returning groups whatever else is whole, and these are the
// ones with the longest items: going on where the last step stopped saves it
// most of their time. It is not safe for concurrent use.
type Leftovers struct {
	byItem map[string]Leftover
}

// NewLeftovers returns an empty store.
func NewLeftovers() *Leftovers { return &Leftovers{byItem: map[string]Leftover{}} }

// Keep takes over the texts of a job that has ended.
func (l *Leftovers) Keep(now time.Time, j *Job) {
	l.expire(now)
	for i := range j.items {
		it := &j.items[i]
		if it.phase == ended || len(it.text) == 0 || len(l.byItem) >= mostLeftovers {
			continue
		}
		item := &j.Spec.Items[i]
		l.byItem[item.ID] = Leftover{
			body: item.Body, path: item.Path, text: it.text, lastEvent: it.lastEvent, versions: it.versions, eventVersions: it.eventVersions,
			complete: it.phase == written || it.phase == scoring, until: now.Add(leftoverLife),
		}
	}
}

func (l *Leftovers) expire(now time.Time) {
	for id, left := range l.byItem {
		if now.After(left.until) {
			delete(l.byItem, id)
		}
	}
}

// Give hands a new job the texts that fit it, and returns how many.
func (l *Leftovers) Give(now time.Time, j *Job) int {
	given := 0
	for i := range j.items {
		item := &j.Spec.Items[i]
		left, found := l.byItem[item.ID]
		if !found || now.After(left.until) || j.items[i].phase != waiting || j.items[i].lastEvent >= left.lastEvent {
			continue
		}
		delete(l.byItem, item.ID)
		if j.accepts(item, &left) {
			j.resumeFrom(i, &left)
			given++
		}
	}
	return given
}

func (j *Job) accepts(item *Item, left *Leftover) bool {
	if item.Path != left.path || !bytes.Equal(item.Body, left.body) {
		return false
	}
	return j.acceptsVersions(left.versions)
}

// acceptsVersions tells whether a text that these weights generated may be used.
func (j *Job) acceptsVersions(versions []int64) bool {
	if j.Spec.SingleVersion && len(versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(versions, func(v int64) bool { return v < j.Spec.MinVersion })
}

func (j *Job) resumeFrom(i int, left *Leftover) {
	it := &j.items[i]
	it.text, it.lastEvent, it.versions, it.eventVersions = left.text, left.lastEvent, left.versions, left.eventVersions
	j.estimate(i)
	if left.complete {
		j.textComplete(i)
	}
}
