// Package modelplan decides which engine carries which model and when it loads
// a new weight version. It does no input or output and keeps no time.
//
// For about a second a loading engine starts nothing new of that model, though
// what it runs goes on, and the model's cache is lost. Where steps accept the
// version before the newest, an engine that loads every second version serves
// every step, and loads just when its old version is of no more use. So half of
// a model's engines follow the odd versions and half the even ones, and a step's
// first items always find half of its engines free of loads.
//
// Loads are few: a quarter of a service's engines may load at once, for about a
// second each. Each model gets engines by its share of the items, but no more than
// its steps can use, and the model whose ready engines are fewest for its share
// loads first.
package modelplan

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// loadingShare of a service's engines load at once: beyond about a fifth the
	// weight store serves each load more slowly, but a step waits longer for loads
	// that have not begun.
	loadingShare = 0.25
	// confirmWithin is how long an accepted load may go unconfirmed by the
	// platform's list before the engine is asked again: a load's second, times
	// two for a busy store, and the list's delay.
	confirmWithin = 4 * time.Second
	// retryPause follows an order that failed or has no answer.
	retryPause = 700 * time.Millisecond
	// carriedShare is how many models' places there are for each engine: over 1, as
	// a step's first items find only the half of a model's engines that loads at
	// the next version, and low enough that the loads of a version are done before
	// the next one is named.
	carriedShare = 1.6
	// fewestEngines is how many engines carry a model, whatever its share: one
	// more than a crash may take.
	fewestEngines = 2
	// filled is the share of its places that a model's engine is expected to use when
	// a step comes. Where there are engines enough for less, more of them would not
	// make the step faster: half load at the next version, so those that serve it are
	// half full, and its longest texts are placed beside few others.
	filled = 0.25
	// itemsWeight is the share of a new step in the running mean of a model's items.
	itemsWeight = 0.5
	// stride is every how many versions an engine loads where steps accept the
	// version before the newest.
	stride = 2
	// settleNamed is how long loads wait after a version is named: the step that
	// waited for it comes within some 50 ms and fills the engines' slots first.
	settleNamed = 250 * time.Millisecond
)

// Engine is one engine as the platform lists it.
type Engine struct {
	ID       string
	Born     int64
	Leaving  bool
	InFlight int              // requests in flight, as far as known
	Slots    int              // requests that it runs at once
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
	LoadEveryVersion bool // every engine of a model loads every version

	models  []string // sorted
	named   map[string]int64
	since   map[string]time.Time // when the newest version was named
	needed  map[string]int64     // oldest version that the newest step accepts
	slack   map[string]int64     // versions that a step accepts behind the newest
	items   map[string]float64   // running mean of a step's items
	pending map[string]*pending  // by engine
}

// New returns a planner for the models of a service.
func New(models []string) *Planner {
	sorted := append([]string(nil), models...)
	sort.Strings(sorted)
	return &Planner{models: sorted, named: map[string]int64{}, since: map[string]time.Time{}, needed: map[string]int64{}, slack: map[string]int64{}, items: map[string]float64{}, pending: map[string]*pending{}}
}

// SetNewestVersion notes the newest version of a model. Older ones are ignored.
func (p *Planner) SetNewestVersion(now time.Time, model string, version int64) {
	if version > p.named[model] {
		p.named[model] = version
		p.since[model] = now
	}
}

// RecordStep notes a step: the oldest version that it accepts, and its items. Engines
// below that version can do nothing for it.
func (p *Planner) RecordStep(model string, version int64, items int) {
	if version <= p.needed[model] {
		return
	}
	p.needed[model] = version
	p.slack[model] = max(p.slack[model], p.named[model]-version)
	if p.items[model] == 0 {
		p.items[model] = float64(items)
	}
	p.items[model] += (float64(items) - p.items[model]) * itemsWeight
}

// Next returns the orders to give now.
func (p *Planner) Next(now time.Time, engines []Engine) []Order {
	live := usable(engines)
	p.settle(now, live)
	carried := p.deal(live)
	var orders []Order
	for room := p.room(len(live)); room > 0; room-- {
		next, found := p.next(now, carried)
		if !found {
			break
		}
		p.pending[next.Engine] = &pending{order: next, since: now, again: now.Add(retryPause), waiting: true}
		orders = append(orders, next)
	}
	return orders
}

