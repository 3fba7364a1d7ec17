package handover_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

var _ = Describe("A declared change of shape", func() {
	var kv *record
	var client *handover.Client
	wide := config
	wide.Shape = sample.Shape{Groups: 3, Size: 2}
	declare := func(f *feed) { f.step(handover.Configured{Config: wide}) }

	// step takes lots until a step is whole and returns its samples.
	step := func(f *feed) []string {
		var names []string
		for range 10 {
			f.completeAll(1)
			a, reason := f.pull(client, 1)
			Expect(reason).To(Equal(handover.None))
			for _, s := range client.HandleAnswer(*a, 1) {
				names = append(names, s.ID.Name("d", "f"))
			}
			if a.StepComplete {
				break
			}
		}
		return names
	}

	BeforeEach(func() {
		kv = &record{}
		client = handover.NewClient(handover.Position{}, 2)
	})

	It("takes effect at the next step's start, and a successor goes on in it", func() {
		// The owner dies within the first step of the new shape. Its successor has
		// not heard of the declaration: the manifest tells it, and only the step
		// after is again of what it knows to be declared.
		f := take(kv, 1)
		f.completeAll(1)
		f.next(client)
		declare(f)
		f.pass(config.RetryInterval)
		Expect(f.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}), "the step that has begun keeps its shape")
		f.completeAll(1)
		Expect(f.next(client)).To(HaveLen(2))
		successor := take(kv, 2)
		Expect(step(successor)).To(HaveLen(4))
		Expect(step(successor)).To(HaveLen(4), "two groups of two")
	})

	It("is not in force before it is recorded", func() {
		// The service is away when the change is declared. An owner that began the
		// next step in the new shape and died would leave no word of it.
		f := take(kv, 1)
		kv.away = true
		declare(f)
		Expect(step(f)).To(HaveLen(4))
		Expect(step(f)).To(HaveLen(4))
		f.completeAll(1)
		f.next(client)
		kv.away = false
		f.pass(config.RetryInterval)
		Expect(step(f)).To(HaveLen(2), "the rest of the step under way")
		Expect(step(f)).To(HaveLen(6))
	})

	It("yields to what a paused owner served of its step", func() {
		// The successor records the change for step 1. The old owner, which has
		// not read of it, wakes and serves the first lot of step 1 in the old
		// shape. The trainer's token tells the successor, which finishes the step
		// as it was begun; in the new shape it would wait for a third group.
		old := take(kv, 1)
		Expect(step(old)).To(HaveLen(4))
		successor := take(kv, 2)
		declare(successor)
		old.completeAll(1)
		Expect(old.next(client)).To(Equal([]string{"d/f/1/0/0", "d/f/1/0/1"}))
		Expect(old.ended).To(BeTrue(), "its write meets the successor's")
		Expect(step(successor)).To(Equal([]string{"d/f/1/1/0", "d/f/1/1/1"}))
		Expect(step(successor)).To(HaveLen(6))
	})

	It("holds for a trainer that goes on from before it", func() {
		// The trainer restarts from its state in step 0, held under the old
		// shape: that step is finished in it, the next one comes in the new one.
		f := take(kv, 1)
		f.completeAll(1)
		f.next(client)
		position := client.Position()
		declare(f)
		f.pass(config.RetryInterval)
		f.next(client)
		Expect(step(f)).To(HaveLen(6))
		client = handover.NewClient(position, 2)
		Expect(step(f)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
		Expect(step(f)).To(HaveLen(6))
	})
})
