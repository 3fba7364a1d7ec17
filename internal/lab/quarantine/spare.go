package quarantine

import (
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// lapse is the time after which an endpoint that has ended is no longer listed.
	lapse = 2 * time.Second
	// scoreBackoff is the delay before a scoring call without an answer is repeated.
	scoreBackoff = 40 * time.Millisecond
)

func (m *model) newEntry() *entry {
	p := &entry{
		registry: poison.New(poison.SharedConfig(), ""), reports: map[uint64][]wire.Suspicion{},
		listed: map[int]int64{}, ended: map[int]int64{}, copies: poison.Copies{},
	}
	p.registry.SetAttribution(m.spare)
	for _, e := range m.list {
		p.listed[e.id] = e.run
	}
	return p
}

// name returns the ID of an endpoint in reports.
func (e *endpoint) name() string { return strconv.Itoa(e.id) }

// decide decides whether the entry may send one more copy of the request. A suspect's endpoint that
// refuses connections is known as ended from then on.
func (m *model) decide(t *try) poison.Decision {
	id := poison.ID{Fingerprint: t.fingerprint}
	switch {
	case m.unlimited:
		return poison.Decision{Admitted: true}
	case !m.spare:
		admitted := t.entry.registry.Admits(m.t.Now(), id, t.inFlight)
		return poison.Decision{Admitted: admitted, Quarantined: !admitted && !t.entry.registry.BlockedUntil(m.t.Now(), id).IsZero()}
	case t.inFlight >= poison.SharedConfig().UnattributedCrashes:
		return poison.Decision{}
	}
	for {
		d := t.entry.registry.Decide(m.t.Now(), id, func() poison.Service { return m.view(t.entry) }, t.entry.copies)
		if len(d.Only) != 1 || m.named(d.Only[0]).up {
			return d
		}
		e := m.named(d.Only[0])
		if t.entry.ended[e.id] == e.run {
			return poison.Decision{Reason: "its endpoint is down"}
		}
		t.entry.learnEnd(e.id, e.run)
	}
}

// mayChange reports whether an entry waits for a decision to change, as quarantine.AdmitSettled does.
func (m *model) mayChange(t *try, d poison.Decision) bool {
	if t.scoring || t.inFlight > 0 || d.Admitted {
		return false
	}
	if t.settled.IsZero() {
		t.settled = d.Settled
	}
	return m.t.Now().Before(t.settled)
}

// named returns the endpoint with an ID.
func (m *model) named(id string) *endpoint {
	i, err := strconv.Atoi(id)
	if err != nil {
		panic(err) // every ID is written by name
	}
	return m.list[i]
}

// view returns the endpoints as an entry knows them.
func (m *model) view(p *entry) poison.Service {
	view := poison.Service{Size: len(m.list)}
	for _, e := range m.list {
		if p.ended[e.id] < p.listed[e.id] {
			view.Healthy = append(view.Healthy, e.name())
		}
	}
	return view
}

// learnEnd records that an entry knows of the end of an endpoint.
func (p *entry) learnEnd(id int, run int64) { p.ended[id] = max(p.ended[id], run) }

// unlist has the entries learn some time after the end of an endpoint that it is no longer listed.
func (m *model) unlist(e *endpoint) {
	run := e.run
	m.t.After(lapse, func() { m.broadcast(nil, func(p *entry) { p.learnEnd(e.id, run) }) })
}

// relist has the entries learn that an endpoint is back.
func (m *model) relist(e *endpoint) {
	run := e.run
	m.broadcast(nil, func(p *entry) { p.listed[e.id] = max(p.listed[e.id], run) })
}

// copyStarted records a copy that the entry sent.
func (p *entry) copyStarted(a *attempt) { p.copies.Add(a.try.fingerprint, a.at.name()) }

// copyEnded records the end of a copy.
func (p *entry) copyEnded(a *attempt) { p.copies.Remove(a.try.fingerprint, a.at.name()) }

// sendScore starts a scoring call at the owner of a job, one of the processes.
func (m *model) sendScore() {
	m.innocent++
	m.score(m.processes[0], m.nextInnocent, false)
	m.nextInnocent++
	m.t.After(time.Duration(m.random.ExpFloat64()*float64(time.Second)/m.scoresPerSecond), m.sendScore)
}

// score makes a scoring call.
func (m *model) score(owner *entry, fingerprint uint64, refused bool) {
	m.tries++
	m.try(&try{number: m.tries, entry: owner, fingerprint: fingerprint, scoring: true, refused: refused})
}
