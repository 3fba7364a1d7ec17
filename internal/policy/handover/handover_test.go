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

// record is the feed's manifest in a key-value service that can be away.
type record struct {
	value    []byte
	revision int64
	away     bool
}

// feed is an owner with its service and the answers it gave last.
type feed struct {
	kv     *record
	owner  *handover.Owner
	now    time.Time
	calls  uint64
	answer *handover.Answer
	reason handover.Refusal
	ended  bool
}

var config = handover.Config{
	Shape:         sample.Shape{Groups: 2, Size: 2},
	LotSize:       2,
	Limits:        sample.Limits{MaxVersionLag: 2},
	RetryInterval: time.Second,
}

func take(kv *record, epoch int64) *feed {
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
			f.ended = true
		}
	}
}

func (f *feed) read() {
	if f.kv.away {
		f.step(handover.ReadFailed{})
		return
	}
	f.step(handover.ReadDone{Value: f.kv.value, Revision: f.kv.revision})
}

func (f *feed) write(w handover.Write) {
	switch {
	case f.kv.away:
		f.step(handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteNotApplied})
	case f.kv.revision != w.Expected:
		f.step(handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteConflict, Value: f.kv.value, Revision: f.kv.revision})
	default:
		f.kv.value = w.Value
		f.kv.revision++
		f.step(handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteApplied, Revision: f.kv.revision})
	}
}

// pass lets time pass.
func (f *feed) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.step(handover.Tick{})
}

func (f *feed) complete(version int64, ids ...sample.ID) {
	for _, id := range ids {
		segments := []wire.Segment{{Version: version, From: 0, To: 1}}
		f.step(handover.Completed{Sample: sample.Sample{ID: id, Segments: segments, FirstTokenAt: f.now}})
	}
}

func (f *feed) completeAll(version int64) {
	for step := f.owner.FirstStep(); step < f.owner.FirstStep()+2; step++ {
		f.complete(version, f.owner.Wanted(step)...)
	}
}

// pull sends a client's pull and returns the answer or why there is none.
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

