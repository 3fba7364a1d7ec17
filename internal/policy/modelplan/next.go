package modelplan

import "time"

// nextEngine returns the engine that should load the model's newest version next. This
// is preferably an engine that cannot serve the newest step, otherwise one of the half
// that loads this version. Fast engines come first, and half of them load each version. It
// returns false if no load is due.
func (p *Planner) nextEngine(now time.Time, model string, engines []Engine) (Engine, bool) {
	fast, others := p.split(engines)
	first, firstDue, urgent := p.nextOfClass(now, model, fast)
	if firstDue && urgent {
		return first, true
	}
	second, secondDue, urgent := p.nextOfClass(now, model, others)
	if firstDue && !(secondDue && urgent) {
		return first, true
	}
	return second, secondDue
}

// nextOfClass returns the engine of a class that should load the model's newest version next,
// whether a load is due, and whether the engine cannot serve the newest step.
func (p *Planner) nextOfClass(now time.Time, model string, engines []Engine) (chosen Engine, due, urgent bool) {
	upToDate, maxLag := 0, int64(0)
	found := false
	for _, e := range engines {
		lag := p.lag(e, model)
		if lag == 0 || p.hasOrder(e, model) {
			upToDate++
			continue
		}
		if _, busy := p.pending[e.ID]; !busy && (!found || lag > maxLag) {
			chosen, found, maxLag = e, true, lag
		}
	}
	if !found || maxLag >= versionStride || chosen.Versions[model] < p.oldestAccepted[model] {
		return chosen, found, true
	}
	if now.Sub(p.newestAt[model]) < newVersionDelay {
		return Engine{}, false, false
	}
	// The other half of the engines loads the next version.
	return chosen, p.LoadEveryVersion || p.allowedLag[model] == 0 || 2*upToDate < len(engines), false
}
