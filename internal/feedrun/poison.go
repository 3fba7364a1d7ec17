package feedrun

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// groupKey names a group of a feed's step. Its samples share a prompt.
type groupKey struct {
	feed        string
	step, group int64
}

func (r *run) group() groupKey {
	return groupKey{feed: r.feed.Name, step: r.id.Step, group: r.id.Group}
}

// notePoison notes that a sample of the group is in quarantine: it crashed two
// engines. What is left of the group is given up. Each of its samples is a
// request of its own to the quarantine and would crash two more, and a sample
// that is refused for as long as a quarantine lasts would idle the trainer.
func (g *generation) notePoison(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.poison[r.group()] = true
}

func (g *generation) isPoison(r *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison[r.group()]
}

// forgetPoison forgets the groups of the steps before one that a feed is at. The
// caller holds the lock.
func (g *generation) forgetPoison(feed string, before int64) {
	maps.DeleteFunc(g.poison, func(key groupKey, _ bool) bool { return key.feed == feed && key.step < before })
}

// giveUp returns what the trainer gets in place of the sample.
func (r *run) giveUp() sample.Sample {
	events.SampleGivenUp.Log(r.owner.options.Log, logrus.Fields{
		"feed": r.feed.Name, "sample": r.id.Name(r.owner.deployment, r.feed.Name),
	})
	r.owner.counter("given_up").Inc(1)
	return sample.Sample{ID: r.id, Prompt: r.prompt, FirstTokenAt: time.Now(), Failed: string(wire.ReasonQuarantined)}
}
