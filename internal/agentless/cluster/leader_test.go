package cluster_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("Leader", func() {
	startLeader := func(store kv.TransactionalStore, name string, handoverDelay time.Duration) *cluster.Leader {
		l := cluster.NewLeader(store, "live/duty/x", name, handoverDelay, 0, func() bool { return true }, func(bool, int64) {})
		start(l.Run)
		return l
	}
	mayAct := func(l *cluster.Leader) func() bool {
		return func() bool { _, ok := l.Term(time.Now()); return ok }
	}

	It("has one holder at a time, and its successor gets a higher term", func() {
		store := standin.NewTransactionalStore()
		first := startLeader(store, "a", 0)
		Eventually(mayAct(first)).WithTimeout(eventuallyTimeout).Should(BeTrue())
		second := startLeader(store, "b", 0)
		Consistently(mayAct(second)).Should(BeFalse())
		before, _ := first.Term(time.Now())
		Expect(first.Release(context.Background())).To(Succeed())
		second.TryNow()
		Eventually(mayAct(second)).WithTimeout(eventuallyTimeout).Should(BeTrue())
		after, _ := second.Term(time.Now())
		Expect(after).To(BeNumerically(">", before))
	})

	It("acquires the duty of a previous process on the same machine at once", func() {
		// The process was killed and restarts after a second. The lease of its
		// predecessor has not expired yet. Waiting for that, and then for the delay
		// between two holders, left engines without new weights for 6 s.
		store := standin.NewTransactionalStore()
		_, _, err := store.GrantLease(context.Background(), time.Hour)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(context.Background(), kv.Transaction{Puts: []kv.Put{{Key: "live/duty/x", Value: []byte("a"), Lease: 1}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(mayAct(startLeader(store, "a", time.Hour))).WithTimeout(eventuallyTimeout).Should(BeTrue())
	})

	It("does not confirm the term after the store deleted the duty's key", func() {
		// The store deletes a key without notice. If the process did not read it, it would
		// continue to act next to a new holder.
		store := standin.NewTransactionalStore()
		l := startLeader(store, "a", 0)
		Eventually(mayAct(l)).WithTimeout(eventuallyTimeout).Should(BeTrue())
		term, _ := l.Term(time.Now())
		confirmed, ok := l.Confirm(context.Background())
		Expect(ok).To(BeTrue())
		Expect(confirmed).To(Equal(term))
		store.Revoke("live/duty/x")
		_, ok = l.Confirm(context.Background())
		Expect(ok).To(BeFalse())
	})

	It("may not act while the store does not confirm the duty", func() {
		// Another process may have acquired the duty meanwhile.
		store := standin.NewTransactionalStore()
		l := startLeader(store, "a", 0)
		Eventually(mayAct(l)).WithTimeout(eventuallyTimeout).Should(BeTrue())
		store.SetDown(true)
		_, ok := l.Confirm(context.Background())
		Expect(ok).To(BeFalse())
		Eventually(mayAct(l)).WithTimeout(eventuallyTimeout).Should(BeFalse())
	})

	It("waits before the first act when another holder may just have acted", func() {
		store := standin.NewTransactionalStore()
		Consistently(mayAct(startLeader(store, "b", time.Hour))).WithTimeout(time.Second).Should(BeFalse())
	})
})
