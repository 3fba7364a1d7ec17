package batchrun_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/standin"
)

// faultyPeers makes a standby's calls, some of which fail.
type faultyPeers struct {
	batchrun.StandbyPeers
	cutFromOwners atomic.Bool  // calls to owners fail
	isolated      atomic.Bool  // all calls fail
	unreachable   atomic.Value // name of a process that other processes do not reach either
}

func (f *faultyPeers) QueryJobs(ctx context.Context, owner string, args batchrun.GuardedArgs) (batchrun.GuardedReply, error) {
	if f.cutFromOwners.Load() || f.isolated.Load() {
		return batchrun.GuardedReply{}, context.DeadlineExceeded
	}
	return f.StandbyPeers.QueryJobs(ctx, owner, args)
}

func (f *faultyPeers) IndirectPing(ctx context.Context, name string) (answers, known bool) {
	if f.isolated.Load() {
		return false, false
	}
	if f.unreachable.Load() == name {
		return false, true
	}
	return f.StandbyPeers.IndirectPing(ctx, name)
}

var _ = Describe("the standby of a job", func() {
	var store *standin.TransactionalStore
	var llm *engines
	var processes []*process
	var release func()

	// start starts three workers that are standbys for each other's jobs. A text pauses after
	// two of its four events.
	start := func(switches *mechanism.Switches) {
		for _, name := range []string{"a", "b", "c"} {
			p := newProcess(name, store, llm)
			p.owner.Switches = switches
			p.owner.Copier.StandbyFor, p.owner.Copier.Send, p.owner.FetchTexts = p.frontend.StandbyFor, p.frontend.SendCopy, p.frontend.FetchTexts
			p.peers = &faultyPeers{StandbyPeers: p.frontend}
			p.owner.Standby.Peers = p.peers
			p.run()
			processes = append(processes, p)
		}
		Eventually(func() int { return len(processes[0].members.Owners()) }).WithTimeout(eventuallyTimeout).Should(Equal(3))
	}

	// submitted submits a job. It returns the owner, and the standby once that knows of the
	// job.
	submitted := func() (owner, standby *process) {
		Expect(processes[0].frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owned := func() *process {
			for _, p := range processes {
				if len(p.owner.Jobs()) > 0 {
					return p
				}
			}
			return nil
		}
		Eventually(owned).WithTimeout(eventuallyTimeout).ShouldNot(BeNil())
		owner = owned()
		name, _ := owner.frontend.StandbyFor("m", "j")
		for _, p := range processes {
			if p.name == name {
				standby = p
			}
		}
		Eventually(func() bool { return batchrun.IsStandbyFor(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		return owner, standby
	}
	owns := func(p *process) func() int { return func() int { return len(p.owner.Jobs()) } }

	BeforeEach(func() {
		store, processes = standin.NewTransactionalStore(), nil
		hold := make(chan struct{})
		llm = &engines{sent: map[string]int{}, hold: hold}
		var released atomic.Bool
		release = func() {
			if released.CompareAndSwap(false, true) {
				close(hold)
			}
		}
		DeferCleanup(func() {
			store.SetDown(false)
			release()
		})
	})

	It("takes it over when its owner is killed, long before the owner's registration expires", func() {
		// The owner's registration lasts for an hour here. A job that is moved only after the
		// registration expired loses that time.
		start(nil)
		owner, standby := submitted()
		owner.stop()
		Eventually(owns(standby)).WithTimeout(eventuallyTimeout).Should(Equal(1))
		release()
		Eventually(results(standby, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
	})

	It("runs it while the store is unreachable, and writes its results once the store is back", func() {
		// The store is unreachable for five seconds, and the owner dies in the first one.
		// Unless another process continues, the step starts anew when the store is back and
		// is late.
		start(nil)
		owner, standby := submitted()
		store.SetDown(true)
		owner.stop()
		Eventually(func() bool { return batchrun.HasStandbyRun(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		release()
		Eventually(func() int { return batchrun.StandbyResultCount(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(Equal(3))
		sent := llm.total()
		Expect(owns(standby)()).To(BeZero(), "it writes no results of a job that it does not own")
		store.SetDown(false)
		Eventually(results(standby, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		Expect(llm.total()).To(Equal(sent), "nothing was generated again")
		Expect(batchrun.HasStandbyRun(standby.owner, "j")).To(BeFalse())
	})

	It("runs it for a limited time, and keeps what it generated", func() {
		// The store may answer other processes, and the job may have been ended through them.
		start(nil)
		owner, standby := submitted()
		standby.owner.Standby.MaxRunTime = 100 * time.Millisecond
		store.SetDown(true)
		owner.stop()
		Eventually(func() bool { return batchrun.HasStandbyRun(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		Eventually(func() bool { return batchrun.StandbyIsRunning(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(BeFalse())
		sent := llm.total()
		release()
		Consistently(llm.total).WithTimeout(time.Second).Should(Equal(sent))
		store.SetDown(false)
		Eventually(results(standby, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		llm.mu.Lock()
		defer llm.mu.Unlock()
		Expect(llm.resumed).To(ContainElement(int64(2)), "texts continue those that the standby generated")
	})

	It("does not take it over while another process reaches its owner", func() {
		// Only the link between the two is cut; a second owner would run every item twice.
		start(nil)
		owner, standby := submitted()
		standby.peers.cutFromOwners.Store(true)
		Consistently(owns(owner)).WithTimeout(3 * time.Second).Should(Equal(1))
		Expect(owns(standby)()).To(BeZero())
	})

	It("does not take it over while it reaches no process itself", func() {
		// A standby that is partitioned from all processes cannot tell whether the owner is
		// lost; a second owner would run every item twice.
		start(nil)
		owner, standby := submitted()
		standby.peers.isolated.Store(true)
		Consistently(owns(owner)).WithTimeout(3 * time.Second).Should(Equal(1))
	})

	It("stops its runs when the owner answers again", func() {
		// Neither the standby nor others reached the owner while the store was unreachable.
		// The owner has its own texts, and the standby's runs occupy slots that it needs.
		start(nil)
		owner, standby := submitted()
		store.SetDown(true)
		standby.peers.unreachable.Store(owner.name)
		standby.peers.cutFromOwners.Store(true)
		Eventually(func() bool { return batchrun.HasStandbyRun(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		standby.peers.cutFromOwners.Store(false)
		Eventually(func() bool { return batchrun.HasStandbyRun(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(BeFalse())
		Expect(owns(owner)()).To(Equal(1))
	})

	It("does not run a job that ended before its owner was lost", func() {
		// The store is unreachable when the owner dies, so it cannot show that the job ended.
		// The standby must know it from the owner; otherwise it runs items that nobody needs.
		start(nil)
		owner, standby := submitted()
		Expect(owner.frontend.End(context.Background(), "j")).To(Succeed())
		Eventually(func() bool { return batchrun.IsStandbyFor(standby.owner, "j") }).WithTimeout(eventuallyTimeout).Should(BeFalse())
		store.SetDown(true)
		owner.stop()
		Consistently(func() bool { return batchrun.HasStandbyRun(standby.owner, "j") }).WithTimeout(3 * time.Second).Should(BeFalse())
	})

	It("waits for the registration to expire if operators disabled the mechanism", func() {
		switches := &mechanism.Switches{}
		switches.SetDisabled([]mechanism.Mechanism{mechanism.TakeOver})
		start(switches)
		owner, standby := submitted()
		owner.stop()
		Consistently(owns(standby)).WithTimeout(3 * time.Second).Should(BeZero())
	})
})
