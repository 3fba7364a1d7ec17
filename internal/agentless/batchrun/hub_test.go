package batchrun_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("reads via a worker in the same failure domain", func() {
	var store *standin.TransactionalStore
	var far, near, entry *process
	var llm *engines

	// inDomain puts a process into a failure domain.
	inDomain := func(domain string, worker bool, p *process) *process {
		p.register = cluster.NewRegistrar(p.store, cluster.Member{Name: p.name, Address: p.listener.Addr().String(), Worker: worker, Domain: domain}, hour, p.members, discardLogger())
		p.frontend.Domain, p.frontend.IsHub = domain, worker
		return p
	}

	BeforeEach(func() {
		store = standin.NewTransactionalStore()
		llm = &engines{sent: map[string]int{}}
		far = inDomain("a", true, newProcess("far", store, llm)).run()
		Eventually(func() int { return len(far.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		Expect(far.frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Eventually(results(far, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		near = inDomain("b", true, newProcess("near", store, llm)).run()
		entry = inDomain("b", false, newProcess("entry", store, llm)).run()
		Eventually(func() int { return len(entry.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(3))
	})

	It("transfer each result over the domain's border once", func() {
		// The entry reads via the worker in its domain, which reads from the owner in the
		// other domain. A second entry's read is answered from the worker's cache, even
		// with the owner gone and the store unreachable.
		all, err := readAll(entry.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		second := inDomain("b", false, newProcess("second", store, &engines{sent: map[string]int{}})).run()
		Eventually(func() int { return len(second.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(4))
		far.stop()
		store.SetDown(true)
		defer store.SetDown(false)
		all, err = readAll(second.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
	})

	It("go to the owner if the worker is gone", func() {
		near.stop()
		all, err := readAll(entry.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
	})

	It("do not mark the worker as unresponsive when the reader cancels", func() {
		// A reader waits for results via the worker and cancels. If the worker, which works,
		// were marked as unresponsive, it would get no jobs for seconds.
		llm.mu.Lock()
		llm.hold = make(chan struct{})
		llm.mu.Unlock()
		Expect(entry.frontend.Submit(context.Background(), spec("h", 1))).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, _ = entry.frontend.Results(ctx, "h", 0, time.Second)
		Expect(ctx.Err()).To(HaveOccurred(), "there were no results to read")
		Expect(entry.frontend.MarkedUnresponsive("near")).To(BeFalse())
		close(llm.hold)
	})

	It("return ErrNoJob only if the store has no such job", func() {
		_, err := entry.frontend.Results(context.Background(), "none", 0, 0)
		Expect(err).To(MatchError(batchrun.ErrNoJob))
		store.SetDown(true)
		_, err = entry.frontend.Results(context.Background(), "other", 0, 0)
		Expect(err).To(MatchError(batchrun.ErrUnavailable))
		store.SetDown(false)
	})
})
