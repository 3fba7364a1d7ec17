package storepath_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/storepath"
)

var _ = Describe("patience with the store's answers", func() {
	It("is long before the first answer, short with a healthy store, long with a slow one", func() {
		// The load: a store that answers in 4 ms, then in 240 ms for some
		// seconds, then in 4 ms again.
		var p storepath.TimeoutEstimator
		Expect(p.Timeout()).To(Equal(300 * time.Millisecond))
		for range 20 {
			p.Observe(4 * time.Millisecond)
		}
		Expect(p.Timeout()).To(Equal(80 * time.Millisecond))
		p.Observe(240 * time.Millisecond)
		Expect(p.Timeout()).To(BeNumerically(">", 240*time.Millisecond), "one answer is enough to wait for the next")
		for range 10 {
			p.Observe(240 * time.Millisecond)
			Expect(p.Timeout()).To(BeNumerically(">=", 240*time.Millisecond))
		}
		for range 40 {
			p.Observe(4 * time.Millisecond)
		}
		Expect(p.Timeout()).To(Equal(80 * time.Millisecond))
	})

	It("leaves a submitter eight tries while every second answer is lost", func() {
		const submitterWaits, pause = 1200 * time.Millisecond, 50 * time.Millisecond
		var p storepath.TimeoutEstimator
		for range 20 {
			p.Observe(4 * time.Millisecond)
		}
		Expect(int(submitterWaits / (p.Timeout() + pause))).To(BeNumerically(">=", 8))
	})

	It("gives a write time while the store is slow, and little while answers are lost", func() {
		// What the submitter sees: a store that takes 100 to 500 ms for a
		// while. Each write given up after the usual time was made again, and a
		// restarted owner took 2.4 s to take its jobs on.
		var p storepath.TimeoutEstimator
		for range 20 {
			p.Observe(4 * time.Millisecond)
		}
		Expect(p.Slow()).To(BeFalse())
		Expect(p.WriteTimeout()).To(Equal(80*time.Millisecond), "an answer that stays out is lost")
		p.Observe(240 * time.Millisecond)
		Expect(p.Slow()).To(BeTrue())
		Expect(p.WriteTimeout()).To(Equal(700 * time.Millisecond))
		for range 60 {
			p.Observe(4 * time.Millisecond)
		}
		Expect(p.Slow()).To(BeFalse())
	})
})
