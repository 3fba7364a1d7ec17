package steps_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/lab/steps"
)

// unevenLoad is the load of one trainer at 44 engines, a quarter of which is twice as fast as the
// others: steps of 160 texts of 21 events on average, 8 % of them five times as long.
func unevenLoad(seed uint64) steps.Load {
	return steps.Load{
		Seed: seed, Engines: 44, Slots: 6, EventTime: 55 * time.Millisecond, Slowdown: 0.03, StepInterval: 4 * time.Second, Steps: 12, EngineLoadTime: time.Second,
		FastEngines: 11, FastEventTime: 26 * time.Millisecond, NoiseShare: 0.15, NoiseFactor: 2.5, PromptTime: 60 * time.Millisecond,
		Trainers: []steps.Trainer{{Groups: 10, GroupSize: 16, WantGroups: 9, MeanEvents: 16, MaxEvents: 150, TrainTime: time.Second}},
	}
}

// threeTrainers is the same load with three trainers, whose texts have 21, 19 and 7 events.
func threeTrainers(seed uint64) steps.Load {
	load := unevenLoad(seed)
	load.Trainers = []steps.Trainer{
		{Groups: 8, GroupSize: 16, WantGroups: 7, MeanEvents: 16, MaxEvents: 150, TrainTime: time.Second},
		{Groups: 10, GroupSize: 16, WantGroups: 9, MeanEvents: 14.4, MaxEvents: 150, TrainTime: time.Second},
		{Groups: 9, GroupSize: 16, WantGroups: 8, MeanEvents: 5.3, MaxEvents: 150, TrainTime: time.Second},
	}
	return load
}

var _ = Describe("steps at engines of unequal speed", func() {
	const due = 7500 * time.Millisecond
	seeds := []uint64{1, 2, 3, 4}

	// total returns how many steps took longer than they are due, the steps, the moved runs and
	// all runs.
	total := func(load func(uint64) steps.Load, options steps.Options) (late, count, moves, runs int) {
		worst := time.Duration(0)
		for _, seed := range seeds {
			for _, o := range steps.Replay(load(seed), options) {
				// The speeds are not known while the first two steps start.
				for _, took := range o.StepTimes[2:] {
					count++
					worst = max(worst, took)
					if took > due {
						late++
					}
				}
				moves += o.Moves
				runs += o.Runs
			}
		}
		GinkgoWriter.Println("late", late, "of", count, "moves", moves, "of", runs, "worst", worst)
		return late, count, moves, runs
	}

	DescribeTable("end in time with few moves, and late or with many moves if speeds are ignored",
		func(load func(uint64) steps.Load) {
			late, count, moves, runs := total(load, steps.Options{})
			lateBefore, _, movesBefore, runsBefore := total(load, steps.Options{IgnoreSpeeds: true})
			note := fmt.Sprintf("late %d of %d, %d of %d runs moved; speeds ignored: late %d, %d of %d moved", late, count, moves, runs, lateBefore, movesBefore, runsBefore)
			GinkgoWriter.Println(note)
			Expect(late).To(BeZero(), note)
			Expect(float64(moves)).To(BeNumerically("<", 0.05*float64(runs)), note)
			Expect(lateBefore).To(BeNumerically(">", 0), note)
			Expect(float64(movesBefore)).To(BeNumerically(">", 0.05*float64(runsBefore)), note)
		},
		Entry("one trainer", unevenLoad),
		Entry("three trainers", threeTrainers),
	)

	DescribeTable("are replayed exactly as before at engines of equal speed",
		func(load func(uint64) steps.Load) {
			// Where engines are alike, the mechanism must not change a single decision.
			for _, seed := range seeds[:2] {
				equal := load(seed)
				equal.FastEngines, equal.NoiseShare = 0, 0
				Expect(steps.Replay(equal, steps.Options{})).To(Equal(steps.Replay(equal, steps.Options{IgnoreSpeeds: true})))
			}
		},
		Entry("one trainer", unevenLoad),
		Entry("three trainers", threeTrainers),
		Entry("two trainers at the worst load", currentLoad),
	)
})
