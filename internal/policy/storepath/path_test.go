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

// after returns the time ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("the peers that watch the store", func() {
	start := time.Unix(1000, 0)

	It("are not asked for a relay for a while after they were cut off", func() {
		p := &storepath.Path{}
		p.PeersCutOff(start)
		Expect(p.MayRelay(start.Add(100 * time.Millisecond))).To(BeFalse())
		Expect(p.MayRelay(start.Add(time.Second))).To(BeTrue(), "perhaps only they and this process are cut off")
	})

	It("do not stop relaying that works when they are cut off", func() {
		p := &storepath.Path{}
		p.RelayServed(start, start)
		p.PeersCutOff(start)
		Expect(p.MayRelay(start)).To(BeTrue())
	})

	It("make the store unreachable if cut off together with this process, until either reaches it", func() {
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

var _ = Describe("Path", func() {
	It("relays calls once a peer reached the store, and returns to the direct path at its first answer", func() {
		// Only this process is cut off from the store, which the answer of a peer shows.
		// Calls then go through peers first until the direct path works again.
		var p storepath.Path
		Expect(p.RelayFirst(start)).To(BeFalse())
		Expect(p.RelayServed(after(400), start)).To(BeTrue())
		Expect(p.RelayServed(after(400), start)).To(BeFalse(), "calls are already relayed")
		Expect(p.RelayFirst(after(500))).To(BeTrue())
		Expect(p.DirectServed(after(1500))).To(BeTrue())
		Expect(p.RelayFirst(after(1600))).To(BeFalse())
	})

	It("ignores failures of calls that began before an answered call", func() {
		// Regression: calls that were lost in an outage timed out one by one after it and
		// were counted as new failures. Several times a second the process left a direct
		// path that worked again.
		var p storepath.Path
		p.DirectServed(after(1000))
		for range 3 {
			p.DirectFailed(after(900))
		}
		Expect(p.RelayFirst(after(1100))).To(BeFalse())
		Expect(p.RelayServed(after(1100), after(900))).To(BeFalse())
		Expect(p.Relaying()).To(BeFalse())
	})

	It("relays first after two consecutive calls without an answer, not after one", func() {
		var p storepath.Path
		p.DirectFailed(start)
		Expect(p.RelayFirst(start)).To(BeFalse(), "a single lost answer does not mean a broken path")
		p.DirectFailed(start)
		Expect(p.RelayFirst(start)).To(BeTrue())
	})

	It("reports the store as down after peers failed as well, until a call is answered", func() {
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
		// The store is down for eight seconds, and each process calls it ten times a
		// second. Relaying must not double the calls.
		var p storepath.Path
		relayed := 0
		for ms := 0; ms < 8000; ms += 100 {
			p.DirectFailed(after(ms))
			if p.MayRelay(after(ms)) {
				relayed++
				p.RelaysFailed(after(ms))
			}
		}
		Expect(relayed).To(BeNumerically("<=", 5), "of 80 calls")
		Expect(p.Relaying()).To(BeFalse())
	})

	It("probes its direct path once a second while it relays calls", func() {
		var p storepath.Path
		p.RelayServed(start, start)
		probes := 0
		for ms := 0; ms < 5000; ms += 50 {
			if p.ProbeDue(after(ms)) {
				probes++
			}
		}
		Expect(probes).To(Equal(4))
	})
})
