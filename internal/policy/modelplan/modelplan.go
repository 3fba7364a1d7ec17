// Package modelplan decides which engine carries which model and when it loads
// a new weight version. It does no input or output and keeps no time.
//
// For about a second a loading engine starts nothing new, though what it runs
// goes on, and its cache is lost. So no engine follows more than one model:
// engines are dealt out evenly, each to the model for which its weights are
// newest, so that a deal stays as it is while engines come and go. And where
// steps accept the version before the newest, half of a model's engines load at
// each version, in turn, so that the other half takes the step's first items.
package modelplan

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// loadingShare of a service's engines load at once: beyond about a fifth the
	// weight store serves each load more slowly, and too few engines are left.
	loadingShare = 0.2
	// confirmWithin is how long an accepted load may go unconfirmed by the
	// platform's list before the engine is asked again: a load's second, times
	// two for a busy store, and the list's delay.
	confirmWithin = 4 * time.Second
	// retryPause follows an order that failed or has no answer.
	retryPause = 700 * time.Millisecond
	// cohorts load in turn where steps accept the version before the newest.
	cohorts = 2
	// settleNamed is how long loads wait after a version is named: the step that
	// waited for it comes within some 50 ms and fills the engines' slots first.
	settleNamed = 250 * time.Millisecond
)

// Engine is one engine as the platform lists it.
type Engine struct {
	ID       string
	Born     int64
	Leaving  bool
	Load     int              // requests in flight, as far as known
	Versions map[string]int64 // weight version by model
}

// Mode is what becomes of runs under way when new weights are loaded.
type Mode int

// The modes of loading.
const (
	Continue Mode = iota // they go on under the new version
	Finish               // they finish first
)

// Order is a load that should be ordered now.
type Order struct {
	Engine  string
	Born    int64
	Model   string
	Version int64
}

// Result is what became of an order.
type Result int

// The results of orders.
const (
	Accepted Result = iota // it is being carried out
	Holds                  // the engine has that version already
	Conflict               // another order came first
	Unknown                // no answer; it may be carried out yet
	Rejected               // the engine will not do it
)

type pending struct {
	order   Order
	since   time.Time
	again   time.Time // no new order before
	waiting bool      // accepted and not yet seen in the list
}

// Planner plans the loads of one service. It is not safe for concurrent use.
type Planner struct {
	models  []string // sorted
	named   map[string]int64
	since   map[string]time.Time // when the newest version was named
	needed  map[string]int64     // oldest version that the newest step accepts
	slack   map[string]int64     // versions that a step accepts behind the newest
	pending map[string]*pending  // by engine
}

// New returns a planner for the models of a service.
func New(models []string) *Planner {
	sorted := append([]string(nil), models...)
	sort.Strings(sorted)
	return &Planner{models: sorted, named: map[string]int64{}, since: map[string]time.Time{}, needed: map[string]int64{}, slack: map[string]int64{}, pending: map[string]*pending{}}
}

// Name notes the newest version of a model. Older ones are ignored.
func (p *Planner) Name(now time.Time, model string, version int64) {
	if version > p.named[model] {
		p.named[model] = version
		p.since[model] = now
	}
}

// Need notes the oldest version that a step accepts. Engines below it can do
// nothing for the step.
func (p *Planner) Need(model string, version int64) {
	if version <= p.needed[model] {
		return
	}
	p.needed[model] = version
	p.slack[model] = max(0, p.named[model]-version)
}

// Next returns the orders to give now.
func (p *Planner) Next(now time.Time, engines []Engine) []Order {
	live := usable(engines)
	p.settle(now, live)
	carried := p.deal(live)
	room := p.room(len(live))
	var orders []Order
	for _, e := range p.byNeed(live, carried) {
		if room <= 0 {
			break
		}
		order, due := p.order(now, e, carried[e.ID])
		if !due {
			continue
		}
		p.pending[e.ID] = &pending{order: order, since: now, again: now.Add(retryPause), waiting: true}
		orders = append(orders, order)
		room--
	}
	return orders
}

