package batchrun_test

import (
	"bytes"
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("the results of a batch job", func() {
	var store *standin.TransactionalStore
	var llm *engines
	var a, b *process

	ownerOf := func(id string) (owner, other *process) { return ownerAndOther(a, b, id) }

	BeforeEach(func() { store, llm, a, b = startPair() })

	It("are read from the store if a write of unknown outcome was followed by one that was not sent", func() {
		// A write of results takes effect but its answer is lost, the retry is not sent
		// because of an outage, and the job is ended when the store is back. That the retry
		// certainly had no effect says nothing about the write before it; an owner that
		// relied on the retry alone returned fewer results than others had read.
		a.owner.RetryDelay, b.owner.RetryDelay = time.Hour, time.Hour
		llm.hold = make(chan struct{})
		Expect(a.frontend.Submit(context.Background(), spec("j", 1))).To(Succeed())
		owner, other := ownerOf("j")
		tries := func() int { return store.Count("commit") }
		store.LoseAnswers(1)
		close(llm.hold)
		Eventually(func() int64 {
			record, err := store.Read(context.Background(), "done/j/000000")
			Expect(err).NotTo(HaveOccurred())
			return record.Revision
		}).WithTimeout(eventuallyTimeout).ShouldNot(BeZero())
		store.SetDown(true)
		before := tries()
		Eventually(func() int {
			owner.owner.StoreRecovered()
			return tries()
		}).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", before))
		store.SetDown(false)
		Expect(other.frontend.End(context.Background(), "j")).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(eventuallyTimeout).ShouldNot(HaveKey("j"))
		Expect(results(other, "j")()).To(Equal(1))
	})

	It("stay readable after the job was ended under its owner's fencing token, without a read of the store", func() {
		// Each end is retried at other processes. Reading the record for each retry was a
		// twelfth of all calls to the store; the caller notices no difference.
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := ownerOf("j")
		Eventually(results(other, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
		third := newProcess("c", store, llm)
		third.frontend.Members = other.members
		third.frontend.Models = func() []string { return []string{"m"} }
		reads := store.Count("read")
		Expect(third.frontend.End(context.Background(), "j")).To(Succeed())
		Expect(store.Count("read")).To(Equal(reads))
		Eventually(owner.owner.Jobs).WithTimeout(eventuallyTimeout).ShouldNot(HaveKey("j"))
		fourth := newProcess("d", store, llm)
		fourth.frontend.Members = other.members
		fourth.frontend.Models = third.frontend.Models
		Eventually(func() int {
			before := store.Count("read")
			Expect(fourth.frontend.End(context.Background(), "j")).To(Succeed())
			return store.Count("read") - before
		}).WithTimeout(eventuallyTimeout).Should(BeZero(), "the owner is notified of the end just after its assignment was deleted")
		all, err := readAll(fourth.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		_, err = fourth.frontend.Body(context.Background(), "j", "i0")
		Expect(err).To(MatchError(batchrun.ErrNoJob))
	})

	It("are read without the store if the job ended right after its last write", func() {
		// Trainers end a job as soon as their last group is complete, and other readers
		// follow for seconds. If the owner mistakes the interval between two writes for a
		// pending write, it retains no results, and each reader reads the store.
		Expect(a.frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owner, other := ownerOf("j")
		Eventually(results(other, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		Expect(other.frontend.End(context.Background(), "j")).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(eventuallyTimeout).ShouldNot(HaveKey("j"))
		reader := newProcess("r", store, llm)
		reader.frontend.Members = other.members
		reader.frontend.Models = func() []string { return []string{"m"} }
		Eventually(func() int {
			before := store.Count("read") + store.Count("page")
			Expect(results(reader, "j")()).To(Equal(3))
			return store.Count("read") + store.Count("page") - before
		}).WithTimeout(eventuallyTimeout).Should(BeZero())
	})

	It("are read from the store if the job ended during a write of unknown outcome", func() {
		// The answer to a write of results is lost, and the job ends before the outcome of the
		// write is known. Others may have read its results; the owner must not answer readers
		// with fewer.
		llm.hold = make(chan struct{})
		Expect(a.frontend.Submit(context.Background(), spec("j", 1))).To(Succeed())
		owner, other := ownerOf("j")
		store.LoseAnswers(1)
		close(llm.hold)
		Eventually(func() int64 {
			record, err := store.Read(context.Background(), "done/j/000000")
			Expect(err).NotTo(HaveOccurred())
			return record.Revision
		}).WithTimeout(eventuallyTimeout).ShouldNot(BeZero())
		Expect(other.frontend.End(context.Background(), "j")).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(eventuallyTimeout).ShouldNot(HaveKey("j"))
		Expect(results(other, "j")()).To(Equal(1))
	})

	It("are written at once when the store answers again", func() {
		// Results wait for the store to be reachable, and all processes are killed a moment
		// after it is. An owner that waits for its retry delay would lose results. Here the
		// retry delay never ends within the test.
		slowRetry := newProcess("p", store, llm)
		slowRetry.owner.RetryDelay = time.Hour
		slowRetry.frontend.Members = a.members
		a.stop()
		b.stop()
		slowRetry.register.Members = a.members
		slowRetry.run()
		Eventually(func() bool { _, found := a.members.Get("p"); return found }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		store.Revoke("live/members/a")
		store.Revoke("live/members/b")
		Eventually(a.members.Live).WithTimeout(eventuallyTimeout).Should(HaveLen(1))
		llm.hold = make(chan struct{})
		Expect(slowRetry.frontend.Submit(context.Background(), spec("j", 1))).To(Succeed())
		Eventually(llm.total).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
		commits := store.Count("commit")
		store.SetDown(true)
		close(llm.hold)
		Eventually(func() int { return store.Count("commit") }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", commits), "a write failed")
		store.SetDown(false)
		Eventually(func() int {
			slowRetry.owner.StoreRecovered()
			return results(slowRetry, "j")()
		}).WithTimeout(eventuallyTimeout).Should(Equal(1))
	})

	It("do not keep the job from being ended if its owner's fencing token is outdated", func() {
		// The owner was partitioned from the store and lost the job without knowing. The token
		// that it reports is the revision of a deleted assignment, so the transaction that ends
		// the job fails. The end must not count as done.
		llm.hold = make(chan struct{})
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := ownerOf("j")
		entry := newProcess("e", store, llm)
		entry.frontend.Members = other.members
		Expect(results(entry, "j")()).To(Equal(0))
		owner.cutOff.Store(true)
		Expect(other.mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		Expect(entry.frontend.End(context.Background(), "j")).To(Succeed())
		record, err := store.Read(context.Background(), "todo/"+other.name+"/j")
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(BeZero(), "the new owner's assignment is deleted")
	})

	It("are read at the owner while the store is unreachable, and runs continue", func() {
		// The store is down for seconds. Trainers still read durable results, runs continue,
		// and results decided meanwhile become durable once the store is back.
		llm.hold = make(chan struct{})
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		_, other := ownerOf("j")
		Expect(results(other, "j")()).To(Equal(0))
		store.SetDown(true)
		close(llm.hold)
		Consistently(results(other, "j")).Should(BeZero(), "no result is returned before it is durable")
		store.SetDown(false)
		Eventually(results(other, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
	})

	It("are not read at an owner that was partitioned from the store and lost the job", func() {
		// The owner answers readers but cannot reach the store. Its registration expired,
		// and another process owns the job and has written results. A reader whose process
		// has cached the old owner must get what others have read.
		llm.hold = make(chan struct{})
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := ownerOf("j")
		reader := newProcess("r", store, llm)
		reader.frontend.Members = other.members
		Expect(results(reader, "j")()).To(Equal(0))
		owner.owner.OwnershipCertain = func() bool { return false }
		owner.cutOff.Store(true)
		Expect(other.mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		close(llm.hold)
		Eventually(results(reader, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
		Expect(owner.owner.Jobs()).To(HaveKey("j"), "it does not know that it lost the job")
	})

	It("are never reported as missing without an answer of the store", func() {
		// Neither its owner nor the store answers a process that never saw the job.
		Expect(a.frontend.Submit(context.Background(), spec("j", 1))).To(Succeed())
		owner, other := ownerOf("j")
		fresh := newProcess("c", store, llm)
		owner.stop()
		other.stop()
		store.SetDown(true)
		_, err := readAll(fresh.frontend, "j")
		Expect(err).To(MatchError(batchrun.ErrUnavailable))
		store.SetDown(false)
		_, err = readAll(fresh.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
	})

	It("leave the bodies of items without results readable, from the store too", func() {
		llm.hold = make(chan struct{})
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := ownerOf("j")
		body, err := other.frontend.Body(context.Background(), "j", "i1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(bytes.Repeat([]byte{1}, 40)))
		owner.stop()
		body, err = other.frontend.Body(context.Background(), "j", "i1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(bytes.Repeat([]byte{1}, 40)))
		_, err = other.frontend.Body(context.Background(), "j", "nobody")
		Expect(err).To(MatchError(batchrun.ErrNoJob))
	})
})
