package rendezvous

// Spread places few things on nodes so that each node gets as few of them as can
// be: a thing goes to the node that draws it most among those with the fewest.
// It returns the index of each thing's node, and nothing without nodes.
//
// Placed by weight alone, four things on eight nodes mostly share one, and what is
// lost with it doubles. A node that comes or goes may move more
// than its own things.
func Spread(things, nodes []uint64) []int {
	if len(nodes) == 0 {
		return nil
	}
	placed := make([]int, len(things))
	held := make([]int, len(nodes))
	for i, thing := range things {
		best := 0
		for n := range nodes {
			if held[n] < held[best] || held[n] == held[best] && Weight(thing, nodes[n]) > Weight(thing, nodes[best]) {
				best = n
			}
		}
		held[best]++
		placed[i] = best
	}
	return placed
}
