package fanout

import (
	"slices"
	"time"
)

// Incident is a failure of a large part of a fleet.
type Incident struct {
	Name  string
	begin func(m *Model)
	lasts time.Duration // until the last of its faults has ended
}

// AllRelaysPaused is the name of the incident in which no leaf finds a source.
const AllRelaysPaused = "all relays are paused"

// Incidents returns the incidents that Play plays.
func Incidents() []Incident {
	const (
		downTime = 500 * time.Millisecond // from the kill of a process to its start
		lossTime = 8 * time.Second
	)
	return []Incident{
		{"a third returns at once", func(m *Model) { m.applyTo(m.share(1.0/3), m.restart, downTime) }, downTime},
		{"a failure domain is cut off", func(m *Model) { m.applyTo(m.inDomain(m.processes), m.isolate, lossTime) }, lossTime},
		{"half lose the store", func(m *Model) { m.applyTo(m.share(0.5), m.cutStore, lossTime) }, lossTime},
		{"all lose the store", func(m *Model) { m.applyTo(m.processes, m.cutStore, lossTime) }, lossTime},
		{AllRelaysPaused, func(m *Model) { m.applyTo(m.relays, m.pause, lossTime) }, lossTime},
		{"all are killed twice in ten seconds", func(m *Model) {
			m.applyTo(m.processes, m.restart, downTime)
			m.t.After(lossTime, func() { m.applyTo(m.processes, m.restart, downTime) })
		}, lossTime + downTime},
	}
}

// applyTo applies a fault to a group of processes.
func (m *Model) applyTo(group []*process, fault func(*process, time.Duration), d time.Duration) {
	for _, p := range group {
		fault(p, d)
	}
}

// IncidentFigures describes how a fleet gets over an incident.
type IncidentFigures struct {
	Calm          time.Duration // from the incident's end until every process knows the newest declaration
	Calls         float64       // to the store, from the beginning until calm
	MostPerSecond float64       // calls to the store in the busiest second
}

// Play plays an incident during which the declaration changes.
func Play(incident Incident, processes int, seed uint64) IncidentFigures {
	const (
		declareAfter = 400 * time.Millisecond // within each incident
		limit        = time.Minute
	)
	m := newModel(processes, seed)
	m.startAll()
	m.t.Run(settleTime, never)
	clear(m.perSecond)
	before := m.Calls
	incident.begin(m)
	m.t.After(declareAfter, func() { m.version++ })
	m.t.Run(incident.lasts, never)
	calm := m.t.Run(limit, m.isCalm)
	figures := m.lossFigures()
	return IncidentFigures{Calm: calm, Calls: float64(m.Calls-before) / 10, MostPerSecond: figures.MostPerSecond}
}

// isCalm reports whether every process runs and knows the newest declaration.
func (m *Model) isCalm() bool {
	return !slices.ContainsFunc(m.processes, func(p *process) bool { return !p.up || p.version != m.version })
}
