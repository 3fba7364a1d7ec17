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
	networkDelay      = time.Millisecond
	ownerTickInterval = 250 * time.Millisecond
	longPollTimeout   = 2 * time.Second
	feedName          = "feed"
	// pipelineTimeout ends a pipeline that makes no progress. As the cost of a move, it is
	// high enough to prevent moves.
	pipelineTimeout = 24 * time.Hour
)

// result is the result of a pipeline. It doesn't include the warm-up.
type result struct {
	idle         time.Duration // time during which the trainer waited for samples
	elapsed      time.Duration
	makespans    []time.Duration // of each step, from the start of its demand to its last sample
	lowerBounds  []time.Duration // lower bounds of the makespans of the same steps
	samples      int
	stalenessSum int64 // sum of the samples' staleness in versions at hand-over
	stalenessMax int64
	ageSum       time.Duration // sum of the samples' times from first token to hand-over
	ageMax       time.Duration
}

// idlePerTraining returns the trainer's idle time per second of training.
func (r *result) idlePerTraining() float64 {
	return r.idle.Seconds() / (r.elapsed - r.idle).Seconds()
}

// weightedCost returns the cost that the scheduler minimizes: the trainer's idle time and
// the mean staleness, multiplied by the feed's weights.
func (r *result) weightedCost(s scenario) float64 {
	return s.idleWeight*r.idlePerTraining() + s.stalenessWeight*r.meanStaleness()
}

func (r *result) meanStaleness() float64 { return float64(r.stalenessSum) / float64(r.samples) }
func (r *result) meanAge() float64       { return r.ageSum.Seconds() / float64(r.samples) }

// lowerBoundRatio returns the ratio of the sum of the makespans to the sum of their lower
// bounds.
func (r *result) lowerBoundRatio() float64 {
	var makespans, lowerBounds time.Duration
	for i := range r.makespans {
		makespans += r.makespans[i]
		lowerBounds += r.lowerBounds[i]
	}
	return makespans.Seconds() / lowerBounds.Seconds()
}

// pipeline simulates one feed from the engines to the trainer in virtual time. It uses
// the product's hand-over and scheduler with modelled engines and a trainer that trains
// on each step for a fixed time.
type pipeline struct {
	scenario
	clock           *timeline.Timeline
	planner         planner
	engines         []*enginemodel.Engine
	stepping        []bool            // whether the end of the engine's current step is scheduled
	swapping        []bool            // whether the engine loads weights and starts no step
	engineOf        map[sample.ID]int // index of the engine of each running sample; -1 during a move
	owner           *handover.Owner
	ownerAlive      bool
	plannedChanges  uint64 // owner.ChangeCount at the last SetDemand
	plannedTraining bool   // owner.Training at the last SetDemand
	store           struct {
		value    []byte
		revision int64
		outage   bool
	}
	client         *handover.Client
	trainerVersion int64
	lastCall       uint64
	stepsDone      int64     // number of steps that the trainer has trained on
	idleSince      time.Time // when the trainer began to wait for the current step
	stepBegan      time.Time // when the demand for the current step began
	result         result
	measuredSince  time.Time // end of the warm-up
}

func newPipeline(s scenario, planner planner) *pipeline {
	p := &pipeline{scenario: s, clock: timeline.New(), planner: planner, engineOf: map[sample.ID]int{}, trainerVersion: 1}
	for range s.engineCount {
		p.engines = append(p.engines, &enginemodel.Engine{Pace: s.pace, PrefillPerToken: s.prefillPerToken, Slots: s.slots, Version: 1})
	}
	p.stepping = make([]bool, s.engineCount)
	p.swapping = make([]bool, s.engineCount)
	p.client = handover.NewClient(handover.Position{}, s.limits.MaxVersionLag)
	p.startOwner(1)
	return p
}

// newScheduler returns a scheduler for a scenario under the given weights.
func newScheduler(s scenario, idleWeight, stalenessWeight float64) *policy.Scheduler {
	scheduler := policy.New(policy.Options{Pace: s.pace, RecomputeCost: s.recomputeCost, TransferCost: s.transferCost, SwapTimeout: 5 * time.Second})
	scheduler.SetFeed(policy.Feed{
		Name:            feedName,
		Shape:           s.shape,
		Classes:         len(s.classes),
		Share:           1,
		WeightIdle:      idleWeight,
		WeightStaleness: stalenessWeight,
		Limits:          s.limits,
		MaxTokens:       s.maxTokens,
		PromptTokens:    s.promptTokens,
	})
	return scheduler
}

func (p *pipeline) startOwner(epoch int64) {
	cfg := handover.Config{
		Shape:          p.shape,
		LotSize:        p.lotSize,
		Limits:         p.limits,
		RetryInterval:  time.Second,
		RecordInterval: 100 * time.Millisecond,
	}
	p.owner = handover.New(cfg, fmt.Sprintf("entry-%d", epoch), epoch)
	p.ownerAlive = true
	p.tick(p.owner)
}

func (p *pipeline) tick(owner *handover.Owner) {
	if p.owner != owner || !p.ownerAlive {
		return
	}
	p.deliver(handover.Tick{})
	p.clock.After(ownerTickInterval, func() { p.tick(owner) })
}

