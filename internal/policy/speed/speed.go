// Package speed learns how long the endpoints of a service take for a unit of work: one event
// of a text at a model engine, one request at a plain service.
//
// It addresses deployments whose engines are of different kinds, for example 11 engines that
// take 26 ms per event beside 33 that take 55 ms, while 15 % of the intervals of 600 ms are
// 2.5 times slower at any engine. A moving average cannot tell such noise from the kind of
// the engine: one interval has more units than the average remembers. The package therefore
// keeps one sample per interval and uses a low quantile of them, because noise only makes an
// endpoint slower. Changes by more than noise can cause are recognised at once.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// unevenFactor is by how much an endpoint must be faster than the median to count as
	// faster; smaller differences occur between single requests.
	unevenFactor = 1.3
	// evenFactor is the factor below which an endpoint no longer counts as faster. It is
	// lower than unevenFactor, so that small changes of an estimate do not make the result
	// of Uneven oscillate.
	evenFactor = 1.15
	// minUnevenEndpoints is the number of endpoints whose lasting speed must be known before
	// the speeds of a service count as uneven. Of two, none is typical.
	minUnevenEndpoints = 3
	// fasterDivisor sets how many endpoints must be faster: one in twenty, at least one. A
	// few that were measured wrongly in a large fleet don't count.
	fasterDivisor = 20
	// refreshDivisor sets how often values over all endpoints are computed again: after more
	// observations than the number of endpoints divided by it.
	refreshDivisor = 16
	// MaxSeconds is the largest accepted duration of a unit.
	MaxSeconds = 600.0
	// MaxUnits is the largest accepted number of units of an observation or a report.
	MaxUnits = 1 << 30
	// maxOthers is the largest accepted number of concurrent requests.
	maxOthers = 1e5
	// maxEndpoints limits the number of endpoints known only from reports.
	maxEndpoints = 8192
)

// Key identifies one incarnation of an endpoint. An endpoint that was restarted under the
// same ID is learned anew.
type Key struct {
	Endpoint        string
	StartedAtMillis int64
}

// Observation is the measured duration of units at an endpoint.
type Observation struct {
	Key     Key
	At      time.Time
	Seconds float64 // mean per unit
	Units   int
	Others  float64 // mean number of other concurrent requests at the endpoint
}

// Estimate is the duration of a unit of a request alone at the endpoint.
type Estimate struct {
	Seconds float64
	Units   int       // number of units it is based on; 0: not observed, and Seconds is the median
	At      time.Time // time of the last observation
}

// Change is a detected change of an endpoint's speed that noise cannot explain.
type Change struct {
	Key           Key
	Before, After float64 // seconds per unit of a request alone
}

// maxChanges is the number of changes kept until they are taken.
const maxChanges = 64

// Model holds the speeds of the endpoints of one service.
type Model struct {
	// DefaultSlope is the slope assumed until it is learned.
	DefaultSlope float64

	endpoints map[Key]*Endpoint
	slope     slope
	changes   []Change
	purgedAt  time.Time

	stale           int     // observations since the values below were computed
	computed        bool    // whether they were computed at all
	median          float64 // of the endpoints' seconds
	uneven          bool
	currentSlope    float64
	estimationSlope float64 // slope with which the estimates were computed
	values          []float64
}

// defaultSlope makes a request in a full batch of 16 a third slower than one alone, as
// measured at the engines of the first deployments.
const defaultSlope = 0.35 / 16

// NewModel returns a Model without observations.
func NewModel() *Model {
	return &Model{DefaultSlope: defaultSlope, endpoints: map[Key]*Endpoint{}}
}

// Track returns the endpoint with the key, which it adds if it is unknown. The pointer stays
// valid until Forget is called.
func (m *Model) Track(k Key) *Endpoint {
	e := m.endpoints[k]
	if e == nil {
		e = &Endpoint{model: m, key: k}
		m.endpoints[k] = e
		m.invalidate()
	}
	e.tracked = true
	return e
}

