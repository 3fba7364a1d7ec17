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
	planEvery = 50 * time.Millisecond
	// swapWait bounds how long a feed waits for engines that have not swapped yet.
	swapWait = 5 * time.Second
)

// What is assumed of engines until their pace is seen.
var (
	assumedPace = rollout.Pace{Base: 20 * time.Millisecond, PerSample: 500 * time.Microsecond}
	moveCost    = rollout.MoveCost{Fixed: 200 * time.Millisecond, PerToken: 100 * time.Microsecond}
)

// runKey names a run: a sample runs at most once at a time on this entry.
type runKey struct {
	feed string
	id   sample.ID
}

// generation runs the samples of the feeds owned here on one service's engines.
type generation struct {
	options Options
	service string
	ctx     context.Context
	wake    chan struct{}

	mu        sync.Mutex
	scheduler *rollout.Scheduler
	owners    map[string]*owner
	marks     map[string]demandMark
	runs      map[runKey]*run
	pace      paceMeter
	carry     carryMeter
	addresses map[string]string // of the agents beside the engines
	poison    map[groupKey]bool // whose prompt crashes engines
}

func newGeneration(ctx context.Context, o Options, service string) *generation {
	g := &generation{
		options:   o,
		service:   service,
		ctx:       ctx,
		wake:      make(chan struct{}, 1),
		scheduler: rollout.New(rollout.Options{Pace: assumedPace, RecomputeCost: moveCost, MaxSwapWait: swapWait}),
		owners:    map[string]*owner{},
		marks:     map[string]demandMark{},
		runs:      map[runKey]*run{},
		poison:    map[groupKey]bool{},
	}
	go g.loop()
	return g
}

func (g *generation) loop() {
	ticker := time.NewTicker(planEvery)
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

func (g *generation) kick() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *generation) add(o *owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owners[o.name] = o
	delete(g.marks, o.name)
}

// remove ends a feed's runs: its next owner begins them again under the same ids.
func (g *generation) remove(o *owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owners[o.name] != o {
		return
	}
	delete(g.owners, o.name)
	delete(g.marks, o.name)
	g.forgetPoison(o.name, math.MaxInt64)
	g.scheduler.DropFeed(o.name)
	for key, r := range g.runs {
		if key.feed == o.name {
			r.end()
			delete(g.runs, key)
		}
	}
}

// plan brings the scheduler up to date and carries out what it says.
func (g *generation) plan() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.owners) == 0 {
		return
	}
	now := time.Now()
	for name, o := range g.owners {
		g.scheduler.SetFeed(schedulerFeed(o.declaration()))
		demand, mark, changed := o.demand(g.marks[name])
		if changed {
			g.marks[name] = mark
			g.forgetPoison(name, demand.Step)
			g.scheduler.SetDemand(now, demand)
		}
	}
	for key, r := range g.runs {
		g.scheduler.Progress(key.feed, key.id, r.progress())
	}
	g.scheduler.SetPace(g.pace.estimate())
	if g.options.Caches != nil {
		g.scheduler.SetTransferCost(g.carry.estimate(now))
	}
	g.scheduler.SetTotalShares(g.shares())
	g.scheduler.SetEngines(now, g.engines())
	for _, a := range g.scheduler.Plan(now) {
		g.carryOut(a)
	}
}

// shares returns the sum of the shares of all feeds of the service.
func (g *generation) shares() float64 {
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

// engines lists the engines with what others use of them. The load told may be
// a heartbeat old; what we began since is counted by the scheduler itself.
func (g *generation) engines() []rollout.Engine {
	ours := map[string]int{}
	for _, r := range g.runs {
		ours[r.engine]++
	}
	var all []rollout.Engine
	g.addresses = map[string]string{}
	for _, e := range g.options.Fleet.Engines(g.service) {
		if e.Load.Leaving || e.Load.Down {
			continue
		}
		g.addresses[e.ID] = e.Address
		others := max(0, e.Load.Running+e.Load.Queued-ours[e.ID])
		all = append(all, rollout.Engine{
			ID:               e.ID,
			Domain:           e.Domain,
			Slots:            e.Load.Slots,
			UsedByOthers:     others,
			UsedByOtherFeeds: min(others, max(0, e.Load.Rollouts-ours[e.ID])),
			Version:          e.Load.WeightVersion,
		})
	}
	return all
}

func (g *generation) carryOut(a rollout.Action) {
	switch a := a.(type) {
	case rollout.Start:
		o := g.owners[a.Feed]
		r := newRun(g, o, a.ID, a.Engine)
		g.runs[runKey{feed: a.Feed, id: a.ID}] = r
		go r.run()
	case rollout.Cancel:
		key := runKey{feed: a.Feed, id: a.ID}
		if r := g.runs[key]; r != nil {
			r.end()
			delete(g.runs, key)
		}
	case rollout.Move:
		r := g.runs[runKey{feed: a.Feed, id: a.ID}]
		if r == nil {
			return
		}
		r.engine = a.To
		if a.WithCache {
			go r.carryTo(a.To, g.addresses[a.From])
			return
		}
		r.moveTo(a.To)
	}
}

// ended takes the end of a run. One that was cancelled is no longer known, and
// its end changes nothing.
func (g *generation) ended(r *run, tokens int, complete bool) {
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
	g.kick()
}
