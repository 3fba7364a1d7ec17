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

// today is the load of two trainers with steps of 115 and 144 items every 4 s.
func today(seed uint64) steps.Load {
	return steps.Load{
		Seed: seed, Engines: 9, Slots: 16, Event: 31700 * time.Microsecond, Slowdown: 0.35, Period: 4 * time.Second, Steps: 14, LateEngines: time.Second,
		Trainers: []steps.Trainer{
			{Groups: 14, GroupSize: 8, Want: 13, Mean: 12.4, Longest: 89, Train: time.Second},
			{Groups: 36, GroupSize: 4, Want: 33, Mean: 23.4, Longest: 168, Train: time.Second},
		},
	}
}

var _ = Describe("steps of two trainers at the worst load", func() {
	seeds := []uint64{1, 2, 3}

	// over returns the mean time of the larger trainer's steps over the seeds.
	over := func(load func(uint64) steps.Load, decisions steps.Decisions) time.Duration {
		var took []time.Duration
		for _, seed := range seeds {
			took = append(took, steps.Replay(load(seed), decisions)[1].Took...)
		}
		return mean(took)
	}

	It("keep to their schedules: two steps are open, and the third is asked a training after the first", func() {
		// Two periods less the training are 7.0 s. Steps that take longer push all later
		// ones back for good.
		for _, seed := range seeds {
			for i, o := range steps.Replay(today(seed), steps.Decisions{}) {
				Expect(mean(o.Took)).To(BeNumerically("<", 7*time.Second), fmt.Sprintf("seed %d trainer %d", seed, i))
				Expect(o.Slip[len(o.Slip)-1]).To(BeNumerically("<", 500*time.Millisecond), fmt.Sprintf("seed %d trainer %d", seed, i))
			}
		}
	})

	It("take less with runs placed by delay and moved than by load alone", func() {
		all := over(today, steps.Decisions{})
		plain := over(today, steps.Decisions{ByLoad: true, NoMoves: true})
		GinkgoWriter.Println("all in:", all, "by load, without moves:", plain)
		Expect(plain - all).To(BeNumerically(">", 200*time.Millisecond))
	})

	It("are as short with half the moves, as only runs that a step waits for are moved", func() {
		// Each move ends a connection to an engine and opens another, and has the text
		// read in again. Most runs that could be moved end long before their step.
		all, few := 0, 0
		for _, seed := range seeds {
			for _, o := range steps.Replay(today(seed), steps.Decisions{MoveAny: true}) {
				all += o.Moves
			}
			for _, o := range steps.Replay(today(seed), steps.Decisions{}) {
				few += o.Moves
			}
		}
		Expect(few).To(BeNumerically("<=", all/2), fmt.Sprintf("%d of %d moves", few, all))
		Expect(over(today, steps.Decisions{})).To(BeNumerically("<", over(today, steps.Decisions{MoveAny: true})+100*time.Millisecond))
	})

	It("are no faster than their longest needed texts alone, and not a fourth slower", func() {
		for _, seed := range seeds {
			o := steps.Replay(today(seed), steps.Decisions{})[1]
			for i, took := range o.Took {
				Expect(took).To(BeNumerically(">=", o.Bound[i]), "a step cannot beat its bound")
			}
			Expect(float64(mean(o.Took))/float64(mean(o.Bound))).To(BeNumerically("<", 1.25), fmt.Sprintf("seed %d", seed))
		}
	})

	It("are on schedule again within four steps of being 3 s behind", func() {
		behind := 0
		for _, seed := range seeds {
			load := today(seed)
			load.Behind = 3 * time.Second
			slip := steps.Replay(load, steps.Decisions{})[1].Slip
			if slip[1+4+1] > 500*time.Millisecond { // the fourth step after the one that was late, and the other of the pair
				behind++
			}
		}
		Expect(behind).To(BeZero())
	})

	DescribeTable("keep to their schedules at other speeds, batches and periods",
		func(change func(*steps.Load)) {
			for _, seed := range seeds {
				load := today(seed)
				change(&load)
				limit := 2*load.Period - time.Second
				for i, o := range steps.Replay(load, steps.Decisions{}) {
					Expect(mean(o.Took)).To(BeNumerically("<", limit), fmt.Sprintf("seed %d trainer %d", seed, i))
				}
			}
		},
		Entry("periods of 5 s and engines a quarter slower", func(l *steps.Load) {
			l.Period, l.Event = 5*time.Second, 40*time.Millisecond
		}),
		Entry("eighteen engines of eight places that are hardly slower full", func(l *steps.Load) {
			l.Engines, l.Slots, l.Slowdown = 18, 8, 0.16
		}),
		Entry("steps twice as large at three times the engines", func(l *steps.Load) {
			l.Engines = 27
			for i := range l.Trainers {
				l.Trainers[i].Groups *= 2
				l.Trainers[i].Want *= 2
			}
		}),
		Entry("events of a third of the time, texts three times as long", func(l *steps.Load) {
			l.Event /= 3
			for i := range l.Trainers {
				l.Trainers[i].Mean *= 3
				l.Trainers[i].Longest *= 3
			}
		}),
	)
})
