package batchrun_test

import (
	"bytes"
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("a batch job", func() {
	var store *standin.Shared
	var llm *engines
	var a, b *process

	listed := func(n int) {
		EventuallyWithOffset(1, func() int { return len(a.members.Live()) }).WithTimeout(patience).Should(Equal(n))
	}

	// owned returns the process that owns the job, and the other one.
	owned := func(id string) (owner, other *process) {
		EventuallyWithOffset(1, func() bool {
			for _, p := range []*process{a, b} {
				if _, found := p.owner.Jobs()[id]; found {
					owner = p
					return true
				}
			}
			return false
		}).WithTimeout(patience).Should(BeTrue())
		if owner == a {
			return a, b
		}
		return b, a
	}

	BeforeEach(func() {
		store = standin.NewShared()
		llm = &engines{sent: map[string]int{}}
		a = newProcess("a", store, llm).run()
		b = newProcess("b", store, llm).run()
		listed(2)
	})

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

	It("is read from the store when a write of unknown outcome was followed by one that was not sent", func() {
		// What happens: a write of results takes effect and its answer is lost, the next
		// try meets an outage and is not sent, and the job ends as the store returns. That
		// the last try certainly had no effect says nothing of the one before it; an owner
		// that took it for the last word showed readers less than others had read.
		a.owner.Retry, b.owner.Retry = time.Hour, time.Hour
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
			owner.owner.StoreBack()
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
		patient.owner.Retry = time.Hour
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
			patient.owner.StoreBack()
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
		owner.owner.Certain = func() bool { return false }
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
		Expect(err).To(MatchError(batchrun.ErrCannotTell))
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

// mute is a store whose answers to commits are always lost.
type mute struct{ *standin.Shared }

func (m *mute) Commit(context.Context, kv.Transaction) (kv.Committed, error) {
	return kv.Committed{}, kv.ErrUnknown
}

var _ dispatch.Sender = (*engines)(nil)
