package rollout

import (
	"strconv"

	"siskinloom.example/siskinloom/internal/lab/enginemodel"
	"siskinloom.example/siskinloom/internal/policy/handover"
	policy "siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// plan gives the planner what changed and carries out what it says.
func (l *pipeline) plan() {
	if !l.alive || !l.owner.Serving() {
		return
	}
	changes, training := l.owner.ChangeCount(), l.owner.Training()
	if changes != l.changes || training != l.training {
		l.changes, l.training = changes, training
		step := l.owner.FirstStep()
		l.planner.SetDemand(l.time.Now(), policy.Demand{
			Feed:     feedName,
			Step:     step,
			Version:  l.owner.Version(),
			Training: training,
			Current:  l.owner.Wanted(step),
			Next:     l.owner.Wanted(step + 1),
		})
	}
	l.planner.SetEngines(l.time.Now(), l.engineStates())
	for _, e := range l.engines {
		e.Each(func(j *enginemodel.Job) { l.planner.Progress(feedName, j.ID, j.Tokens) })
	}
	for _, a := range l.planner.Plan(l.time.Now()) {
		l.carryOut(a)
	}
}

func (l *pipeline) engineStates() []policy.Engine {
	states := make([]policy.Engine, len(l.engines))
	for i, e := range l.engines {
		states[i] = policy.Engine{ID: strconv.Itoa(i), Slots: e.Slots, UsedByOthers: e.UsedByOthers(), Version: e.Version}
	}
	return states
}

func (l *pipeline) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.Start:
		l.put(a.Engine, &enginemodel.Job{Feed: feedName, ID: a.ID, Prompt: l.prompt, Length: l.length(a.ID)})
	case policy.Cancel:
		l.takeOff(a.ID)
	case policy.Move:
		if a.WithCache {
			l.transfer(a)
			return
		}
		l.resume(a, 0)
	}
}

// transfer lets a job run on while its KV cache travels, and goes on without
// it if the job lost its slot meanwhile.
func (l *pipeline) transfer(a policy.Move) {
	from, running := l.places[a.ID]
	if !running || from < 0 {
		return
	}
	job := l.engines[from].Find(feedName, a.ID)
	cached := job.Cached
	l.time.After(l.carry.Total(cached), func() {
		if l.places[a.ID] == from && l.engines[from].Find(feedName, a.ID) == job {
			l.resume(a, cached)
		}
	})
}

// resume takes a running job to another engine, which has the KV cache of its
// first cached tokens.
func (l *pipeline) resume(a policy.Move, cached int) {
	job := l.takeOff(a.ID)
	if job == nil {
		return
	}
	job.Cached = min(job.Cached, cached)
	takes := l.move.Fixed
	if l.prefill == 0 {
		takes = l.move.Total(job.Tokens)
	}
	l.places[a.ID] = -1
	l.time.After(takes, func() {
		if l.places[a.ID] == -1 {
			l.put(a.To, job)
		}
	})
}

// crowdEngines has callers take slots of the engines whose turn it is.
func (l *pipeline) crowdEngines(turn int) {
	if l.crowd.every == 0 {
		return
	}
	for i, e := range l.engines {
		taken := 0
		if (i+turn)%l.crowd.every == 0 {
			taken = l.crowd.slots
		}
		e.SetUsedByOthers(taken)
	}
	l.plan()
	for i := range l.engines {
		l.wake(i)
	}
	l.time.After(l.crowd.lasts, func() { l.crowdEngines(turn + 1) })
}

func (l *pipeline) put(engine string, j *enginemodel.Job) {
	i, err := strconv.Atoi(engine)
	if err != nil {
		panic(err) // engineStates made the name
	}
	l.places[j.ID] = i
	l.engines[i].Add(j)
	l.wake(i)
}

func (l *pipeline) takeOff(id sample.ID) *enginemodel.Job {
	i, known := l.places[id]
	delete(l.places, id)
	if !known || i < 0 {
		return nil
	}
	return l.engines[i].Remove(feedName, id)
}

// wake has an idle engine begin to step.
func (l *pipeline) wake(i int) {
	if l.active[i] || l.loading[i] || l.engines[i].RunningJobs() == 0 {
		return
	}
	l.active[i] = true
	l.time.After(l.engines[i].BeginStep(), func() { l.stepEngine(i) })
}

func (l *pipeline) stepEngine(i int) {
	l.active[i] = false
	for _, j := range l.engines[i].Step(l.time.Now()) {
		delete(l.places, j.ID)
		l.planner.Complete(feedName, j.ID, j.Tokens)
		l.deliver(handover.Completed{Sample: sample.Sample{ID: j.ID, Segments: j.Segments, FirstTokenAt: j.FirstTokenAt}})
	}
	l.wake(i)
}
