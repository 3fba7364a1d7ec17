package storepath_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/storepath"
)

var _ = Describe("TimeoutEstimator", func() {
	It("starts with a long timeout, shortens it for a healthy store and extends it for a slow one", func() {
		// The store answers in 4 ms, then in 240 ms for some seconds, then in 4 ms again.
		var e storepath.TimeoutEstimator
		Expect(e.Timeout()).To(Equal(300 * time.Millisecond))
		for range 20 {
			e.Observe(4 * time.Millisecond)
		}
		Expect(e.Timeout()).To(Equal(80 * time.Millisecond))
		e.Observe(240 * time.Millisecond)
		Expect(e.Timeout()).To(BeNumerically(">", 240*time.Millisecond), "one slow answer is enough to extend the timeout")
		for range 10 {
			e.Observe(240 * time.Millisecond)
			Expect(e.Timeout()).To(BeNumerically(">=", 240*time.Millisecond))
		}
		for range 40 {
			e.Observe(4 * time.Millisecond)
		}
		Expect(e.Timeout()).To(Equal(80 * time.Millisecond))
	})

	It("allows a submitter eight tries while every second answer is lost", func() {
		const submitterWaits, pause = 1200 * time.Millisecond, 50 * time.Millisecond
		var e storepath.TimeoutEstimator
		for range 20 {
			e.Observe(4 * time.Millisecond)
		}
		Expect(int(submitterWaits / (e.Timeout() + pause))).To(BeNumerically(">=", 8))
	})

	It("gives a write a long timeout while the store is slow, and a short one while answers are lost", func() {
		// Regression: the store took 100 to 500 ms per call for a while. Writes had the
		// usual timeout, so each was abandoned and repeated, and a restarted owner needed
		// 2.4 s to take over its jobs.
		var e storepath.TimeoutEstimator
		for range 20 {
			e.Observe(4 * time.Millisecond)
		}
		Expect(e.Slow()).To(BeFalse())
		Expect(e.WriteTimeout()).To(Equal(80*time.Millisecond), "a missing answer is lost")
		e.Observe(240 * time.Millisecond)
		Expect(e.Slow()).To(BeTrue())
		Expect(e.WriteTimeout()).To(Equal(700 * time.Millisecond))
		for range 60 {
			e.Observe(4 * time.Millisecond)
		}
		Expect(e.Slow()).To(BeFalse())
	})
})
