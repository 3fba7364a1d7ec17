package weights

// Distribution defines the trees by which agents pass on the chunks of a version. Chunk i
// belongs to stripe i modulo Stripes, and each stripe has its own tree over all agents. An
// agent has children in one stripe only, at most as many as there are stripes. So it
// sends no more than it receives, and each link carries one copy of the version.
type Distribution struct {
	// Stripes is the number of trees, and the maximum number of children of an agent.
	Stripes int
	// RootsPerStripe is the number of agents that fetch a stripe from the store. It should
	// be the ratio of the store's rate to the rate of a link, and at least 1.
	RootsPerStripe int
}

// Parents returns, for each of n agents, the index of its parent in each stripe, or -1 for
// the store. The agents should be ordered so that neighbours are in different failure
// domains. Then the loss of a domain does not cut off a whole level of a tree.
func (d Distribution) Parents(n int) [][]int {
	parents := make([][]int, n)
	for i := range parents {
		parents[i] = make([]int, d.Stripes)
	}
	for stripe := range d.Stripes {
		ranked := d.rank(n, stripe)
		for position, agent := range ranked {
			parents[agent][stripe] = -1
			if position >= d.RootsPerStripe {
				parents[agent][stripe] = ranked[(position-d.RootsPerStripe)/d.Stripes]
			}
		}
	}
	return parents
}

// rank returns the agents in the order of their levels in a stripe's tree: first the agents
// that have children in the stripe, then the leaves.
func (d Distribution) rank(n, stripe int) []int {
	ranked := make([]int, 0, n)
	for i := stripe; i < n; i += d.Stripes {
		ranked = append(ranked, i)
	}
	for offset := 1; offset < d.Stripes; offset++ {
		for i := (stripe + offset) % d.Stripes; i < n; i += d.Stripes {
			ranked = append(ranked, i)
		}
	}
	return ranked
}
