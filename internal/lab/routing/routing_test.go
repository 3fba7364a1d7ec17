package routing

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing lab")
}

var _ = Describe("the model", func() {
	It("gives the same result on every run", func() {
		Expect(goodputUnder(false, 1.5)).To(Equal(goodputUnder(false, 1.5)))
	})

	It("answers every request exactly once", func() {
		f := newFleet(false, admissionDefaults(), 7)
		t := f.startStream(stream{principal: agency("b", "a"), class: "lookup", perSecond: 2 * capacity, deadline: lookupDeadline}, 5*time.Second)
		f.clock.run(time.Minute)
		Expect(t.onTime + t.late + t.notRun).To(Equal(t.sent))
	})
})
