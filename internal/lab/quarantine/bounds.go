package quarantine

import (
	"strconv"
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/seeds"
)

// schedules is the number of schedules of each scenario.
const schedules = 100

// Bounds returns the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{{Name: "quarantine", Run: measure}, {Name: "quarantine.spare", Run: measureSpare}, {Name: "quarantine.away", Run: measureAway}}
}

// total sums up schedules.
type total struct {
	mu                      sync.Mutex
	maxEnds, maxLateRuns    int
	ends, innocent, refused int
	unserved, blocked       int
	allLost                 int // schedules in which every endpoint ended under the poison request
	maxDown                 int // endpoints that were down at once because of the poison request
	tooMany                 int // schedules in which more were down at once than one process would allow
}

// play plays schedules of a scenario.
func play(s scenario) *total {
	sum := &total{}
	seeds.Each(schedules, func(seed uint64) {
		m := newModel(s, seed)
		m.run()
		sum.mu.Lock()
		defer sum.mu.Unlock()
		sum.maxEnds = max(sum.maxEnds, m.poisonEnds)
		sum.maxLateRuns = max(sum.maxLateRuns, m.lateRuns)
		sum.ends += m.poisonEnds
		sum.innocent += m.innocent
		sum.refused += m.refused
		sum.unserved += m.unserved
		sum.blocked += m.blocked
		sum.maxDown = max(sum.maxDown, m.mostDown)
		if len(m.lost) == s.endpoints {
			sum.allLost++
		}
		if m.mostDown > allowedDown(s.endpoints) {
			sum.tooMany++
		}
	})
	return sum
}

// refusedShare returns the share of innocent requests that were refused as quarantined.
func (t *total) refusedShare() float64 { return float64(t.refused) / float64(t.innocent) }

func measure() ([]bounds.Figure, error) {
	var figures []bounds.Figure
	for _, size := range []struct{ entries, endpoints int }{{3, 3}, {40, 19}, {440, 40}} {
		s := scenario{entries: size.entries, endpoints: size.endpoints, duration: time.Minute, requestsPerSecond: 40, popularShare: 0.2, poison: true, spare: true}
		suffix := "." + strconv.Itoa(size.entries)
		calm := play(s)
		figures = append(figures,
			bounds.Figure{Name: "quarantine.poison_endpoints" + suffix, Value: float64(calm.maxEnds)},
			bounds.Figure{Name: "quarantine.poison_endpoints_mean" + suffix, Value: float64(calm.ends) / schedules},
			bounds.Figure{Name: "quarantine.late_runs" + suffix, Value: float64(calm.maxLateRuns)},
			bounds.Figure{Name: "quarantine.innocent_refused" + suffix, Value: calm.refusedShare()})
		s.unlimited = true
		figures = append(figures, bounds.Figure{Name: "quarantine.late_runs" + suffix + ".baseline", Value: float64(play(s).maxLateRuns)})
		s.unlimited, s.poison, s.meanLife, s.massEndAt = false, false, strayLife, s.duration/2
		stray := play(s)
		figures = append(figures,
			bounds.Figure{Name: "quarantine.innocent_refused" + suffix + ".stray", Value: stray.refusedShare()})
	}
	return figures, nil
}

// strayLife is the mean life of an endpoint on a day with ten times the ends of a rough one, on
// which an endpoint ends about every two minutes.
const strayLife = 12 * time.Second

// allowedDown returns how many endpoints of a service may be down at once because of one request.
func allowedDown(endpoints int) int { return max(1, min(endpoints-1, 3)) }

// measureSpare measures services of 1, 2, 3 and 40 endpoints under a request that crashes each, with
// and without the mechanism spare-endpoints (.off).
func measureSpare() ([]bounds.Figure, error) {
	var figures []bounds.Figure
	for _, entries := range []int{3, 40, 440} {
		for _, endpoints := range []int{1, 2, 3, 40} {
			s := scenario{
				entries: entries, endpoints: endpoints, duration: time.Minute, requestsPerSecond: 40, popularShare: 0.2, poison: true, scoresPerSecond: 10,
			}
			suffix := "." + strconv.Itoa(entries) + "." + strconv.Itoa(endpoints)
			off := play(s)
			figures = append(figures,
				bounds.Figure{Name: "quarantine.spare.unserved" + suffix + ".off", Value: float64(off.unserved) / float64(off.innocent)},
				bounds.Figure{Name: "quarantine.spare.innocent_quarantined" + suffix + ".off", Value: float64(off.blocked)})
			s.spare = true
			figures = append(figures, spareFigures(suffix, play(s))...)
		}
	}
	return figures, nil
}

func spareFigures(suffix string, sum *total) []bounds.Figure {
	return []bounds.Figure{
		{Name: "quarantine.spare.down_at_once" + suffix, Value: float64(sum.maxDown)},
		{Name: "quarantine.spare.too_many_down" + suffix, Value: float64(sum.tooMany) / schedules},
		{Name: "quarantine.spare.ends_mean" + suffix, Value: float64(sum.ends) / schedules},
		{Name: "quarantine.spare.unserved" + suffix, Value: float64(sum.unserved) / float64(sum.innocent)},
		{Name: "quarantine.spare.innocent_refused" + suffix, Value: sum.refusedShare()},
		{Name: "quarantine.spare.innocent_quarantined" + suffix, Value: float64(sum.blocked)},
	}
}
