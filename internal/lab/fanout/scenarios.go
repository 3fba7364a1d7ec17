package fanout

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/seeds"
)

const (
	// applyBound is how long after its declaration a change must be in force at each process
	// that was not disturbed for contactBound.
	applyBound   = 5 * time.Second
	contactBound = 6 * time.Second
	settleTime   = 12 * time.Second // from the start of all to the first fault
	faultTime    = 12 * time.Second // in which faults begin
	drainTime    = 10 * time.Second // after the last fault
	lossSeeds    = 2000
	cutShare     = 0.35
	cutTime      = 9 * time.Second
)

// StartFigures describes a restart of all processes.
type StartFigures struct {
	Median, Last    time.Duration // from the restart to complete data
	CallsPerProcess float64       // to the store
	BytesPerProcess float64       // sent by the store
}

// Restart kills and restarts all processes of a fleet. If direct is set, each process lists
// everything from the store itself.
func Restart(processes int, direct bool, seed uint64) StartFigures {
	m := newModel(processes, seed)
	m.direct = direct
	began := m.t.Now()
	m.startAll()
	const limit = time.Minute
	m.t.Run(limit, func() bool {
		return !slices.ContainsFunc(m.processes, func(p *process) bool { return p.readyAt.IsZero() })
	})
	var ready []time.Duration
	for _, p := range m.processes {
		if p.readyAt.IsZero() {
			ready = append(ready, limit)
		} else {
			ready = append(ready, p.readyAt.Sub(began))
		}
	}
	slices.Sort(ready)
	return StartFigures{
		Median: ready[len(ready)/2], Last: ready[len(ready)-1],
		CallsPerProcess: float64(m.Calls) / 10 / float64(processes), BytesPerProcess: m.Bytes / float64(processes),
	}
}

// LossFigures describes a time in which a share of the processes, both roots among them, is cut
// off from the store.
type LossFigures struct {
	MostPerSecond float64 // calls to the store in the busiest second
	Misses        int     // declarations that reached an undisturbed process too late
	Checks        int
}

// CutShare cuts a third of a fleet and both roots off from the store while declarations change.
func CutShare(processes int, seed uint64) LossFigures {
	m := newModel(processes, seed)
	m.startAll()
	m.declareUntil(settleTime + cutTime + drainTime)
	m.t.Run(settleTime, never)
	clear(m.perSecond)
	for _, p := range m.processes {
		if slices.Contains(m.roots, p) || m.faults.Float64() < cutShare {
			m.cutStore(p, cutTime)
		}
	}
	m.t.Run(cutTime+drainTime, never)
	return m.lossFigures()
}

// RandomLosses plays a seeded schedule of kills, pauses and cuts of roots, relays, failure domains
// and shares of a fleet.
func RandomLosses(processes int, seed uint64) LossFigures {
	m := newModel(processes, seed)
	m.startAll()
	m.declareUntil(settleTime + faultTime + drainTime)
	m.t.Run(settleTime, never)
	clear(m.perSecond)
	for range 1 + m.faults.IntN(4) {
		m.t.After(time.Duration(m.faults.Float64()*float64(faultTime)), m.randomFault)
	}
	m.t.Run(faultTime+drainTime, never)
	return m.lossFigures()
}

func never() bool { return false }

func (m *Model) lossFigures() LossFigures {
	most := 0
	for _, tenths := range m.perSecond {
		most = max(most, tenths)
	}
	return LossFigures{MostPerSecond: float64(most) / 10, Misses: m.Misses, Checks: m.Checks}
}

// declareUntil changes the declaration at random times, and checks each change applyBound later.
func (m *Model) declareUntil(end time.Duration) {
	for at := settleTime; at < end-applyBound-time.Second; at += time.Duration(500+m.faults.IntN(2500)) * time.Millisecond {
		m.t.After(at, func() {
			m.version++
			version := m.version
			m.t.After(applyBound, func() { m.check(version) })
		})
	}
}

// check counts the undisturbed processes that do not know a version.
func (m *Model) check(version int) {
	now := m.t.Now()
	for _, p := range m.processes {
		if !p.up || !p.reachesStore() || now.Sub(p.disturbedAt) < contactBound {
			continue
		}
		m.Checks++
		if p.version < version {
			m.Misses++
		}
	}
}

