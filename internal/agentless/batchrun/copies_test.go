package batchrun_test

import (
	"context"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("the copies of texts under way", func() {
	const made, whole = 40, 44 // events of each text before the pause, and in all
	var llm *engines
	var store *standin.Shared
	var processes []*process

	// start starts processes that send each other copies.
	wrap := func(p *process) {} // changes a process before it runs
	start := func(names ...string) {
		store = standin.NewShared()
		llm = &engines{sent: map[string]int{}, length: whole, pause: made, hold: make(chan struct{})}
		processes = nil
		for _, name := range names {
			p := newProcess(name, store, llm)
			p.owner.Texts = textlog.New(GinkgoT().TempDir(), silent(), metrics.NewRegistry())
			p.owner.Copier.StandbyFor, p.owner.Copier.Send, p.owner.FetchTexts = p.desk.StandbyFor, p.desk.SendCopy, p.desk.FetchTexts
			wrap(p)
			processes = append(processes, p.run())
		}
		for _, p := range processes {
			Eventually(func() int { return len(p.members.Live()) }).WithTimeout(patience).Should(Equal(len(names)))
		}
	}
	ownerOf := func(id string) (owner *process, others []*process) {
		Eventually(func() bool {
			owner, others = nil, nil
			for _, p := range processes {
				if _, found := p.owner.Jobs()[id]; found {
					owner = p
				} else {
					others = append(others, p)
				}
			}
			return owner != nil
		}).WithTimeout(patience).Should(BeTrue())
		return owner, others
	}
	copied := func(p *process) func() int {
		return func() int {
			_, events := batch.NewJob(spec("j", 3), nil).ResumeTexts(p.owner.Texts.Load(context.Background(), "j"))
			return events
		}
	}
	release := func() {
		llm.mu.Lock()
		defer llm.mu.Unlock()
		close(llm.hold)
		llm.hold = nil
	}
	resumed := func() []int64 {
		llm.mu.Lock()
		defer llm.mu.Unlock()
		return append([]int64(nil), llm.resumed...)
	}

	It("let the next owner go on when the one before is lost for good", func() {
		// The owner sends what engines make to the process that would take its jobs
		// over. It is killed and its machine does not come back: engines are asked for
		// what comes after the last event that the standby was sent.
		start("a", "b")
		Expect(processes[0].desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owner, others := ownerOf("j")
		Eventually(copied(others[0])).WithTimeout(patience).Should(Equal(3 * made))
		owner.stop()
		release()
		Expect(others[0].mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		Eventually(results(others[0], "j")).WithTimeout(patience).Should(Equal(3))
		Expect(resumed()).To(Equal([]int64{made, made, made}))
	})

	It("need not be asked for by an owner that is killed and comes back to its disk", func() {
		// The owner is killed in the middle of every text. The process that starts in
		// its place finds them on the machine's disk and asks engines for what follows;
		// without them each text would begin anew.
		dir := GinkgoT().TempDir()
		onDisk := func() *textlog.Log { return textlog.New(dir, silent(), metrics.NewRegistry()) }
		wrap = func(p *process) { p.owner.Texts = onDisk() }
		DeferCleanup(func() { wrap = func(*process) {} })
		start("p")
		Expect(processes[0].desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Eventually(func() int {
			_, events := batch.NewJob(spec("j", 3), nil).ResumeTexts(onDisk().Load(context.Background(), "j"))
			return events
		}).WithTimeout(patience).Should(Equal(3 * made))
		processes[0].stop()
		release()

		again := newProcess("p", store, llm)
		wrap(again)
		again.run()
		Eventually(results(again, "j")).WithTimeout(patience).Should(Equal(3))
		Expect(resumed()).To(Equal([]int64{made, made, made}))
	})

	It("come from the owner before, or whoever has them, to one that has none", func() {
		// The job goes to a process that was not its standby, as another one joined or
		// left meanwhile. It asks the others when it takes the job on.
		start("a", "b", "c")
		Expect(processes[0].desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owner, others := ownerOf("j")
		standby, third := others[0], others[1]
		if name, _ := owner.desk.StandbyFor("m", "j"); name == third.name {
			standby, third = third, standby
		}
		Eventually(copied(standby)).WithTimeout(patience).Should(Equal(3 * made))
		Expect(copied(third)()).To(BeZero())
		release()
		Expect(standby.register.Leave(context.Background())).To(Succeed())
		Eventually(func() int { return len(third.members.Owners()) }).WithTimeout(patience).Should(Equal(2))
		owner.stop()
		texts := third.desk.FetchTexts(context.Background(), "j")
		Expect(texts).NotTo(BeEmpty(), "the standby is leaving and still has them")
	})

	It("are sent again as a whole when a call failed", func() {
		// The first call does not come through. What it held is not there when the next
		// events come, and they alone would be of no use.
		wrap = func(p *process) {
			send := p.owner.Copier.Send
			var calls atomic.Int32
			p.owner.Copier.Send = func(ctx context.Context, to string, args batchrun.CopyArgs) (bool, error) {
				if calls.Add(1) == 1 {
					return false, errors.New("cut off")
				}
				return send(ctx, to, args)
			}
		}
		DeferCleanup(func() { wrap = func(*process) {} })
		start("a", "b")
		Expect(processes[0].desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		_, others := ownerOf("j")
		Eventually(copied(others[0])).WithTimeout(patience).Should(Equal(3 * made))
	})

	It("are sent again as a whole when the standby says that it began anew", func() {
		// The standby was restarted by itself and has forgotten what it was sent.
		wrap = func(p *process) {
			send := p.owner.Copier.Send
			var calls atomic.Int32
			p.owner.Copier.Send = func(ctx context.Context, to string, args batchrun.CopyArgs) (bool, error) {
				if calls.Add(1) == 1 {
					return true, nil
				}
				return send(ctx, to, args)
			}
		}
		DeferCleanup(func() { wrap = func(*process) {} })
		start("a", "b")
		Expect(processes[0].desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		_, others := ownerOf("j")
		Eventually(copied(others[0])).WithTimeout(patience).Should(Equal(3 * made))
	})

	It("are not taken from a message that cannot be read", func() {
		start("a")
		service := &batchrun.Service{}
		Expect(service.Copy(batchrun.CopyArgs{Job: "j", Raw: []byte("torn")}, &batchrun.CopyReply{})).NotTo(Succeed())
	})
})
