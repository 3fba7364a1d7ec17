// Package endpoints decides which endpoint of a service gets a request. It
// knows each endpoint from the platform's list and from what this process's own
// requests showed: filters take out those that may not have the request, a
// score compares the rest. It does no input or output and keeps no time.
package endpoints

import (
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// firstAside is how long an endpoint gets no requests after failures in a row.
	// A crashed endpoint is back after some seconds, so a first short pause costs
	// little if the failure was a single one.
	firstAside = 500 * time.Millisecond
	// mostAside bounds the pause, so that one that came back is found in time.
	mostAside = 4 * time.Second
	// failuresInRow put an endpoint aside even if it answered something: single
	// lost or broken answers are no sign of a bad endpoint.
	failuresInRow = 3
	// latencyWeight is the share of a new observation in the running mean of an
	// endpoint's time per unit of work: a fourfold slowdown shows after three.
	latencyWeight = 0.3
	// minSlowdown: below it, differences in speed are noise of single requests.
	minSlowdown = 1.3
	// moveSlowdown is how many times slower than usual a request must run before it
	// is worth moving. A full batch runs a quarter slower than an empty one, and an
	// engine that has turned slow three times; moving costs some 10 ms of reading
	// the text in again.
	moveSlowdown = 1.8
	// strangerPenalty is added to the score of an endpoint in another failure
	// domain, in slots: it decides between equals and yields to any real load.
	strangerPenalty = 0.02
	// backgroundShare of an endpoint's places, as a divisor, may hold one process's
	// background requests. An owner that comes back with a step's whole texts would
	// have them all scored at once, and callers' lookups would wait behind them; two
	// such owners leave a third of the places.
	backgroundShare = 3
	// firstFullPause keeps an endpoint that refused as full from being asked at
	// once; it doubles up to mostFullPause while the endpoint goes on refusing, as
	// one that loads weights does for about a second.
	firstFullPause = 25 * time.Millisecond
	mostFullPause  = 200 * time.Millisecond
)

// State is one endpoint and what this process saw of it.
type State struct {
	deployment.Endpoint
	InFlight int // requests of this process without an end

	failures   int
	aside      time.Duration // last pause
	until      time.Time     // no requests before
	full       time.Duration // last pause after a refusal
	probing    bool          // one request tries it after a pause
	cost       float64       // running mean of seconds per unit of work, waits included; 0: unknown
	burden     float64       // sum of the requests' weighted work
	heavy      int           // requests whose end others wait for
	others     ProcessLoad   // that other processes have there
	pace       float64       // running mean of seconds per unit of work once begun; 0: unknown
	loads      *load         // weights being loaded; nil: none known
	preference uint64        // of this process among equals, the highest first
	set        *Set
}

// load is a load of weights under way at an endpoint.
type load struct {
	model   string
	version int64
	until   time.Time
}

// loadTakes is how long a load is taken to last: 0.9 s where few load at once. One
// that lasts longer is found out by the endpoint's refusals.
const loadTakes = time.Second

// MarkLoading notes that the endpoint was ordered to load weights. It starts nothing
// of that model meanwhile: without the word of who gave the order, an owner of
// items found that out by two or three refusals for each load.
func (e *State) MarkLoading(now time.Time, model string, version int64) {
	e.loads = &load{model: model, version: version, until: now.Add(loadTakes)}
}

func (e *State) loading(r *Request) bool {
	l := e.loads
	return l != nil && l.model == r.Model && r.Now.Before(l.until) && e.Versions[l.model] < l.version
}

// Set is the endpoints of one service. It is not safe for concurrent use.
type Set struct {
	Options Options

	self    uint64            // key of this process
	reports map[string]report // by process
	byID    map[string]*State
	list    []*State // sorted by ID, without those that are gone

	typical  float64 // median cost when it was last taken
	observed int     // costs observed since then
	pace     float64 // median pace when it was last taken
	paced    int     // paces observed since then
}

// Options change how endpoints are chosen. The zero value is the usual way.
type Options struct {
	DisableEjection  bool // endpoints that fail are not set aside
	SharedPreference bool // all processes prefer the same endpoint among equals
	IgnoreDomain     bool // endpoints in other failure domains are as good as near ones
}

