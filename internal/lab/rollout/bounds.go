package rollout

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

const schedules = 10_000

// Bounds lists the runs of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{
		{Name: "rollout.schedules", Run: measureSchedules},
		{Name: "rollout.shapes", Run: measureShapes},
		{Name: "rollout.scheduling", Run: measureScheduling},
		{Name: "rollout.moves", Run: measureMoves},
		{Name: "rollout.manifest", Run: measureManifest},
	}
}

// measureManifest counts the swaps that hand over one step of 4,096 samples.
func measureManifest() ([]bounds.Figure, error) {
	shape := sample.Shape{Groups: benchGroups, Size: benchSize}
	samples, err := labelledStep(shape)
	if err != nil {
		return nil, err
	}
	owner := servingOwner(shape)
	for _, s := range samples {
		owner.step(handover.Completed{Sample: s})
	}
	owner.handOver(len(samples))
	return []bounds.Figure{{Name: "rollout.kv_writes_per_step", Value: float64(owner.revision)}}, nil
}

func measureSchedules() ([]bounds.Figure, error) {
	bad, seen := RunSchedules(schedules, DisabledSafeguards{})
	return []bounds.Figure{
		{Name: "rollout.schedules", Value: schedules},
		{Name: "rollout.schedules.samples", Value: float64(seen.AcceptedSamples)},
		{Name: "rollout.schedules.crashes", Value: float64(seen.Crashes)},
		{Name: "rollout.schedules.pauses", Value: float64(seen.Pauses)},
		{Name: "rollout.schedules.restarts", Value: float64(seen.Restarts)},
		{Name: "rollout.schedules.outages", Value: float64(seen.Outages)},
		{Name: "rollout.schedules.superseded", Value: float64(seen.Superseded)},
		{Name: "rollout.stale_handed", Value: float64(bad.Stale)},
		{Name: "rollout.duplicates", Value: float64(bad.Duplicates)},
		{Name: "rollout.lost", Value: float64(bad.Lost)},
		{Name: "rollout.mislabelled", Value: float64(bad.Mislabeled)},
	}, nil
}

func measureShapes() ([]bounds.Figure, error) {
	bad, seen := RunShapeSchedules(schedules, DisabledSafeguards{})
	return []bounds.Figure{
		{Name: "rollout.shapes.schedules", Value: schedules},
		{Name: "rollout.shapes.declared", Value: float64(seen.ShapeChanges)},
		{Name: "rollout.shapes.reshaped_steps", Value: float64(seen.ReshapedSteps)},
		{Name: "rollout.shapes.stale_handed", Value: float64(bad.Stale)},
		{Name: "rollout.shapes.duplicates", Value: float64(bad.Duplicates)},
		{Name: "rollout.shapes.lost", Value: float64(bad.Lost)},
		{Name: "rollout.shapes.mislabelled", Value: float64(bad.Mislabeled)},
	}, nil
}

// deploymentRuns are the pipelines of one deployment.
type deploymentRuns struct {
	alone, aloneBase     *result // each step by itself
	own, exchanged, base *result
}

// outageRuns are pipelines without an outage, with one, and with one in which
// the owner dies.
type outageRuns struct {
	without, lives, dies *result
}

// outageSteps is long enough for a pipeline to outlast the outage.
const outageSteps = 14

func runDeployment(group *errgroup.Group, s, other scenario) *deploymentRuns {
	d := &deploymentRuns{}
	sequential := s.sequential()
	begin(group, &d.alone, newPipeline(sequential, newPolicy(sequential, s.idle, s.staleness)))
	begin(group, &d.aloneBase, newPipeline(sequential.swapAtOnce(), newBaseline()))
	begin(group, &d.own, newPipeline(s, newPolicy(s, s.idle, s.staleness)))
	begin(group, &d.exchanged, newPipeline(s, newPolicy(s, other.idle, other.staleness)))
	begin(group, &d.base, newPipeline(s.swapAtOnce(), newBaseline()))
	return d
}

func begin(group *errgroup.Group, into **result, l *pipeline) {
	group.Go(func() error {
		*into = l.run()
		return nil
	})
}

func runOutages(group *errgroup.Group, s scenario) *outageRuns {
	s.steps = outageSteps
	build := func() *pipeline { return newPipeline(s, newPolicy(s, s.idle, s.staleness)) }
	o := &outageRuns{}
	begin(group, &o.without, build())
	lives := build()
	lives.outage()
	begin(group, &o.lives, lives)
	dies := build()
	dies.outage()
	dies.ownerDies()
	begin(group, &o.dies, dies)
	return o
}

func measureScheduling() ([]bounds.Figure, error) {
	kheda, kartli := ledgerwise(), batumi()
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	first := runDeployment(&group, kheda, kartli)
	second := runDeployment(&group, kartli, kheda)
	outages := runOutages(&group, kartli)
	if err := group.Wait(); err != nil {
		return nil, err
	}
	figures := append(first.figures(kheda), second.figures(kartli)...)
	return append(figures,
		bounds.Figure{Name: "rollout.tradeoff", Value: min(first.tradeoff(kheda), second.tradeoff(kartli))},
		bounds.Figure{Name: "rollout.outage_idle_s.owner_lives", Value: outages.added(outages.lives)},
		bounds.Figure{Name: "rollout.outage_idle_s.owner_dies", Value: outages.added(outages.dies)},
		bounds.Figure{Name: "rollout.share_of_declared", Value: measureShares(false)},
		bounds.Figure{Name: "rollout.share_across_entries", Value: measureShares(true)},
	), nil
}

// tradeoff is the deployment's weighted measure under the other's weights
// against that under its own.
func (d *deploymentRuns) tradeoff(s scenario) float64 {
	return d.exchanged.measure(s) / d.own.measure(s)
}

// added is the idle time that an outage adds, in seconds.
func (o *outageRuns) added(r *result) float64 {
	return (r.idle - o.without.idle).Seconds()
}

func (d *deploymentRuns) figures(s scenario) []bounds.Figure {
	return []bounds.Figure{
		{Name: "rollout.idle_ratio." + s.name, Value: d.alone.overLowerBound()},
		{Name: "rollout.idle_ratio." + s.name + ".baseline", Value: d.aloneBase.overLowerBound()},
		{Name: "rollout.idle_vs_baseline." + s.name, Value: d.own.idle.Seconds() / d.base.idle.Seconds()},
		{Name: "rollout.idle_s." + s.name, Value: d.own.idle.Seconds()},
		{Name: "rollout.idle_s." + s.name + ".baseline", Value: d.base.idle.Seconds()},
		{Name: "rollout.staleness_mean." + s.name, Value: d.own.meanVersions()},
		{Name: "rollout.staleness_mean." + s.name + ".baseline", Value: d.base.meanVersions()},
		{Name: "rollout.staleness_max." + s.name, Value: float64(d.own.versionMax)},
		{Name: "rollout.staleness_mean_s." + s.name, Value: d.own.meanAge()},
		{Name: "rollout.staleness_max_s." + s.name, Value: d.own.ageMax.Round(time.Millisecond).Seconds()},
		{Name: "rollout.tradeoff." + s.name, Value: d.tradeoff(s)},
	}
}
