package steps_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/lab/steps"
)

func mean(d []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, v := range d {
		sum += v
	}
	return sum / time.Duration(len(d))
}

// currentLoad is the load of two trainers with steps of 115 and 144 items every 4 s.
func currentLoad(seed uint64) steps.Load {
	return steps.Load{
		Seed: seed, Engines: 9, Slots: 16, EventTime: 31700 * time.Microsecond, Slowdown: 0.35, StepInterval: 4 * time.Second, Steps: 14, EngineLoadTime: time.Second,
		Trainers: []steps.Trainer{
			{Groups: 14, GroupSize: 8, WantGroups: 13, MeanEvents: 12.4, MaxEvents: 89, TrainTime: time.Second},
			{Groups: 36, GroupSize: 4, WantGroups: 33, MeanEvents: 23.4, MaxEvents: 168, TrainTime: time.Second},
		},
	}
}

var _ = Describe("steps of two trainers at the worst load", func() {
	seeds := []uint64{1, 2, 3}

	// meanStepTime returns the mean time of the larger trainer's steps over the seeds.
	meanStepTime := func(load func(uint64) steps.Load, options steps.Options) time.Duration {
		var took []time.Duration
		for _, seed := range seeds {
			took = append(took, steps.Replay(load(seed), options)[1].StepTimes...)
		}
		return mean(took)
	}

	It("stay on schedule: two steps are open, and the third is submitted after the training on the first", func() {
		// Two step intervals less the training are 7.0 s. A longer step delays all later
		// steps permanently.
		for _, seed := range seeds {
			for i, o := range steps.Replay(currentLoad(seed), steps.Options{}) {
				Expect(mean(o.StepTimes)).To(BeNumerically("<", 7*time.Second), fmt.Sprintf("seed %d trainer %d", seed, i))
				Expect(o.Delays[len(o.Delays)-1]).To(BeNumerically("<", 500*time.Millisecond), fmt.Sprintf("seed %d trainer %d", seed, i))
			}
		}
	})

	It("take less time if runs are placed by delay and moved than if placed by load alone", func() {
		all := meanStepTime(currentLoad, steps.Options{})
		plain := meanStepTime(currentLoad, steps.Options{PlaceByLoad: true, DisableMoves: true})
		GinkgoWriter.Println("all in:", all, "by load, without moves:", plain)
		Expect(plain - all).To(BeNumerically(">", 200*time.Millisecond))
	})

	It("take as long with half the moves, because only critical runs are moved", func() {
		// Each move closes a connection to an engine, opens another and repeats the
		// prefill of the text. Most runs that could be moved end long before their step.
		all, critical := 0, 0
		for _, seed := range seeds {
			for _, o := range steps.Replay(currentLoad(seed), steps.Options{MoveNonCritical: true}) {
				all += o.Moves
			}
			for _, o := range steps.Replay(currentLoad(seed), steps.Options{}) {
				critical += o.Moves
			}
		}
		Expect(critical).To(BeNumerically("<=", all/2), fmt.Sprintf("%d of %d moves", critical, all))
		Expect(meanStepTime(currentLoad, steps.Options{})).To(BeNumerically("<", meanStepTime(currentLoad, steps.Options{MoveNonCritical: true})+100*time.Millisecond))
	})

	It("take at least as long as their longest required texts, and less than a fourth longer", func() {
		for _, seed := range seeds {
			o := steps.Replay(currentLoad(seed), steps.Options{})[1]
			for i, took := range o.StepTimes {
				Expect(took).To(BeNumerically(">=", o.MinStepTimes[i]), "a step cannot take less than its lower bound")
			}
			Expect(float64(mean(o.StepTimes))/float64(mean(o.MinStepTimes))).To(BeNumerically("<", 1.25), fmt.Sprintf("seed %d", seed))
		}
	})

	It("are on schedule again four steps after a delay of 3 s", func() {
		delayed := 0
		for _, seed := range seeds {
			load := currentLoad(seed)
			load.InitialDelay = 3 * time.Second
			delays := steps.Replay(load, steps.Options{})[1].Delays
			if delays[1+4+1] > 500*time.Millisecond { // the fourth step after the delayed one; one more as two steps are open
				delayed++
			}
		}
		Expect(delayed).To(BeZero())
	})

	DescribeTable("stay on schedule with other event times, batch sizes and step intervals",
		func(change func(*steps.Load)) {
			for _, seed := range seeds {
				load := currentLoad(seed)
				change(&load)
				limit := 2*load.StepInterval - time.Second
				for i, o := range steps.Replay(load, steps.Options{}) {
					Expect(mean(o.StepTimes)).To(BeNumerically("<", limit), fmt.Sprintf("seed %d trainer %d", seed, i))
				}
			}
		},
		Entry("step intervals of 5 s and engines a quarter slower", func(l *steps.Load) {
			l.StepInterval, l.EventTime = 5*time.Second, 40*time.Millisecond
		}),
		Entry("eighteen engines of eight slots that slow down little in a full batch", func(l *steps.Load) {
			l.Engines, l.Slots, l.Slowdown = 18, 8, 0.16
		}),
		Entry("steps twice as large with three times the engines", func(l *steps.Load) {
			l.Engines = 27
			for i := range l.Trainers {
				l.Trainers[i].Groups *= 2
				l.Trainers[i].WantGroups *= 2
			}
		}),
		Entry("event times a third as long and texts three times as long", func(l *steps.Load) {
			l.EventTime /= 3
			for i := range l.Trainers {
				l.Trainers[i].MeanEvents *= 3
				l.Trainers[i].MaxEvents *= 3
			}
		}),
	)
})
