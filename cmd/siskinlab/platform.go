package main

import "siskinloom.example/siskinloom/internal/bounds"

// Numbers and rates of the reference fleet.
const (
	referenceFeeds   = 14
	stepSeconds      = 28 * 60 // duration of a feed's step
	versionSeconds   = 11 * 60 // time between two weight versions of a feed
	changesPerSecond = 6800.0 / (24 * 60 * 60)
	swapsPerChange   = 1 // a change of the configuration writes one record, which contains its audit entry
	swapsPerVersion  = 1 // an announced version writes one record per service
)

// platformFigures returns the rates of key-value calls of the reference fleet, added
// up from the measured rates. It returns no figures if one of the needed
// measurements was not run.
func platformFigures(figures []bounds.Figure) []bounds.Figure {
	measured, all := byName(figures, "claims.kv_writes_per_s", "duties.kv_writes_per_s", "duties.kv_reads_per_s", "config.kv_calls_per_s", "rollout.kv_writes_per_step")
	if !all {
		return nil
	}
	handover := referenceFeeds * measured["rollout.kv_writes_per_step"] / stepSeconds
	weights := referenceFeeds * swapsPerVersion / float64(versionSeconds)
	changes := changesPerSecond * swapsPerChange
	writes := measured["claims.kv_writes_per_s"] + measured["duties.kv_writes_per_s"] + handover + weights + changes
	// A compare-and-swap of a change, a version or a manifest is followed by at most
	// one read.
	reads := measured["duties.kv_reads_per_s"] + measured["config.kv_calls_per_s"] + handover + weights + changes
	return []bounds.Figure{
		{Name: "platform.kv_writes_per_s", Value: writes},
		{Name: "platform.kv_reads_per_s", Value: reads},
	}
}

// byName returns all figures by name and whether they include all of the names.
func byName(figures []bounds.Figure, names ...string) (map[string]float64, bool) {
	measured := map[string]float64{}
	for _, f := range figures {
		measured[f.Name] = f.Value
	}
	for _, name := range names {
		if _, ok := measured[name]; !ok {
			return nil, false
		}
	}
	return measured, true
}
