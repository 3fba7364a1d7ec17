package feedrun

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// groupKey identifies a group of a feed's step. The samples of a group share a
// prompt.
type groupKey struct {
	feed        string
	step, group int64
}

func (r *run) group() groupKey {
	return groupKey{feed: r.feed.Name, step: r.id.Step, group: r.id.Group}
}

// markPoisoned records that a sample of the group is in quarantine because it
// crashed two engines. The rest of the group is given up: each of its samples
// has a fingerprint of its own in the quarantine and would crash two more
// engines, and samples that are refused until the quarantine expires would idle
// the trainer.
func (g *generation) markPoisoned(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.poisoned[r.group()] = true
}

func (g *generation) isPoisoned(r *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poisoned[r.group()]
}

// dropPoisonedBefore removes a feed's groups of the steps before the given one.
// The lock must be held.
func (g *generation) dropPoisonedBefore(feed string, before int64) {
	maps.DeleteFunc(g.poisoned, func(key groupKey, _ bool) bool { return key.feed == feed && key.step < before })
}

// failedSample returns the sample that the trainer gets instead of one that
// can't be generated.
func (r *run) failedSample() sample.Sample {
	events.SampleFailed.Log(r.owner.options.Log, logrus.Fields{
		"feed": r.feed.Name, "sample": r.id.Name(r.owner.deployment, r.feed.Name),
	})
	r.owner.counter("given_up").Inc(1)
	return sample.Sample{ID: r.id, Prompt: r.prompt, FirstTokenAt: time.Now(), Failed: string(wire.ReasonQuarantined)}
}