// Forget removes an endpoint.
func (m *Model) Forget(k Key) {
	delete(m.endpoints, k)
	m.invalidate()
}

func (m *Model) invalidate() { m.computed = false }

// Observe records an observation. One with a value out of range is ignored.
func (m *Model) Observe(o Observation) {
	if !validSeconds(o.Seconds) || o.Units <= 0 || o.Units > MaxUnits || !(o.Others >= 0 && o.Others <= maxOthers) || o.Key.Endpoint == "" {
		return
	}
	m.purge(o.At)
	if !m.computed {
		m.refresh()
	}
	m.Track(o.Key).observe(&o)
	m.stale++
}

func validSeconds(s float64) bool { return s > 0 && s <= MaxSeconds }

// Estimate returns what is known of an endpoint's speed.
func (m *Model) Estimate(k Key) Estimate {
	if e := m.endpoints[k]; e != nil {
		return e.Estimate()
	}
	return Estimate{Seconds: m.Median()}
}

// UnitSeconds returns the expected seconds per unit of a request at the endpoint beside
// others concurrent requests, 0 if no speed is known.
func (m *Model) UnitSeconds(k Key, others float64) float64 {
	return m.Estimate(k).Seconds * (1 + m.Slope()*others)
}

// Slope returns the fraction by which one more concurrent request lengthens a unit.
func (m *Model) Slope() float64 {
	m.refresh()
	return m.currentSlope
}

// Median returns the lower median of the known endpoints' seconds per unit, 0 if none is
// known.
func (m *Model) Median() float64 {
	m.refresh()
	return m.median
}

// Uneven reports whether some endpoints are lastingly faster than the median by more than
// 1.3 times. It does not depend on temporary slowness.
func (m *Model) Uneven() bool {
	m.refresh()
	return m.uneven
}

// Observed reports whether the model has any estimate.
func (m *Model) Observed() bool { return m.Median() > 0 }

// TakeChanges returns the changes detected since the last call, the oldest first; if there
// were more than 64, only the first 64.
func (m *Model) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

func (m *Model) addChange(c Change) {
	m.invalidate()
	if len(m.changes) < maxChanges {
		m.changes = append(m.changes, c)
	}
}

// refresh computes the values over all endpoints again if there are enough new observations.
// Doing so for each choice would take most of its time with more than a thousand endpoints.
func (m *Model) refresh() {
	if m.computed && m.stale <= len(m.endpoints)/refreshDivisor {
		return
	}
	m.computed, m.stale = true, 0
	m.currentSlope = m.slope.value(m.DefaultSlope)
	m.applySlope()
	m.values = m.values[:0]
	for _, e := range m.endpoints {
		if e.seconds > 0 {
			m.values = append(m.values, e.seconds)
		}
	}
	m.median = 0
	if n := len(m.values); n > 0 {
		slices.Sort(m.values)
		m.median = m.values[(n-1)/2]
	}
	m.uneven = m.isUneven()
}

// slopeTolerance is the relative change of 1 + slope*16 above which estimates are computed
// again.
const slopeTolerance = 0.01

// applySlope computes the endpoints' estimates again if the slope has changed noticeably.
func (m *Model) applySlope() {
	slope := m.currentSlope
	if math.Abs(slope-m.estimationSlope)*16 < slopeTolerance {
		return
	}
	m.estimationSlope = slope
	for _, e := range m.endpoints {
		e.update(e.last)
	}
}

func (m *Model) isUneven() bool {
	m.values = m.values[:0]
	for _, e := range m.endpoints {
		if e.lasting > 0 {
			m.values = append(m.values, e.lasting)
		}
	}
	n := len(m.values)
	if n < minUnevenEndpoints {
		return m.uneven && n > 0
	}
	slices.Sort(m.values)
	factor := unevenFactor
	if m.uneven {
		factor = evenFactor
	}
	// The upper median, so that one half of the endpoints may be the faster ones.
	limit := m.values[n/2] / factor
	faster, _ := slices.BinarySearch(m.values, limit)
	return faster >= max(1, n/fasterDivisor)
}
