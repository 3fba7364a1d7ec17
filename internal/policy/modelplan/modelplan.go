// Package modelplan decides which engines serve which model and when each of them
// loads a new weight version. It performs no I/O, and callers pass in the current time.
//
// A load takes about a second. During that time the engine starts no new requests of
// the model, although running requests continue, and the engine's cache for the model
// is lost. Where steps accept the version before the newest, an engine that loads
// every second version can serve every step, and it loads only when its old version is
// no longer accepted. So half of a model's engines load the odd versions and the other
// half the even versions. The first items of a step always find half of the model's
// engines free of loads.
//
// The number of concurrent loads is limited: a quarter of a service's engines may load
// at once. Each model is assigned engines in proportion to its share of the items, but
// no more than its steps can use. The model with the smallest fraction of ready engines
// loads first.
//
// Where engines are of unequal speed, a step whose model is loaded at slow engines only cannot
// be on time. Each model then has its share of the fast engines, half of which load each version
// like the half of all engines. Which engine runs a text is decided by package endpoints.
package modelplan

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// maxLoadingShare is the share of a service's engines that may load at once. Beyond
	// about a fifth the weight store serves each load more slowly, but a step waits
	// longer for loads that have not begun.
	maxLoadingShare = 0.25
	// confirmTimeout is how long to wait until the platform's endpoint list confirms an
	// accepted load. After it the engine may be ordered again. It covers a load of one
	// second, doubled for a busy store, and the delay of the list.
	confirmTimeout = 4 * time.Second
	// retryDelay is the delay before an engine gets a new order after one that failed or
	// was not answered.
	retryDelay = 700 * time.Millisecond
	// modelsPerEngine is the mean number of models that an engine is assigned to. It is
	// greater than 1, as the first items of a step find only the half of a model's
	// engines that loads at the next version. It is low enough that the loads of a
	// version are done before the next version is announced.
	modelsPerEngine = 1.6
	// minEnginesPerModel is the minimum number of engines that are assigned to a model,
	// whatever its share of the items, so that the crash of one engine leaves another.
	minEnginesPerModel = 2
	// targetUtilization is the share of its slots that an engine of a model is expected
	// to use when a step arrives. It limits the engines of a model in large services.
	// More engines would not make the step faster: half of the model's engines load at
	// the next version, so those that serve the step are half full, and its longest
	// texts share an engine with few others.
	targetUtilization = 0.25
	// itemsWeight is the weight of a new step in the moving average of a model's items
	// per step.
	itemsWeight = 0.5
	// versionStride is the number of versions from one load of an engine to the next
	// where steps accept the version before the newest. An engine is assigned to no more
	// than this number of models.
	versionStride = 2
	// newVersionDelay is how long loads that are not urgent wait after a new version is
	// announced. The step that waited for the version arrives within about 50 ms, and its
	// items get the engines' slots first.
	newVersionDelay = 250 * time.Millisecond
)

// Engine is the state of an engine as the platform lists it.
type Engine struct {
	ID              string
	StartedAtMillis int64 // start time of the process in Unix milliseconds; distinguishes incarnations of an ID
	Leaving         bool
	InFlight        int              // last known number of requests in flight
	Slots           int              // maximum number of concurrent requests
	Versions        map[string]int64 // loaded weight version by model
}

// Mode says how an engine treats its running requests when it loads new weights.
type Mode int

// The load modes.
const (
	Continue Mode = iota // they continue with the new version
	Finish               // they finish before the load begins
)

// Order is a load that an engine should be told to perform.
type Order struct {
	Engine          string
	StartedAtMillis int64
	Model           string
	Version         int64
}

// Result is the outcome of an order.
type Result int

// The results of orders.
const (
	Accepted Result = iota // the engine executes the order
	Holds                  // the engine has already loaded the version
	Conflict               // the engine accepted another order first
	Unknown                // no answer; the engine may still execute the order
	Rejected               // the engine does not execute the order
)

// pending is the latest order of an engine.
type pending struct {
	order     Order
	startedAt time.Time // when the order was returned by Next, or answered with Accepted or Holds
	retryAt   time.Time // after a failure or timeout, the engine gets no new order before
	loading   bool      // counts as a load in progress: not yet failed, timed out or confirmed by the list
}

