package rollout

import (
	"strconv"

	"siskinloom.example/siskinloom/internal/lab/enginemodel"
	"siskinloom.example/siskinloom/internal/policy/handover"
	policy "siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// plan passes the current demand and engine states to the planner and executes its
// actions.
func (p *pipeline) plan() {
	if !p.ownerAlive || !p.owner.Serving() {
		return
	}
	changes, training := p.owner.ChangeCount(), p.owner.Training()
	if changes != p.plannedChanges || training != p.plannedTraining {
		p.plannedChanges, p.plannedTraining = changes, training
		step := p.owner.FirstStep()
		p.planner.SetDemand(p.clock.Now(), policy.Demand{
			Feed:     feedName,
			Step:     step,
			Version:  p.owner.Version(),
			Training: training,
			Current:  p.owner.Wanted(step),
			Next:     p.owner.Wanted(step + 1),
		})
	}
	p.planner.SetEngines(p.clock.Now(), p.engineStates())
	for _, e := range p.engines {
		e.Each(func(j *enginemodel.Job) { p.planner.Progress(feedName, j.ID, j.Tokens) })
	}
	for _, a := range p.planner.Plan(p.clock.Now()) {
		p.executePlannerAction(a)
	}
}

func (p *pipeline) engineStates() []policy.Engine {
	states := make([]policy.Engine, len(p.engines))
	for i, e := range p.engines {
		states[i] = policy.Engine{ID: strconv.Itoa(i), Slots: e.Slots, UsedByOthers: e.UsedByOthers(), Version: e.Version}
	}
	return states
}

func (p *pipeline) executePlannerAction(a policy.Action) {
	switch a := a.(type) {
	case policy.Start:
		p.addJob(a.Engine, &enginemodel.Job{Feed: feedName, ID: a.ID, Prompt: p.promptTokens, Length: p.length(a.ID)})
	case policy.Cancel:
		p.removeJob(a.ID)
	case policy.Move:
		if a.WithCache {
			p.moveWithCache(a)
			return
		}
		p.moveJob(a, 0)
	}
}

// moveWithCache moves a job after its KV cache has been transferred. The job keeps
// running on its engine during the transfer. If it loses its slot meanwhile, it moves
// without the part of the cache that the engine has dropped.
func (p *pipeline) moveWithCache(a policy.Move) {
	from, running := p.engineOf[a.ID]
	if !running || from < 0 {
		return
	}
	job := p.engines[from].Find(feedName, a.ID)
	cached := job.Cached
	p.clock.After(p.transferCost.Total(cached), func() {
		if p.engineOf[a.ID] == from && p.engines[from].Find(feedName, a.ID) == job {
			p.moveJob(a, cached)
		}
	})
}

// moveJob moves a running job to another engine, which has the KV cache of the job's
// first cached tokens.
func (p *pipeline) moveJob(a policy.Move, cached int) {
	job := p.removeJob(a.ID)
	if job == nil {
		return
	}
	job.Cached = min(job.Cached, cached)
	delay := p.recomputeCost.Fixed // with a prefill time, the engine model adds the time to recompute the cache
	if p.prefillPerToken == 0 {
		delay = p.recomputeCost.Total(job.Tokens)
	}
	p.engineOf[a.ID] = -1
	p.clock.After(delay, func() {
		if p.engineOf[a.ID] == -1 {
			p.addJob(a.To, job)
		}
	})
}

// rotateCallers makes callers use slots of every stride-th engine, starting with another
// engine in each round.
func (p *pipeline) rotateCallers(round int) {
	if p.callers.stride == 0 {
		return
	}
	for i, e := range p.engines {
		used := 0
		if (i+round)%p.callers.stride == 0 {
			used = p.callers.slots
		}
		e.SetUsedByOthers(used)
	}
	p.plan()
	for i := range p.engines {
		p.wake(i)
	}
	p.clock.After(p.callers.duration, func() { p.rotateCallers(round + 1) })
}

func (p *pipeline) addJob(engine string, j *enginemodel.Job) {
	i, err := strconv.Atoi(engine)
	if err != nil {
		panic(err) // the ID was formatted by engineStates
	}
	p.engineOf[j.ID] = i
	p.engines[i].Add(j)
	p.wake(i)
}

// removeJob removes a job from its engine and returns it, or nil if the sample is on no
// engine.
func (p *pipeline) removeJob(id sample.ID) *enginemodel.Job {
	i, known := p.engineOf[id]
	delete(p.engineOf, id)
	if !known || i < 0 {
		return nil
	}
	return p.engines[i].Remove(feedName, id)
}

// wake starts the next step of an engine that has jobs and is neither in a step nor
// swapping weights.
func (p *pipeline) wake(i int) {
	if p.stepping[i] || p.swapping[i] || p.engines[i].RunningJobs() == 0 {
		return
	}
	p.stepping[i] = true
	p.clock.After(p.engines[i].BeginStep(), func() { p.stepEngine(i) })
}

func (p *pipeline) stepEngine(i int) {
	p.stepping[i] = false
	for _, j := range p.engines[i].Step(p.clock.Now()) {
		delete(p.engineOf, j.ID)
		p.planner.Complete(feedName, j.ID, j.Tokens)
		p.deliver(handover.Completed{Sample: sample.Sample{ID: j.ID, Segments: j.Segments, FirstTokenAt: j.FirstTokenAt}})
	}
	p.wake(i)
}