// next returns the load of the model whose ready engines are fewest for its
// share.
func (p *Planner) next(now time.Time, carried map[string][]Engine) (Order, bool) {
	var best Order
	found, least := false, 0.0
	for _, model := range p.models {
		engine, due := p.due(now, model, carried[model])
		if !due {
			continue
		}
		ready := float64(p.ready(model, carried[model])) / float64(len(carried[model]))
		if !found || ready < least {
			best = Order{Engine: engine.ID, Born: engine.Born, Model: model, Version: p.named[model]}
			found, least = true, ready
		}
	}
	return best, found
}

// ready counts engines that can serve the newest step, or that load for it.
func (p *Planner) ready(model string, engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.Versions[model] >= max(p.needed[model], p.named[model]-1) || p.loads(e, model) {
			n++
		}
	}
	return n
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
		if w, found := p.pending[id]; found && !w.waiting && !now.Before(w.again) {
			delete(p.pending, id)
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

// deal gives each model its engines: those whose weights for it are newest, so
// that a deal stays as it is while engines come and go.
func (p *Planner) deal(live []Engine) map[string][]Engine {
	carried := map[string][]Engine{}
	models := len(p.models)
	if models == 0 {
		return carried
	}
	quota := p.quotas(live)
	type pair struct {
		engine int
		model  string
		gap    int64
		draw   uint64
	}
	var pairs []pair
	for i, e := range live {
		for _, model := range p.models {
			if _, serves := e.Versions[model]; serves {
				pairs = append(pairs, pair{i, model, p.gap(e, model), rendezvous.Weight(rendezvous.Key(e.ID), rendezvous.Key(model))})
			}
		}
	}
	sort.Slice(pairs, func(a, b int) bool {
		if pairs[a].gap != pairs[b].gap {
			return pairs[a].gap < pairs[b].gap
		}
		return pairs[a].draw > pairs[b].draw
	})
	carries := make([]int, len(live))
	for _, c := range pairs {
		if carries[c.engine] == stride || len(carried[c.model]) >= quota[c.model] {
			continue
		}
		carries[c.engine]++
		carried[c.model] = append(carried[c.model], live[c.engine])
	}
	return carried
}

// quotas gives each model its number of engines, by its share of the items. A
// service of thousands of engines would otherwise load each version on half of
// them for a step of a hundred items.
func (p *Planner) quotas(live []Engine) map[string]int {
	total := 0.0
	for _, model := range p.models {
		total += max(1, p.items[model])
	}
	places := meanSlots(live)
	quota := map[string]int{}
	for _, model := range p.models {
		share := carriedShare * float64(len(live)) * max(1, p.items[model]) / total
		if items := p.items[model]; items > 0 { // otherwise no step was seen yet
			share = min(share, math.Ceil(items/(filled*places)))
		}
		quota[model] = min(len(live), max(fewestEngines, int(math.Round(share))))
	}
	return quota
}

// meanSlots returns the mean of the engines' slots, at least 1.
func meanSlots(engines []Engine) float64 {
	slots := 0
	for _, e := range engines {
		slots += e.Slots
	}
	if len(engines) == 0 {
		return 1
	}
	return max(1, float64(slots)/float64(len(engines)))
}

// due returns the engine that should load the model's newest version next: one
// that can do nothing for the newest step, or else one of the half that follows
// this version.
func (p *Planner) due(now time.Time, model string, engines []Engine) (Engine, bool) {
	newest, behind := 0, int64(0)
	var chosen Engine
	found := false
	for _, e := range engines {
		gap := p.gap(e, model)
		if gap == 0 || p.loads(e, model) {
			newest++
			continue
		}
		if _, busy := p.pending[e.ID]; !busy && (!found || gap > behind) {
			chosen, found, behind = e, true, gap
		}
	}
	if !found || behind >= stride || chosen.Versions[model] < p.needed[model] {
		return chosen, found
	}
	if now.Sub(p.since[model]) < settleNamed {
		return Engine{}, false
	}
	// The other half loads at the next version.
	return chosen, p.LoadEveryVersion || p.slack[model] == 0 || 2*newest < len(engines)
}

// loads tells whether the engine has an order for the model's newest version.
func (p *Planner) loads(e Engine, model string) bool {
	w, found := p.pending[e.ID]
	return found && w.order.Model == model && w.order.Version == p.named[model]
}

// RecordResult takes in what became of an order. One without an answer keeps its place
// among the loads, as it may be carried out yet.
func (p *Planner) RecordResult(now time.Time, o Order, result Result) {
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
