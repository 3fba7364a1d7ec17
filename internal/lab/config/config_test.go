package config

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/duties"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lab/config")
}

// Each spec that disables a safeguard shows that the checks detect the violations that
// follow.
var _ = Describe("Schedules of faults", func() {
	It("have no violations", func() {
		results := runSchedules(1, 300, noSafeguard)
		Expect(results.schedules).To(Equal(300))
		Expect(results.accepted).To(BeNumerically(">", 300))
		Expect(results.reverts + results.torn + results.lostAccepts + results.falseRefusals + results.auditMissing).To(BeZero())
	})

	// Messages overtake each other, so an older snapshot arrives after a newer one. A
	// process that applies whatever arrives returns to the older revision.
	It("detect a revert if processes do not compare revisions", func() {
		Expect(runSchedules(1, 300, processRevisionCheck).reverts).To(BeNumerically(">", 0))
	})

	// Two operators make changes concurrently. A service that writes whatever the expected
	// revision overwrites a change that was reported to the first operator as accepted.
	It("detect a lost change if writes do not compare revisions", func() {
		Expect(runSchedules(1, 300, serviceRevisionCheck).lostAccepts).To(BeNumerically(">", 0))
	})

	// The write takes effect and its answer is lost. A process that treats the write as
	// failed tells the operator that the change was not accepted.
	It("detect a false refusal if an indeterminate write is treated as failed", func() {
		Expect(runSchedules(1, 300, indeterminateWrites).falseRefusals).To(BeNumerically(">", 0))
	})

	// A request is not answered while its write is in transit. Its repeat at another entry
	// fails before it sends a write. Then the first write arrives.
	It("detect a false refusal if a failed repeat ends the change", func() {
		Expect(runSchedules(1, 300, unknownAfterRepeat).falseRefusals).To(BeNumerically(">", 0))
	})

	// The write of a batch of refused changes takes effect and its answer is lost. An entry
	// that does not look for the mark of the batch adds the changes again.
	It("detect refused changes that are recorded twice if the mark of a batch is not checked", func() {
		Expect(runSchedules(1, 300, markCheck).auditMissing).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Schedules of duties", func() {
	It("have no violations", func() {
		results := runDutySchedules(100, noDutySafeguard)
		Expect(results.acts).To(BeNumerically(">", 10000))
		Expect(results.twoEffective + results.overlaps + results.unheld).To(BeZero())
	})

	// A holder is paused between checking its lease and acting, so that its act arrives
	// after its successor's. Only the comparison of epochs at the receiver prevents it.
	It("detect a late act if receivers do not compare epochs", func() {
		Expect(runDutySchedules(100, epochCheck).twoEffective).To(BeNumerically(">", 0))
	})

	It("detect overlapping leases if a lease starts after its write was sent", func() {
		Expect(runDutySchedules(100, leaseFromSend).overlaps).To(BeNumerically(">", 0))
	})
})

var _ = Describe("The loss of a failure domain", func() {
	// The entries of the domain are down, but the member list still contains them. Their
	// duties must get holders in other domains and must not return to the domain.
	It("leaves no duty without a holder for long", func() {
		f := newFleet(3, 30, 30)
		f.startAll()
		f.Run(warmUpTime, never)
		for _, n := range f.nodes {
			if n.self.Domain == "0" {
				n.stop()
			}
		}
		f.Run(domainDownTime+f.between(0, 20*time.Second), never)
		held := map[string]bool{}
		for _, n := range f.entries {
			for _, name := range f.dutyNames {
				if n.up && n.keeper.LeaseState(f.Now(), name) == duties.Holder {
					held[name] = true
				}
			}
		}
		Expect(held).To(HaveLen(referenceDuties))
	})
})
