// Package modelrun has engines load the weight versions that trainers name. One
// process at a time gives the orders, under the fencing token of its term.
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
	// planEvery is how often loads are planned; a load takes about a second, and
	// each round with orders asks the store whether the term stands.
	planEvery = 200 * time.Millisecond
	// orderLimit is how long an engine may take to answer an order.
	orderLimit = time.Second
)

// Order is a load as it goes to an engine.
type Order struct {
	Model    string
	Version  int64
	Finish   bool // runs under way finish first instead of going on under the new version
	Holder   string
	Term     int64 // fencing token
	Expected int64 // orders that the engine has accepted so far
}

// Verdict is an engine's answer to an order.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota
	Holds            // the engine has that version already
	Conflict         // another order came first, or Expected differs
	Outdated         // the engine knows a higher fencing token
	Refused          // the order is not possible, or another engine has the address
)

// Commander speaks to engines.
type Commander interface {
	// Accepted asks an engine how many orders it has accepted since its start.
	Accepted(ctx context.Context, e *deployment.Endpoint) (int64, error)
	// Order gives an order. An error means that it may be carried out yet.
	Order(ctx context.Context, e *deployment.Endpoint, o Order) (Verdict, error)
}

// Runner plans and gives orders while this process leads.
type Runner struct {
	Self      string
	Directory *directory.Directory
	Leader    *cluster.Leader
	Commander Commander
	// Loading is called when an engine was sent an order that it may carry out; may
	// be nil.
	Loading  func(endpoint, model string, version int64)
	Log      *logrus.Logger
	Registry metrics.Registry
	Switches *mechanism.Switches

	mu       sync.Mutex
	named    map[string]int64
	needed   map[string]NeedArgs           // newest step by model
	planners map[string]*modelplan.Planner // by service
	accepted map[engineKey]int64           // orders accepted, as far as known
	orders   errgroup.Group
}

// engineKey names one start of an engine; its counts begin anew with each.
type engineKey struct {
	id   string
	born int64
}

// Name notes that a trainer named a version.
func (r *Runner) Name(model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.named == nil {
		r.named = map[string]int64{}
	}
	r.named[model] = max(r.named[model], version)
}

// Need notes what a step needs.
func (r *Runner) Need(step NeedArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.needed == nil {
		r.needed = map[string]NeedArgs{}
	}
	if step.Version >= r.needed[step.Model].Version {
		r.needed[step.Model] = step
	}
}

// Run gives orders until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	periodic.Run(ctx, planEvery, func(now time.Time) {
		if _, leads := r.Leader.Term(now); !leads {
			r.forget()
			return
		}
		r.plan(ctx)
	})
	return nil
}

func (r *Runner) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planners = nil
	r.accepted = nil
}

func (r *Runner) plan(ctx context.Context) {
	table := r.Directory.Table()
	if table == nil {
		return
	}
	for name, service := range table.Declaration.Services {
		if len(service.Models) == 0 {
			continue
		}
		seen := r.Directory.List(name)
		orders := r.next(name, service.Models, seen)
		if len(orders) == 0 {
			continue
		}
		term, confirmed := r.Leader.Confirm(ctx)
		if !confirmed {
			r.forget()
			return
		}
		for _, o := range orders {
			endpoint := find(seen, o.Engine)
			r.orders.Go(func() error { r.give(ctx, name, endpoint, o, term); return nil })
		}
	}
}

func (r *Runner) next(service string, models []string, seen []directory.EndpointStatus) []modelplan.Order {
	engines := make([]modelplan.Engine, len(seen))
	for i, e := range seen {
		engines[i] = modelplan.Engine{ID: e.ID, Born: e.Born, Leaving: e.Leaving, InFlight: e.InFlight, Slots: e.Slots, Versions: e.Versions}
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
	planner.LoadEveryVersion = !r.Switches.On(mechanism.AlternateLoads)
	for _, model := range models {
		planner.SetNewestVersion(time.Now(), model, r.named[model])
		planner.RecordStep(model, r.needed[model].Version, r.needed[model].Items)
	}
	return planner.Next(time.Now(), engines)
}

func find(seen []directory.EndpointStatus, id string) *deployment.Endpoint {
	for i := range seen {
		if seen[i].ID == id {
			return &seen[i].Endpoint
		}
	}
	return nil
}

// give gives one order and takes in what came of it.
func (r *Runner) give(ctx context.Context, service string, e *deployment.Endpoint, o modelplan.Order, term int64) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	key := engineKey{e.ID, e.Born}
	expected, err := r.acceptedSoFar(ctx, e, key)
	verdict := Refused
	if err == nil {
		verdict, err = r.Commander.Order(ctx, e, Order{Model: o.Model, Version: o.Version, Finish: r.wantsOneVersion(service), Holder: r.Self, Term: term, Expected: expected})
	}
	if r.Loading != nil && r.Switches.On(mechanism.TellLoads) && (err != nil || verdict == Accepted) {
		r.Loading(e.ID, o.Model, o.Version)
	}
	result := r.weigh(key, expected, verdict, err)
	r.note(e, o, term, expected, verdict, err)
	if err == nil && verdict == Outdated {
		r.Leader.Resign()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if planner := r.planners[service]; planner != nil {
		planner.RecordResult(time.Now(), o, result)
	}
}

// wantsOneVersion tells whether a route to the service wants one version for a
// text. Runs then finish before new weights are loaded; going on under them
// would make the text worthless.
func (r *Runner) wantsOneVersion(service string) bool {
	for _, route := range r.Directory.Table().Declaration.Routes {
		for _, backend := range route.Backends {
			if route.SingleVersion && backend.Service == service {
				return true
			}
		}
	}
	return false
}

// acceptedSoFar returns how many orders the engine has accepted. With it in an
// order, one that is carried out late, after a newer one, has no effect.
func (r *Runner) acceptedSoFar(ctx context.Context, e *deployment.Endpoint, key engineKey) (int64, error) {
	r.mu.Lock()
	known, found := r.accepted[key]
	r.mu.Unlock()
	if found {
		return known, nil
	}
	return r.Commander.Accepted(ctx, e)
}

func (r *Runner) weigh(key engineKey, expected int64, verdict Verdict, err error) modelplan.Result {
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
		delete(r.accepted, key) // whether it counted is not said
		return modelplan.Holds
	case Conflict:
		delete(r.accepted, key)
		return modelplan.Conflict
	default:
		delete(r.accepted, key)
		return modelplan.Rejected
	}
}

var verdicts = [...]string{"accepted", "holds", "conflict", "outdated", "refused"}

func (r *Runner) note(e *deployment.Endpoint, o modelplan.Order, term, expected int64, verdict Verdict, err error) {
	fields := logrus.Fields{"endpoint": e.ID, "model": o.Model, "version": o.Version, "had": e.Versions[o.Model], "term": term, "expected": expected}
	if err != nil {
		fields["error"] = err.Error()
		events.OrderFailed.Log(r.Log, fields)
		return
	}
	fields["verdict"] = verdicts[verdict]
	metrics.GetOrRegisterCounter("weights.orders."+verdicts[verdict], r.Registry).Inc(1)
	events.OrderGiven.Log(r.Log, fields)
}
