// Package choose selects the endpoint for one attempt of a request. Filters exclude
// endpoints that may not receive it, a picker samples from the rest, and scorers
// compare the sampled ones. Each is a small type behind an interface with one
// method. A choice does not allocate.
//
// It serves deployments with agents, whose answers report the load of their endpoint. Package
// endpoints does the same for processes that know only the outcomes of their own requests.
package choose

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Candidate is the state of one endpoint that a choice depends on. Its owner updates
// the fields between choices.
type Candidate struct {
	ID     string
	Key    uint64 // hash of ID
	Domain string // failure domain

	InFlight         int            // calls of this process that the endpoint has not answered
	InFlightCounts   InFlightCounts // the requests among these calls, by business
	Load             wire.Load      // last reported load
	ReportedAt       time.Time      // when Load was received; zero: never
	InFlightAtReport int            // InFlight when Load was received

	Ready   bool // the agent answered and accepts requests
	Leaving bool
	Suspect bool // its connection or its endpoint does not answer
}

// InFlightCounts counts requests in flight by business. The zero value is ready to use.
type InFlightCounts struct{ counts map[string]int }

// Add changes the count of a business by n. Only declared businesses occur, which
// bounds the map, so entries are kept when their count falls to 0.
func (f *InFlightCounts) Add(business string, n int) {
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[business] += n
}

// Count returns the count of a business.
func (f *InFlightCounts) Count(business string) int { return f.counts[business] }

// SetLoad stores a load that was received with a reply.
func (c *Candidate) SetLoad(now time.Time, load wire.Load) {
	c.Load = load
	c.ReportedAt = now
	c.InFlightAtReport = c.InFlight
	c.Leaving = c.Leaving || load.Leaving
}

// Usable reports whether the candidate may receive requests.
func (c *Candidate) Usable() bool {
	return c.Ready && !c.Leaving && !c.Suspect && !c.Load.Down
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Now      time.Time
	Business string
	Prefix   uint64   // hash of the beginning of the prompt; 0: no affinity
	Exclude  []string // IDs of endpoints that this request was already sent to

	affinityHome *Candidate // endpoint with affinity for Prefix; set by Choose
}

// Filter decides which candidates a request may be sent to.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate. The candidate with the lowest sum of scores wins. The
// unit is the endpoint's slots: 1 means as many requests as it has slots.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Picker selects one of the candidates that the filters kept. There is at least one.
type Picker interface {
	Pick(r *Request, kept []*Candidate, scorer Scorer) *Candidate
}

// Chooser combines filters, scorers and a picker. It is not safe for concurrent use.
type Chooser struct {
	filters         []Filter
	fallbackFilters []Filter // used if filters keep no candidate
	scorers         Sum
	picker          Picker
	kept            []*Candidate // reused by every choice
	request         Request      // reused by every choice
}

// New returns the Chooser that entries use. It excludes leaving, suspect and already
// tried endpoints, samples two of the rest and takes the one with the lower score
// (power of two choices). The affinity home of the prefix is compared as well and
// gets a bounded bonus. If every remaining endpoint is suspect, suspect ones are
// used: the fault may be on this side of the connection.
func New(rng *rand.Rand) *Chooser {
	return &Chooser{
		filters:         []Filter{notExcluded{}, acceptsRequests{}, notSuspect{}},
		fallbackFilters: []Filter{notExcluded{}, acceptsRequests{}},
		scorers:         Sum{decayedLoad{}, businessLoad{}, affinity{}},
		picker:          powerOfTwoChoices{rng: rng},
	}
}

// NewWith returns a Chooser of the given parts.
func NewWith(filters []Filter, scorers Sum, picker Picker) *Chooser {
	return &Chooser{filters: filters, fallbackFilters: filters, scorers: scorers, picker: picker}
}

// Choose returns the candidate for the request, or nil if none may receive it.
func (c *Chooser) Choose(request Request, candidates []*Candidate) *Candidate {
	// If the request were passed to the interfaces directly, it would escape to the heap.
	c.request = request
	r := &c.request
	c.filter(r, candidates, c.filters)
	if len(c.kept) == 0 {
		c.filter(r, candidates, c.fallbackFilters)
	}
	if len(c.kept) == 0 {
		return nil
	}
	r.affinityHome = affinityHomeOf(r.Prefix, c.kept)
	return c.picker.Pick(r, c.kept, &c.scorers)
}

func (c *Chooser) filter(r *Request, candidates []*Candidate, filters []Filter) {
	c.kept = c.kept[:0]
	for _, candidate := range candidates {
		if keep(r, candidate, filters) {
			c.kept = append(c.kept, candidate)
		}
	}
}

func keep(r *Request, c *Candidate, filters []Filter) bool {
	for _, f := range filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}
