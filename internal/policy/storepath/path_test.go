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

var _ = Describe("the peers that follow the store", func() {
	start := time.Unix(1000, 0)

	It("are not asked for a moment when they do not hear from it, and then again", func() {
		p := &storepath.Path{}
		p.PeersCutOff(start)
		Expect(p.MayRelay(start.Add(100 * time.Millisecond))).To(BeFalse())
		Expect(p.MayRelay(start.Add(time.Second))).To(BeTrue(), "only they may be cut off, and this process too")
	})

	It("do not end a relay that works", func() {
		p := &storepath.Path{}
		p.RelayServed(start, start)
		p.PeersCutOff(start)
		Expect(p.MayRelay(start)).To(BeTrue())
	})

	It("leave nobody who reaches it, until they or this process hear from it", func() {
		p := &storepath.Path{}
		Expect(p.Unreachable()).To(BeFalse())
		p.DirectFailed(start)
		Expect(p.Unreachable()).To(BeFalse(), "others may reach it")
		p.PeersCutOff(start)
		Expect(p.Unreachable()).To(BeTrue())
		p.PeersServed()
		Expect(p.Unreachable()).To(BeFalse())
		p.PeersCutOff(start)
		p.RelayServed(start.Add(time.Second), start)
		Expect(p.Unreachable()).To(BeFalse())
		p.PeersCutOff(start)
		p.DirectServed(start.Add(2 * time.Second))
		Expect(p.Unreachable()).To(BeFalse())
	})
})

var _ = Describe("the way to the store", func() {
	It("leaves the direct path once another process reached the store, and returns at its first answer", func() {
		// What callers see: one process is cut off from the store. It asks another
		// one, whose answer shows that the cut is its own; from then on others are
		// asked first, until the direct path answers again.
		var p storepath.Path
		Expect(p.RelayFirst(start)).To(BeFalse())
		Expect(p.RelayServed(after(400), start)).To(BeTrue())
		Expect(p.RelayServed(after(400), start)).To(BeFalse(), "it left already")
		Expect(p.RelayFirst(after(500))).To(BeTrue())
		Expect(p.DirectServed(after(1500))).To(BeTrue())
		Expect(p.RelayFirst(after(1600))).To(BeFalse())
	})

	It("learns nothing from calls that began before one that was answered", func() {
		// What happens: after an outage calls end one by one that were lost in it.
		// Taken for new failures, each of them sent the process away from a way that
		// worked again, several times a second.
		var p storepath.Path
		p.DirectServed(after(1000))
		for range 3 {
			p.DirectFailed(after(900))
		}
		Expect(p.RelayFirst(after(1100))).To(BeFalse())
		Expect(p.RelayServed(after(1100), after(900))).To(BeFalse())
		Expect(p.Relaying()).To(BeFalse())
	})

	It("asks others first after two answers in a row stayed out, not after one", func() {
		var p storepath.Path
		p.DirectFailed(start)
		Expect(p.RelayFirst(start)).To(BeFalse(), "a store that loses single answers is no cut")
		p.DirectFailed(start)
		Expect(p.RelayFirst(start)).To(BeTrue())
	})

	It("knows the store to be down when others failed as well, until a call is answered", func() {
		var p storepath.Path
		p.DirectFailed(start)
		p.DirectFailed(start)
		Expect(p.Down(start)).To(BeFalse(), "others may reach it")
		p.RelaysFailed(start)
		Expect(p.Down(after(100))).To(BeTrue())
		Expect(p.DirectServed(after(200))).To(BeTrue())
		Expect(p.Down(after(250))).To(BeFalse())
	})

	It("adds few calls while the store itself is down", func() {
		// What happens: the store is down for eight seconds and every process calls
		// it ten times a second. Asking others as well must not double the calls.
		var p storepath.Path
		asked := 0
		for ms := 0; ms < 8000; ms += 100 {
			p.DirectFailed(after(ms))
			if p.MayRelay(after(ms)) {
				asked++
				p.RelaysFailed(after(ms))
			}
		}
		Expect(asked).To(BeNumerically("<=", 5), "of 80 calls")
		Expect(p.Relaying()).To(BeFalse())
	})

	It("tries its direct path once a second while it is away", func() {
		var p storepath.Path
		p.RelayServed(start, start)
		looks := 0
		for ms := 0; ms < 5000; ms += 50 {
			if p.ProbeDue(after(ms)) {
				looks++
			}
		}
		Expect(looks).To(Equal(4))
	})
})