// cutStore cuts a process off from the store for a time.
func (m *Model) cutStore(p *process, d time.Duration) {
	p.cut = true
	m.disturb(p)
	m.t.After(d, func() {
		p.cut = false
		m.disturb(p)
	})
}

// isolate cuts a process off from everything for a time.
func (m *Model) isolate(p *process, d time.Duration) {
	p.isolated = true
	m.disturb(p)
	m.t.After(d, func() {
		p.isolated = false
		m.disturb(p)
	})
}

// pause stops a process for a time.
func (m *Model) pause(p *process, d time.Duration) {
	p.paused = true
	m.disturb(p)
	m.t.After(d, func() {
		p.paused = false
		m.disturb(p)
	})
}

// restart kills a process and starts it after a time.
func (m *Model) restart(p *process, d time.Duration) {
	if p.up {
		m.kill(p)
		m.start(p, d)
	}
}

// randomFault applies one fault to a random group of processes.
func (m *Model) randomFault() {
	d := time.Duration(500+m.faults.IntN(6000)) * time.Millisecond
	faults := []func(*process, time.Duration){m.cutStore, m.isolate, m.pause, m.restart}
	fault := faults[m.faults.IntN(len(faults))]
	var group []*process
	switch m.faults.IntN(6) {
	case 0:
		group = m.roots
	case 1:
		group = m.relays
	case 2: // a root and the relays of one failure domain
		group = append(group, m.roots[m.faults.IntN(len(m.roots))])
		group = append(group, m.inDomain(m.relays)...)
	case 3:
		group = m.inDomain(m.processes)
	case 4:
		group = m.share(cutShare)
	default: // all are killed
		fault, group = m.restart, m.processes
	}
	for _, p := range group {
		fault(p, d)
	}
}

// inDomain returns those of the processes that are in a random failure domain.
func (m *Model) inDomain(processes []*process) []*process {
	domain := m.processes[m.faults.IntN(len(m.processes))].source.Domain
	return slices.DeleteFunc(slices.Clone(processes), func(p *process) bool { return p.source.Domain != domain })
}

// share returns a random share of all processes.
func (m *Model) share(share float64) []*process {
	return slices.DeleteFunc(slices.Clone(m.processes), func(*process) bool { return m.faults.Float64() >= share })
}

// Bounds returns the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{{Name: "fanout", Run: measure}}
}

// measure runs each scenario at the size of the users' fleet and at twice that.
func measure() ([]bounds.Figure, error) {
	small, large := Restart(555, false, 1), Restart(1110, false, 1)
	cut, cutLarge := CutShare(1000, 1), CutShare(2000, 1)
	misses := make([]int, lossSeeds+1)
	seeds.Each(lossSeeds, func(seed uint64) { misses[seed] = RandomLosses(sizeOf(seed), seed).Misses })
	total := 0
	for _, n := range misses {
		total += n
	}
	return []bounds.Figure{
		{Name: "fanout.start_median_s.555", Value: small.Median.Seconds()},
		{Name: "fanout.start_last_s.555", Value: small.Last.Seconds()},
		{Name: "fanout.start_calls.555", Value: small.CallsPerProcess},
		{Name: "fanout.start_store_bytes.555", Value: small.BytesPerProcess},
		{Name: "fanout.start_median_s.1110", Value: large.Median.Seconds()},
		{Name: "fanout.start_last_s.1110", Value: large.Last.Seconds()},
		{Name: "fanout.start_calls.1110", Value: large.CallsPerProcess},
		{Name: "fanout.start_store_bytes.1110", Value: large.BytesPerProcess},
		{Name: "fanout.cut_calls_per_s.1000", Value: cut.MostPerSecond},
		{Name: "fanout.cut_calls_per_s.2000", Value: cutLarge.MostPerSecond},
		{Name: "fanout.missed", Value: float64(total + cut.Misses + cutLarge.Misses)},
	}, nil
}

// sizeOf spreads the seeds over fleets of 300, 1,000 and 2,000 processes; most are small.
func sizeOf(seed uint64) int {
	switch {
	case seed%100 == 0:
		return 2000
	case seed%20 == 0:
		return 1000
	default:
		return 300
	}
}
