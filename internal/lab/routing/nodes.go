package routing

import (
	"fmt"

	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// rankedEntries is the number of highest-ranked entries among which candidates of
	// different failure domains are selected, as in policy/duties.
	rankedEntries   = 8
	assignmentCount = 16 // number of simulated assignments, each by other duty names
)

// Node is the control work of one entry.
type Node struct {
	Heartbeats    float64 // bytes per second, with agents and entries
	HeldDuties    int     // number of duties that it holds
	StandbyDuties int     // number of duties for which it is a candidate behind the holder
	Engines       int     // number of engines of the services whose weights duty it holds
}

// ControlNodes returns the entries of the fleet under each of several assignments of
// the duties.
func ControlNodes() ([]Node, error) {
	h, err := measureHeartbeats()
	if err != nil {
		return nil, err
	}
	var all []Node
	for salt := range assignmentCount {
		nodes := make([]Node, referenceEntries)
		for i := range nodes {
			nodes[i].Heartbeats = h.byEntry[i]
		}
		assign(nodes, salt)
		all = append(all, nodes...)
	}
	return all, nil
}

// assign adds each duty to the counts of its holder and its standby entries.
func assign(nodes []Node, salt int) {
	hashes := make([]uint64, referenceEntries)
	entries, agents := referenceFleet()
	for i, e := range entries {
		hashes[i] = rendezvous.Key(e)
	}
	engines := map[string]int{}
	for _, a := range agents {
		engines[a.Service]++
	}
	for d := range referenceDuties {
		name := wire.ClaimDuty(d)
		if d < referenceServices {
			name = "weights/service-" + fmt.Sprint(d)
		}
		for rank, i := range candidates(hashes, fmt.Sprint(name, "/", salt)) {
			if rank > 0 {
				nodes[i].StandbyDuties++
				continue
			}
			nodes[i].HeldDuties++
			if d < referenceServices {
				nodes[i].Engines += engines[fmt.Sprint("service-", d)]
			}
		}
	}
}

// candidates returns the indexes of the candidates for a duty, which are in different
// failure domains. The first one is the holder.
func candidates(hashes []uint64, duty string) []int {
	var chosen []int
	domains := map[int]bool{}
	for _, i := range rendezvous.Ranked(rendezvous.Key(duty), hashes, rankedEntries) {
		if !domains[i%referenceDomains] {
			domains[i%referenceDomains] = true
			chosen = append(chosen, i)
		}
	}
	return chosen[:min(len(chosen), duties.DefaultConfig().Candidates)]
}
