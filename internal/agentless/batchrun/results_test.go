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
	var store *standin.Shared
	var llm *engines
	var a, b *process

	owned := func(id string) (owner, other *process) { return ownedOf(a, b, id) }

	BeforeEach(func() { store, llm, a, b = startPair() })

	It("is read from the store when a write of unknown outcome was followed by one that was not sent", func() {
		// What happens: a write of results takes effect and its answer is lost, the next
		// try meets an outage and is not sent, and the job ends as the store returns. That
		// the last try certainly had no effect says nothing of the one before it; an owner
		// that took it for the last word showed readers less than others had read.
		a.owner.RetryDelay, b.owner.RetryDelay = time.Hour, time.Hour
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 1))).To(Succeed())
		owner, other := owned("j")
		tries := func() int { return store.Count("commit") }
		store.LoseAnswers(1)
		close(llm.hold)
		Eventually(func() int64 {
			record, err := store.Read(context.Background(), "done/j/000000")
			Expect(err).NotTo(HaveOccurred())
			return record.Revision
		}).WithTimeout(patience).ShouldNot(BeZero())
		store.SetDown(true)
		before := tries()
		Eventually(func() int {
			owner.owner.StoreRecovered()
			return tries()
		}).WithTimeout(patience).Should(BeNumerically(">", before))
		store.SetDown(false)
		Expect(other.desk.End(context.Background(), "j")).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(patience).ShouldNot(HaveKey("j"))
		Expect(results(other, "j")()).To(Equal(1))
	})

	It("is ended by its owner's word, without reading the store, and stays readable", func() {
		// What the caller sees: nothing. Each end is sent again at other processes;
		// reading the record for each made a twelfth of all calls to the store.
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := owned("j")
		Eventually(results(other, "j")).WithTimeout(patience).Should(Equal(2))
		third := newProcess("c", store, llm)
		third.desk.Members = other.members
		third.desk.Models = func() []string { return []string{"m"} }
		reads := store.Count("read")
		Expect(third.desk.End(context.Background(), "j")).To(Succeed())
		Expect(store.Count("read")).To(Equal(reads))
		Eventually(owner.owner.Jobs).WithTimeout(patience).ShouldNot(HaveKey("j"))
		fourth := newProcess("d", store, llm)
		fourth.desk.Members = other.members
		fourth.desk.Models = third.desk.Models
		Eventually(func() int {
			before := store.Count("read")
			Expect(fourth.desk.End(context.Background(), "j")).To(Succeed())
			return store.Count("read") - before
		}).WithTimeout(patience).Should(BeZero(), "the owner is told of the end a moment after its mark went")
		all, err := readAll(fourth.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		_, err = fourth.desk.Body(context.Background(), "j", "i0")
		Expect(err).To(MatchError(batchrun.ErrNoJob))
	})

	It("is read without the store when it ended right after its last write", func() {
		// The load: trainers end a job as soon as their last group is whole, and other
		// readers come for seconds. The owner took its own pause between two writes for
		// a write under way and kept nothing, so each of them read the store.
		Expect(a.desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owner, other := owned("j")
		Eventually(results(other, "j")).WithTimeout(patience).Should(Equal(3))
		Expect(other.desk.End(context.Background(), "j")).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(patience).ShouldNot(HaveKey("j"))
		reader := newProcess("r", store, llm)
		reader.desk.Members = other.members
		reader.desk.Models = func() []string { return []string{"m"} }
		Eventually(func() int {
			before := store.Count("read") + store.Count("page")
			Expect(results(reader, "j")()).To(Equal(3))
			return store.Count("read") + store.Count("page") - before
		}).WithTimeout(patience).Should(BeZero())
	})

	It("is read from the store when it ended with a write of unknown outcome", func() {
		// What happens: the answer to a write of results is lost, and the job ends before
		// the write is settled. Others may have read what it held; the owner must not
		// answer readers with less.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 1))).To(Succeed())
		owner, other := owned("j")
		store.LoseAnswers(1)
		close(llm.hold)
		Eventually(func() int64 {
			record, err := store.Read(context.Background(), "done/j/000000")
			Expect(err).NotTo(HaveOccurred())
			return record.Revision
		}).WithTimeout(patience).ShouldNot(BeZero())
		Expect(other.desk.End(context.Background(), "j")).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(patience).ShouldNot(HaveKey("j"))
		Expect(results(other, "j")()).To(Equal(1))
	})

	It("has its results written at once when the store answers again", func() {
		// What happens: results wait for the store to return, and all processes are
		// killed a moment after it did. An owner that waits for its own next look loses
		// what others wrote in that moment. Here its own next look never comes.
		patient := newProcess("p", store, llm)
		patient.owner.RetryDelay = time.Hour
		patient.desk.Members = a.members
		a.stop()
		b.stop()
		patient.register.Members = a.members
		patient.run()
		Eventually(func() bool { _, found := a.members.Get("p"); return found }).WithTimeout(patience).Should(BeTrue())
		store.Revoke("live/members/a")
		store.Revoke("live/members/b")
		Eventually(a.members.Live).WithTimeout(patience).Should(HaveLen(1))
		llm.hold = make(chan struct{})
		Expect(patient.desk.Submit(context.Background(), spec("j", 1))).To(Succeed())
		Eventually(llm.total).WithTimeout(patience).Should(BeNumerically(">", 0))
		commits := store.Count("commit")
		store.SetDown(true)
		close(llm.hold)
		Eventually(func() int { return store.Count("commit") }).WithTimeout(patience).Should(BeNumerically(">", commits), "a write failed")
		store.SetDown(false)
		Eventually(func() int {
			patient.owner.StoreRecovered()
			return results(patient, "j")()
		}).WithTimeout(patience).Should(Equal(1))
	})

	It("is ended although its owner's word is out of date", func() {
		// What happens: the owner was cut off and lost the job, which it does not know.
		// Its word names a mark that is gone; the end must not be taken for done.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := owned("j")
		entry := newProcess("e", store, llm)
		entry.desk.Members = other.members
		Expect(results(entry, "j")()).To(Equal(0))
		owner.cutOff.Store(true)
		Expect(other.mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		Expect(entry.desk.End(context.Background(), "j")).To(Succeed())
		record, err := store.Read(context.Background(), "todo/"+other.name+"/j")
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(BeZero(), "the new owner's mark is gone")
	})

	It("is read at its owner while the store is away, and goes on", func() {
		// The store is down for seconds. Trainers still read what is durable, runs go
		// on, and the results decided meanwhile are listed once the store is back.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		_, other := owned("j")
		Expect(results(other, "j")()).To(Equal(0))
		store.SetDown(true)
		close(llm.hold)
		Consistently(results(other, "j")).Should(BeZero(), "nothing is shown that is not durable")
		store.SetDown(false)
		Eventually(results(other, "j")).WithTimeout(patience).Should(Equal(2))
	})

	It("is not read at an owner that was cut off from the store and lost it", func() {
		// The owner answers readers but cannot reach the store. Its registration
		// lapsed, another process has the job and listed results. A reader whose
		// process still knows the old owner must get what others have read.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := owned("j")
		reader := newProcess("r", store, llm)
		reader.desk.Members = other.members
		Expect(results(reader, "j")()).To(Equal(0))
		owner.owner.OwnershipCertain = func() bool { return false }
		owner.cutOff.Store(true)
		Expect(other.mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		close(llm.hold)
		Eventually(results(reader, "j")).WithTimeout(patience).Should(Equal(2))
		Expect(owner.owner.Jobs()).To(HaveKey("j"), "it does not know")
	})

	It("is never denied by guess", func() {
		// Neither its owner nor the store answers a process that never saw the job.
		Expect(a.desk.Submit(context.Background(), spec("j", 1))).To(Succeed())
		owner, other := owned("j")
		fresh := newProcess("c", store, llm)
		owner.stop()
		other.stop()
		store.SetDown(true)
		_, err := readAll(fresh.desk, "j")
		Expect(err).To(MatchError(batchrun.ErrUnavailable))
		store.SetDown(false)
		_, err = readAll(fresh.desk, "j")
		Expect(err).NotTo(HaveOccurred())
	})

	It("gives the body of an item that is not listed, from the store too", func() {
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := owned("j")
		body, err := other.desk.Body(context.Background(), "j", "i1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(bytes.Repeat([]byte{1}, 40)))
		owner.stop()
		body, err = other.desk.Body(context.Background(), "j", "i1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(bytes.Repeat([]byte{1}, 40)))
		_, err = other.desk.Body(context.Background(), "j", "nobody")
		Expect(err).To(MatchError(batchrun.ErrNoJob))
	})
})
