// Package freshness tells of which moment a process's copy of a store's data is known to be
// complete. It performs no I/O and reads no clock.
//
// The moment at which an answer arrives says little: the answer may have been held up by a
// partition, or its reader may have been frozen or suspended. Whoever acts on the absence of data,
// such as a process that denies a request since no route matches, needs a moment that is certain.
package freshness

import "time"

// ConfirmedSince returns the latest moment of which an answer certainly includes all changes. asked
// is when the call was sent, answered when its answer arrived. wait is for how long the other side
// waits for changes before it answers without any, and changed whether the answer has changes.
func ConfirmedSince(asked, answered time.Time, wait time.Duration, changed bool) time.Time {
	if changed || answered.Sub(asked) < wait {
		return asked
	}
	return asked.Add(wait) // it waited for changes until then
}

// Age returns for how long t has passed. The monotonic clock stands still while a machine is
// suspended, and the time of day may be set back, so the longer of the two times counts.
func Age(now, t time.Time) time.Duration { return max(now.Sub(t), now.Round(0).Sub(t.Round(0))) }
