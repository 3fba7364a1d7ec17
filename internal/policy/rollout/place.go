package rollout

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// probeSamples is the number of samples of each group that start before all others. A
// single one predicts little about the rest of its group, and more of them delay the
// groups that turn out to be long.
const probeSamples = 2

// candidate is a sample that could be started.
type candidate struct {
	id      sample.ID
	version int64 // version that the trainer will have when it takes the sample
}

// queue holds the samples that one feed may start: those of the current step, then those
// of the next step within the run-ahead.
type queue struct {
	feed        *feed
	current     []*urgentGroup
	ahead       []*urgentGroup
	aheadBudget int // number of samples of ahead that may start
}

type urgentGroup struct {
	*group
	unknown bool // fewer than probeSamples of its samples have started
	urgency float64
}

// before reports whether g goes before other. A group of unknown length goes first,
// whatever its class: its first samples predict the length of the others, and a long group
// that is detected late delays the whole step.
func (g *urgentGroup) before(other *urgentGroup) bool {
	if g.unknown != other.unknown {
		return g.unknown
	}
	if g.urgency != other.urgency {
		return g.urgency > other.urgency
	}
	return before(g.waiting[0], other.waiting[0])
}

func (q *queue) empty() bool {
	return len(q.current) == 0 && (len(q.ahead) == 0 || q.aheadBudget <= 0)
}

// pop removes and returns the most urgent candidate.
func (q *queue) pop() candidate {
	version := q.feed.demand.Version
	if len(q.current) > 0 {
		return candidate{id: popUrgent(&q.current), version: version}
	}
	q.aheadBudget--
	return candidate{id: popUrgent(&q.ahead), version: version + 1}
}

// putBack returns a candidate to the queue for which no engine is suitable. No engine is
// then suitable for the other samples of its step, which differ in length only, so they
// are removed from the queue.
func (q *queue) putBack(c candidate) {
	for _, g := range q.feed.groups {
		if g.id == groupOf(c.id) {
			g.waiting = append([]sample.ID{c.id}, g.waiting...)
		}
	}
	if c.version == q.feed.demand.Version {
		// The next step must not use the engines that the current one waits for.
		q.current = nil
	}
	q.ahead = nil
}

// popUrgent removes and returns the first sample of the group that goes first. Few samples
// are taken at a time, so a linear search is cheaper than keeping the groups sorted.
func popUrgent(groups *[]*urgentGroup) sample.ID {
	all := *groups
	best := 0
	for i, g := range all {
		if g.before(all[best]) {
			best = i
		}
	}
	g := all[best]
	id := g.waiting[0]
	g.waiting = g.waiting[1:]
	g.unknown = false
	if len(g.waiting) == 0 {
		all[best] = all[len(all)-1]
		*groups = all[:len(all)-1]
	}
	return id
}

// place starts samples while engines have capacity. The feed with the lowest use relative
// to its share goes next, so that a burst of one feed cannot starve another.
func (s *Scheduler) place(now time.Time) []Action {
	free := s.freeSlots()
	if free == 0 {
		return nil
	}
	queues := map[string]*queue{}
	for name, f := range s.feeds {
		queues[name] = s.candidates(now, f)
	}
	var actions []Action
	for free > 0 {
		f := s.leastServed(queues)
		if f == nil {
			break
		}
		next := queues[f.Name].pop()
		e := s.chooseEngine(now, f, next)
		if e == nil {
			queues[f.Name].putBack(next)
			continue
		}
		free--
		e.runs++
		f.runs[next.id] = &run{feed: f, id: next.id, engine: e.ID, lastProgress: now}
		actions = append(actions, Start{Feed: f.Name, ID: next.id, Engine: e.ID})
	}
	return actions
}

func (s *Scheduler) freeSlots() int {
	free := 0
	for _, e := range s.engines {
		free += max(0, s.room(e))
	}
	return free
}

// leastServed returns the feed with the fewest running samples relative to its share, among
// the feeds with candidates. It returns nil if there is none.
func (s *Scheduler) leastServed(queues map[string]*queue) *feed {
	var best *feed
	bestUse := math.Inf(1)
	for _, name := range s.feedNames() {
		f := s.feeds[name]
		use := float64(len(f.runs)) / max(f.Share, 1e-6)
		if !queues[name].empty() && use < bestUse {
			best, bestUse = f, use
		}
	}
	return best
}

