// Package endpoints selects the endpoint of a service for a request. It knows each
// endpoint from the platform's list and from the outcomes of this process's own
// requests. Filters exclude endpoints that may not serve the request, and the rest
// are compared by a score. The package does no I/O and reads no clock.
//
// The package decides where a request is sent and, where speeds are uneven, whether and where a
// running request is moved. Package schedule decides how much the end of a request matters.
// It serves processes without agents; package choose is its counterpart with agents, which
// report the load of their endpoints.
package endpoints

import (
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/policy/speed"
)

const (
	// baseEjection is the ejection time after a first failure; an ejected endpoint gets no
	// requests. A crashed endpoint is back after some seconds, so a short first ejection
	// costs little if the failure was a single one.
	baseEjection = 500 * time.Millisecond
	// maxEjection bounds the ejection time, which doubles with each failure, so that an
	// endpoint that has recovered is used again soon.
	maxEjection = 4 * time.Second
	// ejectionThreshold is the number of failures in a row after which an endpoint that
	// can be reached is ejected. Single lost or broken answers are no sign of a bad
	// endpoint.
	ejectionThreshold = 3
	// observationWeight is the weight of a new observation in the moving averages of an
	// endpoint's time per unit of work. A fourfold slowdown shows after three requests.
	observationWeight = 0.3
	// minSlowdown is the factor below which differences in speed are taken for noise
	// between single requests.
	minSlowdown = 1.3
	// moveSlowdown is the factor by which a request must run slower than typical before
	// it is moved. A request in a full batch runs a quarter slower than one alone, and
	// an engine that has slowed down is three times slower. After a move the text is
	// processed again, which takes about 10 ms.
	moveSlowdown = 1.8
	// remoteDomainPenalty is added to the score of an endpoint in another failure domain,
	// in slots. It decides between equal endpoints only; any real load outweighs it.
	remoteDomainPenalty = 0.02
	// backgroundDivisor limits the background requests of one process at an endpoint to
	// the endpoint's slots divided by it. An owner of jobs that resumes with all texts of
	// a step would otherwise have them all scored at once, and callers' lookups would
	// wait behind them. Two such owners leave a third of the slots.
	backgroundDivisor = 3
	// baseFullBackoff is the first delay before an endpoint that refused a request as
	// full gets another one. It doubles up to maxFullBackoff while the endpoint still
	// refuses; one that loads weights does so for about a second.
	baseFullBackoff = 25 * time.Millisecond
	maxFullBackoff  = 200 * time.Millisecond
)

// State is an endpoint and what this process knows of it.
type State struct {
	deployment.Endpoint
	InFlight int // requests of this process that have not ended

	failures         int           // in a row
	ejection         time.Duration // last ejection time
	unavailableUntil time.Time     // no requests before
	fullBackoff      time.Duration // last delay after a refusal
	probing          bool          // one request is testing it after an ejection
	cost             float64       // moving average of seconds per unit of work, including waiting; 0: unknown
	weightedWork     float64       // sum of the requests' weighted work
	critical         int           // number of critical requests
	others           ProcessLoad   // load by other processes
	pace             float64       // moving average of seconds per unit of work without the initial wait; 0: unknown
	speed            *speed.Endpoint
	probedAt         time.Time   // when it last got a request to learn its speed
	pendingLoad      *weightLoad // weights being loaded; nil: none known
	preference       uint64      // rendezvous weight for this process; breaks ties between scores, the highest wins
	set              *Set
}

// Set holds the endpoints of one service. It is not safe for concurrent use.
type Set struct {
	Options Options

	self    uint64            // rendezvous key of this process
	reports map[string]report // by process
	byID    map[string]*State
	list    []*State // sorted by ID, without removed ones

	medianCost float64 // cached median of the costs
	newCosts   int     // costs observed since it was computed
	pace       float64 // cached median of the paces
	newPaces   int     // paces observed since it was computed

	speeds *speed.Model
	levels speedLevels
}

// Options switches off parts of the selection. The zero value is the normal behaviour.
type Options struct {
	DisableEjection  bool // failing endpoints are not ejected
	SharedPreference bool // all processes prefer the same endpoint among equal ones
	IgnoreDomain     bool // endpoints in other failure domains are as good as those in the own one
	IgnoreSpeeds     bool // speeds are neither learned nor used
	PlaceByLoad      bool // long requests are not placed by time where speeds are uneven
}

// NewSet returns an empty Set for the process named self. Each process has its own
// order of preference among equal endpoints. With the order of their IDs, all idle
// processes of a failure domain would choose the same endpoint.
func NewSet(self string) *Set {
	return &Set{self: rendezvous.Key(self), byID: map[string]*State{}, speeds: speed.NewModel()}
}

// Put adds or updates an endpoint as the platform lists it.
func (s *Set) Put(e deployment.Endpoint) {
	if known, found := s.byID[e.ID]; found && known.SameIncarnation(&e) {
		known.Endpoint = e
		return
	}
	s.Remove(e.ID)
	s.byID[e.ID] = &State{Endpoint: e, preference: rendezvous.Weight(s.self, rendezvous.Key(e.ID)), set: s, speed: s.trackSpeed(&e)}
	s.sort()
}

