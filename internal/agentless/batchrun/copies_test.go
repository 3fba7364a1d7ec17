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

var _ = Describe("copies of partial texts", func() {
	const firstEvents, allEvents = 40, 44 // events of each text before the pause, and in total
	var llm *engines
	var store *standin.TransactionalStore
	var processes []*process

	// start starts processes that send copies to each other.
	wrap := func(p *process) {} // changes a process before it is started
	start := func(names ...string) {
		store = standin.NewTransactionalStore()
		llm = &engines{sent: map[string]int{}, length: allEvents, pause: firstEvents, hold: make(chan struct{})}
		processes = nil
		for _, name := range names {
			p := newProcess(name, store, llm)
			p.owner.Texts = textlog.New(GinkgoT().TempDir(), discardLogger(), metrics.NewRegistry())
			p.owner.Copier.StandbyFor, p.owner.Copier.Send, p.owner.FetchTexts = p.frontend.StandbyFor, p.frontend.SendCopy, p.frontend.FetchTexts
			wrap(p)
			processes = append(processes, p.run())
		}
		for _, p := range processes {
			Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(len(names)))
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
		}).WithTimeout(eventuallyTimeout).Should(BeTrue())
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

	It("let the next owner resume texts after the previous owner is lost for good", func() {
		// The owner copies events to its standby, is killed, and its machine does not come
		// back. The next owner requests only the events after the last copied one.
		start("a", "b")
		Expect(processes[0].frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owner, others := ownerOf("j")
		Eventually(copied(others[0])).WithTimeout(eventuallyTimeout).Should(Equal(3 * firstEvents))
		owner.stop()
		release()
		Expect(others[0].mover.MoveAll(context.Background(), owner.name)).To(Succeed())
		Eventually(results(others[0], "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		Expect(resumed()).To(Equal([]int64{firstEvents, firstEvents, firstEvents}))
	})

	It("are not needed by an owner that is restarted with its disk intact", func() {
		// The owner is killed in the middle of every text. The restarted process reads the
		// texts from the machine's disk and requests only the events that follow; otherwise
		// each text would be generated from its start.
		dir := GinkgoT().TempDir()
		onDisk := func() *textlog.Log {
			log := textlog.New(dir, discardLogger(), metrics.NewRegistry())
			log.LoadTimeout = eventuallyTimeout // the spec checks no speed
			return log
		}
		wrap = func(p *process) { p.owner.Texts = onDisk() }
		DeferCleanup(func() { wrap = func(*process) {} })
		start("p")
		Expect(processes[0].frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Eventually(func() int {
			_, events := batch.NewJob(spec("j", 3), nil).ResumeTexts(onDisk().Load(context.Background(), "j"))
			return events
		}).WithTimeout(eventuallyTimeout).Should(Equal(3 * firstEvents))
		processes[0].stop()
		release()

		again := newProcess("p", store, llm)
		wrap(again)
		again.run()
		Eventually(results(again, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		Expect(resumed()).To(Equal([]int64{firstEvents, firstEvents, firstEvents}))
	})

	It("are fetched from any process that has them by an owner that has none", func() {
		// The job moves to a process that was not its standby, because a process joined or
		// left meanwhile. It asks the other workers when it adopts the job.
		start("a", "b", "c")
		Expect(processes[0].frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		owner, others := ownerOf("j")
		standby, third := others[0], others[1]
		if name, _ := owner.frontend.StandbyFor("m", "j"); name == third.name {
			standby, third = third, standby
		}
		Eventually(copied(standby)).WithTimeout(eventuallyTimeout).Should(Equal(3 * firstEvents))
		Expect(copied(third)()).To(BeZero())
		release()
		Expect(standby.register.Leave(context.Background())).To(Succeed())
		Eventually(func() int { return len(third.members.Owners()) }).WithTimeout(eventuallyTimeout).Should(Equal(2))
		owner.stop()
		texts := third.frontend.FetchTexts(context.Background(), "j")
		Expect(texts).NotTo(BeEmpty(), "the standby is leaving but still has them")
	})

	// The owner sends complete texts and then what came since. If events that come while it
	// gathers the texts were in both, the standby would refuse all later events of that text.
	It("hold each event once when events come while complete texts are gathered", func() {
		o := &batchrun.Owner{Name: "a", Log: discardLogger(), Registry: metrics.NewRegistry()}
		o.Init()
		received := textlog.New(GinkgoT().TempDir(), discardLogger(), metrics.NewRegistry())
		var job *batchrun.OwnedJob
		const step = 10
		generated := int64(firstEvents)
		generate := func() {
			generated += step
			batchrun.GenerateEvents(o, job, generated)
		}
		o.Copier.StandbyFor = func(string, string) (string, bool) {
			generate() // between the drain of the buffer and the message
			return "b", true
		}
		o.Copier.Send = func(_ context.Context, _ string, args batchrun.CopyArgs) (lacking bool, err error) {
			parts, err := batchrun.UnpackParts(args.Raw)
			Expect(err).NotTo(HaveOccurred())
			return !received.Put(textlog.JobParts{Job: args.Job, Mark: args.Mark, Parts: parts}, args.Whole), nil
		}
		job = batchrun.AddOwnedJob(o, spec("j", 1))
		for range 3 {
			generate()
			batchrun.CopyTexts(o)
		}
		_, events := batch.NewJob(spec("j", 1), nil).ResumeTexts(received.Load(context.Background(), "j"))
		Expect(events).To(BeEquivalentTo(generated-step), "all but the events that came during the last call")
	})

	It("are sent again completely after a failed call", func() {
		// The first call fails. The standby lacks its events when the next ones arrive, and
		// those alone would be of no use.
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
		Expect(processes[0].frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		_, others := ownerOf("j")
		Eventually(copied(others[0])).WithTimeout(eventuallyTimeout).Should(Equal(3 * firstEvents))
	})

	It("are sent again completely when the standby reports that it lacks events", func() {
		// The standby was restarted and has lost the events that it was sent.
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
		Expect(processes[0].frontend.Submit(context.Background(), spec("j", 3))).To(Succeed())
		_, others := ownerOf("j")
		Eventually(copied(others[0])).WithTimeout(eventuallyTimeout).Should(Equal(3 * firstEvents))
	})

	It("are rejected if the message cannot be decoded", func() {
		start("a")
		service := &batchrun.Service{}
		Expect(service.Copy(batchrun.CopyArgs{Job: "j", Raw: []byte("torn")}, &batchrun.CopyReply{})).NotTo(Succeed())
	})
})