// Planner plans the loads of one service. It is not safe for concurrent use.
type Planner struct {
	LoadEveryVersion bool // if set, each engine of a model loads every version

	models         []string             // sorted
	newest         map[string]int64     // newest version by model
	newestAt       map[string]time.Time // when the newest version was announced, by model
	oldestAccepted map[string]int64     // oldest version that the newest step accepts, by model
	allowedLag     map[string]int64     // how many versions behind the newest a step accepts at most, by model
	meanItems      map[string]float64   // moving average of the items per step, by model
	pending        map[string]*pending  // latest orders by engine ID
	fast           map[string]time.Time // when an engine was last known to be fast, by engine ID
	trials         map[string]*trial    // of the newest version, by model
	ordered        map[string]*ordered  // loads that the list has not shown as done yet, by engine ID
	justHeld       []Held               // since the last call of TakeHeld
}

// ordered is an order with the time at which it was given.
type ordered struct {
	order        Order
	at           time.Time
	missingSince time.Time // when its engine was first missing from the list; zero: it is listed
}

// New returns a planner for the models of a service.
func New(models []string) *Planner {
	sorted := append([]string(nil), models...)
	sort.Strings(sorted)
	return &Planner{models: sorted, newest: map[string]int64{}, newestAt: map[string]time.Time{}, oldestAccepted: map[string]int64{}, allowedLag: map[string]int64{}, meanItems: map[string]float64{}, pending: map[string]*pending{}, fast: map[string]time.Time{}, trials: map[string]*trial{}, ordered: map[string]*ordered{}}
}

// SetNewestVersion records the newest version of a model. It ignores a version that is
// not newer than the recorded one.
func (p *Planner) SetNewestVersion(now time.Time, model string, version int64) {
	if version > p.newest[model] {
		p.newest[model] = version
		p.newestAt[model] = now
	}
}

// RecordStep records the oldest version that a model's newest step accepts, and the
// step's number of items. Engines with an older version cannot serve the step.
func (p *Planner) RecordStep(model string, version int64, items int) {
	if version <= p.oldestAccepted[model] {
		return
	}
	p.oldestAccepted[model] = version
	p.allowedLag[model] = max(p.allowedLag[model], p.newest[model]-version)
	if p.meanItems[model] == 0 {
		p.meanItems[model] = float64(items)
	}
	p.meanItems[model] += (float64(items) - p.meanItems[model]) * itemsWeight
}

// Next returns the orders to send now.
func (p *Planner) Next(now time.Time, engines []Engine) []Order {
	live := usable(engines)
	p.recordEnds(now, engines)
	p.updatePending(now, live)
	p.expireFast(now)
	assigned := p.assign(live)
	var orders []Order
	for free := p.freeLoads(len(live)); free > 0; free-- {
		next, found := p.nextOrder(now, assigned)
		if !found {
			break
		}
		p.pending[next.Engine] = &pending{order: next, startedAt: now, retryAt: now.Add(retryDelay), loading: true}
		p.ordered[next.Engine] = &ordered{order: next, at: now}
		p.trialOf(next.Model).retryAt = now.Add(heldInterval)
		orders = append(orders, next)
	}
	return orders
}

// nextOrder returns the load to order next. Of the models with a load due it chooses
// the one with the smallest fraction of ready engines.
func (p *Planner) nextOrder(now time.Time, assigned map[string][]Engine) (Order, bool) {
	var best Order
	found, lowest := false, 0.0
	for _, model := range p.models {
		engine, due := p.nextEngine(now, model, assigned[model])
		if !due || !p.mayLoad(now, model) {
			continue
		}
		ready := float64(p.countReady(model, assigned[model])) / float64(len(assigned[model]))
		if !found || ready < lowest {
			best = Order{Engine: engine.ID, StartedAtMillis: engine.StartedAtMillis, Model: model, Version: p.newest[model]}
			found, lowest = true, ready
		}
	}
	return best, found
}

