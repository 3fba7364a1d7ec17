package rollout

import (
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/lab/enginemodel"
	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/admission"
	policy "siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	smallFeed         = "small"
	burstFeed         = "burst"
	smallShare        = 0.25
	smallFeedDelay    = 30 * time.Second // start of the small feed; by then the other feed fills the engines
	shareMeasureStart = 60 * time.Second // by then both feeds have reached their shares
	shareMeasureEnd   = 120 * time.Second
	groupsPerFeed     = 4000
	sharedBusiness    = "kheda" // business of both feeds
)

// shareSimulation simulates two feeds on the same engines: one whose trainer requests
// many samples at once, and a small one that starts later. The samples of both pass
// through the queues of the engines' agents.
type shareSimulation struct {
	scenario
	clock         *timeline.Timeline
	schedulers    map[string]*policy.Scheduler // by feed; the scheduler of the entry that owns it
	planOrder     []string                     // one feed of each scheduler, in the order in which they plan
	engines       []*enginemodel.Engine
	queues        []*admission.Queue          // of the engines' agents
	jobs          map[string]*enginemodel.Job // by item ID in a queue
	placedSamples []map[string]int            // by engine and feed; number of running and queued samples
	stepping      []bool                      // whether the end of the engine's current step is scheduled
	tokens        map[string]int              // by feed; tokens generated while measuring
	// measuring is set when both feeds have reached their shares.
	measuring bool
}

// measureShares returns the ratio of the small feed's share of the tokens to its declared
// share while both feeds want more than the engines can generate. The feeds are owned by
// separate entries or by the same one.
func measureShares(separateEntries bool) float64 {
	deployment := ledgerwiseScenario()
	s := &shareSimulation{
		scenario: deployment, clock: timeline.New(), tokens: map[string]int{}, stepping: make([]bool, deployment.engineCount),
		schedulers: map[string]*policy.Scheduler{}, jobs: map[string]*enginemodel.Job{},
	}
	weights := map[wire.Principal]float64{principal(smallFeed): smallShare, principal(burstFeed): 1 - smallShare}
	for range deployment.engineCount {
		s.engines = append(s.engines, &enginemodel.Engine{Pace: deployment.pace, Slots: deployment.slots, Version: 1})
		s.queues = append(s.queues, admission.New(admission.Config{Slots: deployment.slots, QueueLimit: groupsPerFeed, Weights: weights}))
		s.placedSamples = append(s.placedSamples, map[string]int{})
	}
	s.addScheduler(burstFeed)
	if separateEntries {
		s.addScheduler(smallFeed)
	} else {
		s.schedulers[smallFeed] = s.schedulers[burstFeed]
	}
	s.requestSamples(burstFeed, 1-smallShare, groupsPerFeed)
	s.clock.After(smallFeedDelay, func() { s.requestSamples(smallFeed, smallShare, groupsPerFeed) })
	s.clock.After(shareMeasureStart, func() { s.measuring = true })
	s.clock.Run(shareMeasureEnd, func() bool { return false })
	small, burst := float64(s.tokens[smallFeed]), float64(s.tokens[burstFeed])
	return small / (small + burst) / smallShare
}

func principal(feed string) wire.Principal {
	return wire.FeedPrincipal(sharedBusiness, feed)
}

// addScheduler adds the scheduler of an entry that owns a feed.
func (s *shareSimulation) addScheduler(feed string) {
	s.schedulers[feed] = policy.New(policy.Options{Pace: s.pace, RecomputeCost: s.recomputeCost})
	s.schedulers[feed].SetTotalShares(1)
	s.planOrder = append(s.planOrder, feed)
}

// requestSamples sets the demand of a feed to one step of the given number of groups with
// one sample each.
func (s *shareSimulation) requestSamples(name string, share float64, groups int) {
	shape := sample.Shape{Groups: groups, Size: 1}
	s.schedulers[name].SetFeed(policy.Feed{Name: name, Shape: shape, Share: share, WeightIdle: 1, MaxTokens: s.maxTokens})
	demand := policy.Demand{Feed: name}
	for slot := range shape.Slots() {
		demand.Current = append(demand.Current, shape.IDAt(0, slot))
	}
	s.schedulers[name].SetDemand(s.clock.Now(), demand)
	s.plan()
}

func (s *shareSimulation) plan() {
	for _, feed := range s.planOrder {
		scheduler := s.schedulers[feed]
		scheduler.SetEngines(s.clock.Now(), s.engineStates(scheduler))
		for _, a := range scheduler.Plan(s.clock.Now()) {
			if start, ok := a.(policy.Start); ok {
				s.startSample(start)
			}
		}
	}
}

// engineStates returns the engines as an entry sees them in the load reported by their
// agents.
func (s *shareSimulation) engineStates(scheduler *policy.Scheduler) []policy.Engine {
	states := make([]policy.Engine, len(s.engines))
	for i, q := range s.queues {
		own := 0
		for feed, n := range s.placedSamples[i] {
			if s.schedulers[feed] == scheduler {
				own += n
			}
		}
		load := q.Load()
		states[i] = policy.Engine{ID: strconv.Itoa(i), Slots: load.Slots, UsedByOthers: load.Running + load.Queued - own, UsedByOtherFeeds: load.Rollouts - own, Version: 1}
	}
	return states
}

func (s *shareSimulation) startSample(a policy.Start) {
	i, err := strconv.Atoi(a.Engine)
	if err != nil {
		panic(err) // the ID was formatted by engineStates
	}
	job := &enginemodel.Job{Feed: a.Feed, ID: a.ID, Length: s.length(a.ID)}
	item := itemID(job)
	s.jobs[item] = job
	s.placedSamples[i][a.Feed]++
	s.execute(i, s.queues[i].Offer(s.clock.Now(), admission.Item{
		ID: item, Principal: principal(a.Feed), Cost: float64(s.maxTokens) * s.pace.Base.Seconds(), Rollout: true,
	}))
}

func itemID(j *enginemodel.Job) string { return j.ID.Name(sharedBusiness, j.Feed) }

// execute starts the jobs that the queue of an engine's agent admitted.
func (s *shareSimulation) execute(i int, actions []admission.Action) {
	for _, a := range actions {
		if a.Kind == admission.Start {
			s.engines[i].Add(s.jobs[a.ID])
		}
	}
	s.wake(i)
}

// wake starts the next step of an engine that has jobs and is not in a step.
func (s *shareSimulation) wake(i int) {
	if s.stepping[i] || s.engines[i].RunningJobs() == 0 {
		return
	}
	s.stepping[i] = true
	s.clock.After(s.engines[i].BeginStep(), func() { s.stepEngine(i) })
}

func (s *shareSimulation) stepEngine(i int) {
	s.stepping[i] = false
	if s.measuring {
		s.engines[i].Each(func(j *enginemodel.Job) { s.tokens[j.Feed]++ })
	}
	done := s.engines[i].Step(s.clock.Now())
	for _, j := range done {
		delete(s.jobs, itemID(j))
		s.placedSamples[i][j.Feed]--
		s.schedulers[j.Feed].Complete(j.Feed, j.ID, j.Tokens)
		s.execute(i, s.queues[i].Done(s.clock.Now(), itemID(j)))
	}
	if len(done) > 0 {
		s.plan()
	}
	s.wake(i)
}
