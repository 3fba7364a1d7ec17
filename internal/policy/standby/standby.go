// Package standby decides when a process that stands by for the jobs of another takes
// them for its own. It does no input or output and keeps no time.
//
// The load that it answers: an owner is lost while a step of its trainer is half done.
// Its registration lapses seconds later, and more if the store is away meanwhile, and a
// step has only a few seconds to spare. But an owner that answers nobody here may be well
// elsewhere: a second owner beside it would run its items twice. So the standby asks the
// owner itself, and then others whether it answers them.
package standby

import (
	"maps"
	"slices"
	"time"
)

const (
	// pingEvery is how often an owner is asked whether it lives.
	pingEvery = 300 * time.Millisecond
	// lostAfter is how long an owner is silent before it is taken for lost. One that was
	// killed and is back by then goes on by itself, with all its texts.
	lostAfter = 1200 * time.Millisecond
	// leastPings is how many calls in a row must have failed besides, as this process may
	// have been the one that stood still.
	leastPings = 3
	// verdictFor is how long it counts that no other process reaches the owner.
	verdictFor = time.Second
)

// Watch watches the owners of jobs. It is not safe for concurrent use.
type Watch struct {
	owners map[string]*owner
}

type owner struct {
	heard   time.Time
	asked   time.Time // last ping
	failed  int       // pings in a row
	alone   time.Time // when others last said that it does not answer them; zero: none did
	witness time.Time // when others were last asked
}

// NewWatch returns a watch of nobody.
func NewWatch() *Watch { return &Watch{owners: map[string]*owner{}} }

// Keep watches these owners and no others. One that is new counts as heard now.
func (w *Watch) Keep(now time.Time, names []string) {
	maps.DeleteFunc(w.owners, func(name string, _ *owner) bool { return !slices.Contains(names, name) })
	for _, name := range names {
		if w.owners[name] == nil {
			w.owners[name] = &owner{heard: now, asked: now}
		}
	}
}

// Pings returns the owners that are to be asked now, and notes that they were.
func (w *Watch) Pings(now time.Time) []string {
	return w.due(func(o *owner) bool {
		if now.Sub(o.asked) < pingEvery {
			return false
		}
		o.asked = now
		return true
	})
}

// Doubts returns the owners about which others are to be asked now, and notes that they
// were.
func (w *Watch) Doubts(now time.Time) []string {
	return w.due(func(o *owner) bool {
		if !o.silent(now) || now.Sub(o.witness) < pingEvery {
			return false
		}
		o.witness = now
		return true
	})
}

func (w *Watch) due(is func(*owner) bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(w.owners)) {
		if is(w.owners[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (o *owner) silent(now time.Time) bool {
	return now.Sub(o.heard) >= lostAfter && o.failed >= leastPings
}

// Heard notes that an owner answered this process, or another one.
func (w *Watch) Heard(now time.Time, name string) {
	if o := w.owners[name]; o != nil {
		o.heard, o.failed, o.alone = now, 0, time.Time{}
	}
}

// Failed notes that an owner did not answer a ping.
func (w *Watch) Failed(name string) {
	if o := w.owners[name]; o != nil {
		o.failed++
	}
}

// Unreached notes that another process answered that the owner does not answer it
// either. Without such a word it may be this process that reaches nobody.
func (w *Watch) Unreached(now time.Time, name string) {
	if o := w.owners[name]; o != nil {
		o.alone = now
	}
}

// Lost tells whether an owner is lost.
func (w *Watch) Lost(now time.Time, name string) bool {
	o := w.owners[name]
	return o != nil && o.silent(now) && !o.alone.IsZero() && now.Sub(o.alone) < verdictFor
}
