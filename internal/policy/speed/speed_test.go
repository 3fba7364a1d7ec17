package speed_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/speed"
)

var _ = Describe("the speeds of endpoints with noise", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("are uneven after the first step and keep their order, seed %d", seed), func() {
			// Guards against a choice that treats fast engines as typical, and against an
			// interval of noise that makes a fast engine look like a slow one.
			f := newFleet(seed, 0.03/15, 6, mixed()...)
			f.run(7*time.Second, nil)
			for range 20 {
				f.redistribute(8)
				f.run(3*time.Second, func() {
					Expect(f.model.Uneven()).To(BeTrue())
					estimates := make([]float64, len(f.seconds))
					for i := range estimates {
						estimates[i] = f.estimate(i)
					}
					Expect(slices.Max(estimates[:11])).To(BeNumerically("<", slices.Min(estimates[11:])))
				})
			}
			Expect(f.model.TakeChanges()).To(BeEmpty(), "noise is no change")
		})
	}

	It("are even where the engines are alike", func() {
		// Guards against new behaviour on deployments that do not need it.
		for seed := range uint64(10) {
			for _, n := range []int{3, 5, 44} {
				f := newFleet(seed, 0.35/15, 12, equal(n)...)
				for range 10 {
					f.run(2*time.Second, func() { Expect(f.model.Uneven()).To(BeFalse(), "seed %d, %d engines", seed, n) })
					f.redistribute(12)
				}
			}
		}
	})

	It("are even while most engines are slow for some seconds, uneven if that lasts a minute", func() {
		// Guards against counting the engines that stay normal as fast ones.
		for _, slow := range []int{2, 3} {
			f := newFleet(1, 0, 3, equal(4)...)
			even := func() { Expect(f.model.Uneven()).To(BeFalse()) }
			for _, seconds := range []float64{0.03, 0.18, 0.03} {
				for i := range slow {
					f.seconds[i] = seconds
				}
				f.run(20*time.Second, even)
			}
			f.seconds = []float64{0.03, 0.06, 0.06, 0.06}
			f.run(80*time.Second, nil)
			Expect(f.model.Uneven()).To(BeTrue())
		}
	})
})

var _ = Describe("a change of an endpoint's speed", func() {
	It("is detected within 16 units of each run, when it becomes slow and when it recovers", func() {
		f := newFleet(3, 0, 2, equal(8)...)
		f.run(5*time.Second, nil)
		for _, seconds := range []float64{0.18, 0.03} {
			f.seconds[2] = seconds
			at, detected := f.units[2], 0
			f.run(6*time.Second, func() {
				if detected == 0 && f.estimate(2) > 0.8*seconds && f.estimate(2) < 2.6*seconds {
					detected = f.units[2] - at
				}
			})
			Expect(detected).To(And(BeNumerically(">", 0), BeNumerically("<=", 16*f.running[2])))
		}
		changes := f.model.TakeChanges()
		Expect(changes).To(HaveLen(2))
		Expect(changes[0].Key).To(Equal(key(2)))
		Expect(changes[0].After).To(BeNumerically(">", 4*changes[0].Before))
	})

	// estimates observes units one after the other and returns the estimate after each.
	estimates := func(m *speed.Model, units int, observed ...float64) []float64 {
		var seconds []float64
		for i, s := range observed {
			m.Observe(speed.Observation{Key: key(0), At: start.Add(time.Duration(i) * 250 * time.Millisecond), Seconds: s, Units: units})
			seconds = append(seconds, m.Estimate(key(0)).Seconds)
		}
		return seconds
	}

	It("shows after two segments of one run, and at a plain service with the second request", func() {
		m := speed.NewModel()
		before := slices.Repeat([]float64{0.03}, 12)
		// The first segment after each change began before it.
		Expect(estimates(m, 8, append(before, 0.06, 0.18, 0.13, 0.03)...)[13:]).To(Equal([]float64{0.18, 0.155, 0.03}))
		Expect(m.Estimate(key(0)).Units).To(BeNumerically(">", 90), "what was learned before is used again")
		// A single request may be a large one.
		Expect(estimates(speed.NewModel(), 1, append(before, 0.18, 0.18, 0.03, 0.03)...)[12:]).To(Equal([]float64{0.03, 0.18, 0.18, 0.03}))
	})
})

var _ = Describe("the slope", func() {
	for _, slope := range []float64{0.03 / 15, 0.35 / 15} {
		It(fmt.Sprintf("of %.4f is learned, and speeds do not depend on the load", slope), func() {
			// A constant slope makes a full engine that is hardly slower look crowded.
			f := newFleet(7, slope, 15, equal(20)...)
			for range 30 {
				f.run(2*time.Second, nil)
				f.redistribute(15)
			}
			Expect(f.model.Slope()).To(BeNumerically("~", slope, 0.006))
			for i := range f.seconds {
				Expect(f.estimate(i)).To(BeNumerically("~", 0.03, 0.004))
			}
			Expect(f.model.UnitSeconds(key(0), 15)).To(BeNumerically("~", f.estimate(0)*(1+15*f.model.Slope()), 1e-9))
		})
	}
})
