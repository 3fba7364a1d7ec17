package rollout

import (
	"sync"

	"siskinloom.example/siskinloom/internal/lab/seeds"
)

// RunSchedules simulates the schedules with the seeds 1 to n and returns the sums of
// their violations and faults, which do not depend on how many run in parallel.
func RunSchedules(n int, disabled DisabledSafeguards) (Violations, FaultCounts) {
	return sumSchedules(n, func(seed uint64) (Violations, FaultCounts) { return RunSchedule(seed, disabled) })
}

// RunShapeSchedules is like RunSchedules, but declarations change the shape of the steps
// during the schedules.
func RunShapeSchedules(n int, disabled DisabledSafeguards) (Violations, FaultCounts) {
	return sumSchedules(n, func(seed uint64) (Violations, FaultCounts) { return RunShapeSchedule(seed, disabled) })
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
