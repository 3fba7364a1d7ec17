package rollout

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// probes is how many samples of a group go before all others: one alone says
// little of its siblings, and more of them delay the groups found to be long.
const probes = 2

// candidate is a sample that could be begun.
type candidate struct {
	id      sample.ID
	version int64 // the trainer's when it will take the sample
}

// queue is what one feed may begin: the current step, then the part of the next
// one that may run ahead.
type queue struct {
	feed    *feed
	current []*urgentGroup
	ahead   []*urgentGroup
	budget  int // of ahead
}

type urgentGroup struct {
	*group
	unknown bool // fewer than probes of it have begun
	urgency float64
}

// before tells whether g goes before other. A group of which little is known goes
// first, whatever its class: its first samples tell how long its siblings will
// be, and a long group that is found late holds up the whole step.
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
	return len(q.current) == 0 && (len(q.ahead) == 0 || q.budget <= 0)
}

// pop takes the most urgent candidate.
func (q *queue) pop() candidate {
	version := q.feed.demand.Version
	if len(q.current) > 0 {
		return candidate{id: popUrgent(&q.current), version: version}
	}
	q.budget--
	return candidate{id: popUrgent(&q.ahead), version: version + 1}
}

// putBack returns a candidate for which no engine will do. None will then for
// the other samples of its step, as they differ from it in length only.
func (q *queue) putBack(c candidate) {
	for _, g := range q.feed.groups {
		if g.id == groupOf(c.id) {
			g.waiting = append([]sample.ID{c.id}, g.waiting...)
		}
	}
	if c.version == q.feed.demand.Version {
		// The next step must not take the engines that this one waits for.
		q.current = nil
	}
	q.ahead = nil
}

// popUrgent takes the first sample of the group that goes first. Few samples are
// taken at a time, so that a search is cheaper than keeping the groups in order.
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

// place begins samples while engines have room. The feed that has least of its
// share goes next, so that a burst of one cannot keep another from its own.
func (s *Scheduler) place(now time.Time) []Action {
	free := s.freeSlots()
	if free == 0 {
		return nil
	}
	queues := map[string]*queue{}
	for name, f := range s.feeds {
		queues[name] = s.candidates(now, f)
	}
	var acts []Action
	for free > 0 {
		f := s.neediest(queues)
		if f == nil {
			break
		}
		next := queues[f.Name].pop()
		e := s.choose(now, f, next)
		if e == nil {
			queues[f.Name].putBack(next)
			continue
		}
		free--
		e.runs++
		f.runs[next.id] = &run{feed: f, id: next.id, engine: e.ID, since: now}
		acts = append(acts, Start{Feed: f.Name, ID: next.id, Engine: e.ID})
	}
	return acts
}

func (s *Scheduler) freeSlots() int {
	free := 0
	for _, e := range s.engines {
		free += max(0, s.room(e))
	}
	return free
}

// neediest returns the feed with candidates that uses least against its share.
func (s *Scheduler) neediest(queues map[string]*queue) *feed {
	var best *feed
	bestUse := math.Inf(1)
	for _, name := range s.names() {
		f := s.feeds[name]
		use := float64(len(f.runs)) / max(f.Share, 1e-6)
		if !queues[name].empty() && use < bestUse {
			best, bestUse = f, use
		}
	}
	return best
}

// candidates lists what a feed may begin.
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
			u.unknown = len(g.waiting) > f.Shape.PerGroup()-probes
			q.current = append(q.current, u)
			continue
		}
		q.ahead = append(q.ahead, u)
		waiting += len(g.waiting)
	}
	begun := f.Shape.Slots() - waiting
	if !s.tooEarly(now, f) {
		q.budget = int(math.Round(f.share*float64(f.Shape.Slots()))) - begun
	}
	return q
}

// runningTokens returns the tokens so far of each group's running samples.
func (f *feed) runningTokens() map[sample.ID][]int {
	all := make(map[sample.ID][]int, len(f.runs))
	for id, r := range f.runs {
		all[groupOf(id)] = append(all[groupOf(id)], r.tokens)
	}
	for _, tokens := range all {
		// The order of a map must not change a sum's last digit.
		sort.Ints(tokens)
	}
	return all
}

// tooEarly tells whether a sample begun now would be past the feed's age limit
// when the trainer comes for the next step.
func (s *Scheduler) tooEarly(now time.Time, f *feed) bool {
	if f.Limits.MaxAge == 0 || f.train == 0 {
		return false
	}
	comes := now.Add(f.train)
	if f.demand.Training {
		comes = f.held.Add(f.train)
	}
	return comes.Sub(now) > f.Limits.MaxAge
}

// choose returns the engine for a candidate: of those with room whose version
// will still be accepted, the one that generates fastest, then the newest, then
// the one that spreads the group most.
func (s *Scheduler) choose(now time.Time, f *feed, c candidate) *engine {
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

// waitsForSwap holds a sample back from an engine that is about to swap to the
// trainer's version: one of the next step always, as nobody waits for it yet, and
// one of the current step while a version behind costs its feed more than the
// waiting does.
func (s *Scheduler) waitsForSwap(now time.Time, f *feed, c candidate, e *engine) bool {
	if !s.swapsSoon(now, f, e) {
		return false
	}
	waited := now.Sub(f.since)
	ahead := c.version > f.demand.Version
	return ahead || f.worthWaiting(max(waited, f.swap))
}

// swapsSoon tells whether an engine is expected to swap to the trainer's version.
func (s *Scheduler) swapsSoon(now time.Time, f *feed, e *engine) bool {
	return e.Version < f.demand.Version && now.Sub(f.since) < s.options.SwapWait
}

// worthWaiting weighs a wait against a version behind, in the units of the
// feed's weighted measure.
func (f *feed) worthWaiting(wait time.Duration) bool {
	if f.train <= 0 {
		return f.WeightStaleness > f.WeightIdle
	}
	return f.WeightStaleness > f.WeightIdle*wait.Seconds()/f.train.Seconds()
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

// siblings counts the samples of a group that run on an engine.
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