func usable(engines []Engine) []Engine {
	live := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if !e.Leaving {
			live = append(live, e)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// settle forgets orders that are seen carried out, or whose engine is gone.
func (p *Planner) settle(now time.Time, live []Engine) {
	byID := map[string]Engine{}
	for _, e := range live {
		byID[e.ID] = e
	}
	for id, w := range p.pending {
		e, found := byID[id]
		switch {
		case !found, e.Born != w.order.Born, e.Versions[w.order.Model] >= w.order.Version:
			delete(p.pending, id)
		case w.waiting && now.Sub(w.since) > confirmWithin:
			w.waiting = false
		}
	}
}

func (p *Planner) room(engines int) int {
	most := max(1, int(math.Round(loadingShare*float64(engines))))
	for _, w := range p.pending {
		if w.waiting {
			most--
		}
	}
	return most
}

// gap is how many versions the engine is behind for a model.
func (p *Planner) gap(e Engine, model string) int64 {
	version, serves := e.Versions[model]
	if !serves {
		return math.MaxInt32
	}
	return max(0, p.named[model]-version)
}

// deal gives each engine the model that it carries.
func (p *Planner) deal(live []Engine) map[string]string {
	carried := map[string]string{}
	if len(p.models) == 0 {
		return carried
	}
	type pair struct {
		engine int
		model  int
		gap    int64
		draw   uint64
	}
	var pairs []pair
	for i, e := range live {
		for k, model := range p.models {
			if _, serves := e.Versions[model]; serves {
				pairs = append(pairs, pair{i, k, p.gap(e, model), rendezvous.Weight(rendezvous.Key(e.ID), rendezvous.Key(model))})
			}
		}
	}
	sort.Slice(pairs, func(a, b int) bool {
		if pairs[a].gap != pairs[b].gap {
			return pairs[a].gap < pairs[b].gap
		}
		return pairs[a].draw > pairs[b].draw
	})
	quota := quotas(len(live), len(p.models))
	for _, c := range pairs {
		id := live[c.engine].ID
		if _, taken := carried[id]; taken || quota[c.model] == 0 {
			continue
		}
		quota[c.model]--
		carried[id] = p.models[c.model]
	}
	return carried
}

func quotas(engines, models int) []int {
	quota := make([]int, models)
	for i := range quota {
		quota[i] = engines / models
		if i < engines%models {
			quota[i]++
		}
	}
	return quota
}

// byNeed puts the engines that can serve no new step first.
func (p *Planner) byNeed(live []Engine, carried map[string]string) []Engine {
	sorted := append([]Engine(nil), live...)
	urgent := func(e Engine) bool { return p.urgent(e, carried[e.ID]) }
	sort.SliceStable(sorted, func(i, j int) bool { return urgent(sorted[i]) && !urgent(sorted[j]) })
	return sorted
}

// urgent tells whether the engine cannot serve the newest step of its model, or
// will not be able to serve the next one.
func (p *Planner) urgent(e Engine, model string) bool {
	return e.Versions[model] < p.needed[model] || p.gap(e, model) >= cohorts
}

func (p *Planner) order(now time.Time, e Engine, model string) (Order, bool) {
	if model == "" || p.gap(e, model) == 0 {
		return Order{}, false
	}
	if w, found := p.pending[e.ID]; found && (w.waiting || now.Before(w.again)) {
		return Order{}, false
	}
	if !p.urgent(e, model) && !p.turn(now, e, model) {
		return Order{}, false
	}
	return Order{Engine: e.ID, Born: e.Born, Model: model, Version: p.named[model]}, true
}

// turn tells whether an engine that could still serve should load now.
func (p *Planner) turn(now time.Time, e Engine, model string) bool {
	if now.Sub(p.since[model]) < settleNamed {
		return false
	}
	return p.slack[model] == 0 || cohort(e.ID) == p.named[model]%cohorts
}

func cohort(id string) int64 { return int64(rendezvous.Key(id) % cohorts) }

// Done takes in what became of an order. One without an answer keeps its place
// among the loads, as it may be carried out yet.
func (p *Planner) Done(now time.Time, o Order, result Result) {
	w, found := p.pending[o.Engine]
	if !found || w.order != o {
		return
	}
	switch result {
	case Accepted, Holds:
		w.since = now
	case Conflict, Unknown, Rejected:
		w.waiting = false
		w.again = now.Add(retryPause)
	}
}

// Forget drops what is known of orders, as another process may have given some.
func (p *Planner) Forget() { p.pending = map[string]*pending{} }
