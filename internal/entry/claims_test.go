package entry

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("Claims", func() {
	const (
		a, b, c     = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
		testTimeout = 20 * time.Second
	)
	var cluster *fakeCluster
	class := decl.Class{Name: "sync", RetryWindow: time.Minute}

	BeforeEach(func() {
		cluster = newFakeCluster(a, b, c)
		cluster.own(a, 1)
	})

	newRequest := func(id, body string) wire.Request {
		return wire.Request{
			ID:          "attempt-" + id,
			CallID:      id,
			Keyed:       true,
			Principal:   wire.Principal{Caller: "kiosk"},
			Body:        []byte(body),
			Fingerprint: uint64(len(body)),
		}
	}
	send := func(via, id string, deadline time.Duration) <-chan wire.Answer {
		answers := make(chan wire.Answer, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			answers <- cluster.nodes[via].claims.Do(ctx, newRequest(id, "body"), class, cluster.endpoint.dispatch)
		}()
		return answers
	}
	// ask sends a request and waits for its answer.
	ask := func(via, id string, deadline time.Duration) wire.Answer {
		var answer wire.Answer
		Eventually(send(via, id, deadline), testTimeout).Should(Receive(&answer))
		return answer
	}
	answered := func(body string) wire.Answer {
		return wire.Answer{Outcome: wire.Answered, Status: 200, Body: []byte(body)}
	}
	match := func(want wire.Answer, got wire.Answer) {
		GinkgoHelper()
		Expect(got.Outcome).To(Equal(want.Outcome), got.Detail)
		Expect(string(got.Body)).To(Equal(string(want.Body)))
	}
	unknown := wire.Answer{Outcome: wire.Unknown}

	It("replays a repeat through any entry and refuses another body", func() {
		match(answered("run 1"), ask(a, "f1", testTimeout))
		match(answered("run 1"), ask(b, "f1", testTimeout))
		match(answered("run 1"), ask(c, "f1", testTimeout))
		Expect(cluster.endpoint.fences[0].Epoch).To(Equal(int64(1)))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		other := cluster.nodes[b].claims.Do(ctx, newRequest("f1", "another body"), class, cluster.endpoint.dispatch)
		Expect(other.Outcome).To(Equal(wire.NotRun))
		Expect(other.Reason).To(Equal(wire.ReasonConflict))
		Expect(cluster.endpoint.count("f1")).To(Equal(1))
	})

	// The caller resends its request through another entry while the first copy
	// runs. Both wait for the same run.
	It("joins a resend through another entry to the run in flight", func() {
		gate := make(chan struct{})
		cluster.endpoint.gate = gate
		first := send(b, "f1", testTimeout)
		Eventually(cluster.endpoint.reached, testTimeout).Should(Receive())
		second := send(c, "f1", testTimeout)
		Consistently(second, 100*time.Millisecond).ShouldNot(Receive())
		close(gate)
		for _, answers := range []<-chan wire.Answer{first, second} {
			var answer wire.Answer
			Eventually(answers, testTimeout).Should(Receive(&answer))
			match(answered("run 1"), answer)
		}
	})

	// The owner crashes before it sends the write of the claim. Nothing was
	// claimed, so the caller's resend runs once at the successor.
	It("runs a resend once if its owner crashed before the write", func() {
		Eventually(func() bool { return cluster.serving(a) }, testTimeout).Should(BeTrue())
		gate := make(chan struct{})
		cluster.store.set(func() { cluster.store.gate = gate })
		send(a, "f1", testTimeout)
		Eventually(cluster.store.reached, testTimeout).Should(Receive())
		cluster.store.set(func() { cluster.store.gate = nil })
		cluster.own(b, 2, a)
		match(answered("run 1"), ask(c, "f1", testTimeout))
		close(gate)
		Consistently(func() int { return cluster.endpoint.count("f1") }, 200*time.Millisecond).Should(Equal(1))
	})

	// The owner crashes or is paused after the claim is written. The successor
	// cannot know whether the request ran and answers "unknown". When the former
	// owner resumes, its request reaches an endpoint that ignores fences. That is
	// the only run.
	It("never repeats a run that a former owner may have dispatched", func() {
		gate := make(chan struct{})
		cluster.endpoint.gate = gate
		send(a, "f1", testTimeout)
		Eventually(cluster.endpoint.reached, testTimeout).Should(Receive())
		cluster.own(b, 2, a)
		answer := ask(c, "f1", testTimeout)
		match(unknown, answer)
		Expect(answer.Reason).To(Equal(wire.ReasonUnsettled))
		close(gate)
		Eventually(func() int { return cluster.endpoint.count("f1") }, testTimeout).Should(Equal(1))
		match(unknown, ask(b, "f1", testTimeout))
		Expect(cluster.endpoint.count("f1")).To(Equal(1))
	})

	// The owner was paused beyond its lease without noticing. Its next commit
	// conflicts with the successor's epoch, and the call goes to the successor.
	It("passes a paused owner's calls to its successor", func() {
		cluster.own(b, 2, a)
		match(answered("run 1"), ask(b, "f0", testTimeout))
		first := send(a, "f1", testTimeout)
		Consistently(first, 100*time.Millisecond).ShouldNot(Receive())
		cluster.own(b, 2)
		var answer wire.Answer
		Eventually(first, testTimeout).Should(Receive(&answer))
		match(answered("run 1"), answer)
		Expect(cluster.endpoint.fences[len(cluster.endpoint.fences)-1].Epoch).To(Equal(int64(2)))
	})

	// The answer to the write of the claim is lost, after the write or together with
	// it. The call is dispatched once, and only after the outcome of the write was
	// read.
	DescribeTable("resolves a write with an unknown outcome", func(applied, dropped int) {
		match(answered("run 1"), ask(a, "f0", testTimeout))
		cluster.store.set(func() { cluster.store.applied, cluster.store.dropped = applied, dropped })
		match(answered("run 1"), ask(a, "f1", testTimeout))
		Expect(cluster.endpoint.count("f1")).To(Equal(1))
	},
		Entry("after it took effect", 1, 0),
		Entry("before it took effect", 0, 1),
		Entry("three times in a row", 2, 1),
	)

	Context("in an outage of the key-value service", func() {
		It("refuses as not run while the lease is valid, and as unknown afterwards", func() {
			match(answered("run 1"), ask(a, "f0", testTimeout))
			cluster.store.set(func() { cluster.store.down = true })
			answer := ask(b, "f1", 2*time.Second)
			Expect(answer.Outcome).To(Equal(wire.NotRun), answer.Detail)
			Expect(answer.Reason).To(Equal(wire.ReasonPlatform))
			cluster.nodes[a].duties.set(a, 1, true, 0)
			match(unknown, ask(b, "f2", time.Second))
			match(answered("run 1"), ask(c, "f0", testTimeout))
			Expect(cluster.endpoint.count("f1")).To(BeZero())
			Expect(cluster.endpoint.count("f2")).To(BeZero())
		})

		It("answers a request dispatched before, and records it afterwards", func() {
			gate := make(chan struct{})
			cluster.endpoint.gate = gate
			first := send(b, "f1", testTimeout)
			Eventually(cluster.endpoint.reached, testTimeout).Should(Receive())
			cluster.store.set(func() { cluster.store.down = true })
			close(gate)
			var answer wire.Answer
			Eventually(first, testTimeout).Should(Receive(&answer))
			match(answered("run 1"), answer)
			cluster.store.set(func() { cluster.store.down = false })
			Eventually(func() bool { return cluster.store.holds(`"s":"d"`) }, testTimeout).Should(BeTrue())
			cluster.own(b, 2)
			match(answered("run 1"), ask(c, "f1", testTimeout))
			Expect(cluster.endpoint.count("f1")).To(Equal(1))
		})

		It("answers unknown while a takeover cannot read, and replays once it can", func() {
			match(answered("run 1"), ask(a, "f1", testTimeout))
			Eventually(func() bool { return cluster.store.holds(`"s":"d"`) }, testTimeout).Should(BeTrue())
			cluster.store.set(func() { cluster.store.down = true })
			cluster.own(b, 2)
			match(unknown, ask(c, "f1", 300*time.Millisecond))
			cluster.store.set(func() { cluster.store.down = false })
			match(answered("run 1"), ask(c, "f1", testTimeout))
			Expect(cluster.endpoint.count("f1")).To(Equal(1))
		})
	})

	// The answer to a forwarded call is lost and the entry forwards it again. The
	// first one may still arrive at the owner, so the "not run" for the second is
	// not final.
	It("does not pass on a refusal while an earlier forward is unresolved", func() {
		cluster.endpoint.refuse = true
		cluster.lostReplies = 1
		answer := ask(b, "f1", 8*time.Second)
		Expect(answer.Outcome).To(Equal(wire.Unknown))
		cluster.lostReplies = 0
		Expect(ask(b, "f2", testTimeout).Outcome).To(Equal(wire.NotRun))
	})

	It("forwards again if the owner does not answer", func() {
		cluster.silent[a] = true
		first := send(b, "f1", 3*time.Second)
		Consistently(first, 50*time.Millisecond).ShouldNot(Receive())
		cluster.own(c, 2, a)
		var answer wire.Answer
		Eventually(first, testTimeout).Should(Receive(&answer))
		match(answered("run 1"), answer)
	})

	// The owner stops gracefully with a call in flight. It answers and records the
	// call before it releases the duty, and accepts no new call meanwhile.
	It("finishes and records accepted calls in a graceful stop", func() {
		gate := make(chan struct{})
		cluster.endpoint.gate = gate
		first := send(b, "f1", testTimeout)
		Eventually(cluster.endpoint.reached, testTimeout).Should(Receive())
		drained := make(chan error, 1)
		go func() { drained <- cluster.nodes[a].claims.Drain(context.Background()) }()
		Consistently(drained, 100*time.Millisecond).ShouldNot(Receive())
		second := send(b, "f2", testTimeout)
		close(gate)
		var answer wire.Answer
		Eventually(first, testTimeout).Should(Receive(&answer))
		match(answered("run 1"), answer)
		Eventually(drained, testTimeout).Should(Receive(BeNil()))
		Expect(cluster.store.holds(`"s":"d"`)).To(BeTrue())
		Expect(cluster.endpoint.count("f2")).To(BeZero())
		cluster.own(c, 2)
		Eventually(second, testTimeout).Should(Receive(&answer))
		match(answered("run 1"), answer)
		match(answered("run 1"), ask(b, "f1", testTimeout))
		Expect(cluster.endpoint.count("f1")).To(Equal(1))
	})

	It("dispatches a call without a key once, without a claim", func() {
		call := newRequest("", "body")
		call.Keyed = false
		match(answered("run 1"), cluster.nodes[b].claims.Do(context.Background(), call, class, cluster.endpoint.dispatch))
		Expect(cluster.forwards).To(BeZero())
	})

	// The lease is still valid by this entry's clock, but the duty is being handed
	// back: its next owner may run a repeat before the caller gets this refusal.
	It("refuses as unknown if the duty keeper does not promise", func() {
		match(answered("run 1"), ask(a, "f0", testTimeout))
		cluster.store.set(func() { cluster.store.down = true })
		cluster.nodes[a].duties.refusePromises = true
		match(unknown, ask(a, "f1", time.Second))
	})

	// The process is paused between the commit and the dispatch, for longer than
	// the claim is kept, so that the claim has expired at its successor. A dispatch
	// could now be the second run of a call that was repeated there.
	It("dispatches nothing after the deadline", func() {
		answer := dispatchBeforeDeadline(context.Background(), newRequest("f1", "body"), time.Now(), cluster.endpoint.dispatch)
		Expect(answer.Outcome).To(Equal(wire.NotRun))
		Expect(cluster.endpoint.count("f1")).To(BeZero())
		Expect(claims.RefusalAsUnknown(answer).Outcome).To(Equal(wire.Unknown))
	})
})
