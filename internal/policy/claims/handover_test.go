package claims_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("Partition handed over with a request in flight", func() {
	var old, next *host

	BeforeEach(func() {
		kv := newService()
		old = newHost(kv, "a", nil)
		old.acquire(1)
		old.submit(1, "x", 7)
		Expect(old.Committing()).To(BeFalse())
		next = newHost(kv, "b", nil)
		old.step(claims.Lost{})
		next.acquire(2)
	})
	// resultOf settles the request at the old owner and returns the result as the new owner
	// receives it.
	resultOf := func(end wire.Answer) claims.ResultsReceived {
		old.settle("x", end)
		Expect(old.replies).To(HaveKey(int64(1)))
		Expect(old.sentResults).To(HaveLen(1))
		r := old.sentResults[0].Result
		r.Hold = max(0, old.sentResults[0].NotBefore.Sub(old.now))
		return claims.ResultsReceived{Results: []wire.ClaimResult{r}}
	}

	// The owner makes a planned stop while a sync runs, and the caller's entry retries
	// the call at the successor. Regression: the successor answered "unknown" at once,
	// although the result arrived a moment later.
	It("makes a retry wait for the result, which the successor then stores", func() {
		next.submit(2, "x", 7)
		Expect(next.replies).NotTo(HaveKey(int64(2)))
		next.advance(500 * time.Millisecond)
		next.step(resultOf(ok("done")))
		Expect(old.replies[1].Answer).To(Equal(ok("done")))
		Expect(next.replies[2].Answer).To(Equal(ok("done")))
		next.advance(time.Second)
		third := newHost(next.kv, "c", nil)
		third.acquire(3)
		third.submit(3, "x", 7)
		Expect(third.replies[3].Answer).To(Equal(ok("done")))
		Expect(next.runs).To(BeEmpty())
		Expect(third.runs).To(BeEmpty())
	})

	// The endpoint refused the sync. The answer "not run" may not have reached the caller
	// yet, so the successor runs a retry only after the deadline of that call.
	It("runs a retry of a request that was provably not run after the refused call's deadline", func() {
		next.step(resultOf(wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull}))
		Expect(old.replies[1].Answer.Outcome).To(Equal(wire.NotRun))
		next.advance(500 * time.Millisecond)
		next.submit(2, "x", 7)
		next.advance(400 * time.Millisecond)
		Expect(next.runs).To(BeEmpty())
		next.advance(100 * time.Millisecond)
		Expect(next.runs).To(HaveLen(1))
	})

	// The old owner may send the same result to a third owner, with the delay of its own
	// refusal only. If a retry were refused here because the claim is in the service, the
	// third owner could run one before this refusal reaches the caller.
	It("refuses a request that an earlier owner reported as not run based on the lease only", func() {
		result := resultOf(wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull})
		next.submit(2, "x", 7)
		next.step(result)
		next.advance(990 * time.Millisecond)
		Expect(next.replies).To(HaveKey(int64(2)))
		Expect(next.replies[2].Answer.Outcome).To(Equal(wire.NotRun))
		Expect(next.replies[2].LeaseUntil).To(Equal(next.now.Add(10 * time.Millisecond)))
	})

	// No result arrives because the old owner has crashed. A missing result proves
	// nothing, so a retry is answered "unknown" after the timeout, and later ones at once.
	It("answers unknown if no result arrives in time", func() {
		next.advance(claims.DefaultResultTimeout - 500*time.Millisecond)
		next.submit(2, "x", 7)
		next.advance(500 * time.Millisecond)
		Expect(next.replies).To(HaveKey(int64(2)))
		Expect(next.replies[2].Answer.Outcome).To(Equal(wire.Unknown))
		Expect(next.replies[2].Answer.Reason).To(Equal(wire.ReasonUnsettled))
		next.submit(3, "x", 7)
		Expect(next.replies).To(HaveKey(int64(3)))
		Expect(next.runs).To(BeEmpty())
	})

	// The request runs for longer than ResultTimeout, and the old owner reports that it
	// still runs. A retry must not be answered "unknown" meanwhile.
	It("extends the wait for a request that is reported as still running", func() {
		running := claims.ResultsReceived{Running: old.Running()}
		Expect(running.Running).To(HaveLen(1))
		next.advance(claims.DefaultResultTimeout - time.Millisecond)
		next.step(running)
		next.advance(500 * time.Millisecond)
		next.submit(2, "x", 7)
		Expect(next.replies).NotTo(HaveKey(int64(2)))
		next.step(resultOf(ok("done")))
		Expect(next.replies[2].Answer).To(Equal(ok("done")))
	})

	// The owner crashed. Its successor queries the agents once for all claims without a
	// result, and for no others. Results that the agents report are adopted.
	It("queries the agents once, for the claims without a result", func() {
		Expect(next.queries).To(HaveLen(1))
		Expect(next.queries[0].Refs).To(Equal([]wire.ClaimRef{old.runs[0].Claim}))
		next.step(claims.ResultsReceived{Results: []wire.ClaimResult{{
			Claim: old.runs[0].Claim, Outcome: wire.Answered, Kept: true, Status: 200, Body: []byte("done"),
		}}})
		next.submit(2, "x", 7)
		Expect(next.replies[2].Answer).To(Equal(ok("done")))
		next.advance(time.Second)
		third := newHost(next.kv, "c", nil)
		third.acquire(3)
		Expect(third.queries).To(BeEmpty())
	})

	// A result that arrives while the successor still reads is kept until the end of the
	// takeover. A result of another claim of the same key proves nothing.
	It("accepts a result before it serves, and never one of another claim", func() {
		result := resultOf(ok("done"))
		other := result.Results[0]
		other.Claim.Expires++
		next.step(claims.ResultsReceived{Results: []wire.ClaimResult{other}})
		next.submit(2, "x", 7)
		Expect(next.replies).NotTo(HaveKey(int64(2)))
		third := newHost(next.kv, "c", nil)
		third.hold = true
		third.acquire(3)
		third.step(result)
		third.deliver()
		third.submit(3, "x", 7)
		Expect(third.replies[3].Answer).To(Equal(ok("done")))
	})
})
