package weights

// Distribution is a plan for passing the chunks of a version between agents. Chunk i
// belongs to stripe i modulo Stripes, and each stripe has a tree of its own over
// all agents. An agent has children in one stripe only, as many as there are
// stripes, so it sends no more than it receives and every link carries one copy.
type Distribution struct {
	// Stripes is the number of trees and of children of an agent that has any.
	Stripes int
	// RootsPerStripe is how many agents fetch each stripe from the store; the store's rate
	// over a link's rate, at least 1.
	RootsPerStripe int
}

// Parents returns, for each of n agents, the index of its parent in each
// stripe, -1 standing for the store. Agents should be ordered so that neighbours
// are in different failure domains: then no domain's loss cuts a whole level.
func (s Distribution) Parents(n int) [][]int {
	parents := make([][]int, n)
	for i := range parents {
		parents[i] = make([]int, s.Stripes)
	}
	for stripe := range s.Stripes {
		ranked := s.rank(n, stripe)
		for position, agent := range ranked {
			parents[agent][stripe] = -1
			if position >= s.RootsPerStripe {
				parents[agent][stripe] = ranked[(position-s.RootsPerStripe)/s.Stripes]
			}
		}
	}
	return parents
}

// rank orders the agents of a stripe's tree by level: first those whose
// children it has, then the leaves.
func (s Distribution) rank(n, stripe int) []int {
	ranked := make([]int, 0, n)
	for i := stripe; i < n; i += s.Stripes {
		ranked = append(ranked, i)
	}
	for offset := 1; offset < s.Stripes; offset++ {
		for i := (stripe + offset) % s.Stripes; i < n; i += s.Stripes {
			ranked = append(ranked, i)
		}
	}
	return ranked
}
