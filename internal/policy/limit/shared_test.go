package limit_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/limit"
)

var _ = Describe("a limit for a service that other processes use too", func() {
	const took = 25 * time.Millisecond
	var l *limit.Limiter
	var rng *rand.Rand
	BeforeEach(func() {
		l = limit.New(limit.Config{Min: 1, Max: 18, Shared: true})
		rng = rand.New(rand.NewPCG(1, 1))
	})
	sample := func(took time.Duration, running int) {
		now = now.Add(20 * time.Millisecond)
		l.Observe(now, limit.Sample{Latency: took, Cost: 0.03, Running: running})
	}
	noisy := func(factor float64) time.Duration {
		if draw := rng.Float64(); draw < 0.01 {
			factor *= 5
		} else if draw < 0.16 {
			factor *= 2.5
		}
		return time.Duration(factor * float64(took))
	}

	// The limit of an endpoint falls in this load: the baseline follows the fastest windows, and
	// a window of six samples with three slow ones lies above it by more than the tolerance.
	DescribeTable("does not shrink on noise",
		func(gap time.Duration, running int) {
			for range 20_000 {
				now = now.Add(gap)
				sample(noisy(1), running)
				Expect(l.Limit()).To(Equal(18))
			}
		},
		Entry("with less than one request per second", 1400*time.Millisecond, 1),
		Entry("with half of the limit in use", time.Duration(0), 9),
	)

	It("is not reduced by slow requests of a process that has one in flight", func() {
		for range 1000 {
			sample(took, 1)
		}
		for range 1000 {
			sample(8*took, 1)
		}
		Expect(l.Limit()).To(Equal(18))
	})

	It("is reduced by slow requests while it is used, and never below the minimum", func() {
		for range 160 {
			sample(noisy(1), 18)
		}
		for range 48 {
			sample(noisy(8), l.Limit())
		}
		Expect(l.Limit()).To(BeNumerically("<", 9))
		for range 1000 {
			sample(noisy(100), l.Limit())
		}
		Expect(l.Limit()).To(Equal(1))
	})

	It("is reduced once by refusals at the same time, and to no less than one", func() {
		for range 8 {
			l.Refused(now, 8)
		}
		Expect(l.Limit()).To(Equal(6))
		for range 100 {
			now = now.Add(time.Second / 10)
			l.Refused(now, 1)
		}
		Expect(l.Limit()).To(Equal(1))
	})

	It("recovers within a few intervals once nothing reduces it", func() {
		l.Refused(now, 1)
		Expect(l.Recover(now.Add(limit.RecoveryInterval / 2))).To(Equal(1))
		Expect(l.Recover(now.Add(limit.RecoveryInterval))).To(Equal(2))
		Expect(l.Recover(now.Add(5 * limit.RecoveryInterval))).To(Equal(18))
		l.Configure(limit.Config{Min: 1, Max: 12, Shared: true})
		Expect(l.Limit()).To(Equal(12))
	})
})
