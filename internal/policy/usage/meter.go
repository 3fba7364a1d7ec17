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
type Update struct {
	Process string
	Boot    int64  // Unix nanoseconds of the process's start
	Through Window // counts of this window and of those before it are final
	Tallies []Tally
}

// Meter counts one process's requests. It is not safe for concurrent use.
type Meter struct {
	rules   Config
	version int64
	tallies map[Window]map[string]*count // by customer
	open    map[Window]int               // requests under way by the window in which they came
	through Window
}

type count struct {
	n       int64
	changed int64 // version of the last change
}

// NewMeter returns a meter of a process that starts now.
func NewMeter(rules Config, now time.Time) *Meter {
	return &Meter{rules: rules, tallies: map[Window]map[string]*count{}, open: map[Window]int{}, through: rules.WindowAt(now) - 1}
}

// Enter notes that a request came. Its window, and those after it, stay open until it
// leaves.
func (m *Meter) Enter(now time.Time) Window {
	w := m.rules.WindowAt(now)
	m.open[w]++
	return w
}

// Began counts a request that an endpoint began to run.
func (m *Meter) CountStart(customer string, at time.Time) {
	w := m.rules.WindowAt(at)
	if m.tallies[w] == nil {
		m.tallies[w] = map[string]*count{}
	}
	c := m.tallies[w][customer]
	if c == nil {
		c = &count{}
		m.tallies[w][customer] = c
	}
	m.version++
	c.n++
	c.changed = m.version
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
func (m *Meter) FinalThrough(now time.Time) Window {
	last := m.rules.WindowAt(now) - 1
	for w := range m.open {
		last = min(last, w-1)
	}
	if last > m.through {
		m.through = last
		m.version++
		maps.DeleteFunc(m.tallies, func(w Window, _ map[string]*count) bool { return last-w > m.rules.RetainedWindows() })
	}
	return m.through
}

// Version grows with each change. Who was told of one needs no more until it grows.
func (m *Meter) Version() int64 { return m.version }

// Since returns the sums that changed after a version; after 0 all that are kept.
func (m *Meter) Since(version int64) []Tally {
	var changed []Tally
	for w, customers := range m.tallies {
		counts := Counts{}
		for customer, c := range customers {
			if c.changed > version {
				counts[customer] = c.n
			}
		}
		if len(counts) > 0 {
			changed = append(changed, Tally{Window: w, Counts: counts})
		}
	}
	return changed
}
