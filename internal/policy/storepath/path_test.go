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

// after returns the moment so many milliseconds after the start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("the way to the store", func() {
	It("leaves the own way once another process reached the store, and returns at its first answer", func() {
		// What callers see: one process is cut off from the store. It asks another
		// one, whose answer shows that the cut is its own; from then on others are
		// asked first, until the own way answers again.
		var p storepath.Path
		Expect(p.OthersFirst(start)).To(BeFalse())
		Expect(p.OthersServed(after(400), start)).To(BeTrue())
		Expect(p.OthersServed(after(400), start)).To(BeFalse(), "it left already")
		Expect(p.OthersFirst(after(500))).To(BeTrue())
		Expect(p.Served(after(1500))).To(BeTrue())
		Expect(p.OthersFirst(after(1600))).To(BeFalse())
	})

	It("learns nothing from calls that began before one that was answered", func() {
		// What happens: after an outage calls end one by one that were lost in it.
		// Taken for new failures, each of them sent the process away from a way that
		// worked again, several times a second.
		var p storepath.Path
		p.Served(after(1000))
		for range 3 {
			p.Failed(after(900))
		}
		Expect(p.OthersFirst(after(1100))).To(BeFalse())
		Expect(p.OthersServed(after(1100), after(900))).To(BeFalse())
		Expect(p.Away()).To(BeFalse())
	})

	It("asks others first after two answers in a row stayed out, not after one", func() {
		var p storepath.Path
		p.Failed(start)
		Expect(p.OthersFirst(start)).To(BeFalse(), "a store that loses single answers is no cut")
		p.Failed(start)
		Expect(p.OthersFirst(start)).To(BeTrue())
	})

	It("knows the store to be down when others failed as well, until a call is answered", func() {
		var p storepath.Path
		p.Failed(start)
		p.Failed(start)
		Expect(p.Down(start)).To(BeFalse(), "others may reach it")
		p.OthersFailed(start)
		Expect(p.Down(after(100))).To(BeTrue())
		Expect(p.Served(after(200))).To(BeTrue())
		Expect(p.Down(after(250))).To(BeFalse())
	})

	It("adds few calls while the store itself is down", func() {
		// What happens: the store is down for eight seconds and every process calls
		// it ten times a second. Asking others as well must not double the calls.
		var p storepath.Path
		asked := 0
		for ms := 0; ms < 8000; ms += 100 {
			p.Failed(after(ms))
			if p.MayAsk(after(ms)) {
				asked++
				p.OthersFailed(after(ms))
			}
		}
		Expect(asked).To(BeNumerically("<=", 5), "of 80 calls")
		Expect(p.Away()).To(BeFalse())
	})

	It("tries its own way once a second while it is away", func() {
		var p storepath.Path
		p.OthersServed(start, start)
		looks := 0
		for ms := 0; ms < 5000; ms += 50 {
			if p.Look(after(ms)) {
				looks++
			}
		}
		Expect(looks).To(Equal(4))
	})
})
