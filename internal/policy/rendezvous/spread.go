package rendezvous

// Spread assigns a small number of keys to nodes as evenly as possible: each key
// goes to the node with the highest weight among those with the fewest keys so
// far. It returns the index of each key's node, or nil if there are no nodes.
//
// If four keys were assigned to eight nodes by weight alone, two of them would mostly
// share a node, whose loss then affects two keys instead of one. In return, a node that
// joins or leaves may move keys other than its own.
func Spread(keys, nodes []uint64) []int {
	if len(nodes) == 0 {
		return nil
	}
	assigned := make([]int, len(keys))
	counts := make([]int, len(nodes))
	for i, key := range keys {
		best := 0
		for n := range nodes {
			if counts[n] < counts[best] || counts[n] == counts[best] && Weight(key, nodes[n]) > Weight(key, nodes[best]) {
				best = n
			}
		}
		counts[best]++
		assigned[i] = best
	}
	return assigned
}
