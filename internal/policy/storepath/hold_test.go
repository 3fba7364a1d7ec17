package storepath_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/storepath"
)

// trainer submits a step in an outage of the store: it comes back when it is told
// to, but no later than after mostWait, until its patience is over.
type trainer struct {
	patience, mostWait, travel time.Duration
	random                     *rand.Rand
}

// submit plays one submission at a moment of an outage. late is how long after the
// store was back it was taken; calls are the looks at a store that was away.
func (t trainer) submit(at, outage, hold time.Duration, comeBack func() time.Duration) (late time.Duration, taken bool, calls int) {
	for now := at; now < at+t.patience; {
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
		now += t.travel + min(comeBack(), t.mostWait)
	}
	return 0, false, calls
}

var _ = Describe("a submission while nobody reaches the store", func() {
	var t trainer

	BeforeEach(func() { // the same draws, whichever spec runs first
		t = trainer{patience: 6 * time.Second, mostWait: 400 * time.Millisecond, travel: 10 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2))}
	})

	// play submits within a time after each outage began, many times.
	play := func(outages []time.Duration, within, hold time.Duration, comeBack func() time.Duration) (lost float64, late time.Duration, calls float64) {
		const rounds = 400
		n, gone, made, sum := 0, 0, 0, time.Duration(0)
		for _, outage := range outages {
			for range rounds {
				at := time.Duration(t.random.Int64N(int64(min(outage, within))))
				l, taken, c := t.submit(at, outage, hold, comeBack)
				n++
				made += c
				sum += l
				if !taken {
					gone++
				}
			}
		}
		return float64(gone) / float64(n), sum / time.Duration(n-gone), float64(made) / float64(n)
	}
	held := func() time.Duration { return storepath.RetryAfter(t.random.Float64()) }
	refused := func() time.Duration {
		return 150*time.Millisecond + time.Duration(t.random.Int64N(int64(150*time.Millisecond)))
	}

	It("is there when the store is back, though its submitter's time is nearly over", func() {
		// The store is back 0.1 s before the submitter would give its step up. One that
		// is refused at once and returns after 150 to 300 ms misses that moment.
		outages, within := []time.Duration{5900 * time.Millisecond}, 10*time.Millisecond
		lost, _, _ := play(outages, within, storepath.HoldDuration(true), held)
		before, _, _ := play(outages, within, 0, refused)
		GinkgoWriter.Println("lost", lost, "with a refusal at once", before)
		Expect(before).To(BeNumerically(">", 0.4), "with a refusal at once")
		Expect(lost).To(BeNumerically("<", before/2))
	})

	It("is taken sooner after the store's return, of short outages and long", func() {
		outages := []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second}
		const within = 400 * time.Millisecond
		lost, late, calls := play(outages, within, storepath.HoldDuration(true), held)
		_, lateBefore, callsBefore := play(outages, within, 0, refused)
		GinkgoWriter.Println("late", late, "before", lateBefore, "looks", calls, callsBefore)
		Expect(lost).To(BeZero())
		Expect(late).To(BeNumerically("<", lateBefore))
		Expect(late).To(BeNumerically("<", 100*time.Millisecond))
		Expect(calls).To(BeNumerically("<", 3*callsBefore), "looks at a store that is away")
	})

	It("is sent on at once where others reach the store", func() {
		Expect(storepath.HoldDuration(false)).To(BeZero())
	})

	It("comes back soon, and not all at the same time", func() {
		Expect(storepath.RetryAfter(0)).To(Equal(150 * time.Millisecond))
		Expect(storepath.RetryAfter(0.99)).To(BeNumerically(">", 290*time.Millisecond))
	})
})
