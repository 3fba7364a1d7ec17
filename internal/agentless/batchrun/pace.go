package batchrun

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

const (
	// sectionSeconds and minSectionEvents are the least length of a section of a run, of which the
	// mean pace is kept. Noise at an engine lasts 600 ms. With more events, an engine that has
	// become six times slower would be noticed after seconds only.
	sectionSeconds, minSectionEvents = 0.4, 2
	// lastingSections is the number of sections in a row that must be slow before an engine
	// counts as slower than it was: together twice as long as noise lasts.
	lastingSections = 3
)

// pace measures the time between events, starting with the first one.
type pace struct {
	first, last time.Time
	gaps        int
	mean        float64 // running mean of the seconds between events

	sectionStart time.Time
	sectionGaps  int
	sections     int                      // number of complete sections
	means        [lastingSections]float64 // mean seconds per event of the last sections
}

// paceWeight is the weight of a new interval in the running mean.
const paceWeight = 0.2

func (p *pace) observe(now time.Time) {
	if p.first.IsZero() {
		p.first, p.last, p.sectionStart = now, now, now
		return
	}
	gap := now.Sub(p.last).Seconds()
	p.last = now
	p.gaps++
	p.addToSection(now)
	if p.gaps == 1 {
		p.mean = gap
		return
	}
	p.mean += (gap - p.mean) * paceWeight
}

// eventSeconds returns the running mean of the seconds per event.
func (p *pace) eventSeconds() float64 { return p.mean }

// measured returns the running mean, and whether there were enough events to show the engine's
// speed.
func (p *pace) measured() (float64, bool) { return p.mean, p.gaps >= minPaceEvents }

func (p *pace) addToSection(now time.Time) {
	p.sectionGaps++
	took := now.Sub(p.sectionStart).Seconds()
	if p.sectionGaps < minSectionEvents || took < sectionSeconds {
		return
	}
	p.means[p.sections%lastingSections] = took / float64(p.sectionGaps)
	p.sections++
	p.sectionStart, p.sectionGaps = now, 0
}

// sectionEnded reports whether the last event ended a section.
func (p *pace) sectionEnded() bool { return p.sections > 0 && p.sectionGaps == 0 }

// recent returns what the run measured lately.
func (p *pace) recent() endpoints.Measured {
	m := endpoints.Measured{}
	if p.sections > 0 {
		m.Latest = p.means[(p.sections-1)%lastingSections]
	}
	if p.sections >= lastingSections {
		m.Lasting = slices.Min(p.means[:])
	}
	return m
}
