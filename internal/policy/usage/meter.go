package usage

import (
	"maps"
	"time"
)

// Tally holds what one process has counted in a window since its start.
type Tally struct {
	Window Window
	Counts Counts
}

// Update carries counts of one process. Its tallies are cumulative, so that an update can
// be sent again and one that arrives out of order changes nothing.
type Update struct {
	Process string
	Boot    int64  // start of the process in Unix nanoseconds
	Through Window // counts of this window and of those before it are final
	Tallies []Tally
}

// Meter counts the requests of one process. It is not safe for concurrent use.
type Meter struct {
	config  Config
	version int64
	tallies map[Window]map[string]*count // by customer
	open    map[Window]int               // number of requests in flight by the window of their arrival
	through Window                       // counts of this window and of those before it are final
}

type count struct {
	n       int64
	changed int64 // version of the last change
}

// NewMeter returns the meter of a process that starts now.
func NewMeter(config Config, now time.Time) *Meter {
	return &Meter{config: config, tallies: map[Window]map[string]*count{}, open: map[Window]int{}, through: config.WindowAt(now) - 1}
}

// Enter records the arrival of a request and returns the window of the arrival. That
// window and all later ones stay open until Leave is called with it.
func (m *Meter) Enter(now time.Time) Window {
	w := m.config.WindowAt(now)
	m.open[w]++
	return w
}

// CountStart counts a request that an endpoint started to run.
func (m *Meter) CountStart(customer string, at time.Time) {
	w := m.config.WindowAt(at)
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

// Leave records the end of a request that arrived in the given window.
func (m *Meter) Leave(entered Window) {
	m.open[entered]--
	if m.open[entered] <= 0 {
		delete(m.open, entered)
	}
}

// FinalThrough returns the last window whose counts are final: the window has ended, and
// no request in flight may have started in it.
func (m *Meter) FinalThrough(now time.Time) Window {
	last := m.config.WindowAt(now) - 1
	for w := range m.open {
		last = min(last, w-1)
	}
	if last > m.through {
		m.through = last
		m.version++
		maps.DeleteFunc(m.tallies, func(w Window, _ map[string]*count) bool { return last-w > m.config.RetainedWindows() })
	}
	return m.through
}

// Version returns the version of the counts, which grows with each change. A receiver
// that has the counts of a version needs no update until it grows.
func (m *Meter) Version() int64 { return m.version }

// Since returns the cumulative counts that changed after a version; 0 returns all that
// are retained.
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
