// Package rendezvous assigns keys to nodes by rendezvous hashing (highest
// random weight). Every process that knows the same nodes computes the same
// assignment without communication, and a node that joins or leaves moves only
// the keys that it owns.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Key returns the hash of a name, for use as a key or a node in this package.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// Weight returns the rendezvous weight of a node for a key. The node with the
// highest weight owns the key.
func Weight(key, node uint64) uint64 {
	// The finalizer of splitmix64 makes every output bit depend on every input bit.
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Ranked returns the indices of the n nodes with the highest weights for the
// key, highest first. Among equal weights the lower index comes first.
func Ranked(key uint64, nodes []uint64, n int) []int {
	n = min(n, len(nodes))
	best := make([]int, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for i, node := range nodes {
		w := Weight(key, node)
		if len(best) == n && (n == 0 || w <= weights[n-1]) {
			continue
		}
		at := len(best)
		for at > 0 && weights[at-1] < w {
			at--
		}
		best = append(best, 0)
		weights = append(weights, 0)
		copy(best[at+1:], best[at:])
		copy(weights[at+1:], weights[at:])
		best[at], weights[at] = i, w
		if len(best) > n {
			best, weights = best[:n], weights[:n]
		}
	}
	return best
}
