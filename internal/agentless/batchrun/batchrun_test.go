package batchrun_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("a batch job", func() {
	var store *standin.TransactionalStore
	var llm *engines
	var a, b *process

	ownerOf := func(id string) (owner, other *process) { return ownerAndOther(a, b, id) }

	BeforeEach(func() { store, llm, a, b = startPair() })

	It("is readable at any process with the texts, versions and scores of all its items", func() {
		Expect(a.frontend.Submit(context.Background(), spec("j", 5))).To(Succeed())
		for _, p := range []*process{a, b} {
			Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(5))
			all, err := readAll(p.frontend, "j")
			Expect(err).NotTo(HaveOccurred())
			checkResults(all)
		}
	})

	It("is accepted only once if the store's answer is lost or the job is submitted again", func() {
		// The write takes effect but its answer is lost. The submitter must not get an
		// error that means that nothing runs; submitting the job at another process must
		// not start it twice.
		store.LoseAnswers(1)
		Expect(a.frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Expect(b.frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Eventually(results(b, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		Expect(llm.count("i0")).To(Equal(1))
	})

	It("is refused with ErrNotRun only if it is certain that it does not run", func() {
		store.SetDown(true)
		Expect(a.frontend.Submit(context.Background(), spec("j", 3))).To(MatchError(batchrun.ErrNotRun))
		store.SetDown(false)
		Consistently(llm.total).Should(BeZero())
		_, err := readAll(a.frontend, "j")
		Expect(err).To(MatchError(batchrun.ErrNoJob))

		losing := &answerLosingStore{TransactionalStore: store}
		c := newProcess("c", losing, llm)
		c.members = a.members
		c.frontend.Members = a.members
		Expect(c.frontend.Submit(context.Background(), spec("k", 3))).To(MatchError(batchrun.ErrOutcomeUnknown))
	})

	It("is accepted by a retry once the store is reachable, if no process reached it before", func() {
		// No process reaches the store, and a trainer submits its step. If it were refused
		// at once, the trainer would retry a third of a second later and send the complete
		// step again.
		checks := 0
		a.frontend.Unreachable = func() bool {
			if checks++; checks == 2 {
				a.cutOff.Store(false)
			}
			return true
		}
		a.cutOff.Store(true)
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		Expect(checks).To(Equal(2))
		Eventually(results(a, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
	})

	It("is refused if the store stays unreachable, and at once if other processes may reach it", func() {
		unreachable, asked := true, 0
		a.frontend.Unreachable = func() bool { asked++; return unreachable }
		a.cutOff.Store(true)
		err := a.frontend.Submit(context.Background(), spec("j", 2))
		Expect(err).To(MatchError(batchrun.ErrNotRun))
		Expect(batchrun.RetryAfter(err)).To(BeNumerically(">", 0))
		Expect(asked).To(BeNumerically(">", 1))
		unreachable, asked = false, 0
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(MatchError(batchrun.ErrNotRun))
		Expect(asked).To(Equal(1))
	})

	It("resumes an interrupted run after its last event", func() {
		llm.breaks = 1
		Expect(a.frontend.Submit(context.Background(), spec("j", 1))).To(Succeed())
		Eventually(results(a, "j")).WithTimeout(eventuallyTimeout).Should(Equal(1))
		all, err := readAll(a.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		Expect(llm.resumed).To(Equal([]int64{2}))
	})

	It("completes a text whose stream was cut after its last event", func() {
		// Every event arrives, then the connection is cut. When the run is resumed after
		// the last event, the engine has nothing to add and ends the stream. If that
		// counted as a failure, the item would be retried until its trainer gave up.
		llm.cutEnds = 1
		Expect(a.frontend.Submit(context.Background(), spec("j", 1))).To(Succeed())
		Eventually(results(a, "j")).WithTimeout(eventuallyTimeout).Should(Equal(1))
		all, err := readAll(a.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		Expect(llm.resumed).To(Equal([]int64{4}))
	})

	It("stops running when it is ended, and the next job runs", func() {
		llm.hold = make(chan struct{})
		Expect(a.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		ownerOf("j")
		Eventually(llm.total).WithTimeout(eventuallyTimeout).Should(Equal(2))
		Expect(b.frontend.End(context.Background(), "j")).To(Succeed())
		Expect(a.frontend.End(context.Background(), "j")).To(Succeed(), "an end may be repeated")
		Eventually(func() int { return len(a.owner.Jobs()) + len(b.owner.Jobs()) }).WithTimeout(eventuallyTimeout).Should(BeZero())
		Consistently(llm.total).Should(Equal(2))
		all, err := readAll(a.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(BeEmpty())
		close(llm.hold)
		Expect(a.frontend.Submit(context.Background(), spec("k", 2))).To(Succeed())
		Eventually(results(a, "k")).WithTimeout(eventuallyTimeout).Should(Equal(2))
		all, err = readAll(b.frontend, "k")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
	})
})
