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
	// pingInterval is how often an owner is asked whether it lives.
	pingInterval = 300 * time.Millisecond
	// silenceTimeout is how long an owner is silent before it is taken for lost. One that was
	// killed and is back by then goes on by itself, with all its texts.
	silenceTimeout = 1200 * time.Millisecond
	// minFailedPings is how many calls in a row must have failed besides, as this process may
	// have been the one that stood still.
	minFailedPings = 3
	// indirectFailureTTL is how long it counts that no other process reaches the owner.
	indirectFailureTTL = time.Second
)

// FailureDetector watches the owners of jobs. It is not safe for concurrent use.
type FailureDetector struct {
	owners map[string]*owner
}

type owner struct {
	lastAnswer          time.Time
	lastPing            time.Time // last ping
	failedPings         int       // pings in a row
	lastIndirectFailure time.Time // when others last said that it does not answer them; zero: none did
	lastIndirectPing    time.Time // when others were last asked
}

// NewFailureDetector returns a watch of nobody.
func NewFailureDetector() *FailureDetector { return &FailureDetector{owners: map[string]*owner{}} }

// Retain watches these owners and no others. One that is new counts as heard now.
func (w *FailureDetector) Retain(now time.Time, names []string) {
	maps.DeleteFunc(w.owners, func(name string, _ *owner) bool { return !slices.Contains(names, name) })
	for _, name := range names {
		if w.owners[name] == nil {
			w.owners[name] = &owner{lastAnswer: now, lastPing: now}
		}
	}
}

// DuePings returns the owners that are to be asked now, and notes that they were.
func (w *FailureDetector) DuePings(now time.Time) []string {
	return w.due(func(o *owner) bool {
		if now.Sub(o.lastPing) < pingInterval {
			return false
		}
		o.lastPing = now
		return true
	})
}

// DueIndirectPings returns the owners about which others are to be asked now, and notes that they
// were.
func (w *FailureDetector) DueIndirectPings(now time.Time) []string {
	return w.due(func(o *owner) bool {
		if !o.silent(now) || now.Sub(o.lastIndirectPing) < pingInterval {
			return false
		}
		o.lastIndirectPing = now
		return true
	})
}

func (w *FailureDetector) due(is func(*owner) bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(w.owners)) {
		if is(w.owners[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (o *owner) silent(now time.Time) bool {
	return now.Sub(o.lastAnswer) >= silenceTimeout && o.failedPings >= minFailedPings
}

// RecordContact notes that an owner answered this process, or another one.
func (w *FailureDetector) RecordContact(now time.Time, name string) {
	if o := w.owners[name]; o != nil {
		o.lastAnswer, o.failedPings, o.lastIndirectFailure = now, 0, time.Time{}
	}
}

// RecordFailure notes that an owner did not answer a ping.
func (w *FailureDetector) RecordFailure(name string) {
	if o := w.owners[name]; o != nil {
		o.failedPings++
	}
}

// RecordIndirectFailure notes that another process answered that the owner does not answer it
// either. Without such a word it may be this process that reaches nobody.
func (w *FailureDetector) RecordIndirectFailure(now time.Time, name string) {
	if o := w.owners[name]; o != nil {
		o.lastIndirectFailure = now
	}
}

// Lost tells whether an owner is lost.
func (w *FailureDetector) Lost(now time.Time, name string) bool {
	o := w.owners[name]
	return o != nil && o.silent(now) && !o.lastIndirectFailure.IsZero() && now.Sub(o.lastIndirectFailure) < indirectFailureTTL
}
