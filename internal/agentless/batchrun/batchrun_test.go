package batchrun_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("a batch job", func() {
	var store *standin.Shared
	var llm *engines
	var a, b *process

	owned := func(id string) (owner, other *process) { return ownedOf(a, b, id) }

	BeforeEach(func() { store, llm, a, b = startPair() })

	It("is read whole at any process, with the texts, versions and scores of its items", func() {
		Expect(a.desk.Submit(context.Background(), spec("j", 5))).To(Succeed())
		for _, p := range []*process{a, b} {
			Eventually(results(p, "j")).WithTimeout(patience).Should(Equal(5))
			all, err := readAll(p.desk, "j")
			Expect(err).NotTo(HaveOccurred())
			checkResults(all)
		}
	})

	It("is accepted once when the store's answer is lost, and when it comes again", func() {
		// The write took effect and its answer did not come. The submitter must not be
		// told that nothing runs; the same job sent again elsewhere is the same job.
		store.LoseAnswers(1)
		Expect(a.desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Expect(b.desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Eventually(results(b, "j")).WithTimeout(patience).Should(Equal(3))
		Expect(llm.count("i0")).To(Equal(1))
	})

	It("is refused as not run only if that is certain", func() {
		store.SetDown(true)
		Expect(a.desk.Submit(context.Background(), spec("j", 3))).To(MatchError(batchrun.ErrNotRun))
		store.SetDown(false)
		Consistently(llm.total).Should(BeZero())
		_, err := readAll(a.desk, "j")
		Expect(err).To(MatchError(batchrun.ErrNoJob))

		silenced := &mute{Shared: store}
		c := newProcess("c", silenced, llm)
		c.members = a.members
		c.desk.Members = a.members
		Expect(c.desk.Submit(context.Background(), spec("k", 3))).To(MatchError(batchrun.ErrOutcomeUnknown))
	})

	It("is accepted by the try that finds the store back, if nobody reached it", func() {
		// All processes have lost the store, and a trainer submits its step. Refused at
		// once it would come back a third of a second later, with the whole step.
		looks := 0
		a.desk.Unreachable = func() bool {
			if looks++; looks == 2 {
				a.cutOff.Store(false)
			}
			return true
		}
		a.cutOff.Store(true)
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		Expect(looks).To(Equal(2))
		Eventually(results(a, "j")).WithTimeout(patience).Should(Equal(2))
	})

	It("is refused when the store stays away, and at once when others may reach it", func() {
		unreachable, asked := true, 0
		a.desk.Unreachable = func() bool { asked++; return unreachable }
		a.cutOff.Store(true)
		err := a.desk.Submit(context.Background(), spec("j", 2))
		Expect(err).To(MatchError(batchrun.ErrNotRun))
		Expect(batchrun.RetryAfter(err)).To(BeNumerically(">", 0))
		Expect(asked).To(BeNumerically(">", 1))
		unreachable, asked = false, 0
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(MatchError(batchrun.ErrNotRun))
		Expect(asked).To(Equal(1))
	})

	It("resumes a broken run after its last event", func() {
		llm.breaks = 1
		Expect(a.desk.Submit(context.Background(), spec("j", 1))).To(Succeed())
		Eventually(results(a, "j")).WithTimeout(patience).Should(Equal(1))
		all, err := readAll(a.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		Expect(llm.resumed).To(Equal([]int64{2}))
	})

	It("completes a text whose stream broke off after its last event", func() {
		// Every event came, then the connection was cut. Resumed after the last event,
		// the engine has nothing to add and ends the stream; taken for a failure, the
		// item was asked again and again until its trainer gave up.
		llm.cutEnds = 1
		Expect(a.desk.Submit(context.Background(), spec("j", 1))).To(Succeed())
		Eventually(results(a, "j")).WithTimeout(patience).Should(Equal(1))
		all, err := readAll(a.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		Expect(llm.resumed).To(Equal([]int64{4}))
	})

	It("stops when it is ended, and the next job is run", func() {
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owned("j")
		Eventually(llm.total).WithTimeout(patience).Should(Equal(2))
		Expect(b.desk.End(context.Background(), "j")).To(Succeed())
		Expect(a.desk.End(context.Background(), "j")).To(Succeed(), "an end may be repeated")
		Eventually(func() int { return len(a.owner.Jobs()) + len(b.owner.Jobs()) }).WithTimeout(patience).Should(BeZero())
		Consistently(llm.total).Should(Equal(2))
		all, err := readAll(a.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(BeEmpty())
		close(llm.hold)
		Expect(a.desk.Submit(context.Background(), spec("k", 2))).To(Succeed())
		Eventually(results(a, "k")).WithTimeout(patience).Should(Equal(2))
		all, err = readAll(b.desk, "k")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
	})
})
