package modelplan

import "math"

// quotas returns how many engines each model is assigned: a number in proportion to its
// share of the items, but no more than its steps can use. Without that limit a service
// of thousands of engines would load each version on half of them for a step of a
// hundred items.
func (p *Planner) quotas(live []Engine) map[string]int {
	total := 0.0
	for _, model := range p.models {
		total += max(1, p.meanItems[model])
	}
	slots := meanSlots(live)
	quota := map[string]int{}
	for _, model := range p.models {
		share := modelsPerEngine * float64(len(live)) * max(1, p.meanItems[model]) / total
		if items := p.meanItems[model]; items > 0 { // 0 until the first step is recorded
			share = min(share, math.Ceil(items/(targetUtilization*slots)))
		} else {
			share = min(share, float64(inRotation(model, live)))
		}
		quota[model] = min(len(live), max(minEnginesPerModel, int(math.Round(share))))
	}
	return quota
}

// inRotation returns the number of engines that load the model's versions in turn: those that are
// fewer than versionStride versions behind the newest loaded one. While the first versions are
// loaded, no engine is further behind, and those that have the newest are half of them. A process
// that takes over the orders does not know the size of the steps until the next one arrives.
// Without this limit it would meanwhile order loads at engines that no step needs, a quarter of
// the service at once.
func inRotation(model string, live []Engine) int {
	newest := int64(0)
	for _, e := range live {
		newest = max(newest, e.Versions[model])
	}
	serving, recent, upToDate := 0, 0, 0
	for _, e := range live {
		version, serves := e.Versions[model]
		if !serves {
			continue
		}
		serving++
		if version > newest-versionStride {
			recent++
		}
		if version == newest {
			upToDate++
		}
	}
	if recent == serving {
		return min(recent, versionStride*upToDate)
	}
	return recent
}

// meanSlots returns the mean number of slots per engine, at least 1.
func meanSlots(engines []Engine) float64 {
	slots := 0
	for _, e := range engines {
		slots += e.Slots
	}
	if len(engines) == 0 {
		return 1
	}
	return max(1, float64(slots)/float64(len(engines)))
}
