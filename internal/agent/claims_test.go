package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("answers of claims", func() {
	const bodyLimit = 1 << 20
	claimed := func(f *fixture, id string, expires int64) wire.Request {
		req := f.sync(id, f.target())
		req.Claim = wire.ClaimRef{Key: [16]byte{1}, Epoch: 3, Expires: expires}
		return req
	}
	query := func(f *fixture, maxBody int, refs ...wire.ClaimRef) []wire.ClaimResult {
		var reply wire.ClaimsTold
		request := wire.ClaimsAsked{Duty: "claims/0", Refs: refs, Wait: 2 * time.Second, MaxBody: maxBody}
		Expect(f.client.Call("Agent.Claims", request, &reply)).To(Succeed())
		return reply.Results
	}

	// The owner of the claim crashed with the request at this agent. Its
	// successor queries the agent: it gets the complete answer, also of a
	// request that is still running, or none.
	It("are returned complete for exactly this claim, also if they must be waited for", func() {
		f := newFixture(300 * time.Millisecond)
		req := claimed(f, "r1", 77)
		var answer wire.Answer
		call := f.client.Go("Agent.Do", req, &answer, nil)
		Eventually(func() int { return f.agent.requests.running() }).WithTimeout(5 * time.Second).Should(Equal(1))
		results := query(f, bodyLimit, req.Claim)
		Eventually(call.Done).WithTimeout(5 * time.Second).Should(Receive())
		Expect(answer.Outcome).To(Equal(wire.Answered))
		Expect(results).To(HaveLen(1))
		Expect(results[0].Claim).To(Equal(req.Claim))
		Expect(results[0].Kept).To(BeTrue())
		Expect(results[0].Body).To(Equal(answer.Body))
		short := query(f, 1, req.Claim)
		Expect(short[0].Kept).To(BeFalse())
		Expect(short[0].Body).To(BeEmpty())
		other := req.Claim
		other.Expires++
		Expect(query(f, bodyLimit, other)).To(BeEmpty())
	})

	// The request was refused here, crashed its endpoint, or was evicted: the
	// agent has no proof of an answer and reports nothing, not even "not run".
	It("omit requests that were refused, broken off or evicted", func() {
		f := newFixture(0)
		refused := claimed(f, "r1", 1)
		refused.Target.Incarnation = "predecessor"
		Expect(f.do(refused).Outcome).To(Equal(wire.NotRun))
		broken := claimed(f, "r2", 2)
		broken.Body = []byte("POISON")
		Expect(f.do(broken).Outcome).To(Equal(wire.Unknown))
		Expect(query(f, bodyLimit, refused.Claim, broken.Claim)).To(BeEmpty())
		g := newFixture(0)
		kept := claimed(g, "r3", 3)
		Expect(g.do(kept).Outcome).To(Equal(wire.Answered))
		Expect(query(g, bodyLimit, kept.Claim)).To(HaveLen(1))
		g.agent.evict(g.agent.uptime() + retention + time.Second)
		Expect(query(g, bodyLimit, kept.Claim)).To(BeEmpty())
	})
})
