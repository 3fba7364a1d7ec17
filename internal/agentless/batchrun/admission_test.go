package batchrun_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("a batch job that is submitted while owners hold many", func() {
	const items = 2
	ctx := context.Background()
	var processes []*process

	// start starts owners that have memory for one job each.
	start := func(names ...string) {
		store := standin.NewTransactionalStore()
		processes = nil
		for _, name := range names {
			p := newProcess(name, store, &engines{sent: map[string]int{}})
			p.owner.Memory = 6 * (spec("j", items).Size() + 1)
			p.owner.Init()
			processes = append(processes, p.run())
		}
		for _, p := range processes {
			Eventually(func() int { return len(p.members.Owners()) }).WithTimeout(eventuallyTimeout).Should(Equal(len(names)))
		}
	}
	owned := func() int {
		n := 0
		for _, p := range processes {
			n += len(p.owner.Jobs())
		}
		return n
	}

	// Guards against an owner that ends for lack of memory, as each job that is accepted is held until
	// it is ended.
	It("goes to the next owner, then is refused at once, and is accepted after another one has ended", func() {
		start("a", "b")
		submit := func(id string) error { return processes[0].frontend.Submit(ctx, spec(id, items)) }
		Expect(submit("j0")).To(Succeed())
		Expect(submit("j1")).To(Succeed())
		Eventually(owned).WithTimeout(eventuallyTimeout).Should(Equal(2))
		for _, p := range processes {
			Expect(p.owner.Jobs()).To(HaveLen(1))
		}
		err := submit("j2")
		Expect(err).To(MatchError(batchrun.ErrNotRun))
		Expect(batchrun.RetryAfter(err)).To(BeNumerically(">", 0))
		for _, p := range processes {
			fresh := &batchrun.Frontend{Store: p.store, Members: p.members, Peers: rpcpool.New(nil), Local: p.owner, Log: discardLogger(), ValueBytes: 64}
			Expect(fresh.Submit(ctx, spec("j0", items))).To(Succeed(), "it was accepted before")
			Expect(fresh.Submit(ctx, spec("j1", items))).To(Succeed(), "it was accepted before")
		}
		Expect(processes[0].frontend.End(ctx, "j0")).To(Succeed())
		Eventually(func() error { return submit("j2") }).WithTimeout(eventuallyTimeout).Should(Succeed())
	})

	// Guards against submissions that are all admitted before the first of them is owned.
	It("is refused also if all are submitted at the same moment", func() {
		start("a")
		outcomes := make(chan error, 10)
		for i := range cap(outcomes) {
			go func() { outcomes <- processes[0].frontend.Submit(ctx, spec(fmt.Sprintf("j%d", i), items)) }()
		}
		accepted := 0
		for range cap(outcomes) {
			if err := <-outcomes; err == nil {
				accepted++
			} else {
				Expect(err).To(MatchError(batchrun.ErrNotRun))
			}
		}
		Expect(accepted).To(Equal(1))
		Consistently(owned, 100*time.Millisecond).Should(BeNumerically("<=", 1))
	})
})
