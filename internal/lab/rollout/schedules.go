package rollout

import (
	"sync"

	"siskinloom.example/siskinloom/internal/lab/seeds"
)

// RunSchedules plays n schedules with seeds from 1 and adds up what went wrong.
// The sum does not depend on how many run at once.
func RunSchedules(n int, harm DisabledSafeguards) (Violations, FaultCounts) {
	return addUp(n, func(seed uint64) (Violations, FaultCounts) { return RunSchedule(seed, harm) })
}

// RunShapeSchedules is RunSchedules with declarations that change the shape of
// the steps at any moment.
func RunShapeSchedules(n int, harm DisabledSafeguards) (Violations, FaultCounts) {
	return addUp(n, func(seed uint64) (Violations, FaultCounts) { return RunShapeSchedule(seed, harm) })
}

func addUp(n int, play func(seed uint64) (Violations, FaultCounts)) (Violations, FaultCounts) {
	var mu sync.Mutex
	var bad Violations
	var seen FaultCounts
	seeds.Each(n, func(seed uint64) {
		violations, faults := play(seed)
		mu.Lock()
		defer mu.Unlock()
		bad.add(violations)
		seen.add(faults)
	})
	return bad, seen
}
