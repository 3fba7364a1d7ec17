package usage

import (
	"maps"
	"time"
)

// Tally is what one process counted in a window since its start.
type Tally struct {
	Window Window
	Counts Counts
}

// Telling is what a process tells of its counts. Tallies are sums, so that one may be
// told again, and one that was overtaken changes nothing.
type Telling struct {
	Process string
	Boot    int64  // Unix nanoseconds of the process's start
	Through Window // counts of this window and of those before it are final
	Tallies []Tally
}

// Meter counts one process's requests. It is not safe for concurrent use.
type Meter struct {
	rules   Rules
	version int64
	tallies map[Window]*tally
	open    map[Window]int // requests under way by the window in which they came
	through Window
}

type tally struct {
	counts  Counts
	changed int64 // version of the last change
}

// NewMeter returns a meter of a process that starts now.
func NewMeter(rules Rules, now time.Time) *Meter {
	return &Meter{rules: rules, tallies: map[Window]*tally{}, open: map[Window]int{}, through: rules.At(now) - 1}
}

// Enter notes that a request came. Its window, and those after it, stay open until it
// leaves.
func (m *Meter) Enter(now time.Time) Window {
	w := m.rules.At(now)
	m.open[w]++
	return w
}

// Began counts a request that an endpoint began to run.
func (m *Meter) Began(customer string, at time.Time) {
	w := m.rules.At(at)
	t := m.tallies[w]
	if t == nil {
		t = &tally{counts: Counts{}}
		m.tallies[w] = t
	}
	m.version++
	t.counts[customer]++
	t.changed = m.version
}

// Leave notes that a request that came in a window is over.
func (m *Meter) Leave(entered Window) {
	m.open[entered]--
	if m.open[entered] <= 0 {
		delete(m.open, entered)
	}
}

// Through returns the last window whose counts are final: it is over, and no request
// is under way that may have begun in it.
func (m *Meter) Through(now time.Time) Window {
	last := m.rules.At(now) - 1
	for w := range m.open {
		last = min(last, w-1)
	}
	if last > m.through {
		m.through = last
		m.version++
		maps.DeleteFunc(m.tallies, func(w Window, _ *tally) bool { return last-w > m.rules.Kept() })
	}
	return m.through
}

// Version grows with each change. Who was told of one needs no more until it grows.
func (m *Meter) Version() int64 { return m.version }

// Since returns what changed after a version; after 0 everything that is kept.
func (m *Meter) Since(version int64) []Tally {
	var changed []Tally
	for w, t := range m.tallies {
		if t.changed > version {
			changed = append(changed, Tally{Window: w, Counts: maps.Clone(t.counts)})
		}
	}
	return changed
}