// NewSet returns an empty set of a process. Each process prefers other
// endpoints among equals: with the first in the order of their IDs, as many idle
// processes as there are in a failure domain all chose the same one.
func NewSet(self string) *Set {
	return &Set{self: rendezvous.Key(self), byID: map[string]*State{}}
}

// Put takes in what the platform lists of an endpoint.
func (s *Set) Put(e deployment.Endpoint) {
	if known, found := s.byID[e.ID]; found && known.SameStart(&e) {
		known.Endpoint = e
		return
	}
	s.Remove(e.ID)
	s.byID[e.ID] = &State{Endpoint: e, preference: rendezvous.Weight(s.self, rendezvous.Key(e.ID)), set: s}
	s.sort()
}

// Remove takes out an endpoint that is no longer listed.
func (s *Set) Remove(id string) {
	if s.byID[id] == nil {
		return
	}
	delete(s.byID, id)
	s.sort()
}

// Get returns an endpoint, or nil.
func (s *Set) Get(id string) *State { return s.byID[id] }

// All returns the endpoints sorted by ID. The slice must not be changed.
func (s *Set) All() []*State { return s.list }

func (s *Set) sort() {
	list := make([]*State, 0, len(s.byID))
	for _, e := range s.byID {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.list = list
}

// Request is what a choice depends on.
type Request struct {
	Now             time.Time
	Domain          string   // of this process
	Tried           []string // IDs that the request was sent to
	Model           string   // empty: no model is needed
	MinVersion      int64    // oldest weight version that may serve it
	Version         int64    // the one version that may serve it; 0: any from MinVersion
	RequireFreeSlot bool     // only an endpoint with a free slot, as far as is known
	// Background has a request leave room for others: this process has no more such
	// requests at an endpoint than a share of its places.
	Background bool
	Placement
}

// Pick returns the endpoint with the lowest score and counts the request as in
// flight there; nil if none may have it. End must be called for each pick.
// Endpoints that are put aside are used only if no other is left: the fault may
// be on this side.
func (s *Set) Pick(r Request) *State {
	s.forgetOld(r.Now)
	best, reserve := (*State)(nil), (*State)(nil)
	least := 0.0
	slow, pace := s.typicalCost(), 0.0
	if r.RemainingWork > 0 {
		pace = s.TypicalPace()
	}
	for _, e := range s.list {
		if !e.may(&r) {
			continue
		}
		if !e.usable(r.Now) {
			if reserve == nil || e.until.Before(reserve.until) {
				reserve = e
			}
			continue
		}
		if score := e.score(&r, slow, pace); best == nil || score < least || score == least && !s.Options.SharedPreference && e.preference > best.preference {
			best, least = e, score
		}
	}
	if best == nil && !r.RequireFreeSlot {
		best = reserve
	}
	if best == nil {
		return nil
	}
	if best.failures > 0 {
		best.probing = true
	}
	best.InFlight++
	best.join(&r.Placement)
	return best
}

func (e *State) may(r *Request) bool {
	if e.Leaving || contains(r.Tried, e.ID) {
		return false
	}
	if r.Background && e.InFlight >= max(1, e.slots()/backgroundShare) {
		return false
	}
	if r.RequireFreeSlot && e.running() >= e.slots() {
		return false
	}
	if e.crowds(&r.Placement) {
		return false
	}
	if r.Model == "" {
		return true
	}
	version, serves := e.Versions[r.Model]
	if !serves || version < r.MinVersion || e.loading(r) {
		return false
	}
	return r.Version == 0 || version == r.Version
}

func (e *State) usable(now time.Time) bool {
	return !now.Before(e.until) && !e.probing
}

func (e *State) slots() int { return max(1, e.Slots) }

// score estimates how long a request would take there, in units of a request at
// an idle endpoint of usual speed.
func (e *State) score(r *Request, typical, pace float64) float64 {
	if r.RemainingWork > 0 {
		return e.delay(&r.Placement, pace)
	}
	load := float64(e.InFlight+1) / float64(e.slots())
	if typical > 0 && e.cost > minSlowdown*typical {
		load *= e.cost / typical
	}
	if e.Domain != r.Domain && !e.set.Options.IgnoreDomain {
		load += strangerPenalty
	}
	return load
}

// fewChanges is the share of the endpoints, as a divisor, that must have shown
// other figures for a median to be taken anew.
const fewChanges = 16

// typicalCost is the median of the endpoints' costs, 0 if it is unknown. It is
// taken anew only once some of the endpoints showed another cost: sorting more than
// a thousand at each choice is most of its time.
func (s *Set) typicalCost() float64 {
	if s.observed > len(s.list)/fewChanges {
		s.observed = 0
		s.typical = median(s.list, func(e *State) float64 { return e.cost })
	}
	return s.typical
}

// median returns the lower median of what is known of the endpoints, or 0.
func median(list []*State, of func(*State) float64) float64 {
	values := make([]float64, 0, len(list))
	for _, e := range list {
		if v := of(e); v > 0 {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// Outcome is how a request to an endpoint ended.
type Outcome int

// The outcomes.
const (
	Answered     Outcome = iota // it answered, whatever the status
	Refused                     // it said that it is full; the request did not run
	Replaced                    // another instance has the address
	BrokenAnswer                // the answer broke off or made no sense
	Unreachable                 // no connection, or silence
	Cancelled                   // this side ended the request
)

// End takes the end of a picked request into account. took and work give its
// duration and size in units of work; 0 work says nothing of the speed.
func (e *State) End(now time.Time, outcome Outcome, took time.Duration, work float64) {
	e.InFlight--
	e.probing = false
	switch outcome {
	case Answered:
		e.failures, e.aside, e.full = 0, 0, 0
		e.observe(took, work)
	case Refused:
		if !now.Before(e.until) {
			e.full = min(max(2*e.full, firstFullPause), mostFullPause)
			e.until = now.Add(e.full)
		}
	case Replaced, Unreachable:
		e.putAside(now)
	case BrokenAnswer:
		e.failures++
		if e.failures >= failuresInRow {
			e.putAside(now)
		}
	case Cancelled:
		e.observeAtLeast(took, work)
	}
}

// ObservePace notes how many seconds a unit of work took an endpoint, without the wait
// before the first.
func (e *State) ObservePace(seconds float64) {
	e.set.paced++
	if e.pace == 0 {
		e.pace = seconds
		return
	}
	e.pace += (seconds - e.pace) * latencyWeight
}

// HasFaster tells whether a request that has had pace seconds per unit of work here
// would be served markedly faster at another endpoint that has a free slot.
func (s *Set) HasFaster(r Request, than *State, pace float64) bool {
	typical := s.TypicalPace()
	if typical == 0 || pace < moveSlowdown*typical {
		return false
	}
	r.RequireFreeSlot = true
	for _, e := range s.list {
		if e != than && e.may(&r) && e.usable(r.Now) && e.pace > 0 && e.pace*moveSlowdown < pace {
			return true
		}
	}
	return false
}

// UnavailableUntil tells whether the endpoint is put aside at a time, and until when.
func (e *State) UnavailableUntil(now time.Time) (time.Time, bool) {
	return e.until, now.Before(e.until)
}

func (e *State) observe(took time.Duration, work float64) {
	if work <= 0 {
		return
	}
	e.set.observed++
	cost := took.Seconds() / work
	if e.cost == 0 {
		e.cost = cost
		return
	}
	e.cost += (cost - e.cost) * latencyWeight
}

// observeAtLeast takes in a request that was ended on this side while it was
// under way: it would have taken longer. Without it an endpoint that turned slow
// stayed the first choice, as each request that showed it was ended once a second
// endpoint had answered.
func (e *State) observeAtLeast(took time.Duration, work float64) {
	if work > 0 && took.Seconds()/work > e.cost {
		e.observe(took, work)
	}
}

func (e *State) putAside(now time.Time) {
	e.failures++
	if now.Before(e.until) || e.set.Options.DisableEjection {
		return // further requests that were under way tell nothing new
	}
	e.aside = min(max(2*e.aside, firstAside), mostAside)
	e.until = now.Add(e.aside)
}

func contains(list []string, id string) bool {
	for _, one := range list {
		if one == id {
			return true
		}
	}
	return false
}