// countReady returns the number of engines that can serve the newest step or have an
// order for the newest version.
func (p *Planner) countReady(model string, engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.Versions[model] >= max(p.oldestAccepted[model], p.newest[model]-1) || p.hasOrder(e, model) {
			n++
		}
	}
	return n
}

// usable returns the engines that are not leaving, sorted by ID.
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

// updatePending deletes orders that the list shows as done, orders whose engine is gone
// or has restarted, and orders that failed or timed out and whose retry delay is over.
func (p *Planner) updatePending(now time.Time, live []Engine) {
	byID := map[string]Engine{}
	for _, e := range live {
		byID[e.ID] = e
	}
	for id, w := range p.pending {
		e, found := byID[id]
		switch {
		case !found, e.StartedAtMillis != w.order.StartedAtMillis, e.Versions[w.order.Model] >= w.order.Version:
			delete(p.pending, id)
		case w.loading && now.Sub(w.startedAt) > confirmTimeout:
			w.loading = false
		}
		if w, found := p.pending[id]; found && !w.loading && !now.Before(w.retryAt) {
			delete(p.pending, id)
		}
	}
}

// freeLoads returns how many more loads may start now.
func (p *Planner) freeLoads(engines int) int {
	limit := max(1, int(math.Round(maxLoadingShare*float64(engines)))) - p.missing()
	for _, w := range p.pending {
		if w.loading {
			limit--
		}
	}
	return limit
}

// lag returns how many versions the engine is behind for a model.
func (p *Planner) lag(e Engine, model string) int64 {
	version, serves := e.Versions[model]
	if !serves {
		return math.MaxInt32
	}
	return max(0, p.newest[model]-version)
}

// assign chooses the engines of each model. It prefers those with the newest weights of
// the model, which keeps assignments stable while engines come and go.
func (p *Planner) assign(live []Engine) map[string][]Engine {
	assigned := map[string][]Engine{}
	models := len(p.models)
	if models == 0 {
		return assigned
	}
	quota := p.quotas(live)
	type pair struct {
		engine int
		model  string
		lag    int64
		hash   uint64
	}
	var pairs []pair
	for i, e := range live {
		for _, model := range p.models {
			if _, serves := e.Versions[model]; serves {
				pairs = append(pairs, pair{i, model, p.lag(e, model), rendezvous.Weight(rendezvous.Key(e.ID), rendezvous.Key(model))})
			}
		}
	}
	sort.Slice(pairs, func(a, b int) bool {
		if pairs[a].lag != pairs[b].lag {
			return pairs[a].lag < pairs[b].lag
		}
		return pairs[a].hash > pairs[b].hash
	})
	modelCount := make([]int, len(live))
	taken := map[pair]bool{}
	assign := func(c pair, limit int) {
		if taken[c] || modelCount[c.engine] == versionStride || len(assigned[c.model]) >= limit {
			return
		}
		taken[c] = true
		modelCount[c.engine]++
		assigned[c.model] = append(assigned[c.model], live[c.engine])
	}
	shares := p.fastShares(live, quota)
	for _, c := range pairs {
		if p.isFast(live[c.engine]) {
			assign(c, shares[c.model])
		}
	}
	for _, c := range pairs {
		assign(c, quota[c.model])
	}
	return assigned
}

// hasOrder reports whether the engine has an order for the model's newest version.
func (p *Planner) hasOrder(e Engine, model string) bool {
	w, found := p.pending[e.ID]
	return found && w.order.Model == model && w.order.Version == p.newest[model]
}

// RecordResult records the outcome of an order. It ignores an order that is not the
// engine's latest. After a failure or no answer, the order no longer counts as a load in
// progress, and the engine gets no new order until retryDelay has passed.
func (p *Planner) RecordResult(now time.Time, o Order, result Result) {
	w, found := p.pending[o.Engine]
	if !found || w.order != o {
		return
	}
	switch result {
	case Accepted, Holds:
		w.startedAt = now
	case Conflict, Unknown, Rejected:
		if result != Unknown {
			delete(p.ordered, o.Engine) // the engine does not load because of this order
		}
		w.loading = false
		w.retryAt = now.Add(retryDelay)
	}
}
