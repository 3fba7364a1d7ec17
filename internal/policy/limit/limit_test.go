package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/limit"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var now = time.Unix(1_000_000, 0)

// observe records n equal samples, 10 ms apart, and returns the limit.
func observe(l *limit.Limiter, n int, took time.Duration, running int) int {
	for range n {
		now = now.Add(10 * time.Millisecond)
		l.Observe(now, limit.Sample{Latency: took, Cost: 0.1, Running: running})
	}
	return l.Limit()
}

var _ = Describe("Limiter", func() {
	var l *limit.Limiter
	BeforeEach(func() {
		l = limit.New(limit.Config{Min: 1, Max: 16})
		Expect(observe(l, 160, 100*time.Millisecond, 16)).To(Equal(16))
	})

	It("reduces the limit of an endpoint that slows down, and restores it afterwards", func() {
		Expect(observe(l, 160, time.Second, 16)).To(Equal(1))
		Expect(observe(l, 800, 100*time.Millisecond, 16)).To(Equal(16))
	})

	It("is not reduced by a single slow request", func() {
		Expect(observe(l, 1, time.Minute, 16)).To(Equal(16))
		Expect(observe(l, 40, 100*time.Millisecond, 16)).To(Equal(16))
	})

	It("is not reduced by a few slow requests far apart", func() {
		for range 4 {
			now = now.Add(2 * time.Second)
			observe(l, 1, 300*time.Millisecond, 1)
		}
		Expect(l.Limit()).To(Equal(16))
	})

	It("does not grow while it is not reached", func() {
		Expect(observe(l, 160, time.Second, 16)).To(Equal(1))
		Expect(observe(l, 800, 100*time.Millisecond, 1)).To(Equal(2))
	})

	It("is reduced when the endpoint refuses most requests", func() {
		for range 32 {
			l.Observe(now, limit.Sample{Latency: time.Millisecond, Cost: 0.1, Running: 16, Failed: true})
		}
		Expect(l.Limit()).To(Equal(4))
	})
})

var _ = Describe("Estimator", func() {
	It("learns the ratio of a class's real cost to its stated cost", func() {
		e := limit.NewEstimator()
		Expect(e.Known("lookup")).To(BeFalse())
		for range 200 {
			e.Observe("lookup", 2.56, 0.2)
		}
		Expect(e.Cost("lookup", 2.56)).To(BeNumerically("~", 0.2, 0.001))
		Expect(e.Cost("lookup", 1.28)).To(BeNumerically("~", 0.1, 0.001))
		Expect(e.TailCost("lookup", 2.56)).To(BeNumerically("~", 0.2, 0.001))
	})

	It("keeps the baseline cost during a temporary slowdown", func() {
		e := limit.NewEstimator()
		for range 500 {
			e.Observe("lookup", 0, 0.1)
		}
		for range 40 {
			e.Observe("lookup", 0, 1)
		}
		Expect(e.Cost("lookup", 0)).To(BeNumerically(">", 0.8))
		Expect(e.BaselineCost("lookup", 0)).To(BeNumerically("<", 0.2))
	})
})