// run runs the simulation until the trainer has trained on every step.
func (p *pipeline) run() *result {
	p.idleSince = p.clock.Now()
	p.stepBegan = p.clock.Now()
	p.rotateCallers(0)
	p.pull()
	p.clock.Run(pipelineTimeout, func() bool { return p.stepsDone >= int64(p.steps) })
	p.result.elapsed = p.clock.Now().Sub(p.measuredSince)
	return &p.result
}

func (p *pipeline) deliver(e handover.Event) {
	if !p.ownerAlive {
		return
	}
	p.executeOwnerActions(p.owner.Step(p.clock.Now(), e))
	p.plan()
}

func (p *pipeline) executeOwnerActions(actions []handover.Action) {
	owner := p.owner
	deliverLater := func(e handover.Event) {
		p.clock.After(2*networkDelay, func() {
			if p.owner == owner {
				p.deliver(e)
			}
		})
	}
	for _, a := range actions {
		switch a := a.(type) {
		case handover.Read:
			if p.store.outage {
				deliverLater(handover.ReadFailed{})
				continue
			}
			deliverLater(handover.ReadDone{Value: p.store.value, Revision: p.store.revision})
		case handover.Write:
			deliverLater(p.compareAndSwap(a))
		case handover.Reply:
			p.clock.After(networkDelay, func() { p.handleAnswer(a.Call, a.Answer) })
		case handover.Refuse:
			p.clock.After(100*networkDelay, func() { p.retryPull(a.Call) })
		}
	}
}

func (p *pipeline) compareAndSwap(write handover.Write) handover.WriteDone {
	switch {
	case p.store.outage:
		return handover.WriteDone{Nonce: write.Nonce, Result: handover.WriteIndeterminate}
	case p.store.revision != write.Expected:
		return handover.WriteDone{Nonce: write.Nonce, Result: handover.WriteConflict, Value: p.store.value, Revision: p.store.revision}
	}
	p.store.value = write.Value
	p.store.revision++
	return handover.WriteDone{Nonce: write.Nonce, Result: handover.WriteApplied, Revision: p.store.revision}
}

// pull requests the next lot. It pulls again if no answer arrives, as after a crash of
// the owner.
func (p *pipeline) pull() {
	p.lastCall++
	call := p.lastCall
	pull := p.client.Pull(p.trainerVersion)
	p.clock.After(networkDelay, func() { p.deliver(handover.Pulled{Call: call, Pull: pull}) })
	p.clock.After(longPollTimeout, func() { p.deliver(handover.PullTimedOut{Call: call}) })
	p.clock.After(longPollTimeout+time.Second, func() { p.retryPull(call) })
}

// retryPull pulls again unless the trainer has made a later call.
func (p *pipeline) retryPull(call uint64) {
	if p.lastCall == call {
		p.pull()
	}
}

func (p *pipeline) handleAnswer(call uint64, a handover.Answer) {
	if call != p.lastCall {
		return
	}
	for _, s := range p.client.HandleAnswer(a, p.trainerVersion) {
		p.recordSample(s)
	}
	if a.StepComplete && len(a.Samples) > 0 {
		p.trainOn(a.Step)
		return
	}
	p.pull()
}

// warmedUp reports whether the warm-up is over.
func (p *pipeline) warmedUp() bool { return p.stepsDone >= int64(p.warmUpSteps) }

func (p *pipeline) recordSample(s sample.Sample) {
	if !p.warmedUp() {
		return
	}
	staleness := p.trainerVersion - s.OldestVersion()
	age := p.clock.Now().Sub(s.FirstTokenAt)
	p.result.samples++
	p.result.stalenessSum += staleness
	p.result.stalenessMax = max(p.result.stalenessMax, staleness)
	p.result.ageSum += age
	p.result.ageMax = max(p.result.ageMax, age)
}

func (p *pipeline) trainOn(step int64) {
	p.lastCall++ // prevents a retry of the answered pull
	if p.warmedUp() {
		p.result.idle += p.clock.Now().Sub(p.idleSince)
		p.result.makespans = append(p.result.makespans, p.clock.Now().Sub(p.stepBegan))
		p.result.lowerBounds = append(p.result.lowerBounds, p.lowerBound(step))
	}
	p.clock.After(p.trainTime, func() {
		p.stepsDone++
		if p.stepsDone == int64(p.warmUpSteps) {
			p.measuredSince = p.clock.Now()
		}
		p.trainerVersion++
		p.announceVersion(p.trainerVersion)
		p.idleSince = p.clock.Now()
		p.stepBegan = p.clock.Now()
		p.pull()
	})
}

// announceVersion announces a weight version to the owner and starts the swaps of the
// engines, one after the other.
func (p *pipeline) announceVersion(version int64) {
	p.clock.After(networkDelay, func() { p.deliver(handover.Announced{Version: version}) })
	for i, e := range p.engines {
		start := p.firstSwapDelay + time.Duration(i)*p.swapInterval
		if p.loadTime > 0 {
			p.clock.After(start, func() { p.swapping[i] = true })
		}
		p.clock.After(start+p.loadTime, func() {
			e.Version = version
			p.swapping[i] = false
			p.plan()
			p.wake(i)
		})
	}
}
