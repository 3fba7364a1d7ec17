package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/choose"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	choiceCandidates = 32
	choices          = 100_000
	hotPrefix        = 42
)

// allocations counts what a choice among 32 candidates allocates.
func allocations() ([]bounds.Figure, error) {
	chooser, candidates := choiceOf(choiceCandidates)
	request := choose.Request{Now: epoch, Business: "b", Prefix: hotPrefix, Exclude: []string{"agent-3"}}
	chooser.Choose(request, candidates)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range choices {
		chooser.Choose(request, candidates)
	}
	runtime.ReadMemStats(&after)
	// The runtime's own few allocations in the background round to nothing.
	each := (after.Mallocs - before.Mallocs) / choices
	return []bounds.Figure{{Name: "route.allocs_per_choice", Value: float64(each)}}, nil
}

func choiceOf(n int) (*choose.Chooser, []*choose.Candidate) {
	var candidates []*choose.Candidate
	for i := range n {
		id := fmt.Sprint("agent-", i)
		c := &choose.Candidate{ID: id, Key: rendezvous.Key(id), Ready: true}
		c.SetLoad(epoch.Add(-time.Second), wire.Load{Running: i % 4, Slots: 4})
		candidates = append(candidates, c)
	}
	return choose.New(rand.New(rand.NewPCG(seed, 9))), candidates
}

// hotShare measures which part of the requests with one prefix its home gets
// while they alone fill half of the fleet: with a bonus that had no cap it would
// be all of them.
func hotShare() ([]bounds.Figure, error) {
	const steps, held = 20_000, 16
	chooser, candidates := choiceOf(8)
	for _, c := range candidates {
		c.SetLoad(epoch, wire.Load{Slots: 4})
	}
	counts := map[*choose.Candidate]int{}
	var open []*choose.Candidate
	for range steps {
		c := chooser.Choose(choose.Request{Now: epoch, Business: "b", Prefix: hotPrefix}, candidates)
		c.InFlight++
		c.InFlightCounts.Add("b", 1)
		counts[c]++
		open = append(open, c)
		if len(open) > held {
			open[0].InFlight--
			open[0].InFlightCounts.Add("b", -1)
			open = open[1:]
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return []bounds.Figure{{Name: "route.hot_prefix_share", Value: float64(most) / steps}}, nil
}
