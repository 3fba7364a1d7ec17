package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/retry"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("Budget", func() {
	It("limits the retries of a business to its ratio, independently of other businesses", func() {
		b := retry.NewBudget()
		b.SetRatio("kheda", 0.1)
		spent := 0
		for range 10_000 {
			b.Earn("kheda")
			b.Earn("kartli")
			for range 3 {
				if b.Spend("kheda") {
					spent++
				}
			}
		}
		Expect(spent).To(BeNumerically("~", 1000, 12))
		Expect(b.Spend("kartli")).To(BeTrue())
	})
})

var _ = Describe("Retryable", func() {
	DescribeTable("allows only idempotent requests that another endpoint may answer",
		func(idempotent bool, outcome wire.Outcome, reason wire.Reason, want bool) {
			Expect(retry.Retryable(idempotent, wire.Answer{Outcome: outcome, Reason: reason})).To(Equal(want))
		},
		Entry("crash", true, wire.Unknown, wire.ReasonCrashed, true),
		Entry("full queue", true, wire.NotRun, wire.ReasonQueueFull, true),
		Entry("not idempotent", false, wire.Unknown, wire.ReasonCrashed, false),
		Entry("not idempotent, not run", false, wire.NotRun, wire.ReasonQueueFull, false),
		Entry("quarantined", true, wire.NotRun, wire.ReasonQuarantined, false),
		Entry("answered", true, wire.Answered, wire.ReasonNone, false),
	)
})

var _ = Describe("Hedge", func() {
	It("returns the class's latency quantile within a tenth and follows a change", func() {
		h := retry.NewHedge()
		random := rand.New(rand.NewPCG(1, 2))
		_, ok := h.Delay("lookup", 0.95)
		Expect(ok).To(BeFalse())
		for range 5000 {
			h.Observe("lookup", time.Duration(random.Int64N(int64(100*time.Millisecond))))
		}
		d, ok := h.Delay("lookup", 0.95)
		Expect(ok).To(BeTrue())
		Expect(d).To(BeNumerically("~", 95*time.Millisecond, 9*time.Millisecond))
		for range 50_000 {
			h.Observe("lookup", time.Second)
		}
		d, _ = h.Delay("lookup", 0.95)
		Expect(d).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	})
})

var _ = Describe("Backoff", func() {
	It("stays under its ceiling", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 1000 {
			Expect(retry.Backoff(1, random)).To(BeNumerically("<=", 5*time.Millisecond))
			Expect(retry.Backoff(40, random)).To(BeNumerically("<=", 500*time.Millisecond))
		}
	})
})

var _ = Describe("Budget with grants", func() {
	It("allows a business with few requests some retries, up to its burst", func() {
		// An entry serves one lookup every two seconds while half of the endpoints are
		// slow. A ratio of 0.2 alone allows one retry in ten seconds; granting half a
		// token per second allows one for each lookup.
		b := retry.NewBudget()
		b.SetRatio("lookups", 0.2)
		repeated := 0
		for range 20 {
			b.Earn("lookups")
			b.Grant("lookups", 0.5*2)
			if b.Spend("lookups") {
				repeated++
			}
		}
		Expect(repeated).To(Equal(20))
		b.Grant("lookups", 1000)
		saved := 0
		for b.Spend("lookups") {
			saved++
		}
		Expect(saved).To(Equal(10))
	})
})
