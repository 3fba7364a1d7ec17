package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("crashes", func() {
	// An endpoint crashes with three requests. They break off one after the
	// other, and the last one must not be reported as having run alone.
	It("counts the same batch for every request of one crash", func() {
		c := newCrashTracker("agent-1")
		startedAt := time.Unix(100, 0)
		now := startedAt.Add(time.Second)
		for i, running := range []int{3, 2, 1} {
			req := wire.Request{Service: "tone", Fingerprint: uint64(i)}
			Expect(c.recordCrash(now.Add(time.Duration(i)*time.Millisecond), startedAt, req, running).Batch).To(Equal(3))
		}
		later := now.Add(time.Second)
		Expect(c.recordCrash(later.Add(time.Second), later, wire.Request{Service: "tone", Fingerprint: 9}, 1).Batch).To(Equal(1))
		Expect(c.recent(later)).To(HaveLen(4))
		Expect(c.recent(later.Add(2 * time.Minute))).To(BeEmpty())
	})

	// A caller sends the same request twice concurrently and it crashes its
	// endpoint. The entries learn of one fingerprint. If the crash counted two,
	// they would wait forever for the second one before they quarantine the
	// request, and it would crash a third endpoint.
	It("counts copies of one request once and identifies the crash", func() {
		c := newCrashTracker("agent-1")
		req := wire.Request{Service: "tone", Fingerprint: 7}
		startedAt := time.Unix(100, 0)
		c.begin(req)
		c.begin(req)
		c.begin(wire.Request{Service: "tone", Fingerprint: 8})
		Expect(c.distinctRunning()).To(Equal(2))
		first := c.recordCrash(startedAt.Add(time.Second), startedAt, req, c.distinctRunning())
		c.end(req)
		second := c.recordCrash(startedAt.Add(time.Second+time.Millisecond), startedAt, req, c.distinctRunning())
		Expect(second.Batch).To(Equal(2))
		Expect(second.Crash).To(Equal(first.Crash))
		c.end(req)
		Expect(c.distinctRunning()).To(Equal(1))
		again := c.recordCrash(startedAt.Add(3*time.Second), startedAt.Add(2*time.Second), req, c.distinctRunning())
		Expect(again.Crash).NotTo(Equal(first.Crash))
	})

	It("refuses requests that an entry reports as quarantined and passes the quarantine on", func() {
		c := newCrashTracker("agent-1")
		now := time.Unix(100, 0)
		req := wire.Request{Service: "tone", Fingerprint: 7}
		Expect(c.isQuarantined(now, req)).To(BeFalse())
		entry := wire.QuarantineEntry{Service: "tone", Fingerprint: 7, ExpiresUnix: now.Add(time.Minute).UnixMilli()}
		Expect(c.mergeQuarantine(now, []wire.QuarantineEntry{entry})).To(ConsistOf(entry))
		Expect(c.isQuarantined(now, req)).To(BeTrue())
		entry.Released = true
		c.mergeQuarantine(now, []wire.QuarantineEntry{entry})
		Expect(c.isQuarantined(now, req)).To(BeFalse())
	})
})
