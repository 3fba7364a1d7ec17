package rollout

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

const scheduleCount = 10_000

// Bounds returns the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{
		{Name: "rollout.schedules", Run: measureSchedules},
		{Name: "rollout.shapes", Run: measureShapes},
		{Name: "rollout.scheduling", Run: measureScheduling},
		{Name: "rollout.moves", Run: measureMoves},
		{Name: "rollout.manifest", Run: measureManifest},
	}
}

// measureManifest counts the writes to the key-value service while one step of 4,096
// samples is handed over.
func measureManifest() ([]bounds.Figure, error) {
	shape := sample.Shape{Groups: benchGroups, Size: benchGroupSize}
	samples, err := newLabelledSamples(shape)
	if err != nil {
		return nil, err
	}
	owner := newBenchOwner(shape)
	for _, s := range samples {
		owner.step(handover.Completed{Sample: s})
	}
	owner.handOver(len(samples))
	return []bounds.Figure{{Name: "rollout.kv_writes_per_step", Value: float64(owner.revision)}}, nil
}

func measureSchedules() ([]bounds.Figure, error) {
	violations, faults := RunSchedules(scheduleCount, DisabledSafeguards{})
	return []bounds.Figure{
		{Name: "rollout.schedules", Value: scheduleCount},
		{Name: "rollout.schedules.samples", Value: float64(faults.AcceptedSamples)},
		{Name: "rollout.schedules.crashes", Value: float64(faults.Crashes)},
		{Name: "rollout.schedules.pauses", Value: float64(faults.Pauses)},
		{Name: "rollout.schedules.restarts", Value: float64(faults.Restarts)},
		{Name: "rollout.schedules.outages", Value: float64(faults.Outages)},
		{Name: "rollout.schedules.superseded", Value: float64(faults.Superseded)},
		{Name: "rollout.stale_handed", Value: float64(violations.Stale)},
		{Name: "rollout.duplicates", Value: float64(violations.Duplicates)},
		{Name: "rollout.lost", Value: float64(violations.Lost)},
		{Name: "rollout.mislabelled", Value: float64(violations.Mislabeled)},
	}, nil
}

func measureShapes() ([]bounds.Figure, error) {
	violations, faults := RunShapeSchedules(scheduleCount, DisabledSafeguards{})
	return []bounds.Figure{
		{Name: "rollout.shapes.schedules", Value: scheduleCount},
		{Name: "rollout.shapes.declared", Value: float64(faults.ShapeChanges)},
		{Name: "rollout.shapes.reshaped_steps", Value: float64(faults.ReshapedSteps)},
		{Name: "rollout.shapes.stale_handed", Value: float64(violations.Stale)},
		{Name: "rollout.shapes.duplicates", Value: float64(violations.Duplicates)},
		{Name: "rollout.shapes.lost", Value: float64(violations.Lost)},
		{Name: "rollout.shapes.mislabelled", Value: float64(violations.Mislabeled)},
	}, nil
}

// deploymentRuns are the results of the pipelines of one deployment.
type deploymentRuns struct {
	// Without run-ahead.
	sequential, sequentialBaseline *result
	// With the deployment's own weights, with the other deployment's weights, and with the
	// baseline instead of the scheduler.
	own, exchangedWeights, baseline *result
}

// outageRuns are the results of a pipeline without an outage of the key-value service,
// with one, and with one during which the owner crashes.
type outageRuns struct {
	noOutage, ownerSurvives, ownerCrashes *result
}

// outageSteps is the number of steps of outageRuns. It is large enough that the
// pipelines still run when the outage ends.
const outageSteps = 14

func runDeployment(group *errgroup.Group, s, other scenario) *deploymentRuns {
	runs := &deploymentRuns{}
	sequential := s.sequential()
	startRun(group, &runs.sequential, newPipeline(sequential, newScheduler(sequential, s.idleWeight, s.stalenessWeight)))
	startRun(group, &runs.sequentialBaseline, newPipeline(sequential.withSimultaneousSwaps(), newBaseline()))
	startRun(group, &runs.own, newPipeline(s, newScheduler(s, s.idleWeight, s.stalenessWeight)))
	startRun(group, &runs.exchangedWeights, newPipeline(s, newScheduler(s, other.idleWeight, other.stalenessWeight)))
	startRun(group, &runs.baseline, newPipeline(s.withSimultaneousSwaps(), newBaseline()))
	return runs
}

