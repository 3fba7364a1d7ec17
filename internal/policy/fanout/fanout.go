// Package fanout decides which processes pass the store's changes on to the others, and when
// a process may ask the store itself. It performs no I/O and reads no clock.
//
// A fleet of a thousand processes can neither follow the store one by one nor hang on two
// processes that do: an answer of the store would have a thousand readers, and a thousand
// processes would ask the store in the moment in which the two are lost. Therefore two workers,
// the roots, follow the store. In a large fleet some workers of each failure domain, the
// relays, follow the roots and serve all other processes, the leaves. Processes that know the
// same workers compute the same tree without messages.
package fanout

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// rootCount is the number of roots. Each one costs the store a watch and an answer per
	// change, whatever the size of the fleet.
	rootCount = 2
	// singleLevelWorkers is the greatest number of workers of a fleet whose roots serve all
	// processes. A second level delays a change by another call.
	singleLevelWorkers = 24
	// workersPerRelay is the number of workers of a failure domain per relay. Entries are
	// several times as many, so that a relay serves some forty processes.
	workersPerRelay = 10
	// maxNearSources and maxFarSources bound the relays that a leaf asks before it gives up:
	// in its own failure domain, and in others in case its domain's relays are lost together.
	maxNearSources = 2
	maxFarSources  = 3
)

// MinTwoLevelBound is the least time for a declaration to be in force everywhere with which a
// fleet may have relays: a relay that lost its root serves data of up to two seconds, and its
// leaves need time to find another one.
const MinTwoLevelBound = 3 * time.Second

// Worker is a process that may become a root or a relay.
type Worker struct {
	Name   string
	Domain string // failure domain
}

// Role is the part of a process in the distribution of changes.
type Role int

// Roles.
const (
	Leaf  Role = iota // follows relays
	Relay             // follows roots and serves leaves
	Root              // follows the store
)

// String returns the role as it is logged.
func (r Role) String() string { return [...]string{"leaf", "relay", "root"}[r] }

// Tree names the roots and relays, as indices of the workers that it was computed from.
type Tree struct {
	Roots  []int
	Relays []int // empty if the roots serve all processes
}

// Plan computes the tree of a fleet with the given workers.
func Plan(workers []Worker) Tree {
	keys := make([]uint64, len(workers))
	for i, w := range workers {
		keys[i] = rendezvous.Key(w.Name)
	}
	// Processes of all releases must use this key, or they would compute different roots.
	tree := Tree{Roots: rendezvous.Ranked(rendezvous.Key("scouts"), keys, rootCount)}
	if len(workers) <= singleLevelWorkers {
		return tree
	}
	for _, domain := range domains(workers) {
		tree.Relays = append(tree.Relays, relaysOf(domain, workers, keys, tree.Roots)...)
	}
	return tree
}

// domains returns the failure domains of the workers, sorted.
func domains(workers []Worker) []string {
	var names []string
	for _, w := range workers {
		names = append(names, w.Domain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// relaysOf returns the relays of a failure domain: the share of its workers that rank highest,
// without the roots, which have their relays to serve.
func relaysOf(domain string, workers []Worker, keys []uint64, roots []int) []int {
	var candidates []int
	var candidateKeys []uint64
	total := 0
	for i, w := range workers {
		if w.Domain != domain {
			continue
		}
		total++
		if !slices.Contains(roots, i) {
			candidates = append(candidates, i)
			candidateKeys = append(candidateKeys, keys[i])
		}
	}
	count := (total + workersPerRelay - 1) / workersPerRelay
	ranked := rendezvous.Ranked(rendezvous.Key("relays"), candidateKeys, count)
	relays := make([]int, len(ranked))
	for i, at := range ranked {
		relays[i] = candidates[at]
	}
	return relays
}

// Source is a process that serves changes, as seen by a process that looks for one.
type Source struct {
	Name   string
	Domain string
}

// Order returns the indices of the sources in the order in which a leaf should ask them: those
// in its failure domain first, because traffic between domains costs more and takes longer, at
// most maxNearSources, then at most maxFarSources others. Among equals the order differs between
// processes, so that each source serves a similar number of them and gets a similar share of
// those that another source loses.
func Order(self Source, sources []Source) []int {
	key := rendezvous.Key(self.Name)
	var near, far []int
	var nearKeys, farKeys []uint64
	for i, s := range sources {
		switch {
		case s.Name == self.Name:
		case s.Domain == self.Domain:
			near, nearKeys = append(near, i), append(nearKeys, rendezvous.Key(s.Name))
		default:
			far, farKeys = append(far, i), append(farKeys, rendezvous.Key(s.Name))
		}
	}
	var order []int
	for _, at := range rendezvous.Ranked(key, nearKeys, maxNearSources) {
		order = append(order, near[at])
	}
	for _, at := range rendezvous.Ranked(key, farKeys, maxFarSources) {
		order = append(order, far[at])
	}
	return order
}

const (
	// isolatedDelay and isolatedSpread bound the delay before a process that reaches no relay
	// at all asks the store. It is probably alone in this, as its relays are in several
	// failure domains, and nothing else tells it of a new declaration.
	isolatedDelay  = 200 * time.Millisecond
	isolatedSpread = 800 * time.Millisecond
	// staleDelay is how long relays that have had no contact with the store lately may
	// take to find it again, directly or through other processes. firstSpread spreads the
	// first calls of the leaves after that; a declaration must be in force soon after.
	staleDelay  = 800 * time.Millisecond
	firstSpread = 2200 * time.Millisecond
	// directProcessesPerSecond bounds the processes of a whole fleet that ask the store again
	// in a second, while the first call of each has not helped. Each of them makes a call
	// per topic.
	directProcessesPerSecond = 40
)

// DirectDelay returns how long a leaf without a usable relay waits before it asks the store
// itself. processes is the size of the fleet, reached says whether some relay answered that it
// has had no contact with the store lately, again whether the leaf has asked the store since it
// was served, and random is a random number in [0, 1).
//
// If relays answer, the store is lost to many processes at once, and all leaves get here
// together. Their calls would add to the disruption without helping the relays, which ask the
// store already. After one call each, a budget of the whole fleet bounds them.
func DirectDelay(processes int, reached, again bool, random float64) time.Duration {
	delay, spread := isolatedDelay, isolatedSpread
	switch {
	case reached && again:
		delay, spread = staleDelay, time.Duration(processes)*time.Second/directProcessesPerSecond
	case reached:
		delay, spread = staleDelay, firstSpread
	}
	return delay + time.Duration(random*float64(spread))
}
