package quarantine

import (
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
)

// The outage of the store in a schedule. The poison request begins within it.
const (
	awayFrom  = 500 * time.Millisecond
	awayUntil = 15 * time.Second
	// rejoinMin and rejoinSpread are the time after the outage in which a process hears from the store
	// again.
	rejoinMin    = 50 * time.Millisecond
	rejoinSpread = 600 * time.Millisecond
)

// isAway reports whether the store is away.
func (m *model) isAway() bool {
	now := m.t.Now().Sub(m.began)
	return m.away && now >= awayFrom && now < awayUntil
}

// storeDelay returns the time that news takes by way of the store: some milliseconds and, now and
// then, as long as the change of a source of updates takes; in an outage until after its end.
func (m *model) storeDelay() time.Duration {
	if m.isAway() {
		return awayUntil - m.t.Now().Sub(m.began) + m.between(rejoinMin, rejoinMin+rejoinSpread)
	}
	return m.newsDelay(5*time.Millisecond, 40*time.Millisecond)
}

// feedDelay returns the time that a report takes from process to process, now and then as long as
// the calls to a process take that is lost.
func (m *model) feedDelay() time.Duration {
	return m.newsDelay(2*time.Millisecond, 15*time.Millisecond)
}

// newsDelay draws a delay that one time in a hundred is that of a failure on the way.
func (m *model) newsDelay(low, high time.Duration) time.Duration {
	delay := m.between(low, high)
	if m.random.IntN(100) == 0 {
		delay = m.between(200*time.Millisecond, 1500*time.Millisecond)
	}
	return delay
}

// measureAway measures services of 3, 19 and 40 endpoints while the store is away, with and without
// reports from process to process (.off).
func measureAway() ([]bounds.Figure, error) {
	var figures []bounds.Figure
	for _, size := range []struct{ entries, endpoints int }{{5, 3}, {17, 3}, {26, 19}, {440, 40}} {
		s := scenario{
			entries: size.entries, endpoints: size.endpoints, duration: awayUntil, requestsPerSecond: 40, popularShare: 0.2, poison: true, spare: true, away: true,
		}
		suffix := "." + strconv.Itoa(size.entries) + "." + strconv.Itoa(size.endpoints)
		off := play(s)
		s.feed = true
		on := play(s)
		for _, one := range []struct {
			suffix string
			sum    *total
		}{{suffix, on}, {suffix + ".off", off}} {
			figures = append(figures,
				bounds.Figure{Name: "quarantine.away.ends" + one.suffix, Value: float64(one.sum.maxEnds)},
				bounds.Figure{Name: "quarantine.away.ends_mean" + one.suffix, Value: float64(one.sum.ends) / schedules},
				bounds.Figure{Name: "quarantine.away.all_lost" + one.suffix, Value: float64(one.sum.allLost) / schedules},
				bounds.Figure{Name: "quarantine.away.unserved" + one.suffix, Value: float64(one.sum.unserved) / float64(one.sum.innocent)},
				bounds.Figure{Name: "quarantine.away.innocent_refused" + one.suffix, Value: one.sum.refusedShare()},
				bounds.Figure{Name: "quarantine.away.innocent_quarantined" + one.suffix, Value: float64(one.sum.blocked)})
		}
		figures = append(figures, strayFigures(suffix, s)...)
	}
	return figures, nil
}

// strayFigures returns how many innocent requests are refused, with and without reports from process
// to process, while endpoints end for other reasons: with the store there (.stray) as on a day with ten
// times the ends of a rough one, and in an outage (.away.stray) as half of them end at once.
func strayFigures(suffix string, s scenario) []bounds.Figure {
	s.poison = false
	var figures []bounds.Figure
	for _, feed := range []bool{true, false} {
		s.feed = feed
		outage, present := s, s
		outage.massEndAt = awayUntil / 2
		present.away, present.duration, present.meanLife, present.massEndAt = false, time.Minute, strayLife, time.Minute/2
		end := suffix
		if !feed {
			end += ".off"
		}
		away, there := play(outage), play(present)
		figures = append(figures,
			bounds.Figure{Name: "quarantine.feed.stray.innocent_refused" + end, Value: there.refusedShare()},
			bounds.Figure{Name: "quarantine.feed.stray.innocent_quarantined" + end, Value: float64(there.blocked)},
			bounds.Figure{Name: "quarantine.away.stray.innocent_refused" + end, Value: away.refusedShare()},
			bounds.Figure{Name: "quarantine.away.stray.innocent_quarantined" + end, Value: float64(away.blocked)})
	}
	return figures
}
