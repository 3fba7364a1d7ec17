package platform_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var start = time.Unix(1000, 0)

var _ = Describe("Budget", func() {
	It("reserves tokens for the more important ranks and never exceeds its rate", func() {
		b := platform.NewBudget(10, 11, 5)
		leastImportant := 0
		for b.Take(start, 5) == 0 {
			leastImportant++
		}
		Expect(leastImportant).To(Equal(5))
		mostImportant := 0
		for b.Take(start, 0) == 0 {
			mostImportant++
		}
		Expect(mostImportant).To(Equal(6))
		Expect(b.Take(start, 0)).To(Equal(100 * time.Millisecond))
		Expect(b.Take(start.Add(100*time.Millisecond), 0)).To(BeZero())
	})

	It("lowers its rate when the service refuses calls and restores it when calls are served", func() {
		b := platform.NewBudget(100, 10, 5)
		for range 20 {
			b.Refused(start)
		}
		Expect(b.Rate()).To(BeNumerically("~", 10))
		for range 50 {
			b.Served(start)
		}
		Expect(b.Rate()).To(BeNumerically("~", 100))
	})
})

var _ = Describe("Breaker", func() {
	rnd := rand.New(rand.NewPCG(1, 1))

	// The service is down and each call runs into its timeout. After three
	// consecutive failures the breaker rejects calls at once and allows one probe
	// at a time. Without it callers would block for the whole outage.
	It("opens after consecutive failures, allows one probe at a time and closes on an answer", func() {
		b := platform.NewBreaker(platform.DefaultConfig())
		now := start
		for range 3 {
			Expect(b.Allow(now, 0)).To(BeTrue())
			b.Report(now, platform.Failed, time.Second, rnd)
		}
		Expect(b.State()).To(Equal(platform.Down))
		Expect(b.Allow(now, 0)).To(BeFalse())
		now = now.Add(200 * time.Millisecond)
		Expect(b.Allow(now, 0)).To(BeTrue())
		Expect(b.Allow(now, 0)).To(BeFalse())
		Expect(b.Report(now, platform.Served, time.Millisecond, rnd)).To(BeTrue())
		Expect(b.Allow(now, 5)).To(BeTrue())
	})

	// Calls that were sent before the breaker opened fail one by one afterwards. If each
	// extended the backoff, the first probe would be late and the breaker would stay open
	// after the outage.
	It("does not extend its backoff for calls that were sent before it opened", func() {
		b := platform.NewBreaker(platform.DefaultConfig())
		for range 100 {
			b.Report(start, platform.Failed, time.Second, rnd)
		}
		Expect(b.Allow(start.Add(200*time.Millisecond), 0)).To(BeTrue())
	})

	It("rejects the less important ranks while answers are slow", func() {
		b := platform.NewBreaker(platform.DefaultConfig())
		for range 5 {
			b.Report(start, platform.Served, time.Second, rnd)
		}
		Expect(b.State()).To(Equal(platform.Slow))
		Expect(b.Allow(start, 3)).To(BeTrue())
		Expect(b.Allow(start, 4)).To(BeFalse())
		b.Report(start, platform.Served, time.Millisecond, rnd)
		Expect(b.Allow(start, 4)).To(BeTrue())
	})

	It("adds jitter to the delays of processes that failed together", func() {
		waits := map[time.Duration]bool{}
		for range 100 {
			wait := platform.Backoff(40, time.Millisecond, time.Second, rnd)
			Expect(wait).To(And(BeNumerically(">=", 500*time.Millisecond), BeNumerically("<=", time.Second)))
			waits[wait] = true
		}
		Expect(len(waits)).To(BeNumerically(">", 90))
	})
})