// next pulls and takes one lot.
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
	var kv *record
	var client *handover.Client
	BeforeEach(func() {
		kv = &record{}
		client = handover.NewClient(handover.Position{}, 2)
	})

	It("hands every sample of a step over once and goes on with the next step", func() {
		f := take(kv, 1)
		f.completeAll(1)
		Expect(f.next(client)).To(Equal([]string{"d/f/0/0/0", "d/f/0/0/1"}))
		Expect(f.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
		Expect(f.next(client)).To(Equal([]string{"d/f/1/0/0", "d/f/1/0/1"}))
		f.next(client)
		Expect(len(client.Position().Unrecorded)).To(BeNumerically("<=", 2), "the trainer may forget what is recorded")
	})

	It("gives the same lot for the same cursor", func() {
		f := take(kv, 1)
		f.completeAll(1)
		first, _ := f.pull(client, 1)
		f.complete(1, sample.ID{Step: 0, Group: 1})
		second, _ := f.pull(client, 1)
		Expect(second.Samples).To(Equal(first.Samples))
	})

	It("checks staleness at the moment of handing over, also when it gives a lot again", func() {
		// The first answer is lost while the trainer goes on to version 4. The
		// same lot again would be three versions old, so its samples are dropped
		// and generated anew under the same ids.
		f := take(kv, 1)
		f.completeAll(1)
		f.pull(client, 1)
		a, _ := f.pull(client, 4)
		Expect(a.Samples).To(BeEmpty())
		Expect(f.owner.Wanted(0)).To(HaveLen(4))
		f.completeAll(4)
		a, _ = f.pull(client, 4)
		Expect(a.Samples).To(HaveLen(2))
	})

	It("drops samples past the age that the feed declares", func() {
		config.Limits.MaxAge = time.Minute
		defer func() { config.Limits.MaxAge = 0 }()
		f := take(kv, 1)
		f.completeAll(1)
		f.pass(2 * time.Minute)
		a, _ := f.pull(client, 1)
		Expect(a.Samples).To(BeEmpty())
	})

	It("goes on handing over through an outage of the key-value service", func() {
		// The service is away for ten minutes. Nothing is recorded, the trainer
		// carries what it holds, and every pull is answered. After the outage
		// one write records it all.
		f := take(kv, 1)
		f.completeAll(1)
		f.next(client)
		kv.away = true
		for range 10 {
			f.completeAll(1)
			Expect(f.next(client)).To(HaveLen(2))
			f.pass(time.Minute)
		}
		Expect(len(client.Position().Unrecorded)).To(BeNumerically(">=", 10))
		kv.away = false
		f.pass(time.Minute)
		f.completeAll(1)
		f.next(client)
		f.next(client)
		Expect(len(client.Position().Unrecorded)).To(BeNumerically("<=", 2))
	})

	It("learns from the pull what a dead predecessor served and did not record", func() {
		// The owner answers and dies before the write. Its successor's manifest
		// is empty; without the pull's list it would give the lot again.
		f := take(kv, 1)
		f.completeAll(1)
		kv.away = true
		Expect(f.next(client)).To(HaveLen(2))
		kv.away = false
		g := take(kv, 2)
		g.completeAll(1)
		Expect(g.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
	})

	It("is harmless beside its successor", func() {
		// A paused owner wakes and answers the same cursor as its successor with
		// other samples. The trainer takes one answer; its next pull says which,
		// and either owner goes on from that.
		old := take(kv, 1)
		for range 2 {
			Expect(old.next(client)).To(BeEmpty())
		}
		old.complete(1, sample.ID{Group: 0, Index: 0}, sample.ID{Group: 1, Index: 0})
		successor := take(kv, 2)
		successor.complete(1, sample.ID{Group: 0, Index: 1}, sample.ID{Group: 1, Index: 1})
		late, _ := old.pull(client, 1)
		Expect(successor.next(client)).To(Equal([]string{"d/f/0/0/1", "d/f/0/1/1"}))
		Expect(client.HandleAnswer(*late, 1)).To(BeEmpty(), "the second answer for a cursor")
		Expect(old.next(client)).To(Equal([]string{"d/f/0/0/0", "d/f/0/1/0"}))
		Expect(old.ended).To(BeTrue(), "its first write meets the successor's epoch")
	})

	It("serves nothing when it cannot account for the trainer's cursor", func() {
		// The successor recorded a lot and told the trainer, which forgot it. The
		// paused predecessor does not know what that lot held.
		old := take(kv, 1)
		old.completeAll(1)
		old.next(client)
		old.next(client)
		successor := take(kv, 2)
		successor.completeAll(1)
		for range 3 {
			successor.next(client)
		}
		_, reason := old.pull(client, 1)
		Expect(reason).To(Equal(handover.Unaccounted))
		Expect(old.ended).To(BeTrue())
	})

	It("goes on from a trainer's own last cursor, not from its newest", func() {
		// The trainer keeps its position after one lot, takes two more and dies.
		// Those two died with it and are handed over again.
		f := take(kv, 1)
		f.completeAll(1)
		first := f.next(client)
		kept := client.Position()
		f.next(client)
		f.completeAll(1)
		f.next(client)
		restarted := handover.NewClient(kept, 2)
		opening, _ := f.pull(restarted, 1)
		Expect(opening.Samples).To(BeEmpty(), "what was held is no longer kept")
		restarted.HandleAnswer(*opening, 1)
		f.completeAll(1)
		again := f.next(restarted)
		Expect(again).NotTo(ContainElement(BeElementOf(first)))
		Expect(again).To(HaveLen(2))
		Expect(again[0]).To(HavePrefix("d/f/0/"))
	})

	It("does not go back for a late repeat of a first pull", func() {
		// The first pull is sent twice; the second copy comes when the trainer is
		// three lots further on. It is answered, to nobody, and moves nothing.
		f := take(kv, 1)
		f.completeAll(1)
		late := client.Pull(1)
		for range 3 {
			f.next(client)
		}
		f.send(late)
		f.completeAll(1)
		Expect(f.next(client)).To(Equal([]string{"d/f/1/1/0", "d/f/1/1/1"}))
	})

	It("takes a restart whose last session was never recorded", func() {
		// A paused owner opens a session and ends. The trainer, which keeps the
		// session's token, restarts at a successor that never heard of it. Seen
		// failing: the successor refused the token for good.
		old := take(kv, 1)
		old.completeAll(1)
		kv.away = true
		old.next(client)
		old.next(client)
		kv.away = false
		successor := take(kv, 2)
		successor.completeAll(1)
		restarted := handover.NewClient(client.Position(), 2)
		Expect(successor.next(restarted)).To(Equal([]string{"d/f/1/0/0", "d/f/1/0/1"}))
	})

	It("refuses a session that it opened once a successor has recorded in it", func() {
		// An owner opens a session, is paused, and the successor confirms and
		// records it. The trainer forgets what was recorded and its pull comes
		// back to the paused owner, which knows only what the session before it
		// held at that cursor. Seen failing: it gave a sample twice.
		old := take(kv, 1)
		old.completeAll(1)
		old.next(client)
		kept := client.Position()
		old.next(client)
		old.completeAll(1)
		old.next(client)
		restarted := handover.NewClient(kept, 2)
		opening, _ := old.pull(restarted, 1)
		restarted.HandleAnswer(*opening, 1)
		successor := take(kv, 2)
		successor.completeAll(1)
		successor.next(restarted)
		successor.completeAll(1)
		successor.next(restarted)
		_, reason := old.pull(restarted, 1)
		Expect(reason).To(Equal(handover.NotOwner))
	})

	It("settles a write whose answer was lost by its nonce", func() {
		f := take(kv, 1)
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
		f.pass(2 * time.Second)
		Expect(f.owner.Counters().Recordings).To(BeNumerically("==", 2))
	})

	It("refuses a trainer that goes back to a state given up by an earlier restart", func() {
		f := take(kv, 1)
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

	It("needs no spare sample of a full group", func() {
		config.Shape.Spare = 1
		defer func() { config.Shape.Spare = 0 }()
		f := take(kv, 1)
		f.complete(1, sample.ID{Group: 0, Index: 1}, sample.ID{Group: 0, Index: 2})
		Expect(f.owner.Wanted(0)).To(HaveLen(3), "the other group only")
		Expect(f.next(client)).To(Equal([]string{"d/f/0/0/1", "d/f/0/0/2"}))
		f.complete(1, sample.ID{Group: 0, Index: 0}, sample.ID{Group: 1, Index: 0}, sample.ID{Group: 1, Index: 1})
		Expect(f.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
		Expect(f.owner.FirstStep()).To(BeNumerically("==", 0), "the step ends with the pull that holds its last lot")
		f.pull(client, 1)
		Expect(f.owner.FirstStep()).To(BeNumerically("==", 1))
	})
})
