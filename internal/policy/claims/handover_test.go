package claims_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("a hand-over with a request in flight", func() {
	var old, next *host

	BeforeEach(func() {
		kv := newService()
		old = newHost(kv, "a", nil)
		old.own(1)
		old.submit(1, "x", 7)
		Expect(old.Committing()).To(BeFalse())
		next = newHost(kv, "b", nil)
		old.step(claims.Lost{})
		next.own(2)
	})
	// told is what the old owner says in the end.
	told := func(end wire.Answer) claims.ResultsReceived {
		old.settle("x", end)
		Expect(old.replies).To(HaveKey(int64(1)))
		Expect(old.tells).To(HaveLen(1))
		r := old.tells[0].Result
		r.Hold = max(0, old.tells[0].Hold.Sub(old.now))
		return claims.ResultsReceived{Results: []wire.ClaimResult{r}}
	}

	// The owner stops as planned while a sync runs, and the caller's entry asks
	// again at the successor. That one used to say "unknown" at once, though the
	// answer came a moment later.
	It("has a repeat wait for the result, which the successor then keeps", func() {
		next.submit(2, "x", 7)
		Expect(next.replies).NotTo(HaveKey(int64(2)))
		next.pass(500 * time.Millisecond)
		next.step(told(ok("done")))
		Expect(old.replies[1].Answer).To(Equal(ok("done")))
		Expect(next.replies[2].Answer).To(Equal(ok("done")))
		next.pass(time.Second)
		third := newHost(next.kv, "c", nil)
		third.own(3)
		third.submit(3, "x", 7)
		Expect(third.replies[3].Answer).To(Equal(ok("done")))
		Expect(next.runs).To(BeEmpty())
		Expect(third.runs).To(BeEmpty())
	})

	// The endpoint refused the sync. Its caller may still be on its way to hear
	// "not run", so the repeat runs at the successor only after that deadline.
	It("runs a repeat of what was provably not run, after its refusal's time", func() {
		next.step(told(wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull}))
		Expect(old.replies[1].Answer.Outcome).To(Equal(wire.NotRun))
		next.pass(500 * time.Millisecond)
		next.submit(2, "x", 7)
		next.pass(400 * time.Millisecond)
		Expect(next.runs).To(BeEmpty())
		next.pass(100 * time.Millisecond)
		Expect(next.runs).To(HaveLen(1))
	})

	// The old owner may tell a third one the same, with its own time only. If a
	// repeat were refused here because the claim stands in the service, that
	// third owner could run one before this refusal is heard.
	It("rests a refusal of what was told as not run on the lease", func() {
		result := told(wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull})
		next.submit(2, "x", 7)
		next.step(result)
		next.pass(990 * time.Millisecond)
		Expect(next.replies).To(HaveKey(int64(2)))
		Expect(next.replies[2].Answer.Outcome).To(Equal(wire.NotRun))
		Expect(next.replies[2].LeaseUntil).To(Equal(next.now.Add(10 * time.Millisecond)))
	})

	// Nothing is told: the old owner has crashed. Silence proves nothing, so the
	// repeat is "unknown" once the wait has passed, and later ones at once.
	It("says unknown when nothing is told in time", func() {
		next.pass(claims.DefaultResultTimeout - 500*time.Millisecond)
		next.submit(2, "x", 7)
		next.pass(500 * time.Millisecond)
		Expect(next.replies).To(HaveKey(int64(2)))
		Expect(next.replies[2].Answer.Outcome).To(Equal(wire.Unknown))
		Expect(next.replies[2].Answer.Reason).To(Equal(wire.ReasonUnsettled))
		next.submit(3, "x", 7)
		Expect(next.replies).To(HaveKey(int64(3)))
		Expect(next.runs).To(BeEmpty())
	})

	// The run takes longer than the successor would wait by itself.
	It("waits on for what is told to run still", func() {
		running := claims.ResultsReceived{Running: old.Running()}
		Expect(running.Running).To(HaveLen(1))
		next.pass(claims.DefaultResultTimeout - time.Millisecond)
		next.step(running)
		next.pass(500 * time.Millisecond)
		next.submit(2, "x", 7)
		Expect(next.replies).NotTo(HaveKey(int64(2)))
		next.step(told(ok("done")))
		Expect(next.replies[2].Answer).To(Equal(ok("done")))
	})

	// The owner crashed. Its successor asks the agents once for every claim
	// without a result, and for no other; what they prove is adopted.
	It("asks the agents once, for what has no result", func() {
		Expect(next.asks).To(HaveLen(1))
		Expect(next.asks[0].Refs).To(Equal([]wire.ClaimRef{old.runs[0].Claim}))
		next.step(claims.ResultsReceived{Results: []wire.ClaimResult{{
			Claim: old.runs[0].Claim, Outcome: wire.Answered, Kept: true, Status: 200, Body: []byte("done"),
		}}})
		next.submit(2, "x", 7)
		Expect(next.replies[2].Answer).To(Equal(ok("done")))
		next.pass(time.Second)
		third := newHost(next.kv, "c", nil)
		third.own(3)
		Expect(third.asks).To(BeEmpty())
	})

	// The result arrives while the successor still reads, or is of another claim
	// of the same key: the first is kept for the end of the take-over, the
	// second is no proof of anything.
	It("takes a result in before it serves, and never one of another claim", func() {
		result := told(ok("done"))
		other := result.Results[0]
		other.Claim.Expires++
		next.step(claims.ResultsReceived{Results: []wire.ClaimResult{other}})
		next.submit(2, "x", 7)
		Expect(next.replies).NotTo(HaveKey(int64(2)))
		third := newHost(next.kv, "c", nil)
		third.hold = true
		third.own(3)
		third.step(result)
		third.deliver()
		third.submit(3, "x", 7)
		Expect(third.replies[3].Answer).To(Equal(ok("done")))
	})
})
