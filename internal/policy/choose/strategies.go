package choose

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// loadHalfLife is the time after which a reported load counts half. It is twice the
	// usual heartbeat interval, so that a missed heartbeat does not make a busy endpoint
	// look idle to every entry at once.
	loadHalfLife = 2 * time.Second
	// maxLoadScore caps the load score: above it endpoints are saturated and no longer
	// differ by load. Their queues are fair, so a request's waiting time then depends on
	// the requests of its own business. Without the cap the choices of all businesses
	// follow the changes in one greedy business's load; a modest business then sends
	// half of its lookups to one engine of six.
	maxLoadScore = 2.0
	// affinityBonus is subtracted from the score of the affinity home, in slots. The
	// requests of a hot prefix spread as soon as its home is that much busier than the
	// sampled endpoints.
	affinityBonus = 0.5
)

// notExcluded keeps candidates that are not in Request.Exclude.
type notExcluded struct{}

func (notExcluded) Keep(r *Request, c *Candidate) bool {
	return !slices.Contains(r.Exclude, c.ID)
}

// acceptsRequests keeps candidates that are ready, not leaving and not down.
type acceptsRequests struct{}

func (acceptsRequests) Keep(_ *Request, c *Candidate) bool {
	return c.Ready && !c.Leaving && !c.Load.Down
}

// notSuspect keeps candidates that are not suspect.
type notSuspect struct{}

func (notSuspect) Keep(_ *Request, c *Candidate) bool { return !c.Suspect }

// Sum is a Scorer that adds up the scores of several.
type Sum []Scorer

// Score implements Scorer.
func (s *Sum) Score(r *Request, c *Candidate) float64 {
	total := 0.0
	for _, scorer := range *s {
		total += scorer.Score(r, c)
	}
	return total
}

// decayedLoad scores the calls of this process plus the requests that others had at
// the endpoint when its load was last reported. The reported part decays with
// loadHalfLife. If the reported backlog in seconds is the larger number, as at an
// endpoint that loads weights, it counts instead.
type decayedLoad struct{}

func (decayedLoad) Score(r *Request, c *Candidate) float64 {
	others := float64(max(0, c.Load.Running+c.Load.Queued-c.InFlightAtReport))
	backlog := c.Load.QueuedSeconds
	if others > 0 || backlog > 0 {
		age := r.Now.Sub(c.ReportedAt)
		decay := math.Exp2(-float64(age) / float64(loadHalfLife))
		others *= decay
		backlog *= decay
	}
	requests := (float64(c.InFlight) + others) / float64(max(c.Load.Slots, 1))
	return min(max(requests, backlog), maxLoadScore)
}

// businessLoad scores the requests of the same business in flight at the endpoint. In
// a fair queue these determine the waiting time, whatever other businesses have queued.
type businessLoad struct{}

func (businessLoad) Score(r *Request, c *Candidate) float64 {
	return float64(c.InFlightCounts.Count(r.Business)) / float64(max(c.Load.Slots, 1))
}

// affinity favours the affinity home, whose cache may hold the prefix.
type affinity struct{}

func (affinity) Score(r *Request, c *Candidate) float64 {
	if c == r.affinityHome {
		return -affinityBonus
	}
	return 0
}

// powerOfTwoChoices samples two candidates at random and returns the best of these
// two and the affinity home. The best of all candidates would be the same for every
// entry until its next report, and all requests would go there.
type powerOfTwoChoices struct{ rng *rand.Rand }

func (p powerOfTwoChoices) Pick(r *Request, kept []*Candidate, scorer Scorer) *Candidate {
	first := p.rng.IntN(len(kept))
	best := kept[first]
	if len(kept) == 1 {
		return best
	}
	// The two candidates must differ. Otherwise a slow endpoint among six would be
	// sampled twice for one request in 36 and get it without any comparison.
	second := p.rng.IntN(len(kept) - 1)
	if second >= first {
		second++
	}
	best = lowerScore(r, scorer, best, kept[second])
	if r.affinityHome != nil {
		best = lowerScore(r, scorer, best, r.affinityHome)
	}
	return best
}

// lowerScore returns the candidate with the lower score, a if they are equal.
func lowerScore(r *Request, scorer Scorer, a, b *Candidate) *Candidate {
	if a != b && scorer.Score(r, b) < scorer.Score(r, a) {
		return b
	}
	return a
}

// affinityHomeOf returns the candidate with the highest rendezvous weight for the
// prefix, or nil if there is no prefix. Every entry computes the same home without
// communication, and an endpoint that leaves moves only its own prefixes.
func affinityHomeOf(prefix uint64, kept []*Candidate) *Candidate {
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
