package config

import (
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/bounds"
)

const (
	scheduleCount = 10000
	workerCount   = 4
)

// Bounds returns the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{
		{Name: "config.schedules", Run: measureSchedules},
		{Name: "config.scale", Run: measureScale},
		{Name: "config.availability", Run: measureAvailability},
		{Name: "config.spread", Run: measureDistribution},
		{Name: "regions.apart", Run: measureRegions},
		{Name: "audit.flood", Run: measureFlood},
		{Name: "duties.schedules", Run: measureDuties},
		{Name: "claims.handover", Run: measureHandover},
	}
}

func measureSchedules() ([]bounds.Figure, error) {
	results := runSchedules(1, scheduleCount, noSafeguard)
	return []bounds.Figure{
		{Name: "config.schedules", Value: float64(results.schedules)},
		{Name: "config.accepted", Value: float64(results.accepted)},
		{Name: "config.reverts", Value: float64(results.reverts)},
		{Name: "config.torn", Value: float64(results.torn)},
		{Name: "config.lost_accepts", Value: float64(results.lostAccepts)},
		{Name: "config.false_refusals", Value: float64(results.falseRefusals)},
		{Name: "config.unsettled", Value: float64(results.unknownChanges)},
		{Name: "config.ready_behind_s", Value: results.readyBehind.Seconds()},
		{Name: "config.ready_behind_blind_s", Value: results.readyBehindBlind.Seconds()},
		{Name: "audit.missing", Value: float64(results.auditMissing)},
	}, nil
}

func measureDuties() ([]bounds.Figure, error) {
	results := runDutySchedules(dutyScheduleCount, noDutySafeguard)
	longest := time.Duration(0)
	for seed := range crashScheduleCount {
		longest = max(longest, gapAfterCrash(uint64(seed)))
	}
	return []bounds.Figure{
		{Name: "duties.schedules", Value: dutyScheduleCount},
		{Name: "duties.acts", Value: float64(results.acts)},
		{Name: "duties.two_effective", Value: float64(results.twoEffective)},
		{Name: "duties.overlaps", Value: float64(results.overlaps)},
		{Name: "duties.unheld", Value: float64(results.unheld)},
		{Name: "duties.gap_s", Value: longest.Seconds()},
	}, nil
}

// runSchedules simulates the schedules of n consecutive seeds in parallel and adds up the
// results, which do not depend on the order.
func runSchedules(firstSeed uint64, n int, disabled safeguard) results {
	partialResults := make([]results, workerCount)
	var group errgroup.Group
	for i := range workerCount {
		group.Go(func() error {
			for offset := i; offset < n; offset += workerCount {
				partialResults[i].add(runSchedule(firstSeed+uint64(offset), disabled))
			}
			return nil
		})
	}
	_ = group.Wait() // the workers return no errors
	var sum results
	for _, part := range partialResults {
		sum.add(part)
	}
	return sum
}
