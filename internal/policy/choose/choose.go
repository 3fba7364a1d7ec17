// Package choose picks the endpoint for one attempt of a request: filters take
// out those that may not have it, a picker draws from the rest, and scorers
// compare what it drew. Each is a small type behind an interface with one
// method. A choice allocates nothing.
package choose

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Candidate is one endpoint as the chooser knows it. Its owner updates the
// fields between choices.
type Candidate struct {
	ID     string
	Key    uint64 // hash of ID
	Domain string // failure domain

	InFlight         int            // calls of this process that the endpoint has not answered
	InFlightCounts   InFlightCounts // the requests among them, by business
	Load             wire.Load      // as it was reported
	ReportedAt       time.Time      // when Load came; zero: never
	InFlightAtReport int            // InFlight at that moment

	Ready   bool // the agent answered and takes requests
	Leaving bool
	Suspect bool // its connection or its endpoint does not answer
}

// InFlightCounts counts requests in flight by business. The zero value is ready.
type InFlightCounts struct{ counts map[string]int }

// Add changes a business's count. The businesses are the declared ones, so the
// counts stay bounded and are kept when they fall to 0.
func (f *InFlightCounts) Add(business string, n int) {
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[business] += n
}

// Count returns a business's count.
func (f *InFlightCounts) Count(business string) int { return f.counts[business] }

// SetLoad takes a load that came with a reply into account.
func (c *Candidate) SetLoad(now time.Time, load wire.Load) {
	c.Load = load
	c.ReportedAt = now
	c.InFlightAtReport = c.InFlight
	c.Leaving = c.Leaving || load.Leaving
}

// Usable tells whether the candidate may be given a request.
func (c *Candidate) Usable() bool {
	return c.Ready && !c.Leaving && !c.Suspect && !c.Load.Down
}

// Request is what a choice depends on.
type Request struct {
	Now      time.Time
	Business string
	Prefix   uint64   // hash of the prompt's beginning; 0: no affinity
	Exclude  []string // endpoints that this request has tried

	home *Candidate // of Prefix; set by Choose
}

// Filter takes candidates out.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate; the lowest sum of all scorers wins. The unit is
// the endpoint's slots: 1 means as many requests as it has slots.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Picker chooses among the candidates that the filters kept, at least one.
type Picker interface {
	Pick(r *Request, kept []*Candidate, by Scorer) *Candidate
}

// Chooser chooses with the given filters, scorers and picker. It is not safe
// for concurrent use.
type Chooser struct {
	filters []Filter
	last    []Filter // in force when the filters keep nothing
	scorers Sum
	picker  Picker
	kept    []*Candidate // reused by every choice
	request Request      // reused likewise
}

// New returns the chooser that entries use: leaving, suspect and excluded
// endpoints out, power of two choices over the aged load, and the prefix's home
// among the choices with a capped bonus. If every endpoint that is left is
// suspect, a suspect one is better than none, as the fault may be on this side.
func New(rng *rand.Rand) *Chooser {
	return &Chooser{
		filters: []Filter{notExcluded{}, taking{}, notSuspect{}},
		last:    []Filter{notExcluded{}, taking{}},
		scorers: Sum{agedLoad{}, ownQueue{}, affinity{}},
		picker:  twoChoices{rng: rng},
	}
}

// NewWith returns a chooser of the given parts.
func NewWith(filters []Filter, scorers Sum, picker Picker) *Chooser {
	return &Chooser{filters: filters, last: filters, scorers: scorers, picker: picker}
}

// Choose returns the candidate for the request, or nil if none may have it.
func (c *Chooser) Choose(request Request, candidates []*Candidate) *Candidate {
	// Behind the interfaces the request would escape to the heap on each call.
	c.request = request
	r := &c.request
	c.filter(r, candidates, c.filters)
	if len(c.kept) == 0 {
		c.filter(r, candidates, c.last)
	}
	if len(c.kept) == 0 {
		return nil
	}
	r.home = homeOf(r.Prefix, c.kept)
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
