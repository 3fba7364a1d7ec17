package batchrun_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

// countingStore counts the calls that move jobs.
type countingStore struct {
	kv.TransactionalStore
	pages   atomic.Int64
	commits atomic.Int64
}

func (c *countingStore) ReadPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	c.pages.Add(1)
	return c.TransactionalStore.ReadPage(ctx, prefix, after)
}

func (c *countingStore) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	c.commits.Add(1)
	return c.TransactionalStore.Commit(ctx, t)
}

// startReconciler has a process move the jobs of owners that are missing.
func startReconciler(p *process, current func() bool) *countingStore {
	all := &cluster.Topic{Prefix: batchrun.AssignmentsPrefix}
	store := &countingStore{TransactionalStore: p.store}
	mover := *p.mover
	mover.Store = store
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&cluster.Follower{Store: p.store, Topic: all}).Run(ctx)
	}()
	r := &batchrun.Reconciler{Mover: &mover, VisitAssignments: all.VisitKeys, Log: discardLogger(), Registry: metrics.NewRegistry(), Current: func() bool { return all.AsOf() != 0 && current() }}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		_ = r.Run(ctx)
	}()
	DeferCleanup(func() { cancel(); <-done; <-finished })
	return store
}

// submitHeld submits a job whose texts stay unfinished at the process that becomes its owner. Another
// process would move the job if the owner were stopped before it has answered the notification.
func submitHeld(llm *engines, a, b *process) (owner, other *process) {
	llm.hold = make(chan struct{})
	EventuallyWithOffset(1, func() int { return len(b.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(2))
	ExpectWithOffset(1, b.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
	owner, other = ownerAndOther(a, b, "j")
	ExpectWithOffset(1, owner).To(BeIdenticalTo(b))
	return owner, other
}

var always = func() bool { return true }

var _ = Describe("a batch job whose owner is lost", func() {
	// Guards against a job that is never run again because nobody ran when its owner's
	// registration ended, and who starts later does not see that end.
	It("is moved by a process that starts after the owner's registration has ended", func() {
		store := standin.NewTransactionalStore()
		llm := &engines{sent: map[string]int{}, hold: make(chan struct{})}
		owner := newProcess("owner", store, llm).run()
		Eventually(func() int { return len(owner.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		Expect(owner.frontend.Submit(context.Background(), spec("j", 2))).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(eventuallyTimeout).Should(HaveKey("j"))
		owner.stop()
		store.Revoke("live/members/owner")
		close(llm.hold)
		successor := newProcess("successor", store, llm).run()
		Eventually(func() int { return len(successor.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		startReconciler(successor, always)
		Eventually(results(successor, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
	})

	It("stays with an owner that is registered, and costs no call", func() {
		_, llm, a, b := startPair()
		owner, other := submitHeld(llm, a, b)
		calls := startReconciler(other, always)
		Consistently(other.owner.Jobs).WithTimeout(5 * time.Second).ShouldNot(HaveKey("j"))
		Expect(owner.owner.Jobs()).To(HaveKey("j"))
		Expect(calls.pages.Load() + calls.commits.Load()).To(BeZero())
		close(llm.hold)
		Eventually(results(other, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
	})

	It("stays with an owner that is back within the grace period", func() {
		store, llm, a, b := startPair()
		owner, other := submitHeld(llm, a, b)
		owner.stop()
		store.Revoke("live/members/" + owner.name)
		calls := startReconciler(other, always)
		Eventually(func() bool { return other.members.Registered(owner.name) }).WithTimeout(eventuallyTimeout).Should(BeFalse())
		time.Sleep(time.Second)
		again := newProcess(owner.name, store, llm).run()
		Eventually(again.owner.Jobs).WithTimeout(eventuallyTimeout).Should(HaveKey("j"))
		Consistently(other.owner.Jobs).WithTimeout(5 * time.Second).ShouldNot(HaveKey("j"))
		Expect(calls.commits.Load()).To(BeZero())
		close(llm.hold)
		Eventually(results(other, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
	})

	It("is not moved while the members or assignments may be outdated", func() {
		store, llm, a, b := startPair()
		owner, other := submitHeld(llm, a, b)
		owner.stop()
		store.Revoke("live/members/" + owner.name)
		var current atomic.Bool
		startReconciler(other, current.Load)
		Consistently(other.owner.Jobs).WithTimeout(6 * time.Second).ShouldNot(HaveKey("j"))
		current.Store(true)
		Eventually(other.owner.Jobs).WithTimeout(eventuallyTimeout).Should(HaveKey("j"))
		close(llm.hold)
	})
})
