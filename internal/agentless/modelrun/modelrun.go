// Package modelrun has engines load the weight versions that trainers announce. One process at
// a time sends the orders to the engines, with the fencing token of its term.
package modelrun

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/periodic"
	"siskinloom.example/siskinloom/internal/policy/modelplan"
)

const (
	// planInterval is the interval of planning loads. A load takes about a second, and each
	// round with orders makes a call to the store to confirm the term.
	planInterval = 200 * time.Millisecond
	// orderTimeout is the timeout of one order to an engine, which includes reading the
	// engine's count of accepted orders where it is not known.
	orderTimeout = time.Second
)

// Order tells an engine to load a version.
type Order struct {
	Model      string
	Version    int64
	FinishRuns bool   // running requests finish first instead of continuing under the new version
	Holder     string // ID of the process that sends the order
	Term       int64  // fencing token
	Expected   int64  // number of orders that the engine has accepted so far
}

// Verdict is an engine's answer to an order.
type Verdict int

// The verdicts on an order.
const (
	Accepted Verdict = iota
	Holds            // the engine already holds that version
	Conflict         // another order was accepted first, or Expected differs
	Outdated         // the engine knows a higher fencing token
	Refused          // the order cannot be carried out, or another engine has the address
)

// EngineClient sends calls to engines.
type EngineClient interface {
	// Accepted returns how many orders an engine has accepted since its start.
	Accepted(ctx context.Context, e *deployment.Endpoint) (int64, error)
	// Order sends an order. After an error the order may still be carried out.
	Order(ctx context.Context, e *deployment.Endpoint, o Order) (Verdict, error)
}

// Runner plans and sends orders while this process holds the duty.
type Runner struct {
	Self      string
	Directory *directory.Directory
	Leader    *cluster.Leader
	Engines   EngineClient
	// OnLoad is called after an order was sent to an engine that may carry it out; may be nil.
	OnLoad   func(endpoint, model string, version int64)
	Log      *logrus.Logger
	Registry metrics.Registry
	Switches *mechanism.Switches

	mu             sync.Mutex
	newestVersions map[string]int64              // newest announced version by model
	newestSteps    map[string]NeedArgs           // newest step by model
	planners       map[string]*modelplan.Planner // by service
	accepted       map[engineKey]int64           // number of accepted orders, where it is known
	fast           map[string][]string           // fast engines that were reported since the last plan, by service
	orders         errgroup.Group
}

// engineKey identifies an incarnation of an engine. Its count of accepted orders starts at 0
// with each incarnation.
type engineKey struct {
	id              string
	startedAtMillis int64 // as in deployment.Endpoint
}

// SetNewestVersion records that a trainer announced a version.
func (r *Runner) SetNewestVersion(model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestVersions == nil {
		r.newestVersions = map[string]int64{}
	}
	r.newestVersions[model] = max(r.newestVersions[model], version)
}

// RecordStep records the version and the number of items that a step needs.
func (r *Runner) RecordStep(step NeedArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestSteps == nil {
		r.newestSteps = map[string]NeedArgs{}
	}
	if step.Version >= r.newestSteps[step.Model].Version {
		r.newestSteps[step.Model] = step
	}
}

// RecordFast records the engines of a model that a process knows to be faster than typical. Engines
// that are not listed are ignored.
func (r *Runner) RecordFast(args FastArgs) {
	if !r.Switches.On(mechanism.PlaceByTime) {
		return
	}
	if len(args.Engines) > maxFastEngines {
		events.FastReportUnused.Log(r.Log, logrus.Fields{"from": args.From, "field": "Engines", "error": "too many"})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fast == nil {
		r.fast = map[string][]string{}
	}
	for _, id := range args.Engines {
		if service := r.Directory.ServiceOf(id); service != "" && len(r.fast[service]) < maxFastEngines {
			r.fast[service] = append(r.fast[service], id)
		}
	}
}

// Run plans and sends orders until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	periodic.Run(ctx, planInterval, func(now time.Time) {
		if _, leads := r.Leader.Term(now); !leads {
			r.reset()
			return
		}
		r.plan(ctx)
	})
	return nil
}

// reset discards the planners and counts, as another process may send orders from now on.
func (r *Runner) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planners = nil
	r.accepted = nil
}

// plan sends the next orders of every service, after the store has confirmed the term.
func (r *Runner) plan(ctx context.Context) {
	table := r.Directory.Table()
	if table == nil {
		return
	}
	for name, service := range table.Declaration.Services {
		if len(service.Models) == 0 {
			continue
		}
		listed := r.Directory.List(name)
		orders := r.nextOrders(name, service.Models, listed)
		if len(orders) == 0 {
			continue
		}
		term, confirmed := r.Leader.Confirm(ctx)
		if !confirmed {
			r.reset()
			return
		}
		for _, o := range orders {
			endpoint := findEndpoint(listed, o.Engine)
			r.orders.Go(func() error { r.sendOrder(ctx, name, endpoint, o, term); return nil })
		}
	}
}

