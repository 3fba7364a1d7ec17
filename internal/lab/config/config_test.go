package config

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/duties"
)

func TestConfigLab(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config lab")
}

var _ = Describe("the judge of schedules", func() {
	It("finds nothing wrong with the product", func() {
		v := runSchedules(1, 300, none)
		Expect(v.schedules).To(Equal(300))
		Expect(v.accepted).To(BeNumerically(">", 300))
		Expect(v.reverts + v.torn + v.lostAccepts + v.falseRefusals + v.auditMissing).To(BeZero())
	})

	// Messages overtake each other: an older snapshot arrives after a newer one.
	// A process that puts in force whatever arrives goes back.
	It("finds the revert of a process that does not compare revisions", func() {
		Expect(runSchedules(1, 300, applyAny).reverts).To(BeNumerically(">", 0))
	})

	// Two operators race. A service that swaps whatever the revision lets the
	// second overwrite what the first was told is accepted.
	It("finds the accepted change that a blind write overwrites", func() {
		Expect(runSchedules(1, 300, uncheckedCAS).lostAccepts).To(BeNumerically(">", 0))
	})

	// The write takes effect and its answer is lost; a host that calls this a
	// failure tells the operator that the change was not accepted.
	It("finds the refusal of a change that took effect", func() {
		Expect(runSchedules(1, 300, unclearFails).falseRefusals).To(BeNumerically(">", 0))
	})

	// A first try is not answered while its write is on its way; the repeat at
	// another entry fails before it sends anything. Then the write arrives.
	It("finds the refusal told after a repeat that failed", func() {
		Expect(runSchedules(1, 300, trustRepeats).falseRefusals).To(BeNumerically(">", 0))
	})

	// The write of a batch of refused changes takes effect and its answer is
	// lost; an entry that does not look for its mark adds them a second time.
	It("finds the refused changes that are told twice", func() {
		Expect(runSchedules(1, 300, forgetMarks).auditMissing).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the judge of duties", func() {
	It("finds nothing wrong with the product", func() {
		v := runDutySchedules(100, dutiesWhole)
		Expect(v.acts).To(BeNumerically(">", 10000))
		Expect(v.twoEffective + v.overlaps + v.unheld).To(BeZero())
	})

	// A holder is paused between its look at the lease and its act, which
	// arrives after its successor's. Only the receiver's epoch can stop it.
	It("finds the late act that a receiver without epochs lets pass", func() {
		Expect(runDutySchedules(100, noFence).twoEffective).To(BeNumerically(">", 0))
	})

	It("finds the overlap of leases that are counted too long", func() {
		Expect(runDutySchedules(100, longLease).overlaps).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a failure domain's loss", func() {
	// The domain's entries are gone and the list still names them. Its duties
	// find holders elsewhere and are not handed back to the dead.
	It("leaves no duty without a holder for long", func() {
		f := newFleet(3, 30, 30)
		f.startAll()
		f.Run(warmUp, never)
		for _, n := range f.nodes {
			if n.self.Domain == "0" {
				n.stop()
			}
		}
		f.Run(domainAway+f.between(0, 20*time.Second), never)
		held := map[string]bool{}
		for _, n := range f.entries {
			for _, name := range f.names {
				if n.up && n.keeper.LeaseState(f.Now(), name) == duties.Holder {
					held[name] = true
				}
			}
		}
		Expect(held).To(HaveLen(fleetDuties))
	})
})
