package callers

import (
	"bytes"
	"encoding/gob"
	"errors"
	"math"
	"net/rpc"
	"slices"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/wire"
)

// innocentDelayQuantile is the quantile of the innocent requests' delays that is
// measured. The share of requests above it is about that of the requests that run beside
// a crash.
const innocentDelayQuantile = 0.999

func measurePoison() ([]bounds.Figure, error) {
	baseline, err := runPoisonSchedules(poisonScheduleCount/10, slowResends.without(suspicionAndQuarantine))
	if err != nil {
		return nil, err
	}
	figures := []bounds.Figure{{Name: "callers.poison_endpoints.baseline", Value: float64(baseline.maxCrashedEndpoints)}}
	scenarios := []struct {
		suffix   string
		scenario poisonScenario
	}{{"", slowResends}, {".quick", quickResends}, {".stray", unrelatedCrashes}}
	placementCost, err := placementBytes()
	if err != nil {
		return nil, err
	}
	figures = append(figures, bounds.Figure{Name: "callers.placement_bytes", Value: placementCost})
	for _, s := range scenarios {
		t, err := runPoisonSchedules(poisonScheduleCount, s.scenario)
		if err != nil {
			return nil, err
		}
		figures = append(figures, t.figures(s.suffix)...)
	}
	return figures, nil
}

func (t *poisonTotals) figures(suffix string) []bounds.Figure {
	slices.Sort(t.innocentDelays)
	slowest := t.innocentDelays[int(innocentDelayQuantile*float64(len(t.innocentDelays)))]
	all := float64(len(t.innocentDelays) + t.givenUp)
	return []bounds.Figure{
		{Name: "callers.poison_endpoints" + suffix, Value: float64(t.maxCrashedEndpoints)},
		{Name: "callers.poison_crashes" + suffix, Value: float64(t.crashes) / float64(t.poisonRequests)},
		{Name: "callers.poison_caught" + suffix, Value: float64(t.quarantinedPoison) / float64(t.poisonRequests)},
		{Name: "callers.innocent_quarantined" + suffix, Value: float64(t.quarantinedInnocent)},
		{Name: "callers.innocent_wait_s" + suffix, Value: slowest},
		{Name: "callers.innocent_unanswered" + suffix, Value: float64(t.givenUp) / all},
	}
}

// placementBytes returns the bytes that an entry sends to each peer for one request that
// was never answered: its start and its end, each in its own message, as under low load.
func placementBytes() (float64, error) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	started := wire.Placement{Service: "reminder-ledger", Fingerprint: math.MaxUint64 / 3, Endpoint: "agent-1234.karamsad-hall"}
	ended := started
	ended.Ended, ended.Cleared = true, true
	pairStart := 0 // only the first pair carries the descriptions of the types
	for range 2 {
		pairStart = buffer.Len()
		for _, placement := range []wire.Placement{started, ended} {
			header := rpc.Request{ServiceMethod: wire.PoisonService + ".Place", Seq: 1 << 20}
			if err := errors.Join(encoder.Encode(header), encoder.Encode([]wire.Placement{placement})); err != nil {
				return 0, err
			}
		}
	}
	return float64(buffer.Len() - pairStart), nil
}