// candidates returns the samples that a feed may start.
func (s *Scheduler) candidates(now time.Time, f *feed) *queue {
	q := &queue{feed: f}
	running := f.runningTokens()
	waiting := 0
	for _, g := range f.groups {
		if len(g.waiting) == 0 {
			continue
		}
		u := &urgentGroup{group: g, urgency: f.lengths.Urgency(f.class(g.id), g.id, running[g.id])}
		if g.id.Step == f.demand.Step {
			u.unknown = len(g.waiting) > f.Shape.PerGroup()-probeSamples
			q.current = append(q.current, u)
			continue
		}
		q.ahead = append(q.ahead, u)
		waiting += len(g.waiting)
	}
	started := f.Shape.Slots() - waiting
	if !s.tooEarly(now, f) {
		q.aheadBudget = int(math.Round(f.aheadShare*float64(f.Shape.Slots()))) - started
	}
	return q
}

// runningTokens returns, by group, the tokens so far of the running samples.
func (f *feed) runningTokens() map[sample.ID][]int {
	all := make(map[sample.ID][]int, len(f.runs))
	for id, r := range f.runs {
		all[groupOf(id)] = append(all[groupOf(id)], r.tokens)
	}
	for _, tokens := range all {
		// Map iteration order must not affect the rounding of sums.
		sort.Ints(tokens)
	}
	return all
}

// tooEarly reports whether a sample started now would exceed the feed's age limit when the
// trainer takes the next step.
func (s *Scheduler) tooEarly(now time.Time, f *feed) bool {
	if f.Limits.MaxAge == 0 || f.trainTime == 0 {
		return false
	}
	nextTake := now.Add(f.trainTime)
	if f.demand.Training {
		nextTake = f.trainingSince.Add(f.trainTime)
	}
	return nextTake.Sub(now) > f.Limits.MaxAge
}

// chooseEngine returns the engine for a candidate, or nil if none is suitable. Of the
// engines with room whose version the trainer will still accept, it prefers the least busy
// one, which generates fastest, then the one with the newest version, then the one with the
// fewest samples of the group.
func (s *Scheduler) chooseEngine(now time.Time, f *feed, c candidate) *engine {
	var best *engine
	for _, e := range s.engines {
		if s.room(e) <= 0 || c.version-e.Version > f.Limits.MaxVersionLag || s.waitsForSwap(now, f, c, e) {
			continue
		}
		if best == nil || s.better(f, c, e, best) {
			best = e
		}
	}
	return best
}

// waitsForSwap reports whether a sample should wait until an engine has swapped to the
// trainer's version. A sample of the next step always waits, as the trainer does not need
// it yet. A sample of the current step waits as long as being a version behind costs its
// feed more than the waiting does.
func (s *Scheduler) waitsForSwap(now time.Time, f *feed, c candidate, e *engine) bool {
	if !s.swapExpected(now, f, e) {
		return false
	}
	waited := now.Sub(f.versionSince)
	ahead := c.version > f.demand.Version
	return ahead || f.worthWaiting(max(waited, f.swapTime))
}

// swapExpected reports whether an engine is expected to swap to the trainer's version.
func (s *Scheduler) swapExpected(now time.Time, f *feed, e *engine) bool {
	return e.Version < f.demand.Version && now.Sub(f.versionSince) < s.options.SwapTimeout
}

// worthWaiting reports whether waiting costs the feed less than being a version behind,
// both in terms of the feed's weighted cost.
func (f *feed) worthWaiting(wait time.Duration) bool {
	if f.trainTime <= 0 {
		return f.WeightStaleness > f.WeightIdle
	}
	return f.WeightStaleness > f.WeightIdle*wait.Seconds()/f.trainTime.Seconds()
}

func (s *Scheduler) better(f *feed, c candidate, a, b *engine) bool {
	if a.busy() != b.busy() {
		return a.busy() < b.busy()
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	sameA, sameB := f.siblings(c.id, a.ID), f.siblings(c.id, b.ID)
	if sameA != sameB {
		return sameA < sameB
	}
	return a.ID < b.ID
}

// siblings returns the number of samples of id's group that run on an engine.
func (f *feed) siblings(id sample.ID, engine string) int {
	n := 0
	for index := range f.Shape.PerGroup() {
		sibling := sample.ID{Step: id.Step, Group: id.Group, Index: int32(index)}
		if r := f.runs[sibling]; r != nil && r.engine == engine {
			n++
		}
	}
	return n
}
