package weights

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/seeds"
)

const (
	schedules = 10_000
	ownerDies = 4 * time.Second // in the middle of the loads
)

// Bounds lists the runs of this package.
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
	dying := fleet
	dying.SilentAgents = fleet.Engines / 100
	silent := dying.Run()
	orphaned := fleet
	orphaned.OwnerCrashAt, orphaned.TakeoverTime = ownerDies, longestTakeover(true)
	succeeded := orphaned.Run()
	waiting := orphaned
	waiting.TakeoverTime = longestTakeover(false)
	leased := waiting.Run()
	naive := fleet
	naive.FromStore, naive.LoadAtOnce = true, true
	baseline := naive.Run()
	return []bounds.Figure{
		{Name: "weights.orders", Value: float64(result.Orders)},
		{Name: "weights.engines", Value: float64(fleet.Engines)},
		{Name: "weights.failure_domains", Value: float64(fleet.Domains)},
		{Name: "weights.store_rate", Value: fleet.StoreRate},
		{Name: "weights.version_bytes", Value: fleet.VersionBytes},
		{Name: "weights.link_rate", Value: fleet.LinkRate},
		{Name: "weights.load_s", Value: fleet.LoadTime.Seconds()},
		{Name: "weights.all_engines_s", Value: result.Seconds},
		{Name: "weights.all_engines_s.baseline", Value: baseline.Seconds},
		{Name: "weights.all_engines_s.silent_agents", Value: silent.Seconds},
		{Name: "weights.all_engines_s.owner_crash", Value: succeeded.Seconds},
		{Name: "weights.all_engines_s.owner_crash.lease", Value: leased.Seconds},
		{Name: "weights.takeover_s.lease", Value: waiting.TakeoverTime.Seconds()},
		{Name: "weights.capacity_floor.owner_crash", Value: succeeded.MinServingShare - fleet.CapacityFloor},
		{Name: "weights.takeover_s", Value: orphaned.TakeoverTime.Seconds()},
		{Name: "weights.silent_agents", Value: float64(dying.SilentAgents)},
		{Name: "weights.fetch_s", Value: result.FetchSeconds},
		{Name: "weights.fetch_s.baseline", Value: baseline.FetchSeconds},
		{Name: "weights.store_copies", Value: result.StoreBytes / fleet.VersionBytes},
		{Name: "weights.store_copies.baseline", Value: baseline.StoreBytes / fleet.VersionBytes},
		{Name: "weights.capacity_floor", Value: result.MinServingShare - fleet.CapacityFloor},
		{Name: "weights.capacity_floor.baseline", Value: baseline.MinServingShare - fleet.CapacityFloor},
	}, nil
}

// RunSchedules plays n schedules with seeds from 1 and adds up what went wrong.
// The sum does not depend on how many run at once.
func RunSchedules(n int, harm DisabledSafeguards) (Violations, FaultCounts) {
	return sum(n, func(seed uint64) (Violations, FaultCounts) { return RunSchedule(seed, harm) })
}

func sum(n int, run func(seed uint64) (Violations, FaultCounts)) (Violations, FaultCounts) {
	var mu sync.Mutex
	var bad Violations
	var seen FaultCounts
	seeds.Each(n, func(seed uint64) {
		violations, faults := run(seed)
		mu.Lock()
		defer mu.Unlock()
		bad.add(violations)
		seen.add(faults)
	})
	return bad, seen
}

func measureSchedules() ([]bounds.Figure, error) {
	bad, seen := RunSchedules(schedules, DisabledSafeguards{})
	unguarded, _ := RunSchedules(schedules/10, DisabledSafeguards{OrderFilter: true})
	return []bounds.Figure{
		{Name: "weights.schedules", Value: schedules},
		{Name: "weights.schedules.takeovers", Value: float64(seen.Takeovers)},
		{Name: "weights.schedules.agents_replaced", Value: float64(seen.ReplacedAgents)},
		{Name: "weights.schedules.agent_pauses", Value: float64(seen.AgentPauses)},
		{Name: "weights.schedules.lost_answers", Value: float64(seen.LostAnswers)},
		{Name: "weights.schedules.failed_loads", Value: float64(seen.FailedLoads)},
		{Name: "weights.schedules.newer_versions", Value: float64(seen.Versions)},
		{Name: "weights.schedules.no_fencing", Value: float64(seen.NoFencing)},
		{Name: "weights.reverts", Value: float64(bad.Reverts)},
		{Name: "weights.reverts.baseline", Value: float64(unguarded.Reverts)},
		{Name: "weights.two_effective", Value: float64(bad.TwoEffective)},
		{Name: "weights.two_effective.baseline", Value: float64(unguarded.TwoEffective)},
		{Name: "weights.floor_breaks", Value: float64(bad.FloorBreaks)},
		{Name: "weights.unfinished", Value: float64(bad.Unfinished)},
	}, nil
}

func measureRoles() ([]bounds.Figure, error) {
	bad, seen := sum(schedules, func(seed uint64) (Violations, FaultCounts) { return RunRoleSchedule(seed, DisabledSafeguards{}) })
	unguarded, _ := sum(schedules/10, func(seed uint64) (Violations, FaultCounts) {
		return RunRoleSchedule(seed, DisabledSafeguards{OrderFilter: true})
	})
	return []bounds.Figure{
		{Name: "weights.roles.schedules", Value: schedules},
		{Name: "weights.roles.changes", Value: float64(seen.RoleChanges)},
		{Name: "weights.roles.takeovers", Value: float64(seen.Takeovers)},
		{Name: "weights.roles.reverts", Value: float64(bad.Reverts)},
		{Name: "weights.roles.two_effective", Value: float64(bad.TwoEffective)},
		{Name: "weights.roles.two_effective.baseline", Value: float64(unguarded.TwoEffective)},
		{Name: "weights.roles.floor_breaks", Value: float64(bad.FloorBreaks)},
		{Name: "weights.roles.unfinished", Value: float64(bad.Unfinished)},
	}, nil
}
