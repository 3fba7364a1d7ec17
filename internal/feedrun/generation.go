package feedrun

import (
	"context"
	"math"
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

const (
	planInterval = 50 * time.Millisecond
	// swapTimeout limits how long a feed waits for engines that have not
	// swapped yet.
	swapTimeout = 5 * time.Second
)

// Assumed pace and costs of engines until their pace has been measured.
var (
	defaultPace          = rollout.Pace{Base: 20 * time.Millisecond, PerSample: 500 * time.Microsecond}
	defaultRecomputeCost = rollout.MoveCost{Fixed: 200 * time.Millisecond, PerToken: 100 * time.Microsecond}
)

// runKey identifies a run. A sample has at most one run at a time on this
// entry.
type runKey struct {
	feed string
	id   sample.ID
}

// generation runs the samples of the owned feeds on the engines of one service.
type generation struct {
	options Options
	service string
	ctx     context.Context
	wake    chan struct{}

	mu           sync.Mutex
	scheduler    *rollout.Scheduler
	owners       map[string]*owner
	demands      map[string]demandVersion // by feed, the version of the demand that the scheduler has
	runs         map[runKey]*run
	pace         paceEstimator
	transferCost transferEstimator
	addresses    map[string]string // of the agents beside the engines
	poisoned     map[groupKey]bool // groups whose prompt crashes engines
}

func newGeneration(ctx context.Context, o Options, service string) *generation {
	g := &generation{
		options:   o,
		service:   service,
		ctx:       ctx,
		wake:      make(chan struct{}, 1),
		scheduler: rollout.New(rollout.Options{Pace: defaultPace, RecomputeCost: defaultRecomputeCost, SwapTimeout: swapTimeout}),
		owners:    map[string]*owner{},
		demands:   map[string]demandVersion{},
		runs:      map[runKey]*run{},
		poisoned:  map[groupKey]bool{},
	}
	go g.loop()
	return g
}

func (g *generation) loop() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		case <-g.wake:
		}
		g.plan()
	}
}

func (g *generation) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *generation) add(o *owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owners[o.name] = o
	delete(g.demands, o.name)
}

// remove ends a feed's runs. The feed's next owner starts them again under the
// same IDs.
func (g *generation) remove(o *owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owners[o.name] != o {
		return
	}
	delete(g.owners, o.name)
	delete(g.demands, o.name)
	g.dropPoisonedBefore(o.name, math.MaxInt64)
	g.scheduler.DropFeed(o.name)
	for key, r := range g.runs {
		if key.feed == o.name {
			r.cancel()
			delete(g.runs, key)
		}
	}
}

// plan updates the scheduler and executes its actions.
func (g *generation) plan() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.owners) == 0 {
		return
	}
	now := time.Now()
	for name, o := range g.owners {
		g.scheduler.SetFeed(schedulerFeed(o.declaration()))
		demand, version, changed := o.demand(g.demands[name])
		if changed {
			g.demands[name] = version
			g.dropPoisonedBefore(name, demand.Step)
			g.scheduler.SetDemand(now, demand)
		}
	}
	for key, r := range g.runs {
		g.scheduler.Progress(key.feed, key.id, r.progress())
	}
	g.scheduler.SetPace(g.pace.estimate())
	if g.options.Caches != nil {
		g.scheduler.SetTransferCost(g.transferCost.estimate(now))
	}
	g.scheduler.SetTotalShares(g.totalShares())
	g.scheduler.SetEngines(now, g.engines())
	for _, a := range g.scheduler.Plan(now) {
		g.execute(a)
	}
}

// totalShares returns the sum of the shares of all feeds of the service.
func (g *generation) totalShares() float64 {
	deployment := g.options.Config.Current()
	if deployment == nil {
		return 0
	}
	sum := 0.0
	for _, f := range deployment.Feeds {
		if f.Service == g.service {
			sum += schedulerFeed(f).Share
		}
	}
	return sum
}

// engines returns the engines with the slots that others use. The reported load
// can be a heartbeat old; the scheduler itself counts the runs started since.
func (g *generation) engines() []rollout.Engine {
	own := map[string]int{}
	for _, r := range g.runs {
		own[r.engine]++
	}
	var all []rollout.Engine
	g.addresses = map[string]string{}
	for _, e := range g.options.Engines.Engines(g.service) {
		if e.Load.Leaving || e.Load.Down {
			continue
		}
		g.addresses[e.ID] = e.Address
		others := max(0, e.Load.Running+e.Load.Queued-own[e.ID])
		all = append(all, rollout.Engine{
			ID:               e.ID,
			Domain:           e.Domain,
			Slots:            e.Load.Slots,
			UsedByOthers:     others,
			UsedByOtherFeeds: min(others, max(0, e.Load.Rollouts-own[e.ID])),
			Version:          e.Load.WeightVersion,
		})
	}
	return all
}

func (g *generation) execute(a rollout.Action) {
	switch a := a.(type) {
	case rollout.Start:
		o := g.owners[a.Feed]
		r := newRun(g, o, a.ID, a.Engine)
		g.runs[runKey{feed: a.Feed, id: a.ID}] = r
		go r.run()
	case rollout.Cancel:
		key := runKey{feed: a.Feed, id: a.ID}
		if r := g.runs[key]; r != nil {
			r.cancel()
			delete(g.runs, key)
		}
	case rollout.Move:
		r := g.runs[runKey{feed: a.Feed, id: a.ID}]
		if r == nil {
			return
		}
		r.engine = a.To
		if a.WithCache {
			go r.transferTo(a.To, g.addresses[a.From])
			return
		}
		r.moveTo(a.To)
	}
}

// runEnded processes the end of a run. A cancelled run is no longer registered,
// and its end has no effect.
func (g *generation) runEnded(r *run, tokens int, complete bool) {
	g.mu.Lock()
	key := runKey{feed: r.feed.Name, id: r.id}
	if g.runs[key] == r {
		delete(g.runs, key)
		if complete {
			g.scheduler.Complete(key.feed, key.id, tokens)
		} else {
			g.scheduler.Failed(key.feed, key.id)
		}
	}
	g.mu.Unlock()
	g.wakeUp()
}
