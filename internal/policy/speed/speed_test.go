package speed_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/speed"
)

const stepTime = 7 * time.Second

var _ = Describe("the speeds of 11 fast and 33 slow engines with noise", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("are uneven from the first step on and keep their order, seed %d", seed), func() {
			// Guards against a choice that treats fast engines as typical, and against one
			// interval of noise that makes a fast engine look like a slow one.
			f := newFleet(seed, 0.03/15, mixed(11, 33)...)
			f.startAll(6)
			f.run(stepTime, func() {})
			for range 20 {
				f.redistribute(8)
				f.run(3*time.Second, func() {
					Expect(f.model.Uneven()).To(BeTrue())
					slowestFast, fastestSlow := 0.0, 1.0
					for i := range f.seconds {
						if i < 11 {
							slowestFast = max(slowestFast, f.estimate(i))
						} else {
							fastestSlow = min(fastestSlow, f.estimate(i))
						}
					}
					Expect(slowestFast).To(BeNumerically("<", fastestSlow))
				})
			}
			Expect(f.model.TakeChanges()).To(BeEmpty(), "noise is no change")
		})
	}
})

var _ = Describe("the speeds of equal endpoints", func() {
	for _, n := range []int{3, 5, 44} {
		It(fmt.Sprintf("are even with noise, with %d engines", n), func() {
			// Guards against new behaviour on deployments whose engines are alike.
			for seed := range uint64(10) {
				f := newFleet(seed, 0.35/15, equal(n, 0.032)...)
				for range 10 {
					f.redistribute(12)
					f.run(2*time.Second, func() { Expect(f.model.Uneven()).To(BeFalse(), "seed %d", seed) })
				}
			}
		})
	}

	It("are even while most of them are slow for some seconds", func() {
		// Guards against counting the endpoints that stay normal as fast ones.
		for _, slow := range []int{2, 3} {
			f := newFleet(1, 0, equal(4, 0.03)...)
			f.startAll(3)
			f.run(4*time.Second, func() {})
			for i := range slow {
				f.factor[i] = 6
			}
			f.run(20*time.Second, func() { Expect(f.model.Uneven()).To(BeFalse()) })
			for i := range slow {
				f.factor[i] = 1
			}
			f.run(20*time.Second, func() { Expect(f.model.Uneven()).To(BeFalse()) })
		}
	})
})

var _ = Describe("a change of an endpoint's speed", func() {
	learned := func() *fleet {
		f := newFleet(3, 0, equal(8, 0.03)...)
		f.startAll(2)
		f.run(5*time.Second, func() {})
		return f
	}

	It("is detected within 16 units, when it becomes slow and when it recovers", func() {
		f := learned()
		for _, factor := range []float64{6, 1} {
			f.factor[2] = factor
			at, detected := f.units[2], 0
			f.run(6*time.Second, func() {
				if detected == 0 && f.estimate(2) > 0.03*factor*0.8 && f.estimate(2) < 0.03*factor*2.6 {
					detected = f.units[2] - at
				}
			})
			Expect(detected).To(And(BeNumerically(">", 0), BeNumerically("<=", 16*f.running(2))), "each run may have one segment from before")
		}
		changes := f.model.TakeChanges()
		Expect(changes).To(HaveLen(2))
		Expect(changes[0].Key).To(Equal(key(2)))
		Expect(changes[0].After).To(BeNumerically(">", 4*changes[0].Before))
	})

	It("shows after two segments of one run", func() {
		// The first segment began before the change.
		m := speed.NewModel()
		at := start
		observe := func(seconds float64) {
			at = at.Add(250 * time.Millisecond)
			m.Observe(speed.Observation{Key: key(0), At: at, Seconds: seconds, Units: 8})
		}
		for range 12 {
			observe(0.03)
		}
		observe(0.06)
		observe(0.18)
		Expect(m.Estimate(key(0)).Seconds).To(BeNumerically("~", 0.18, 0.001))
		observe(0.13)
		observe(0.03)
		Expect(m.Estimate(key(0)).Seconds).To(BeNumerically("~", 0.03, 0.001))
		Expect(m.Estimate(key(0)).Units).To(BeNumerically(">", 90), "what was learned before is used again")
	})

	It("shows with the second request at a plain service", func() {
		m := speed.NewModel()
		at := start
		observe := func(seconds float64) {
			at = at.Add(100 * time.Millisecond)
			m.Observe(speed.Observation{Key: key(0), At: at, Seconds: seconds, Units: 1})
		}
		for range 40 {
			observe(0.02)
		}
		observe(0.12)
		Expect(m.Estimate(key(0)).Seconds).To(BeNumerically("~", 0.02, 0.001), "one request may be a large one")
		observe(0.12)
		Expect(m.Estimate(key(0)).Seconds).To(BeNumerically("~", 0.12, 0.001))
		observe(0.02)
		observe(0.02)
		Expect(m.Estimate(key(0)).Seconds).To(BeNumerically("~", 0.02, 0.001))
	})

	It("of an endpoint that restarts under its ID is learned anew", func() {
		f := learned()
		restarted := speed.Key{Endpoint: key(2).Endpoint, StartedAtMillis: 2}
		Expect(f.model.Estimate(restarted).Units).To(BeZero())
		Expect(f.model.Estimate(restarted).Seconds).To(BeNumerically("~", 0.03, 0.002), "the median")
		for i := range 2 {
			f.model.Observe(speed.Observation{Key: restarted, At: f.now.Add(time.Duration(i) * time.Second), Seconds: 0.012, Units: 8})
		}
		Expect(f.model.Estimate(restarted)).To(Equal(speed.Estimate{Seconds: 0.012, Units: 16, At: f.now.Add(time.Second)}))
		f.model.Forget(restarted)
		Expect(f.model.Estimate(restarted).Units).To(BeZero())
	})

	It("that lasts a minute makes the speeds uneven", func() {
		f := newFleet(5, 0, equal(4, 0.03)...)
		f.startAll(2)
		f.run(5*time.Second, func() {})
		for i := range 3 {
			f.factor[i] = 2
		}
		f.run(80*time.Second, func() {})
		Expect(f.model.Uneven()).To(BeTrue())
	})
})

var _ = Describe("the slope", func() {
	for _, slope := range []float64{0.03 / 15, 0.35 / 15} {
		It(fmt.Sprintf("of %.4f is learned, and speeds do not depend on the load", slope), func() {
			// A constant slope makes a full engine that is hardly slower look crowded.
			f := newFleet(7, slope, equal(20, 0.03)...)
			for range 30 {
				f.redistribute(15)
				f.run(2*time.Second, func() {})
			}
			Expect(f.model.Slope()).To(BeNumerically("~", slope, 0.006))
			for i := range f.seconds {
				Expect(f.estimate(i)).To(BeNumerically("~", 0.03, 0.004))
			}
			Expect(f.model.UnitSeconds(key(0), 15)).To(BeNumerically("~", f.estimate(0)*(1+15*f.model.Slope()), 1e-9))
		})
	}

	It("is the default without observations", func() {
		Expect(speed.NewModel().Slope()).To(BeNumerically("~", 0.35/16, 1e-9))
	})
})

var _ = Describe("observations out of range", func() {
	It("are ignored", func() {
		m := speed.NewModel()
		for _, o := range badObservations() {
			m.Observe(o)
		}
		Expect(m.Median()).To(BeZero())
		Expect(m.UnitSeconds(key(0), 3)).To(BeZero())
		Expect(m.Uneven()).To(BeFalse())
	})
})
