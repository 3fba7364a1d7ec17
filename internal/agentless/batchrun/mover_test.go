package batchrun_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("the owner of a batch job", func() {
	var store *standin.Shared
	var llm *engines
	var a, b *process

	owned := func(id string) (owner, other *process) { return ownedOf(a, b, id) }

	BeforeEach(func() { store, llm, a, b = startPair() })

	It("goes on at another process when its owner is gone, with the results that were read", func() {
		// The owner is killed with two of four results listed. Its successor makes the
		// others; what a trainer read at a position stays there.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 4))).To(Succeed())
		owner, other := owned("j")
		close(llm.hold)
		Eventually(results(other, "j")).WithTimeout(patience).Should(BeNumerically(">", 0))
		before, err := readAll(other.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		owner.stop()
		store.Revoke("live/members/" + owner.name)
		Eventually(func() bool { _, found := other.members.Get(owner.name); return found }).WithTimeout(patience).Should(BeFalse())
		other.mover.MemberGone(context.Background(), owner.name)
		Eventually(results(other, "j")).WithTimeout(patience).Should(Equal(4))
		after, err := readAll(other.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		checkResults(after)
		Expect(after[:len(before)]).To(Equal(before))
	})

	It("goes on at the same process after a restart, and a late write of the dead one is refused", func() {
		// The process is killed with a write under way and starts again under its
		// name. The write arrives seconds later; if it took effect, a position would
		// hold something else than what the new process lists there.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := owned("j")
		mark, err := store.Read(context.Background(), "todo/"+owner.name+"/j")
		Expect(err).NotTo(HaveOccurred())
		owner.stop()
		again := newProcess(owner.name, store, llm).run()
		Eventually(func() bool { return again.owner.Jobs()["j"] > mark.Revision }).WithTimeout(patience).Should(BeTrue())
		late, err := store.Commit(context.Background(), kv.Transaction{
			Expect: []kv.Expectation{{Key: "todo/" + owner.name + "/j", Revision: mark.Revision}, {Key: "done/j/000000"}},
			Puts:   []kv.Put{{Key: "done/j/000000", Value: []byte("of the dead process")}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(late.Done).To(BeFalse())
		close(llm.hold)
		Eventually(results(other, "j")).WithTimeout(patience).Should(Equal(2))
	})

	It("goes on at the same process after a restart before anybody tells it of marks", func() {
		// All processes were killed and start again: nobody follows the store for the
		// others yet. The process lists its marks, writes them anew and takes its jobs on.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, _ := owned("j")
		owner.stop()
		again := newProcess(owner.name, &untold{Shared: store}, llm).run()
		Eventually(again.owner.Jobs).WithTimeout(patience).Should(HaveKey("j"))
		close(llm.hold)
	})

	It("is read whole after its end at an owner that had lost it and got it back", func() {
		// The job moves to another process before anything of it is listed, and returns.
		// Once it has ended its owner answers readers from memory: with what it had when
		// the job ended, not with the nothing that it had when it lost the job before.
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owner, other := owned("j")
		Expect(other.mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		Eventually(other.owner.Jobs).WithTimeout(patience).Should(HaveKey("j"))
		Eventually(owner.owner.Jobs).WithTimeout(patience).ShouldNot(HaveKey("j"))
		Expect(owner.mover.MoveAll(context.Background(), other.name)).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(patience).Should(HaveKey("j"))
		close(llm.hold)
		Eventually(results(owner, "j")).WithTimeout(patience).Should(Equal(3))
		Expect(other.desk.End(context.Background(), "j")).To(Succeed())
		Eventually(owner.owner.Jobs).WithTimeout(patience).ShouldNot(HaveKey("j"))
		store.SetDown(true)
		defer store.SetDown(false)
		all, err := readAll(other.desk, "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(3))
	})

	It("goes to an owner that answers when the one it was accepted for does not", func() {
		// What happens: the owner died while the store was away, so its registration
		// still stands when the next job is accepted for it. The trainer sees results
		// after the time of one unanswered call, not of a lease.
		Expect(a.desk.Submit(context.Background(), spec("first", 1))).To(Succeed())
		owner, other := owned("first")
		Eventually(results(other, "first")).WithTimeout(patience).Should(Equal(1))
		owner.stop()
		Expect(other.members.Registered(owner.name)).To(BeTrue())
		Expect(other.desk.Submit(context.Background(), spec("second", 2))).To(Succeed())
		Eventually(results(other, "second")).WithTimeout(patience).Should(Equal(2))
		Expect(other.owner.Jobs()).To(HaveKey("second"))
		Expect(other.desk.Submit(context.Background(), spec("third", 1))).To(Succeed())
		_, err := store.Read(context.Background(), "todo/"+other.name+"/third")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() map[string]int64 { return other.owner.Jobs() }).WithTimeout(patience).Should(HaveKey("third"), "the silent owner is passed over")
	})

	It("is accepted for an owner that answers, not for one that died while the store was away", func() {
		// The dead owner is still listed. A step accepted for it was moved after the time
		// of an unanswered call; now nobody writes its mark for the dead one at all.
		Expect(a.desk.Submit(context.Background(), spec("first", 1))).To(Succeed())
		owner, other := owned("first")
		Eventually(results(other, "first")).WithTimeout(patience).Should(Equal(1))
		owner.stop()
		Expect(other.members.Registered(owner.name)).To(BeTrue())
		Expect(other.desk.Submit(context.Background(), spec("second", 1))).To(Succeed())
		mark, err := store.Read(context.Background(), "todo/"+other.name+"/second")
		Expect(err).NotTo(HaveOccurred())
		Expect(mark.Revision).To(BeNumerically(">", 0))
	})

	It("stays with its owner when only the connection to it is old", func() {
		// What happens: the owner was killed and is back, or its connections were reset.
		// The first call fails at once on the old connection; moving the job for that
		// would give one model two owners who know nothing of each other's runs.
		Expect(a.desk.Submit(context.Background(), spec("first", 1))).To(Succeed())
		owner, other := owned("first")
		Eventually(results(other, "first")).WithTimeout(patience).Should(Equal(1))
		owner.resetConns()
		Expect(other.desk.Submit(context.Background(), spec("second", 1))).To(Succeed())
		Eventually(results(other, "second")).WithTimeout(patience).Should(Equal(1))
		Expect(owner.owner.Jobs()).To(HaveKey("second"))
	})

	It("is taken on and let go though nobody tells its owner and its watch is deaf", func() {
		// What happens: an entry that is cut off from every worker accepts and ends jobs
		// through a peer, while the store drops history that the owner's watch has not
		// heard. The trainer saw no result for twelve seconds, and items of a job whose
		// end was acknowledged went on to engines.
		Expect(a.desk.Submit(context.Background(), spec("first", 1))).To(Succeed())
		owner, other := owned("first")
		Eventually(results(other, "first")).WithTimeout(patience).Should(Equal(1))
		entry := newProcess("e", store, llm)
		entry.desk.Members = other.members
		entry.desk.Peers = rpcpool.New(func(context.Context, string) (net.Conn, error) { return nil, errors.New("cut off") })
		unheard := func(do func() error) {
			store.SetDeaf(true)
			ExpectWithOffset(1, do()).To(Succeed())
			time.Sleep(200 * time.Millisecond) // the watch looks, and hears nothing
			store.DropHistory()
			store.SetDeaf(false)
		}
		const soon = 12 * time.Second // a watch that waits for long heard of it after 20 s
		llm.hold = make(chan struct{})
		unheard(func() error { return entry.desk.Submit(context.Background(), spec("j", 1)) })
		Eventually(owner.owner.Jobs).WithTimeout(soon).Should(HaveKey("j"))
		unheard(func() error { return entry.desk.End(context.Background(), "j") })
		Eventually(owner.owner.Jobs).WithTimeout(soon).ShouldNot(HaveKey("j"))
	})

	It("stays where it is when no other owner answers", func() {
		// What happens: an entry that is cut off from every worker accepted the job by
		// way of the store. It must not move it from one owner to the next.
		Expect(a.desk.Submit(context.Background(), spec("first", 1))).To(Succeed())
		owner, other := owned("first")
		entry := newProcess("e", store, llm)
		entry.desk.Members = other.members
		owner.stop()
		other.stop()
		Expect(entry.desk.Submit(context.Background(), spec("j", 1))).To(Succeed())
		record, err := store.Read(context.Background(), "todo/"+owner.name+"/j")
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).NotTo(BeZero())
		Consistently(func() int64 {
			record, err := store.Read(context.Background(), "todo/"+owner.name+"/j")
			Expect(err).NotTo(HaveOccurred())
			return record.Revision
		}, time.Second).Should(Equal(record.Revision))
	})

	It("moves at once when the owner that lapsed in an outage does not answer", func() {
		// What happens: registrations lapse while the store is away. A process that
		// answers is given two seconds to register again; for one that is dead its
		// jobs would lose them.
		asked := ""
		other := newProcess("x", store, llm)
		other.mover.Unsettled = func() bool { return true }
		other.mover.Answers = func(ctx context.Context, name string) bool {
			asked = name
			until, limited := ctx.Deadline()
			Expect(limited).To(BeTrue())
			Expect(time.Until(until)).To(BeNumerically("<=", 300*time.Millisecond), "no longer than a killed process gets")
			return false
		}
		began := time.Now()
		other.mover.MemberGone(context.Background(), "dead")
		Expect(asked).To(Equal("dead"))
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})

	It("is handed on by an owner that stops", func() {
		llm.hold = make(chan struct{})
		Expect(a.desk.Submit(context.Background(), spec("j", 2))).To(Succeed())
		owner, other := owned("j")
		Expect(owner.mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		Eventually(func() int { return len(other.owner.Jobs()) }).WithTimeout(patience).Should(Equal(1))
		Eventually(func() int { return len(owner.owner.Jobs()) }).WithTimeout(patience).Should(BeZero())
		close(llm.hold)
		Eventually(results(owner, "j")).WithTimeout(patience).Should(Equal(2))
	})
})