// Remove removes an endpoint that is no longer listed.
func (s *Set) Remove(id string) {
	e := s.byID[id]
	if e == nil {
		return
	}
	s.speeds.Forget(e.speedKey())
	delete(s.byID, id)
	s.sort()
}

// Get returns the endpoint with the ID, or nil.
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

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Now             time.Time
	Domain          string   // failure domain of this process
	Tried           []string // IDs of endpoints that the request was already sent to
	Only            []string // IDs of the endpoints that may serve it; empty: any
	Model           string   // empty: no model is needed
	MinVersion      int64    // oldest weight version that may serve it
	Version         int64    // only weight version that may serve it; 0: any from MinVersion
	RequireFreeSlot bool     // only an endpoint with a free slot, as far as is known
	// Background limits the requests of this process at an endpoint to a share of its
	// slots, so that the request leaves room for others.
	Background bool
	Placement
}

// Pick returns the endpoint with the lowest score and counts the request as in flight
// there. It returns nil if no endpoint may serve the request. End must be called for
// each pick. Unavailable endpoints are used only if no other is left and no free slot
// is required: the fault may be on this side of the connection.
func (s *Set) Pick(r Request) *State {
	s.dropStaleReports(r.Now)
	if probe := s.probe(&r); probe != nil {
		probe.take(&r.Placement)
		return probe
	}
	best, fallback := (*State)(nil), (*State)(nil)
	lowest := 0.0
	cost, pace := s.typicalCost(), 0.0
	if r.RemainingWork > 0 {
		pace = s.TypicalPace()
		s.UnevenSpeeds(r.Now)
	}
	for _, e := range s.list {
		if !e.eligible(&r) {
			continue
		}
		if !e.available(r.Now) {
			if fallback == nil || e.unavailableUntil.Before(fallback.unavailableUntil) {
				fallback = e
			}
			continue
		}
		if score := e.score(&r, cost, pace); best == nil || score < lowest || score == lowest && !s.Options.SharedPreference && e.preference > best.preference {
			best, lowest = e, score
		}
	}
	if best == nil && !r.RequireFreeSlot {
		best = fallback
	}
	if best == nil {
		return nil
	}
	best.take(&r.Placement)
	return best
}

// take counts a request that is sent to the endpoint.
func (e *State) take(p *Placement) {
	if e.failures > 0 {
		e.probing = true
	}
	e.InFlight++
	e.addPlacement(p)
}

// eligible reports whether the endpoint may serve the request, regardless of earlier
// failures and refusals.
func (e *State) eligible(r *Request) bool {
	if e.Leaving || contains(r.Tried, e.ID) || len(r.Only) > 0 && !contains(r.Only, e.ID) {
		return false
	}
	if r.Background && e.InFlight >= max(1, e.slots()/backgroundDivisor) {
		return false
	}
	if r.RequireFreeSlot && e.running() >= e.slots() {
		return false
	}
	if e.exceedsCriticalBatchLimit(&r.Placement) || e.set.placesByTime() && e.set.takesLastFastSlot(e, &r.Placement) {
		return false
	}
	if r.Model == "" {
		return true
	}
	version, serves := e.Versions[r.Model]
	if !serves || version < r.MinVersion || e.isLoading(r) {
		return false
	}
	return r.Version == 0 || version == r.Version
}

// available reports whether the endpoint is neither ejected, nor in backoff, nor being
// probed.
func (e *State) available(now time.Time) bool {
	return !now.Before(e.unavailableUntil) && !e.probing
}

func (e *State) slots() int { return max(1, e.Slots) }

// score estimates the duration of the request at the endpoint, in units of a request
// at an idle endpoint of typical speed, or the delay that a long request adds.
func (e *State) score(r *Request, typicalCost, typicalPace float64) float64 {
	if r.RemainingWork > 0 {
		if e.set.placesByTime() {
			return e.set.addedSeconds(e, &r.Placement)
		}
		return e.addedDelay(&r.Placement, typicalPace)
	}
	load := float64(e.InFlight+1) / float64(e.slots())
	if typicalCost > 0 && e.cost > minSlowdown*typicalCost {
		load *= e.cost / typicalCost
	}
	if e.Domain != r.Domain && !e.set.Options.IgnoreDomain {
		load += remoteDomainPenalty
	}
	return load
}

// refreshDivisor sets how often a median is computed again: after more new
// observations than the number of endpoints divided by it.
const refreshDivisor = 16

// typicalCost returns the median of the endpoints' costs, or 0 if it is unknown. The
// median is cached, as sorting more than a thousand costs would take most of the time
// of a choice.
func (s *Set) typicalCost() float64 {
	if s.newCosts > len(s.list)/refreshDivisor {
		s.newCosts = 0
		s.medianCost = median(s.list, func(e *State) float64 { return e.cost })
	}
	return s.medianCost
}

// median returns the lower median of the known values of the endpoints, or 0.
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

func contains(list []string, id string) bool {
	for _, one := range list {
		if one == id {
			return true
		}
	}
	return false
}
