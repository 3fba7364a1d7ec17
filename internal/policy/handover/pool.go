package handover

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// pool holds the completed samples that the trainer is not known to hold.
type pool struct {
	samples     map[sample.ID]sample.Sample
	countByStep map[int64]int // number of samples by step; saves the search for a lot if too few are complete
}

func newPool() pool {
	return pool{samples: map[sample.ID]sample.Sample{}, countByStep: map[int64]int{}}
}

func (p pool) has(id sample.ID) bool {
	_, found := p.samples[id]
	return found
}

func (p pool) add(s sample.Sample) {
	p.samples[s.ID] = s
	p.countByStep[s.ID.Step]++
}

func (p pool) remove(id sample.ID) {
	delete(p.samples, id)
	p.countByStep[id.Step]--
	if p.countByStep[id.Step] == 0 {
		delete(p.countByStep, id.Step)
	}
}

// removeStale removes the samples that are too old for a trainer at the given version, and
// returns their number. Samples only get older, so they will never be usable.
func (p pool) removeStale(limits sample.Limits, version int64, now time.Time) int64 {
	var n int64
	for id, s := range p.samples {
		if !limits.Fresh(s, version, now) {
			p.remove(id)
			n++
		}
	}
	return n
}
