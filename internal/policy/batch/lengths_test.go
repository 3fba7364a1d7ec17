package batch_test

import (
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat/distuv"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("LengthEstimator.RemainingWork", func() {
	// The workload: estimates that are right at the median with log-normal errors, for
	// any number of tokens per event, as deployments differ in it.
	learn := func(eventTokens, spread float64) *batch.LengthEstimator {
		l := batch.NewLengthEstimator()
		errors := distuv.LogNormal{Sigma: spread, Src: rand.NewPCG(5, 7)}
		for i := range 300 {
			hint := 100 + 40*(i%50)
			l.Observe(&batch.Item{LengthHint: hint}, max(1, int64(float64(hint)/eventTokens*errors.Rand())))
		}
		return l
	}

	DescribeTable("follows the estimates once texts are complete, for any number of tokens per event",
		func(eventTokens float64) {
			l := learn(eventTokens, 0.5)
			remaining := l.RemainingWork(&batch.Item{LengthHint: 1000}, 0)
			mean := 1000 / eventTokens * math.Exp(0.5*0.5/2)
			Expect(remaining).To(BeNumerically("~", mean, 0.2*mean))
		},
		Entry("one token", 1.0), Entry("20 tokens", 20.0), Entry("69 tokens", 69.0))

	It("is high for a text that has exceeded its estimate", func() {
		l := learn(50, 0.5)
		item := &batch.Item{LengthHint: 1000} // 20 events at the median
		Expect(l.RemainingWork(item, 30)).To(BeNumerically(">", 8), "a text that exceeds its estimate by half")
		Expect(l.RemainingWork(item, 200)).To(BeNumerically("~", 100, 1), "a text that is longer than all observed texts")
	})

	It("never exceeds the limit of the item", func() {
		l := learn(50, 0.5)
		item := &batch.Item{LengthHint: 1_000_000, MaxTokens: 5000} // about 100 events
		Expect(l.RemainingWork(item, 0)).To(BeNumerically("~", 100, 15))
		Expect(l.RemainingWork(item, 95)).To(BeNumerically("<", 20))
		Expect(l.RemainingWork(item, 5000)).To(BeNumerically("==", 1))
	})

	It("is the mean over the observed texts for items without an estimate", func() {
		l := batch.NewLengthEstimator()
		for range 20 {
			l.Observe(&batch.Item{}, 10)
			l.Observe(&batch.Item{}, 30)
		}
		Expect(l.RemainingWork(&batch.Item{}, 0)).To(BeNumerically("~", 20, 0.1))
		Expect(l.RemainingWork(&batch.Item{}, 15)).To(BeNumerically("~", 15, 0.1))
	})

	DescribeTable("is finite and at least 1 for invalid estimates, before and after texts are complete",
		func(item batch.Item) {
			for _, l := range []*batch.LengthEstimator{batch.NewLengthEstimator(), learn(50, 0.5)} {
				for _, generated := range []int64{0, 1, 1000, math.MaxInt32} {
					remaining := l.RemainingWork(&item, generated)
					Expect(remaining).To(BeNumerically(">=", 1))
					Expect(math.IsInf(remaining, 0) || math.IsNaN(remaining)).To(BeFalse())
				}
			}
		},
		Entry("missing", batch.Item{}), Entry("negative", batch.Item{LengthHint: -5, MaxTokens: -1}),
		Entry("huge", batch.Item{LengthHint: math.MaxInt}), Entry("huge with a limit", batch.Item{LengthHint: math.MaxInt, MaxTokens: 10}))
})
