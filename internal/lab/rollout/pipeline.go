package rollout

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/lab/enginemodel"
	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/handover"
	policy "siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

const (
	networkDelay = time.Millisecond
	ownerTick    = 250 * time.Millisecond
	longPoll     = 2 * time.Second
	feedName     = "feed"
	// standstill ends a pipeline that no longer moves.
	standstill = 24 * time.Hour
)

// result is what a pipeline measured after its warm-up.
type result struct {
	idle       time.Duration // the trainer waited
	elapsed    time.Duration
	makespans  []time.Duration // of each step, from its demand to its last sample
	bounds     []time.Duration // lower bounds of the same steps
	samples    int
	versions   int64 // sum over the samples, behind at hand-over
	versionMax int64
	age        time.Duration // sum over the samples, since their first token
	ageMax     time.Duration
}

// waited is the time that the trainer waited for each second that it trained.
func (r *result) waited() float64 {
	return r.idle.Seconds() / (r.elapsed - r.idle).Seconds()
}

// measure is the weighted measure that a feed's weights stand for.
func (r *result) measure(s scenario) float64 {
	return s.idle*r.waited() + s.staleness*r.meanVersions()
}

func (r *result) meanVersions() float64 { return float64(r.versions) / float64(r.samples) }
func (r *result) meanAge() float64      { return r.age.Seconds() / float64(r.samples) }
func (r *result) overLowerBound() float64 {
	var spans, least time.Duration
	for i := range r.makespans {
		spans += r.makespans[i]
		least += r.bounds[i]
	}
	return spans.Seconds() / least.Seconds()
}

// pipeline runs one feed from engines to trainer in virtual time: the real
// hand-over and the real scheduler, model engines, a trainer that works on a
// step for a fixed time.
type pipeline struct {
	scenario
	time     *timeline.Timeline
	planner  planner
	engines  []*enginemodel.Engine
	active   []bool // the engine's next step is due
	loading  []bool // the engine swaps and makes no token
	places   map[sample.ID]int
	owner    *handover.Owner
	alive    bool
	changes  uint64
	training bool
	kv       struct {
		value    []byte
		revision int64
		outage   bool
	}
	client  *handover.Client
	version int64
	calls   uint64
	done    int64     // steps trained on
	since   time.Time // the trainer waits
	began   time.Time // the current step's demand
	result  result
	from    time.Time // end of the warm-up
}

func newPipeline(s scenario, p planner) *pipeline {
	l := &pipeline{scenario: s, time: timeline.New(), planner: p, places: map[sample.ID]int{}, version: 1}
	for range s.engines {
		l.engines = append(l.engines, &enginemodel.Engine{Pace: s.pace, PrefillPerToken: s.prefill, Slots: s.slots, Version: 1})
	}
	l.active = make([]bool, s.engines)
	l.loading = make([]bool, s.engines)
	l.client = handover.NewClient(handover.Position{}, s.limits.MaxVersionLag)
	l.elect(1)
	return l
}

// newPolicy returns the scheduler for a scenario under weights.
func newPolicy(s scenario, idle, staleness float64) *policy.Scheduler {
	p := policy.New(policy.Options{Pace: s.pace, RecomputeCost: s.move, TransferCost: s.carry, MaxSwapWait: 5 * time.Second})
	p.SetFeed(policy.Feed{
		Name:            feedName,
		Shape:           s.shape,
		Classes:         len(s.classes),
		Share:           1,
		WeightIdle:      idle,
		WeightStaleness: staleness,
		Limits:          s.limits,
		MaxTokens:       s.longest,
		PromptTokens:    s.prompt,
	})
	return p
}

func (l *pipeline) elect(epoch int64) {
	cfg := handover.Config{
		Shape:          l.shape,
		LotSize:        l.lotSize,
		Limits:         l.limits,
		RetryInterval:  time.Second,
		RecordInterval: 100 * time.Millisecond,
	}
	l.owner = handover.New(cfg, fmt.Sprintf("entry-%d", epoch), epoch)
	l.alive = true
	l.tick(l.owner)
}

func (l *pipeline) tick(o *handover.Owner) {
	if l.owner != o || !l.alive {
		return
	}
	l.deliver(handover.Tick{})
	l.time.After(ownerTick, func() { l.tick(o) })
}

