package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("an item whose runs are interrupted", func() {
	// Guards against an item that ends engine after engine, and against one that waits after a burst
	// of crashes though its step waits for it.
	It("waits longer after each of several in a row, by up to a second, until an event continues its text", func() {
		j := batch.NewJob(spec(1), nil)
		interrupt := func() time.Duration {
			s := mustStartNext(j, start.Add(time.Hour))
			j.RunEnded(start, s.Index, batch.RunInterrupted, "e1")
			delay := time.Duration(0)
			for _, found := j.Next(start.Add(delay)); !found; _, found = j.Next(start.Add(delay)) {
				delay += time.Millisecond
			}
			return delay
		}
		var delays []time.Duration
		for range 8 {
			delays = append(delays, interrupt())
		}
		const ms = time.Millisecond
		Expect(delays).To(Equal([]time.Duration{20 * ms, 20 * ms, 20 * ms, 125 * ms, 250 * ms, 500 * ms, time.Second, time.Second}))
		s := mustStartNext(j, start.Add(time.Hour))
		Expect(j.AddEvent(s.Index, 1, []byte("x"), j.Spec.MinVersion)).To(BeTrue())
		j.RunEnded(start, s.Index, batch.RunCancelledToMove, "e1")
		Expect(interrupt()).To(Equal(20 * ms))
	})
})
