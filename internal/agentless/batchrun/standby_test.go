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

// blind is a standby's calls, of which some do not come through.
type blind struct {
	batchrun.StandbyPeers
	cut      atomic.Bool  // it reaches no owner
	isolated atomic.Bool  // nor anybody else
	deaf     atomic.Value // the process that others do not reach either
}

func (b *blind) QueryJobs(ctx context.Context, owner string, args batchrun.GuardedArgs) (batchrun.GuardedReply, error) {
	if b.cut.Load() || b.isolated.Load() {
		return batchrun.GuardedReply{}, context.DeadlineExceeded
	}
	return b.StandbyPeers.QueryJobs(ctx, owner, args)
}

func (b *blind) IndirectPing(ctx context.Context, name string) (answers, known bool) {
	if b.isolated.Load() {
		return false, false
	}
	if b.deaf.Load() == name {
		return false, true
	}
	return b.StandbyPeers.IndirectPing(ctx, name)
}

var _ = Describe("the standby of a job", func() {
	var store *standin.Shared
	var llm *engines
	var processes []*process
	var release func()

	// start runs three workers that stand by for each other's jobs. A text pauses after
	// two of its four events.
	start := func(switches *mechanism.Switches) {
		for _, name := range []string{"a", "b", "c"} {
			p := newProcess(name, store, llm)
			p.owner.Switches = switches
			p.owner.Copier.StandbyFor, p.owner.Copier.Send, p.owner.FetchTexts = p.desk.StandbyFor, p.desk.SendCopy, p.desk.FetchTexts
			p.peers = &blind{StandbyPeers: p.desk}
			p.owner.Standby.Peers = p.peers
			p.run()
			processes = append(processes, p)
		}
		Eventually(func() int { return len(processes[0].members.Owners()) }).WithTimeout(patience).Should(Equal(3))
	}

	// submitted accepts a job, and returns its owner and its standby once that knows of it.
	submitted := func() (owner, standby *process) {
		Expect(processes[0].desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owned := func() *process {
			for _, p := range processes {
				if len(p.owner.Jobs()) > 0 {
					return p
				}
			}
			return nil
		}
		Eventually(owned).WithTimeout(patience).ShouldNot(BeNil())
		owner = owned()
		name, _ := owner.desk.StandbyFor("m", "j")
		for _, p := range processes {
			if p.name == name {
				standby = p
			}
		}
		Eventually(func() bool { return batchrun.Guards(standby.owner, "j") }).WithTimeout(patience).Should(BeTrue())
		return owner, standby
	}
	owns := func(p *process) func() int { return func() int { return len(p.owner.Jobs()) } }

	BeforeEach(func() {
		store, processes = standin.NewShared(), nil
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

	It("takes it over when its owner is killed, long before the owner's registration lapses", func() {
		start(nil)
		owner, standby := submitted()
		owner.stop()
		Eventually(owns(standby)).WithTimeout(patience).Should(Equal(1))
		release()
		Eventually(results(standby, "j")).WithTimeout(patience).Should(Equal(3))
	})

	It("runs it while the store is away, and lists what it made once the store is back", func() {
		// The store is away for five seconds, and the owner dies in the first of them. Without a
		// process that goes on, the step begins anew when the store is back and is late.
		start(nil)
		owner, standby := submitted()
		store.SetDown(true)
		owner.stop()
		Eventually(func() bool { return batchrun.RunsFor(standby.owner, "j") }).WithTimeout(patience).Should(BeTrue())
		release()
		Eventually(func() int { return batchrun.MadeFor(standby.owner, "j") }).WithTimeout(patience).Should(Equal(3))
		sent := llm.total()
		Expect(owns(standby)()).To(BeZero(), "it lists nothing of a job that is not its own")
		store.SetDown(false)
		Eventually(results(standby, "j")).WithTimeout(patience).Should(Equal(3))
		Expect(llm.total()).To(Equal(sent), "nothing was generated again")
		Expect(batchrun.RunsFor(standby.owner, "j")).To(BeFalse())
	})

	It("runs it for a while only, and keeps what it made", func() {
		// The store answers others, through whom the job may have ended long ago.
		start(nil)
		owner, standby := submitted()
		standby.owner.Standby.MaxRunTime = 100 * time.Millisecond
		store.SetDown(true)
		owner.stop()
		Eventually(func() bool { return batchrun.RunsFor(standby.owner, "j") }).WithTimeout(patience).Should(BeTrue())
		Eventually(func() bool { return batchrun.RunsNow(standby.owner, "j") }).WithTimeout(patience).Should(BeFalse())
		sent := llm.total()
		release()
		Consistently(llm.total).WithTimeout(time.Second).Should(Equal(sent))
		store.SetDown(false)
		Eventually(results(standby, "j")).WithTimeout(patience).Should(Equal(3))
		llm.mu.Lock()
		defer llm.mu.Unlock()
		Expect(llm.resumed).To(ContainElement(int64(2)), "texts go on from what the standby made")
	})

	It("leaves it alone while another process reaches its owner", func() {
		// Only the link between the two is cut: a second owner would run every item twice.
		start(nil)
		owner, standby := submitted()
		standby.peers.cut.Store(true)
		Consistently(owns(owner)).WithTimeout(3 * time.Second).Should(Equal(1))
		Expect(owns(standby)()).To(BeZero())
	})

	It("leaves it alone while it reaches nobody itself", func() {
		start(nil)
		owner, standby := submitted()
		standby.peers.isolated.Store(true)
		Consistently(owns(owner)).WithTimeout(3 * time.Second).Should(Equal(1))
	})

	It("ends its runs when the owner answers again", func() {
		// Owner and standby could not reach each other, nor others the owner, while the store
		// was away. The owner has its own texts, and the engines' places are wanted.
		start(nil)
		owner, standby := submitted()
		store.SetDown(true)
		standby.peers.deaf.Store(owner.name)
		standby.peers.cut.Store(true)
		Eventually(func() bool { return batchrun.RunsFor(standby.owner, "j") }).WithTimeout(patience).Should(BeTrue())
		standby.peers.cut.Store(false)
		Eventually(func() bool { return batchrun.RunsFor(standby.owner, "j") }).WithTimeout(patience).Should(BeFalse())
		Expect(owns(owner)()).To(Equal(1))
	})

	It("runs nothing of a job that ended before its owner was lost", func() {
		start(nil)
		owner, standby := submitted()
		Expect(owner.desk.End(context.Background(), "j")).To(Succeed())
		Eventually(func() bool { return batchrun.Guards(standby.owner, "j") }).WithTimeout(patience).Should(BeFalse())
		store.SetDown(true)
		owner.stop()
		Consistently(func() bool { return batchrun.RunsFor(standby.owner, "j") }).WithTimeout(3 * time.Second).Should(BeFalse())
	})

	It("waits for the registration to lapse where operators took the mechanism out", func() {
		switches := &mechanism.Switches{}
		switches.SetDisabled([]mechanism.Mechanism{mechanism.TakeOver})
		start(switches)
		owner, standby := submitted()
		owner.stop()
		Consistently(owns(standby)).WithTimeout(3 * time.Second).Should(BeZero())
	})
})
