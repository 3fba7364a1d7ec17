package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

// scheduleEnd ends an endpoint for a reason of its own, after a drawn time.
func (m *model) scheduleEnd(e *endpoint) {
	if m.meanLife <= 0 {
		return
	}
	run := e.run
	m.t.After(time.Duration(m.random.ExpFloat64()*float64(m.meanLife)), func() {
		if e.up && e.run == run {
			m.endEndpoint(e)
		}
	})
}

// endHalf ends half of the endpoints at once.
func (m *model) endHalf() {
	for i, e := range m.list {
		if i%2 == 0 && e.up {
			m.endEndpoint(e)
		}
	}
}

// endEndpoint ends an endpoint. The entries whose attempts ran there report it and retry.
func (m *model) endEndpoint(e *endpoint) {
	e.up = false
	lost := e.attempts
	e.attempts = map[*attempt]bool{}
	for a := range lost {
		a.try.entry.copyEnded(a)
	}
	for _, t := range inOrder(lost) {
		t.inFlight--
		t.entry.learnEnd(e.id, e.run)
		m.report(t.entry, wire.Suspicion{Fingerprint: t.fingerprint, Endpoint: strconv.Itoa(e.id), Crash: e.run, UnixMilli: m.t.Now().UnixMilli()})
		m.start(t)
	}
	m.unlist(e)
	m.t.After(m.between(restartMin, restartMin+restartSpread), func() {
		if e.poisoned {
			e.poisoned = false
			m.down--
		}
		e.up = true
		e.run++
		m.relist(e)
		m.scheduleEnd(e)
	})
}

// inOrder returns the tries of attempts in the order of their start, so that a seed always plays
// the same schedule.
func inOrder(attempts map[*attempt]bool) []*try {
	tries := make([]*try, 0, len(attempts))
	for a := range attempts {
		tries = append(tries, a.try)
	}
	slices.SortFunc(tries, func(a, b *try) int { return cmp.Compare(a.number, b.number) })
	return tries
}

// report has an entry count an end and tell the others, as quarantine.Quarantine does.
func (m *model) report(from *entry, s wire.Suspicion) {
	if m.unlimited || from.registry.RecentlyAnswered(m.t.Now(), poison.ID{Fingerprint: s.Fingerprint}) {
		return
	}
	m.count(from, s)
	m.broadcast(from, func(p *entry) { m.count(p, s) })
}

func (m *model) count(p *entry, s wire.Suspicion) {
	if id, err := strconv.Atoi(s.Endpoint); err == nil {
		p.learnEnd(id, s.Crash)
	}
	p.reports[s.Fingerprint] = append(p.reports[s.Fingerprint], s)
	p.registry.RecordCrash(m.t.Now(), s)
}

// withdraw has an entry withdraw all reports about a request, and tell the others.
func (m *model) withdraw(from *entry, fingerprint uint64) {
	reports := from.reports[fingerprint]
	if len(reports) == 0 {
		return
	}
	m.drop(from, reports)
	m.broadcast(from, func(p *entry) { m.drop(p, reports) })
}

func (m *model) drop(p *entry, reports []wire.Suspicion) {
	for _, s := range reports {
		p.registry.Withdraw(m.t.Now(), s)
	}
	delete(p.reports, reports[0].Fingerprint)
}

// broadcast has the other entries apply a change of the store, or of an entry's reports, after the
// delay of the news.
func (m *model) broadcast(from *entry, apply func(*entry)) {
	for _, p := range m.processes {
		if p == from {
			continue
		}
		delay := m.storeDelay()
		if m.feed && from != nil {
			delay = min(delay, m.feedDelay())
		}
		m.t.After(delay, func() { apply(p) })
	}
}
