package batch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("the admission of jobs by their owner", func() {
	const memory, limit = 6000, 1000
	var a *batch.Admission
	var now time.Time

	BeforeEach(func() { a, now = batch.NewAdmission(memory), time.Unix(1000, 0) })

	// Guards against submissions that are admitted at the same moment, before any of them is owned.
	It("counts jobs that were admitted and are not owned yet", func() {
		for i := range 10 {
			Expect(a.Admit(now, 0, fmt.Sprint(i), limit/4)).To(Equal(i < 4), "job %d", i)
		}
	})

	It("counts a job once, and not for longer than its submission takes if it is not accepted", func() {
		Expect(a.Admit(now, 0, "a", limit)).To(BeTrue())
		Expect(a.Admit(now, 0, "a", limit)).To(BeTrue(), "the same job again")
		Expect(a.Admit(now, 0, "b", 1)).To(BeFalse())
		a.Adopted("a")
		Expect(a.Admit(now, limit-1, "b", 1)).To(BeTrue())
		Expect(a.Admit(now, limit-1, "c", 1)).To(BeFalse())
		Expect(a.Admit(now.Add(time.Minute), limit-1, "c", 1)).To(BeTrue(), "b was not accepted")
	})

	// Guards against a job that is refused although nothing else is held.
	It("admits a job of any size if there is no other, and any number without a limit", func() {
		Expect(a.Admit(now, 0, "large", 100*limit)).To(BeTrue())
		unbounded := batch.NewAdmission(0)
		for i := range 10 {
			Expect(unbounded.Admit(now, 1<<40, fmt.Sprint(i), 1<<40)).To(BeTrue())
		}
	})
})
