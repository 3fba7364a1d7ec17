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
	choiceCount      = 100_000
	hotPrefix        = 42
)

// allocations measures the allocations per choice among 32 candidates.
func allocations() ([]bounds.Figure, error) {
	chooser, candidates := newChoice(choiceCandidates)
	request := choose.Request{Now: epoch, Business: "b", Prefix: hotPrefix, Exclude: []string{"agent-3"}}
	chooser.Choose(request, candidates)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range choiceCount {
		chooser.Choose(request, candidates)
	}
	runtime.ReadMemStats(&after)
	// The division rounds away the few background allocations of the runtime.
	perChoice := (after.Mallocs - before.Mallocs) / choiceCount
	return []bounds.Figure{{Name: "route.allocs_per_choice", Value: float64(perChoice)}}, nil
}

// newChoice returns a chooser and n candidates for it.
func newChoice(n int) (*choose.Chooser, []*choose.Candidate) {
	var candidates []*choose.Candidate
	for i := range n {
		id := fmt.Sprint("agent-", i)
		c := &choose.Candidate{ID: id, Key: rendezvous.Key(id), Ready: true}
		c.SetLoad(epoch.Add(-time.Second), wire.Load{Running: i % 4, Slots: 4})
		candidates = append(candidates, c)
	}
	return choose.New(rand.New(rand.NewPCG(seed, 9))), candidates
}

// hotPrefixShare measures the share of the requests with one prefix that goes to the
// most used engine while these requests alone fill half of the fleet. If the bonus
// for the prefix had no limit, it would be all of them.
func hotPrefixShare() ([]bounds.Figure, error) {
	const requests, maxInFlight = 20_000, 16
	chooser, candidates := newChoice(8)
	for _, c := range candidates {
		c.SetLoad(epoch, wire.Load{Slots: 4})
	}
	counts := map[*choose.Candidate]int{}
	var inFlight []*choose.Candidate
	for range requests {
		c := chooser.Choose(choose.Request{Now: epoch, Business: "b", Prefix: hotPrefix}, candidates)
		c.InFlight++
		c.InFlightCounts.Add("b", 1)
		counts[c]++
		inFlight = append(inFlight, c)
		if len(inFlight) > maxInFlight {
			inFlight[0].InFlight--
			inFlight[0].InFlightCounts.Add("b", -1)
			inFlight = inFlight[1:]
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return []bounds.Figure{{Name: "route.hot_prefix_share", Value: float64(most) / requests}}, nil
}
