package handover_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestHandover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "handover")
}

// fakeStore simulates a key-value service with the feed's manifest. It can be unavailable.
type fakeStore struct {
	value       []byte
	revision    int64
	unavailable bool
}

// feed executes the actions of an owner and keeps its latest answer.
type feed struct {
	kv      *fakeStore
	owner   *handover.Owner
	now     time.Time
	calls   uint64
	answer  *handover.Answer
	reason  handover.Refusal
	deposed bool
}

var config = handover.Config{
	Shape:         sample.Shape{Groups: 2, Size: 2},
	LotSize:       2,
	Limits:        sample.Limits{MaxVersionLag: 2},
	RetryInterval: time.Second,
}

// newFeed returns a feed whose owner has the epoch, and sends its first Tick.
func newFeed(kv *fakeStore, epoch int64) *feed {
	f := &feed{kv: kv, now: time.Unix(100, 0)}
	f.owner = handover.New(config, fmt.Sprintf("entry-%d", epoch), epoch)
	f.step(handover.Tick{})
	return f
}

func (f *feed) step(e handover.Event) {
	for _, a := range f.owner.Step(f.now, e) {
		switch a := a.(type) {
		case handover.Read:
			f.read()
		case handover.Write:
			f.write(a)
		case handover.Reply:
			f.answer = &a.Answer
		case handover.Refuse:
			f.reason = a.Reason
		case handover.Deposed:
			f.deposed = true
		}
	}
}

func (f *feed) read() {
	if f.kv.unavailable {
		f.step(handover.ReadFailed{})
		return
	}
	f.step(handover.ReadDone{Value: f.kv.value, Revision: f.kv.revision})
}

func (f *feed) write(w handover.Write) {
	switch {
	case f.kv.unavailable:
		f.step(handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteNotApplied})
	case f.kv.revision != w.Expected:
		f.step(handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteConflict, Value: f.kv.value, Revision: f.kv.revision})
	default:
		f.kv.value = w.Value
		f.kv.revision++
		f.step(handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteApplied, Revision: f.kv.revision})
	}
}

// advance advances the time and sends a Tick.
func (f *feed) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.step(handover.Tick{})
}

// complete completes the samples with weights of the version.
func (f *feed) complete(version int64, ids ...sample.ID) {
	for _, id := range ids {
		segments := []wire.Segment{{Version: version, From: 0, To: 1}}
		f.step(handover.Completed{Sample: sample.Sample{ID: id, Segments: segments, FirstTokenAt: f.now}})
	}
}

// completeAll completes all wanted samples of two steps.
func (f *feed) completeAll(version int64) {
	for step := f.owner.FirstStep(); step < f.owner.FirstStep()+2; step++ {
		f.complete(version, f.owner.Wanted(step)...)
	}
}

// pull sends a client's pull and returns the answer or the reason of its refusal.
func (f *feed) pull(c *handover.Client, version int64) (*handover.Answer, handover.Refusal) {
	return f.send(c.Pull(version))
}

func (f *feed) send(p handover.Pull) (*handover.Answer, handover.Refusal) {
	f.calls++
	f.answer = nil
	f.reason = handover.None
	f.step(handover.Pulled{Call: f.calls, Pull: p})
	f.step(handover.PullTimedOut{Call: f.calls})
	return f.answer, f.reason
}

// next pulls one lot, passes it to the client and returns the names of its samples.
func (f *feed) next(c *handover.Client) []string {
	a, reason := f.pull(c, 1)
	Expect(reason).To(Equal(handover.None))
	var names []string
	for _, s := range c.HandleAnswer(*a, 1) {
		names = append(names, s.ID.Name("d", "f"))
	}
	return names
}

