package freshness_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/freshness"
)

func TestFreshness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Freshness")
}

var _ = Describe("the moment that an answer confirms", func() {
	asked := time.Unix(1000, 0)
	DescribeTable("is never later than the moment at which the answer was certainly not yet given",
		func(took, wait time.Duration, changed bool, want time.Duration) {
			Expect(freshness.ConfirmedSince(asked, asked.Add(took), wait, changed)).To(Equal(asked.Add(want)))
		},
		Entry("a call that does not wait", 4*time.Millisecond, time.Duration(0), false, time.Duration(0)),
		Entry("a wait that ended without changes", 1004*time.Millisecond, time.Second, false, time.Second),
		Entry("changes after a part of the wait", 700*time.Millisecond, time.Second, true, time.Duration(0)),
		// Guards against data that counts as current since its answer lay unread for seconds.
		Entry("an answer that was held up", 8*time.Second, time.Second, false, time.Second),
		Entry("changes that were held up", 8*time.Second, time.Second, true, time.Duration(0)),
		Entry("no changes, before the wait was over", 300*time.Millisecond, time.Second, false, time.Duration(0)),
	)
})

var _ = Describe("Age", func() {
	now := time.Now()

	It("is the time that the monotonic clock counted", func() {
		Expect(freshness.Age(now.Add(3*time.Second), now)).To(Equal(3 * time.Second))
	})

	// Guards against a process that was suspended and takes its data for fresh, as its monotonic
	// clock stood still.
	It("counts a suspension, in which only the time of day went on", func() {
		Expect(freshness.Age(now, now.Round(0).Add(-8*time.Second))).To(Equal(8 * time.Second))
	})
})
