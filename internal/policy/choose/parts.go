package choose

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// loadHalfLife is how fast a reported load loses its worth. It is twice the
	// usual heartbeat interval, so that a missed heartbeat does not make a busy
	// endpoint look idle to every entry at once.
	loadHalfLife = 2 * time.Second
	// saturated is the load over which endpoints no longer differ by it. Their
	// queues are fair: how long a request waits is then up to its own
	// business. Without this cap all businesses followed the greedy one's ups
	// and downs, and a modest one sent half its lookups to one engine of six.
	saturated = 2.0
	// affinityCap is how much more loaded, in slots, the prefix's home may be
	// and still win. A hot prefix spreads as soon as its home is that much
	// busier than the endpoint drawn beside it.
	affinityCap = 0.5
)

type notExcluded struct{}

func (notExcluded) Keep(r *Request, c *Candidate) bool {
	return !slices.Contains(r.Exclude, c.ID)
}

type taking struct{}

func (taking) Keep(_ *Request, c *Candidate) bool {
	return c.Ready && !c.Leaving && !c.Load.Down
}

type notSuspect struct{}

func (notSuspect) Keep(_ *Request, c *Candidate) bool { return !c.Suspect }

// Sum adds scorers up.
type Sum []Scorer

// Score implements Scorer.
func (s *Sum) Score(r *Request, c *Candidate) float64 {
	total := 0.0
	for _, scorer := range *s {
		total += scorer.Score(r, c)
	}
	return total
}

// agedLoad is this process's own calls plus what others had there when the
// load was last reported, worth half after each half-life. An endpoint that is
// behind by more seconds than that, as one that loads weights is, counts them.
type agedLoad struct{}

func (agedLoad) Score(r *Request, c *Candidate) float64 {
	others := float64(max(0, c.Load.Running+c.Load.Queued-c.InFlightAtReport))
	behind := c.Load.QueuedSeconds
	if others > 0 || behind > 0 {
		age := r.Now.Sub(c.ReportedAt)
		worth := math.Exp2(-float64(age) / float64(loadHalfLife))
		others *= worth
		behind *= worth
	}
	counted := (float64(c.InFlight) + others) / float64(max(c.Load.Slots, 1))
	return min(max(counted, behind), saturated)
}

// ownQueue is what the request's own business has in flight there. Behind a
// fair queue that is what it waits for, whatever others have queued.
type ownQueue struct{}

func (ownQueue) Score(r *Request, c *Candidate) float64 {
	return float64(c.InFlightCounts.Count(r.Business)) / float64(max(c.Load.Slots, 1))
}

// affinity favours the prefix's home, whose cache may hold the prefix.
type affinity struct{}

func (affinity) Score(r *Request, c *Candidate) float64 {
	if c == r.home {
		return -affinityCap
	}
	return 0
}

// twoChoices draws two at random, and the prefix's home besides, and takes the
// best of them. Taking the best of all instead would send every entry to the
// same endpoint until its next report.
type twoChoices struct{ rng *rand.Rand }

func (p twoChoices) Pick(r *Request, kept []*Candidate, by Scorer) *Candidate {
	first := p.rng.IntN(len(kept))
	best := kept[first]
	if len(kept) == 1 {
		return best
	}
	// Two different ones: drawn with repetition, a slow endpoint among six
	// would get one request in 36 without being compared with any other.
	second := p.rng.IntN(len(kept) - 1)
	if second >= first {
		second++
	}
	best = better(r, by, best, kept[second])
	if r.home != nil {
		best = better(r, by, best, r.home)
	}
	return best
}

func better(r *Request, by Scorer, a, b *Candidate) *Candidate {
	if a != b && by.Score(r, b) < by.Score(r, a) {
		return b
	}
	return a
}

// homeOf returns the candidate with the highest hash of prefix and endpoint.
// Every entry finds the same home without a word between them, and an endpoint
// that goes moves only its own prefixes.
func homeOf(prefix uint64, kept []*Candidate) *Candidate {
	if prefix == 0 {
		return nil
	}
	var home *Candidate
	highest := uint64(0)
	for _, c := range kept {
		if weight := rendezvous.Weight(prefix, c.Key); home == nil || weight > highest {
			home, highest = c, weight
		}
	}
	return home
}
