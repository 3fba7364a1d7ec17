// Package callers measures which answers callers get. It runs the decision packages
// for claims, poison requests and retries in virtual time against small models of
// the key-value service, agents and endpoints, with fixed seeds.
package callers

import (
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// claimScheduleCount is the number of schedules that are simulated with claims.
	claimScheduleCount = 10_000
	// baselineScheduleCount is how many of them are also simulated without claims.
	baselineScheduleCount = 1_000
)

// claimTotals adds up the results of schedules.
type claimTotals struct {
	mu                sync.Mutex
	schedules         int
	submissions       int
	runs              int
	doubleRuns        int
	falseNotRun       int
	wrongOrCut        int
	unreadableRecords int
	outcomes          map[wire.Outcome]int
}

func (t *claimTotals) add(w *claimWorld) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.schedules++
	t.submissions += w.recorder.submissions
	t.runs += w.runCount
	t.doubleRuns += w.recorder.doubleRuns
	t.falseNotRun += w.recorder.falseNotRun
	t.wrongOrCut += w.recorder.wrongOrCut
	t.unreadableRecords += w.unreadableRecords
	for outcome, n := range w.recorder.outcomes {
		t.outcomes[outcome] += n
	}
}

// share returns the share of all answers that have the outcome.
func (t *claimTotals) share(outcome wire.Outcome) float64 {
	total := 0
	for _, n := range t.outcomes {
		total += n
	}
	return float64(t.outcomes[outcome]) / float64(total)
}

// runClaimSchedules simulates the schedules with the seeds 1 to count and returns
// their totals.
func runClaimSchedules(count int, disabled claimSafeguard) (*claimTotals, error) {
	totals := &claimTotals{outcomes: map[wire.Outcome]int{}}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	const chunkSize = 100
	for from := 0; from < count; from += chunkSize {
		group.Go(func() error {
			for seed := from; seed < min(from+chunkSize, count); seed++ {
				totals.add(runClaimSchedule(uint64(seed+1), disabled))
			}
			return nil
		})
	}
	return totals, group.Wait()
}

// Bounds returns the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{
		{Name: "callers.claims", Run: measureClaims},
		{Name: "claims.load", Run: measureClaimWrites},
		{Name: "claims.crash", Run: measureClaimCrash},
		{Name: "callers.poison", Run: measurePoison},
		{Name: "callers.retries", Run: measureRetries},
	}
}

func measureClaims() ([]bounds.Figure, error) {
	totals, err := runClaimSchedules(claimScheduleCount, noClaimSafeguard)
	if err != nil {
		return nil, err
	}
	baseline, err := runClaimSchedules(baselineScheduleCount, allClaims)
	if err != nil {
		return nil, err
	}
	return []bounds.Figure{
		{Name: "callers.schedules", Value: float64(totals.schedules)},
		{Name: "callers.double_runs", Value: float64(totals.doubleRuns)},
		{Name: "callers.double_runs.baseline", Value: float64(baseline.doubleRuns)},
		{Name: "callers.false_not_run", Value: float64(totals.falseNotRun)},
		{Name: "callers.false_not_run.baseline", Value: float64(baseline.falseNotRun)},
		{Name: "callers.wrong_or_cut", Value: float64(totals.wrongOrCut + totals.unreadableRecords)},
		{Name: "callers.wrong_or_cut.baseline", Value: float64(baseline.wrongOrCut)},
		{Name: "callers.claims_answered", Value: totals.share(wire.Answered)},
		{Name: "callers.claims_unknown", Value: totals.share(wire.Unknown)},
	}, nil
}
