package modelplan

import (
	"math"
	"time"
)

// fastTTL is how long an engine counts as fast after it was last reported to be. An engine that
// slows down for some seconds, or a process that has just started to send the orders, must not
// cause loads at other engines.
const fastTTL = 30 * time.Second

// RecordFast records engines that are faster than typical.
func (p *Planner) RecordFast(now time.Time, engines []string) {
	for _, id := range engines {
		p.fast[id] = now
	}
}

// expireFast forgets engines that have not been reported as fast within fastTTL.
func (p *Planner) expireFast(now time.Time) {
	for id, at := range p.fast {
		if now.Sub(at) > fastTTL {
			delete(p.fast, id)
		}
	}
}

func (p *Planner) isFast(e Engine) bool {
	_, fast := p.fast[e.ID]
	return fast
}

// split returns the fast engines and the others, in the given order.
func (p *Planner) split(engines []Engine) (fast, others []Engine) {
	if len(p.fast) == 0 {
		return nil, engines
	}
	for _, e := range engines {
		if p.isFast(e) {
			fast = append(fast, e)
		} else {
			others = append(others, e)
		}
	}
	return fast, others
}

// fastShares returns how many fast engines each model is assigned before the other engines: as
// large a part of its engines as of all engines, at least one. If there are too few fast engines
// for that, all models get the same number.
func (p *Planner) fastShares(live []Engine, quota map[string]int) map[string]int {
	fast, _ := p.split(live)
	shares := map[string]int{}
	for _, model := range p.models {
		if len(fast) == 0 {
			continue
		}
		share := math.Ceil(float64(quota[model]) * float64(len(fast)) / float64(len(live)))
		shares[model] = min(quota[model], int(share), max(1, versionStride*len(fast)/len(p.models)))
	}
	return shares
}

// HasFast reports whether any engine counts as fast.
func (p *Planner) HasFast() bool { return len(p.fast) > 0 }
