package handover_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

var _ = Describe("a declared change of shape", func() {
	var kv *fakeStore
	var client *handover.Client
	newConfig := config
	newConfig.Shape = sample.Shape{Groups: 3, Size: 2}
	declare := func(f *feed) { f.step(handover.Configured{Config: newConfig}) }

	// step pulls lots until a step is complete and returns the names of its samples.
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
		kv = &fakeStore{}
		client = handover.NewClient(handover.Position{}, 2)
	})

	It("takes effect at the start of the next step and remains in force under a successor", func() {
		// The owner dies within the first step of the new shape. Its successor does not know the
		// declaration but finds the change in the manifest. The step after that has the shape
		// that the successor's own configuration declares.
		f := newFeed(kv, 1)
		f.completeAll(1)
		f.next(client)
		declare(f)
		f.advance(config.RetryInterval)
		Expect(f.next(client)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}), "the current step keeps its shape")
		f.completeAll(1)
		Expect(f.next(client)).To(HaveLen(2))
		successor := newFeed(kv, 2)
		Expect(step(successor)).To(HaveLen(4))
		Expect(step(successor)).To(HaveLen(4), "two groups of two")
	})

	It("is not in force before it is recorded", func() {
		// The service is unavailable when the change is declared. If the owner began the next
		// step with the new shape and died, no record of the change would exist.
		f := newFeed(kv, 1)
		kv.unavailable = true
		declare(f)
		Expect(step(f)).To(HaveLen(4))
		Expect(step(f)).To(HaveLen(4))
		f.completeAll(1)
		f.next(client)
		kv.unavailable = false
		f.advance(config.RetryInterval)
		Expect(step(f)).To(HaveLen(2), "the rest of the current step")
		Expect(step(f)).To(HaveLen(6))
	})

	It("yields to a step that a paused owner has begun with the old shape", func() {
		// The successor records the change for step 1. The old owner does not know of it,
		// resumes, and sends the first lot of step 1 in the old shape. The successor learns this
		// from the trainer's token and finishes the step in the old shape. With the new shape it
		// would wait for a third group.
		old := newFeed(kv, 1)
		Expect(step(old)).To(HaveLen(4))
		successor := newFeed(kv, 2)
		declare(successor)
		old.completeAll(1)
		Expect(old.next(client)).To(Equal([]string{"d/f/1/0/0", "d/f/1/0/1"}))
		Expect(old.deposed).To(BeTrue(), "its write conflicts with the successor's")
		Expect(step(successor)).To(Equal([]string{"d/f/1/1/0", "d/f/1/1/1"}))
		Expect(step(successor)).To(HaveLen(6))
	})

	It("applies to a trainer that resumes from before it", func() {
		// The trainer restarts from its state in step 0, whose lots have the old shape. That
		// step is finished in the old shape, and the next one has the new shape.
		f := newFeed(kv, 1)
		f.completeAll(1)
		f.next(client)
		position := client.Position()
		declare(f)
		f.advance(config.RetryInterval)
		f.next(client)
		Expect(step(f)).To(HaveLen(6))
		client = handover.NewClient(position, 2)
		Expect(step(f)).To(Equal([]string{"d/f/0/1/0", "d/f/0/1/1"}))
		Expect(step(f)).To(HaveLen(6))
	})
})
