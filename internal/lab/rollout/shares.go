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
	smallFeed   = "small"
	burstFeed   = "burst"
	smallShare  = 0.25
	smallComes  = 30 * time.Second // after the burst filled the engines
	shareFrom   = 60 * time.Second
	shareUntil  = 120 * time.Second
	burstGroups = 4000
	sharedOwner = "kheda" // business of both feeds
)

// sharing is two feeds on the same engines: one whose trainer asks for very
// much at once, and a small one that comes later. Their samples meet in the
// engines' agents' queues.
type sharing struct {
	scenario
	time    *timeline.Timeline
	entries map[string]*policy.Scheduler // of the entry that owns a feed
	order   []string                     // of the feeds whose entries plan
	engines []*enginemodel.Engine
	queues  []*admission.Queue
	jobs    map[string]*enginemodel.Job // by item of a queue
	placed  []map[string]int            // samples of each feed at an engine, queued ones included
	active  []bool
	tokens  map[string]int // within the measured time
	// measured is set once the feeds have settled to their shares.
	measured bool
}

// measureShares returns the part of the engines that the small feed gets of the
// part it declares, while both want more than there is; with each feed owned by
// an entry of its own, or both by one.
func measureShares(apart bool) float64 {
	s := ledgerwise()
	m := &sharing{
		scenario: s, time: timeline.New(), tokens: map[string]int{}, active: make([]bool, s.engines),
		entries: map[string]*policy.Scheduler{}, jobs: map[string]*enginemodel.Job{},
	}
	weights := map[wire.Principal]float64{principal(smallFeed): smallShare, principal(burstFeed): 1 - smallShare}
	for range s.engines {
		m.engines = append(m.engines, &enginemodel.Engine{Pace: s.pace, Slots: s.slots, Version: 1})
		m.queues = append(m.queues, admission.New(admission.Config{Slots: s.slots, QueueLimit: burstGroups, Weights: weights}))
		m.placed = append(m.placed, map[string]int{})
	}
	m.own(burstFeed)
	if apart {
		m.own(smallFeed)
	} else {
		m.entries[smallFeed] = m.entries[burstFeed]
	}
	m.demand(burstFeed, 1-smallShare, burstGroups)
	m.time.After(smallComes, func() { m.demand(smallFeed, smallShare, burstGroups) })
	m.time.After(shareFrom, func() { m.measured = true })
	m.time.Run(shareUntil, func() bool { return false })
	small, burst := float64(m.tokens[smallFeed]), float64(m.tokens[burstFeed])
	return small / (small + burst) / smallShare
}

func principal(feed string) wire.Principal {
	return wire.FeedPrincipal(sharedOwner, feed)
}

// own starts an entry that owns a feed.
func (m *sharing) own(feed string) {
	m.entries[feed] = policy.New(policy.Options{Pace: m.pace, RecomputeCost: m.move})
	m.entries[feed].SetTotalShares(1)
	m.order = append(m.order, feed)
}

func (m *sharing) demand(name string, share float64, groups int) {
	shape := sample.Shape{Groups: groups, Size: 1}
	m.entries[name].SetFeed(policy.Feed{Name: name, Shape: shape, Share: share, WeightIdle: 1, MaxTokens: m.longest})
	d := policy.Demand{Feed: name}
	for slot := range shape.Slots() {
		d.Current = append(d.Current, shape.IDAt(0, slot))
	}
	m.entries[name].SetDemand(m.time.Now(), d)
	m.plan()
}

func (m *sharing) plan() {
	for _, feed := range m.order {
		entry := m.entries[feed]
		entry.SetEngines(m.time.Now(), m.states(entry))
		for _, a := range entry.Plan(m.time.Now()) {
			if start, ok := a.(policy.Start); ok {
				m.start(start)
			}
		}
	}
}

// states is what an entry knows of the engines: their agents' load.
func (m *sharing) states(entry *policy.Scheduler) []policy.Engine {
	states := make([]policy.Engine, len(m.engines))
	for i, q := range m.queues {
		ours := 0
		for feed, n := range m.placed[i] {
			if m.entries[feed] == entry {
				ours += n
			}
		}
		load := q.Load()
		states[i] = policy.Engine{ID: strconv.Itoa(i), Slots: load.Slots, UsedByOthers: load.Running + load.Queued - ours, UsedByOtherFeeds: load.Rollouts - ours, Version: 1}
	}
	return states
}

func (m *sharing) start(a policy.Start) {
	i, err := strconv.Atoi(a.Engine)
	if err != nil {
		panic(err) // named by states
	}
	job := &enginemodel.Job{Feed: a.Feed, ID: a.ID, Length: m.length(a.ID)}
	item := itemOf(job)
	m.jobs[item] = job
	m.placed[i][a.Feed]++
	m.carryOut(i, m.queues[i].Offer(m.time.Now(), admission.Item{
		ID: item, Principal: principal(a.Feed), Cost: float64(m.longest) * m.pace.Base.Seconds(), Rollout: true,
	}))
}

func itemOf(j *enginemodel.Job) string { return j.ID.Name(sharedOwner, j.Feed) }

func (m *sharing) carryOut(i int, acts []admission.Action) {
	for _, a := range acts {
		if a.Kind == admission.Start {
			m.engines[i].Add(m.jobs[a.ID])
		}
	}
	m.wake(i)
}

func (m *sharing) wake(i int) {
	if m.active[i] || m.engines[i].RunningJobs() == 0 {
		return
	}
	m.active[i] = true
	m.time.After(m.engines[i].BeginStep(), func() { m.stepEngine(i) })
}

func (m *sharing) stepEngine(i int) {
	m.active[i] = false
	if m.measured {
		m.engines[i].Each(func(j *enginemodel.Job) { m.tokens[j.Feed]++ })
	}
	done := m.engines[i].Step(m.time.Now())
	for _, j := range done {
		delete(m.jobs, itemOf(j))
		m.placed[i][j.Feed]--
		m.entries[j.Feed].Complete(j.Feed, j.ID, j.Tokens)
		m.carryOut(i, m.queues[i].Done(m.time.Now(), itemOf(j)))
	}
	if len(done) > 0 {
		m.plan()
	}
	m.wake(i)
}
