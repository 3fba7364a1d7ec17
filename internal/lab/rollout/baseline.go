package rollout

import (
	"time"

	policy "siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// planner decides where the samples of a pipeline run. It is implemented by the
// scheduler and by the baseline.
type planner interface {
	SetDemand(now time.Time, d policy.Demand)
	SetEngines(now time.Time, engines []policy.Engine)
	Progress(feed string, id sample.ID, tokens int)
	Complete(feed string, id sample.ID, tokens int)
	Failed(feed string, id sample.ID)
	Plan(now time.Time) []policy.Action
}

// baseline starts the samples of the current step in the order of their IDs, on the
// engines in turn. It starts no samples of the next step.
type baseline struct {
	engines    []policy.Engine
	next       int
	demand     policy.Demand
	dispatched map[sample.ID]bool // samples that were started; true if complete
}

func newBaseline() *baseline { return &baseline{dispatched: map[sample.ID]bool{}} }

// SetDemand sets the demand. A complete sample that is in demand again, because it has
// become too old, will be started again.
func (b *baseline) SetDemand(_ time.Time, d policy.Demand) {
	b.demand = d
	for _, id := range d.Current {
		if complete := b.dispatched[id]; complete {
			delete(b.dispatched, id)
		}
	}
}

func (b *baseline) SetEngines(_ time.Time, engines []policy.Engine) { b.engines = engines }
func (b *baseline) Progress(string, sample.ID, int)                 {}
func (b *baseline) Complete(_ string, id sample.ID, _ int)          { b.dispatched[id] = true }
func (b *baseline) Failed(_ string, id sample.ID)                   { delete(b.dispatched, id) }

// Plan starts the samples in demand that have not been started.
func (b *baseline) Plan(time.Time) (actions []policy.Action) {
	for _, id := range b.demand.Current {
		if _, known := b.dispatched[id]; known {
			continue
		}
		b.dispatched[id] = false
		actions = append(actions, policy.Start{Feed: b.demand.Feed, ID: id, Engine: b.engines[b.next%len(b.engines)].ID})
		b.next++
	}
	return actions
}
