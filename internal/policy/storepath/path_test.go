package storepath_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/storepath"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storepath policy")
}

var start = time.Unix(1000, 0)

var _ = Describe("the way to the store", func() {
	It("leaves the own way once another process reached the store, and returns at its first answer", func() {
		// What callers see: one process is cut off from the store. It asks another
		// one, whose answer shows that the cut is its own; from then on others are
		// asked first, until the own way answers again.
		var p storepath.Path
		Expect(p.OthersFirst(start)).To(BeFalse())
		Expect(p.OthersServed(start, true)).To(BeTrue())
		Expect(p.OthersServed(start, true)).To(BeFalse(), "it left already")
		Expect(p.OthersFirst(start)).To(BeTrue())
		Expect(p.Served()).To(BeTrue())
		Expect(p.OthersFirst(start)).To(BeFalse())
		Expect(p.OthersServed(start, false)).To(BeFalse(), "the answer to a call from before the return")
		Expect(p.Away()).To(BeFalse())
	})

	It("asks others first after two answers in a row stayed out, not after one", func() {
		var p storepath.Path
		p.Failed()
		Expect(p.OthersFirst(start)).To(BeFalse(), "a store that loses single answers is no cut")
		p.Failed()
		Expect(p.OthersFirst(start)).To(BeTrue())
	})

	It("adds few calls while the store itself is down", func() {
		// What happens: the store is down for eight seconds and every process calls
		// it ten times a second. Asking others as well must not double the calls.
		var p storepath.Path
		asked := 0
		for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(100 * time.Millisecond) {
			p.Failed()
			if p.MayAsk(now) {
				asked++
				p.OthersFailed(now)
			}
		}
		Expect(asked).To(BeNumerically("<=", 5), "of 80 calls")
		Expect(p.Away()).To(BeFalse())
	})

	It("tries its own way once a second while it is away", func() {
		var p storepath.Path
		p.OthersServed(start, true)
		looks := 0
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
			if p.Look(now) {
				looks++
			}
		}
		Expect(looks).To(Equal(4))
	})
})