// nextOrders returns the orders for the engines of a service that should be sent now.
func (r *Runner) nextOrders(service string, models []string, listed []directory.EndpointStatus) []modelplan.Order {
	engines := make([]modelplan.Engine, len(listed))
	for i, e := range listed {
		engines[i] = modelplan.Engine{ID: e.ID, StartedAtMillis: e.StartedAtMillis, Leaving: e.Leaving, InFlight: e.InFlight, Slots: e.Slots, Versions: e.Versions}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.planners == nil {
		r.planners = map[string]*modelplan.Planner{}
		r.accepted = map[engineKey]int64{}
	}
	planner := r.planners[service]
	if planner == nil {
		planner = modelplan.New(models)
		r.planners[service] = planner
	}
	planner.RecordFast(time.Now(), r.fast[service])
	delete(r.fast, service)
	planner.LoadEveryVersion = !r.Switches.On(mechanism.AlternateLoads)
	for _, model := range models {
		planner.SetNewestVersion(time.Now(), model, r.newestVersions[model])
		planner.RecordStep(model, r.newestSteps[model].Version, r.newestSteps[model].Items)
	}
	orders := planner.Next(time.Now(), engines)
	r.logHeld(planner.TakeHeld())
	return orders
}

// logHeld logs and counts the versions that became held.
func (r *Runner) logHeld(held []modelplan.Held) {
	for _, h := range held {
		metrics.GetOrRegisterCounter("weights.versions.held", r.Registry).Inc(1)
		events.VersionHeld.Log(r.Log, logrus.Fields{"model": h.Model, "version": h.Version, "endpoints": h.Engines})
	}
}

// findEndpoint returns the listed endpoint with an ID, or nil.
func findEndpoint(listed []directory.EndpointStatus, id string) *deployment.Endpoint {
	for i := range listed {
		if listed[i].ID == id {
			return &listed[i].Endpoint
		}
	}
	return nil
}

// sendOrder sends one order and records its result.
func (r *Runner) sendOrder(ctx context.Context, service string, e *deployment.Endpoint, o modelplan.Order, term int64) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	key := engineKey{e.ID, e.StartedAtMillis}
	expected, err := r.acceptedCount(ctx, e, key)
	verdict := Refused
	if err == nil {
		verdict, err = r.Engines.Order(ctx, e, Order{Model: o.Model, Version: o.Version, FinishRuns: r.requiresSingleVersion(service), Holder: r.Self, Term: term, Expected: expected})
	}
	if r.OnLoad != nil && r.Switches.On(mechanism.TellLoads) && (err != nil || verdict == Accepted) {
		r.OnLoad(e.ID, o.Model, o.Version)
	}
	result := r.recordVerdict(key, expected, verdict, err)
	r.logOrder(e, o, term, expected, verdict, err)
	if err == nil && verdict == Outdated {
		r.Leader.Resign()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if planner := r.planners[service]; planner != nil {
		planner.RecordResult(time.Now(), o, result)
	}
}

// requiresSingleVersion returns whether a route to the service requires each text to be
// generated by one version. Running requests then finish before new weights are loaded;
// continuing under the new weights would make their texts unusable.
func (r *Runner) requiresSingleVersion(service string) bool {
	for _, route := range r.Directory.Table().Declaration.Routes {
		for _, backend := range route.Backends {
			if route.SingleVersion && backend.Service == service {
				return true
			}
		}
	}
	return false
}

// acceptedCount returns how many orders the engine has accepted. Each order carries this
// count, so that an order which arrives late, after a newer one, has no effect.
func (r *Runner) acceptedCount(ctx context.Context, e *deployment.Endpoint, key engineKey) (int64, error) {
	r.mu.Lock()
	known, found := r.accepted[key]
	r.mu.Unlock()
	if found {
		return known, nil
	}
	return r.Engines.Accepted(ctx, e)
}

// recordVerdict updates the engine's count of accepted orders and returns the order's result
// for the planner.
func (r *Runner) recordVerdict(key engineKey, expected int64, verdict Verdict, err error) modelplan.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted == nil {
		return modelplan.Unknown
	}
	if err != nil {
		delete(r.accepted, key)
		return modelplan.Unknown
	}
	switch verdict {
	case Accepted:
		r.accepted[key] = expected + 1
		return modelplan.Accepted
	case Holds:
		delete(r.accepted, key) // unknown whether the engine counted the order
		return modelplan.Holds
	case Conflict:
		delete(r.accepted, key)
		return modelplan.Conflict
	default:
		delete(r.accepted, key)
		return modelplan.Rejected
	}
}

var verdictNames = [...]string{"accepted", "holds", "conflict", "outdated", "refused"}

// logOrder logs an order with its verdict or error.
func (r *Runner) logOrder(e *deployment.Endpoint, o modelplan.Order, term, expected int64, verdict Verdict, err error) {
	fields := logrus.Fields{"endpoint": e.ID, "model": o.Model, "version": o.Version, "had": e.Versions[o.Model], "term": term, "expected": expected}
	if err != nil {
		fields["error"] = err.Error()
		events.OrderFailed.Log(r.Log, fields)
		return
	}
	fields["verdict"] = verdictNames[verdict]
	metrics.GetOrRegisterCounter("weights.orders."+verdictNames[verdict], r.Registry).Inc(1)
	events.OrderAnswered.Log(r.Log, fields)
}