// run plays until the trainer has worked on every step.
func (l *pipeline) run() *result {
	l.since = l.time.Now()
	l.began = l.time.Now()
	l.crowdEngines(0)
	l.pull()
	l.time.Run(standstill, func() bool { return l.done >= int64(l.steps) })
	l.result.elapsed = l.time.Now().Sub(l.from)
	return &l.result
}

func (l *pipeline) deliver(e handover.Event) {
	if !l.alive {
		return
	}
	l.act(l.owner.Step(l.time.Now(), e))
	l.plan()
}

func (l *pipeline) act(acts []handover.Action) {
	o := l.owner
	to := func(e handover.Event) {
		l.time.After(2*networkDelay, func() {
			if l.owner == o {
				l.deliver(e)
			}
		})
	}
	for _, a := range acts {
		switch a := a.(type) {
		case handover.Read:
			if l.kv.outage {
				to(handover.ReadFailed{})
				continue
			}
			to(handover.ReadDone{Value: l.kv.value, Revision: l.kv.revision})
		case handover.Write:
			to(l.swap(a))
		case handover.Reply:
			l.time.After(networkDelay, func() { l.taken(a.Call, a.Answer) })
		case handover.Refuse:
			l.time.After(100*networkDelay, func() { l.again(a.Call) })
		}
	}
}

func (l *pipeline) swap(w handover.Write) handover.WriteDone {
	switch {
	case l.kv.outage:
		return handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteIndeterminate}
	case l.kv.revision != w.Expected:
		return handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteConflict, Value: l.kv.value, Revision: l.kv.revision}
	}
	l.kv.value = w.Value
	l.kv.revision++
	return handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteApplied, Revision: l.kv.revision}
}

// pull calls for the next lot, and calls again if the owner dies meanwhile.
func (l *pipeline) pull() {
	l.calls++
	call := l.calls
	p := l.client.Pull(l.version)
	l.time.After(networkDelay, func() { l.deliver(handover.Pulled{Call: call, Pull: p}) })
	l.time.After(longPoll, func() { l.deliver(handover.PullTimedOut{Call: call}) })
	l.time.After(longPoll+time.Second, func() { l.again(call) })
}

func (l *pipeline) again(call uint64) {
	if l.calls == call {
		l.pull()
	}
}

func (l *pipeline) taken(call uint64, a handover.Answer) {
	if call != l.calls {
		return
	}
	for _, s := range l.client.HandleAnswer(a, l.version) {
		l.measure(s)
	}
	if a.StepComplete && len(a.Samples) > 0 {
		l.trainOn(a.Step)
		return
	}
	l.pull()
}

func (l *pipeline) measured() bool { return l.done >= int64(l.warmUp) }

func (l *pipeline) measure(s sample.Sample) {
	if !l.measured() {
		return
	}
	behind := l.version - s.OldestVersion()
	age := l.time.Now().Sub(s.FirstTokenAt)
	l.result.samples++
	l.result.versions += behind
	l.result.versionMax = max(l.result.versionMax, behind)
	l.result.age += age
	l.result.ageMax = max(l.result.ageMax, age)
}

func (l *pipeline) trainOn(step int64) {
	l.calls++ // no pull is under way
	if l.measured() {
		l.result.idle += l.time.Now().Sub(l.since)
		l.result.makespans = append(l.result.makespans, l.time.Now().Sub(l.began))
		l.result.bounds = append(l.result.bounds, l.lowerBound(step))
	}
	l.time.After(l.train, func() {
		l.done++
		if l.done == int64(l.warmUp) {
			l.from = l.time.Now()
		}
		l.version++
		l.announce(l.version)
		l.since = l.time.Now()
		l.began = l.time.Now()
		l.pull()
	})
}

// announce publishes a version; the engines swap one after the other.
func (l *pipeline) announce(version int64) {
	l.time.After(networkDelay, func() { l.deliver(handover.Announced{Version: version}) })
	for i, e := range l.engines {
		begins := l.swapFirst + time.Duration(i)*l.swapEach
		if l.load > 0 {
			l.time.After(begins, func() { l.loading[i] = true })
		}
		l.time.After(begins+l.load, func() {
			e.Version = version
			l.loading[i] = false
			l.plan()
			l.wake(i)
		})
	}
}