var _ = Describe("Owner", func() {
	var kv *fakeStore
	var client *handover.Client
	BeforeEach(func() {
		kv = &fakeStore{}
		client = handover.NewClient(handover.Position{}, 2)
	})

	It("hands over every sample of a step once and continues with the next step", func() {
		f := newFeed(kv, 1)
		f.completeAll(1)
		Expect(f.next(client)).To(Equal([]string{"d/f/0/0/0", "d/f/0/0/1"}))
		Expect(f.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
		Expect(f.next(client)).To(Equal([]string{"d/f/1/0/0", "d/f/1/0/1"}))
		f.next(client)
		Expect(len(client.Position().Unrecorded)).To(BeNumerically("<=", 2), "the client drops the recorded lots")
	})

	It("returns the same lot for the same cursor", func() {
		f := newFeed(kv, 1)
		f.completeAll(1)
		first, _ := f.pull(client, 1)
		f.complete(1, sample.ID{Step: 0, Group: 1})
		second, _ := f.pull(client, 1)
		Expect(second.Samples).To(Equal(first.Samples))
	})

	It("checks staleness when it hands over a lot, also when it repeats one", func() {
		// The first answer is lost while the trainer advances to version 4. The same lot
		// would then be three versions old, so its samples are dropped and generated again
		// under the same IDs.
		f := newFeed(kv, 1)
		f.completeAll(1)
		f.pull(client, 1)
		a, _ := f.pull(client, 4)
		Expect(a.Samples).To(BeEmpty())
		Expect(f.owner.Wanted(0)).To(HaveLen(4))
		f.completeAll(4)
		a, _ = f.pull(client, 4)
		Expect(a.Samples).To(HaveLen(2))
	})

	It("drops samples older than the declared maximum age", func() {
		config.Limits.MaxAge = time.Minute
		defer func() { config.Limits.MaxAge = 0 }()
		f := newFeed(kv, 1)
		f.completeAll(1)
		f.advance(2 * time.Minute)
		a, _ := f.pull(client, 1)
		Expect(a.Samples).To(BeEmpty())
	})

	It("continues to hand over during an outage of the key-value service", func() {
		// The service is unavailable for ten minutes. Nothing is recorded, the trainer carries
		// all lots that it holds, and every pull is answered. After the outage one write
		// records everything.
		f := newFeed(kv, 1)
		f.completeAll(1)
		f.next(client)
		kv.unavailable = true
		for range 10 {
			f.completeAll(1)
			Expect(f.next(client)).To(HaveLen(2))
			f.advance(time.Minute)
		}
		Expect(len(client.Position().Unrecorded)).To(BeNumerically(">=", 10))
		kv.unavailable = false
		f.advance(time.Minute)
		f.completeAll(1)
		f.next(client)
		f.next(client)
		Expect(len(client.Position().Unrecorded)).To(BeNumerically("<=", 2))
	})

	It("learns from the pull what a dead predecessor sent without recording it", func() {
		// The owner answers and dies before the write, so the successor's manifest is empty.
		// Without the lots in the pull it would hand over the same samples again.
		f := newFeed(kv, 1)
		f.completeAll(1)
		kv.unavailable = true
		Expect(f.next(client)).To(HaveLen(2))
		kv.unavailable = false
		g := newFeed(kv, 2)
		g.completeAll(1)
		Expect(g.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
	})

	It("is harmless when it runs beside its successor", func() {
		// A paused owner resumes and answers the same cursor as its successor with other
		// samples. The client accepts one answer. Its next pull shows which, and either owner
		// continues from there.
		old := newFeed(kv, 1)
		for range 2 {
			Expect(old.next(client)).To(BeEmpty())
		}
		old.complete(1, sample.ID{Group: 0, Index: 0}, sample.ID{Group: 1, Index: 0})
		successor := newFeed(kv, 2)
		successor.complete(1, sample.ID{Group: 0, Index: 1}, sample.ID{Group: 1, Index: 1})
		late, _ := old.pull(client, 1)
		Expect(successor.next(client)).To(Equal([]string{"d/f/0/0/1", "d/f/0/1/1"}))
		Expect(client.HandleAnswer(*late, 1)).To(BeEmpty(), "a second answer for the same cursor")
		Expect(old.next(client)).To(Equal([]string{"d/f/0/0/0", "d/f/0/1/0"}))
		Expect(old.deposed).To(BeTrue(), "its first write conflicts with the successor's manifest")
	})

	It("refuses a pull when it cannot account for the trainer's cursor", func() {
		// The successor recorded a lot and told the trainer, which dropped it from its pulls.
		// The paused predecessor does not know the contents of that lot.
		old := newFeed(kv, 1)
		old.completeAll(1)
		old.next(client)
		old.next(client)
		successor := newFeed(kv, 2)
		successor.completeAll(1)
		for range 3 {
			successor.next(client)
		}
		_, reason := old.pull(client, 1)
		Expect(reason).To(Equal(handover.Unaccounted))
		Expect(old.deposed).To(BeTrue())
	})

	It("continues from the position that a trainer resumes from, not from its newest", func() {
		// The trainer stores its position after one lot, gets two more lots and dies. Those two
		// are lost with it and are handed over again.
		f := newFeed(kv, 1)
		f.completeAll(1)
		first := f.next(client)
		kept := client.Position()
		f.next(client)
		f.completeAll(1)
		f.next(client)
		restarted := handover.NewClient(kept, 2)
		opening, _ := f.pull(restarted, 1)
		Expect(opening.Samples).To(BeEmpty(), "the samples held before are no longer in the pool")
		restarted.HandleAnswer(*opening, 1)
		f.completeAll(1)
		again := f.next(restarted)
		Expect(again).NotTo(ContainElement(BeElementOf(first)))
		Expect(again).To(HaveLen(2))
		Expect(again[0]).To(HavePrefix("d/f/0/"))
	})

	It("does not go back for a late duplicate of a first pull", func() {
		// The first pull is sent twice. The duplicate arrives three lots later. Its answer
		// reaches nobody, and it must not change the confirmed session.
		f := newFeed(kv, 1)
		f.completeAll(1)
		late := client.Pull(1)
		for range 3 {
			f.next(client)
		}
		f.send(late)
		f.completeAll(1)
		Expect(f.next(client)).To(Equal([]string{"d/f/1/1/0", "d/f/1/1/1"}))
	})

	It("accepts a restart whose last session was never recorded", func() {
		// A paused owner opens a session and ends. The trainer keeps the session's token and
		// restarts at a successor that does not know the session. A successor that refused the
		// token would refuse the trainer for good.
		old := newFeed(kv, 1)
		old.completeAll(1)
		kv.unavailable = true
		old.next(client)
		old.next(client)
		kv.unavailable = false
		successor := newFeed(kv, 2)
		successor.completeAll(1)
		restarted := handover.NewClient(client.Position(), 2)
		Expect(successor.next(restarted)).To(Equal([]string{"d/f/1/0/0", "d/f/1/0/1"}))
	})

	It("refuses a session that it opened after a successor has recorded lots of it", func() {
		// An owner opens a session and is paused. The successor confirms and records the
		// session. The trainer drops the recorded lots, and its pull arrives at the paused
		// owner, which only knows the lots of the previous session up to that cursor. If it
		// answered, it would hand over a sample twice.
		old := newFeed(kv, 1)
		old.completeAll(1)
		old.next(client)
		kept := client.Position()
		old.next(client)
		old.completeAll(1)
		old.next(client)
		restarted := handover.NewClient(kept, 2)
		opening, _ := old.pull(restarted, 1)
		restarted.HandleAnswer(*opening, 1)
		successor := newFeed(kv, 2)
		successor.completeAll(1)
		successor.next(restarted)
		successor.completeAll(1)
		successor.next(restarted)
		_, reason := old.pull(restarted, 1)
		Expect(reason).To(Equal(handover.NotOwner))
	})

	It("finds out by its nonce that a write whose answer was lost took effect", func() {
		// The write takes effect, but its answer is lost. The read that follows finds a
		// manifest with the nonce of the write.
		f := newFeed(kv, 1)
		f.completeAll(1)
		f.next(client)
		var lost handover.Write
		f.calls++
		for _, a := range f.owner.Step(f.now, handover.Pulled{Call: f.calls, Pull: client.Pull(1)}) {
			if w, ok := a.(handover.Write); ok {
				lost = w
			}
		}
		Expect(lost.Nonce).NotTo(BeEmpty())
		kv.value = lost.Value
		kv.revision++
		f.step(handover.WriteDone{Nonce: lost.Nonce, Result: handover.WriteIndeterminate})
		f.advance(2 * time.Second)
		Expect(f.owner.Counters().Recordings).To(BeNumerically("==", 2))
	})

	It("refuses a trainer that resumes from a state abandoned by an earlier restart", func() {
		// The trainer restarted from its first position and got the lots after it anew. A
		// position that it reached before that restart includes lots that it no longer holds.
		f := newFeed(kv, 1)
		f.completeAll(1)
		start := client.Position()
		f.next(client)
		f.next(client)
		f.completeAll(1)
		f.next(client)
		f.next(client)
		abandoned := client.Position()
		restarted := handover.NewClient(start, 2)
		for range 4 {
			f.completeAll(1)
			f.next(restarted)
		}
		_, reason := f.pull(handover.NewClient(abandoned, 2), 1)
		Expect(reason).To(Equal(handover.TooOld))
	})

	It("needs no spare sample of a complete group", func() {
		// Two of the three samples of a group are complete, and two are handed over. The third
		// must neither be generated nor be handed over.
		config.Shape.Spare = 1
		defer func() { config.Shape.Spare = 0 }()
		f := newFeed(kv, 1)
		f.complete(1, sample.ID{Group: 0, Index: 1}, sample.ID{Group: 0, Index: 2})
		Expect(f.owner.Wanted(0)).To(HaveLen(3), "the other group only")
		Expect(f.next(client)).To(Equal([]string{"d/f/0/0/1", "d/f/0/0/2"}))
		f.complete(1, sample.ID{Group: 0, Index: 0}, sample.ID{Group: 1, Index: 0}, sample.ID{Group: 1, Index: 1})
		Expect(f.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
		Expect(f.owner.FirstStep()).To(BeNumerically("==", 0), "the step ends with the pull that carries its last lot")
		f.pull(client, 1)
		Expect(f.owner.FirstStep()).To(BeNumerically("==", 1))
	})
})
