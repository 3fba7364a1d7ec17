package weights

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/seeds"
)

const (
	scheduleCount = 10_000
	ownerCrashAt  = 4 * time.Second // while engines are loading
)

// Bounds returns the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{
		{Name: "weights.fleet", Run: measureFleet},
		{Name: "weights.schedules", Run: measureSchedules},
		{Name: "weights.roles", Run: measureRoles},
	}
}

func measureFleet() ([]bounds.Figure, error) {
	fleet := ReferenceFleet()
	result := fleet.Run()
	withSilent := fleet
	withSilent.SilentAgents = fleet.Engines / 100
	silentResult := withSilent.Run()
	earlyTakeover := fleet
	earlyTakeover.OwnerCrashAt, earlyTakeover.TakeoverTime = ownerCrashAt, longestTakeover(true)
	earlyResult := earlyTakeover.Run()
	leaseTakeover := earlyTakeover
	leaseTakeover.TakeoverTime = longestTakeover(false)
	leaseResult := leaseTakeover.Run()
	baselineFleet := fleet
	baselineFleet.FromStore, baselineFleet.LoadAtOnce = true, true
	baselineResult := baselineFleet.Run()
	return []bounds.Figure{
		{Name: "weights.orders", Value: float64(result.Orders)},
		{Name: "weights.engines", Value: float64(fleet.Engines)},
		{Name: "weights.failure_domains", Value: float64(fleet.Domains)},
		{Name: "weights.store_rate", Value: fleet.StoreRate},
		{Name: "weights.version_bytes", Value: fleet.VersionBytes},
		{Name: "weights.link_rate", Value: fleet.LinkRate},
		{Name: "weights.load_s", Value: fleet.LoadTime.Seconds()},
		{Name: "weights.all_engines_s", Value: result.Seconds},
		{Name: "weights.all_engines_s.baseline", Value: baselineResult.Seconds},
		{Name: "weights.all_engines_s.silent_agents", Value: silentResult.Seconds},
		{Name: "weights.all_engines_s.owner_crash", Value: earlyResult.Seconds},
		{Name: "weights.all_engines_s.owner_crash.lease", Value: leaseResult.Seconds},
		{Name: "weights.takeover_s.lease", Value: leaseTakeover.TakeoverTime.Seconds()},
		{Name: "weights.capacity_floor.owner_crash", Value: earlyResult.MinServingShare - fleet.CapacityFloor},
		{Name: "weights.takeover_s", Value: earlyTakeover.TakeoverTime.Seconds()},
		{Name: "weights.silent_agents", Value: float64(withSilent.SilentAgents)},
		{Name: "weights.fetch_s", Value: result.FetchSeconds},
		{Name: "weights.fetch_s.baseline", Value: baselineResult.FetchSeconds},
		{Name: "weights.store_copies", Value: result.StoreBytes / fleet.VersionBytes},
		{Name: "weights.store_copies.baseline", Value: baselineResult.StoreBytes / fleet.VersionBytes},
		{Name: "weights.capacity_floor", Value: result.MinServingShare - fleet.CapacityFloor},
		{Name: "weights.capacity_floor.baseline", Value: baselineResult.MinServingShare - fleet.CapacityFloor},
	}, nil
}

// RunSchedules simulates the schedules with the seeds 1 to n and returns the sums of
// their violations and faults, which do not depend on how many run in parallel.
func RunSchedules(n int, disabled DisabledSafeguards) (Violations, FaultCounts) {
	return sumSchedules(n, func(seed uint64) (Violations, FaultCounts) { return RunSchedule(seed, disabled) })
}

// sumSchedules calls run for the seeds 1 to n in parallel and adds up the results.
func sumSchedules(n int, run func(seed uint64) (Violations, FaultCounts)) (Violations, FaultCounts) {
	var mu sync.Mutex
	var violations Violations
	var faults FaultCounts
	seeds.Each(n, func(seed uint64) {
		v, f := run(seed)
		mu.Lock()
		defer mu.Unlock()
		violations.add(v)
		faults.add(f)
	})
	return violations, faults
}

func measureSchedules() ([]bounds.Figure, error) {
	violations, faults := RunSchedules(scheduleCount, DisabledSafeguards{})
	baseline, _ := RunSchedules(scheduleCount/10, DisabledSafeguards{OrderFilter: true})
	return []bounds.Figure{
		{Name: "weights.schedules", Value: scheduleCount},
		{Name: "weights.schedules.takeovers", Value: float64(faults.Takeovers)},
		{Name: "weights.schedules.agents_replaced", Value: float64(faults.ReplacedAgents)},
		{Name: "weights.schedules.agent_pauses", Value: float64(faults.AgentPauses)},
		{Name: "weights.schedules.lost_answers", Value: float64(faults.LostAnswers)},
		{Name: "weights.schedules.failed_loads", Value: float64(faults.FailedLoads)},
		{Name: "weights.schedules.newer_versions", Value: float64(faults.Versions)},
		{Name: "weights.schedules.no_fencing", Value: float64(faults.NoFencing)},
		{Name: "weights.reverts", Value: float64(violations.Reverts)},
		{Name: "weights.reverts.baseline", Value: float64(baseline.Reverts)},
		{Name: "weights.two_effective", Value: float64(violations.TwoEffective)},
		{Name: "weights.two_effective.baseline", Value: float64(baseline.TwoEffective)},
		{Name: "weights.floor_breaks", Value: float64(violations.FloorBreaks)},
		{Name: "weights.unfinished", Value: float64(violations.Unfinished)},
	}, nil
}

func measureRoles() ([]bounds.Figure, error) {
	violations, faults := sumSchedules(scheduleCount, func(seed uint64) (Violations, FaultCounts) { return RunRoleSchedule(seed, DisabledSafeguards{}) })
	baseline, _ := sumSchedules(scheduleCount/10, func(seed uint64) (Violations, FaultCounts) {
		return RunRoleSchedule(seed, DisabledSafeguards{OrderFilter: true})
	})
	return []bounds.Figure{
		{Name: "weights.roles.schedules", Value: scheduleCount},
		{Name: "weights.roles.changes", Value: float64(faults.RoleChanges)},
		{Name: "weights.roles.takeovers", Value: float64(faults.Takeovers)},
		{Name: "weights.roles.reverts", Value: float64(violations.Reverts)},
		{Name: "weights.roles.two_effective", Value: float64(violations.TwoEffective)},
		{Name: "weights.roles.two_effective.baseline", Value: float64(baseline.TwoEffective)},
		{Name: "weights.roles.floor_breaks", Value: float64(violations.FloorBreaks)},
		{Name: "weights.roles.unfinished", Value: float64(violations.Unfinished)},
	}, nil
}
