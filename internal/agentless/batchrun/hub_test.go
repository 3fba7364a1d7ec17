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

var _ = Describe("reads by way of a worker in the same failure domain", func() {
	var store *standin.Shared
	var far, near, entry *process
	var llm *engines

	// in puts a process into a failure domain.
	in := func(domain string, worker bool, p *process) *process {
		p.register = cluster.NewRegistrar(p.store, cluster.Member{Name: p.name, Address: p.listener.Addr().String(), Worker: worker, Domain: domain}, hour, p.members, silent())
		p.desk.Domain, p.desk.IsHub = domain, worker
		return p
	}

	BeforeEach(func() {
		store = standin.NewShared()
		llm = &engines{sent: map[string]int{}}
		far = in("a", true, newProcess("far", store, llm)).run()
		Eventually(func() int { return len(far.members.Live()) }).WithTimeout(patience).Should(Equal(1))
		Expect(far.desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Eventually(results(far, "j")).WithTimeout(patience).Should(Equal(3))
		near = in("b", true, newProcess("near", store, llm)).run()
		entry = in("b", false, newProcess("entry", store, llm)).run()
		Eventually(func() int { return len(entry.members.Live()) }).WithTimeout(patience).Should(Equal(3))
	})

	It("bring each result over the domain's border once", func() {
		// The entry asks the worker beside it, which asks the owner in the other domain.
		// A second entry's read is answered by what the worker has; with the owner gone
		// and the store away it still is.
		all, err := readAll(entry.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
		second := in("b", false, newProcess("second", store, &engines{sent: map[string]int{}})).run()
		Eventually(func() int { return len(second.members.Live()) }).WithTimeout(patience).Should(Equal(4))
		far.stop()
		store.SetDown(true)
		defer store.SetDown(false)
		all, err = readAll(second.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
	})

	It("go to the owner when the worker beside is gone or of an older release", func() {
		near.stop()
		all, err := readAll(entry.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(all)
	})

	It("do not count against the worker when the reader leaves", func() {
		// A reader waits for results at the worker beside its entry and leaves. The
		// worker is well; were it taken for silent, no job would go to it for seconds.
		llm.mu.Lock()
		llm.hold = make(chan struct{})
		llm.mu.Unlock()
		Expect(entry.desk.Submit(context.Background(), spec("h", 1))).To(Succeed())
		ctx, leave := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer leave()
		_, _ = entry.desk.Results(ctx, "h", 0, time.Second)
		Expect(ctx.Err()).To(HaveOccurred(), "nothing was there to be read")
		Expect(entry.desk.MarkedUnresponsive("near")).To(BeFalse())
		close(llm.hold)
	})

	It("say that there is no job only if the store says so", func() {
		_, err := entry.desk.Results(context.Background(), "none", 0, 0)
		Expect(err).To(MatchError(batchrun.ErrNoJob))
		store.SetDown(true)
		_, err = entry.desk.Results(context.Background(), "other", 0, 0)
		Expect(err).To(MatchError(batchrun.ErrUnavailable))
		store.SetDown(false)
	})
})