// startRun runs a pipeline in the group and stores its result in out.
func startRun(group *errgroup.Group, out **result, p *pipeline) {
	group.Go(func() error {
		*out = p.run()
		return nil
	})
}

func runOutages(group *errgroup.Group, s scenario) *outageRuns {
	s.steps = outageSteps
	newRun := func() *pipeline { return newPipeline(s, newScheduler(s, s.idleWeight, s.stalenessWeight)) }
	runs := &outageRuns{}
	startRun(group, &runs.noOutage, newRun())
	ownerSurvives := newRun()
	ownerSurvives.scheduleOutage()
	startRun(group, &runs.ownerSurvives, ownerSurvives)
	ownerCrashes := newRun()
	ownerCrashes.scheduleOutage()
	ownerCrashes.scheduleOwnerCrash()
	startRun(group, &runs.ownerCrashes, ownerCrashes)
	return runs
}

func measureScheduling() ([]bounds.Figure, error) {
	ledgerwise, batumi := ledgerwiseScenario(), batumiScenario()
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	ledgerwiseRuns := runDeployment(&group, ledgerwise, batumi)
	batumiRuns := runDeployment(&group, batumi, ledgerwise)
	outages := runOutages(&group, batumi)
	if err := group.Wait(); err != nil {
		return nil, err
	}
	figures := append(ledgerwiseRuns.figures(ledgerwise), batumiRuns.figures(batumi)...)
	return append(figures,
		bounds.Figure{Name: "rollout.tradeoff", Value: min(ledgerwiseRuns.tradeoff(ledgerwise), batumiRuns.tradeoff(batumi))},
		bounds.Figure{Name: "rollout.outage_idle_s.owner_lives", Value: outages.addedIdle(outages.ownerSurvives)},
		bounds.Figure{Name: "rollout.outage_idle_s.owner_dies", Value: outages.addedIdle(outages.ownerCrashes)},
		bounds.Figure{Name: "rollout.share_of_declared", Value: measureShares(false)},
		bounds.Figure{Name: "rollout.share_across_entries", Value: measureShares(true)},
	), nil
}

// tradeoff returns the ratio of the deployment's weighted cost when scheduled under the
// other deployment's weights to that under its own weights.
func (d *deploymentRuns) tradeoff(s scenario) float64 {
	return d.exchangedWeights.weightedCost(s) / d.own.weightedCost(s)
}

// addedIdle returns the idle time that an outage adds, in seconds.
func (o *outageRuns) addedIdle(r *result) float64 {
	return (r.idle - o.noOutage.idle).Seconds()
}

func (d *deploymentRuns) figures(s scenario) []bounds.Figure {
	return []bounds.Figure{
		{Name: "rollout.idle_ratio." + s.name, Value: d.sequential.lowerBoundRatio()},
		{Name: "rollout.idle_ratio." + s.name + ".baseline", Value: d.sequentialBaseline.lowerBoundRatio()},
		{Name: "rollout.idle_vs_baseline." + s.name, Value: d.own.idle.Seconds() / d.baseline.idle.Seconds()},
		{Name: "rollout.idle_s." + s.name, Value: d.own.idle.Seconds()},
		{Name: "rollout.idle_s." + s.name + ".baseline", Value: d.baseline.idle.Seconds()},
		{Name: "rollout.staleness_mean." + s.name, Value: d.own.meanStaleness()},
		{Name: "rollout.staleness_mean." + s.name + ".baseline", Value: d.baseline.meanStaleness()},
		{Name: "rollout.staleness_max." + s.name, Value: float64(d.own.stalenessMax)},
		{Name: "rollout.staleness_mean_s." + s.name, Value: d.own.meanAge()},
		{Name: "rollout.staleness_max_s." + s.name, Value: d.own.ageMax.Round(time.Millisecond).Seconds()},
		{Name: "rollout.tradeoff." + s.name, Value: d.tradeoff(s)},
	}
}
