package storepath_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/storepath"
)

// trainer simulates a trainer that submits a step during an outage of the store. It
// retries after the delay that it is told, but no later than after maxDelay, and gives up
// after timeout.
type trainer struct {
	timeout, maxDelay, roundTrip time.Duration
	random                       *rand.Rand
}

// submit simulates one submission that starts at a time after the outage began. late is
// how long after the end of the outage it was accepted; calls is the number of calls to
// the store during the outage.
func (t trainer) submit(at, outage, hold time.Duration, retryAfter func() time.Duration) (late time.Duration, accepted bool, calls int) {
	for now := at; now < at+t.timeout; {
		for held := time.Duration(0); ; held += storepath.HoldRetryInterval {
			if now >= outage {
				return now - outage, true, calls
			}
			calls++
			if held >= hold {
				break
			}
			now += storepath.HoldRetryInterval
		}
		now += t.roundTrip + min(retryAfter(), t.maxDelay)
	}
	return 0, false, calls
}

var _ = Describe("a submission while no process reaches the store", func() {
	var t trainer

	BeforeEach(func() { // the same random numbers in each spec
		t = trainer{timeout: 6 * time.Second, maxDelay: 400 * time.Millisecond, roundTrip: 10 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2))}
	})

	// simulate simulates many submissions for each outage. Each starts at a random time
	// within startWindow after the outage began.
	simulate := func(outages []time.Duration, startWindow, hold time.Duration, retryAfter func() time.Duration) (lostShare float64, meanLate time.Duration, meanCalls float64) {
		const rounds = 400
		n, lost, calls, lateSum := 0, 0, 0, time.Duration(0)
		for _, outage := range outages {
			for range rounds {
				at := time.Duration(t.random.Int64N(int64(min(outage, startWindow))))
				l, accepted, c := t.submit(at, outage, hold, retryAfter)
				n++
				calls += c
				lateSum += l
				if !accepted {
					lost++
				}
			}
		}
		return float64(lost) / float64(n), lateSum / time.Duration(n-lost), float64(calls) / float64(n)
	}
	// The delays before a retry: that of the package, and that of the baseline, which
	// refuses each submission at once.
	packageDelay := func() time.Duration { return storepath.RetryAfter(t.random.Float64()) }
	baselineDelay := func() time.Duration {
		return 150*time.Millisecond + time.Duration(t.random.Int64N(int64(150*time.Millisecond)))
	}

	It("is pending when the store recovers, even if its submitter is about to give up", func() {
		// The store recovers 0.1 s before the submitter gives up its step. A submitter
		// that is refused at once and retries after 150 to 300 ms often misses that moment.
		outages, startWindow := []time.Duration{5900 * time.Millisecond}, 10*time.Millisecond
		lost, _, _ := simulate(outages, startWindow, storepath.HoldDuration(true), packageDelay)
		baseline, _, _ := simulate(outages, startWindow, 0, baselineDelay)
		GinkgoWriter.Println("lost", lost, "with a refusal at once", baseline)
		Expect(baseline).To(BeNumerically(">", 0.4), "with a refusal at once")
		Expect(lost).To(BeNumerically("<", baseline/2))
	})

	It("is accepted sooner after short and long outages than one that is refused at once", func() {
		outages := []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second}
		const startWindow = 400 * time.Millisecond
		lost, late, calls := simulate(outages, startWindow, storepath.HoldDuration(true), packageDelay)
		_, baselineLate, baselineCalls := simulate(outages, startWindow, 0, baselineDelay)
		GinkgoWriter.Println("late", late, "before", baselineLate, "calls", calls, baselineCalls)
		Expect(lost).To(BeZero())
		Expect(late).To(BeNumerically("<", baselineLate))
		Expect(late).To(BeNumerically("<", 100*time.Millisecond))
		Expect(calls).To(BeNumerically("<", 3*baselineCalls), "calls to the store during the outage")
	})

	It("is not held where others reach the store", func() {
		Expect(storepath.HoldDuration(false)).To(BeZero())
	})

	It("is retried after a short delay with jitter", func() {
		Expect(storepath.RetryAfter(0)).To(Equal(150 * time.Millisecond))
		Expect(storepath.RetryAfter(0.99)).To(BeNumerically(">", 290*time.Millisecond))
	})
})
