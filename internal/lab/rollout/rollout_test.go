package rollout_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/lab/rollout"
	"siskinloom.example/siskinloom/internal/policy/handover"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lab rollout")
}

const testedSchedules = 400

func play(harm rollout.DisabledSafeguards) (rollout.Violations, rollout.FaultCounts) {
	return rollout.RunSchedules(testedSchedules, harm)
}

var _ = Describe("Seeded schedules of hand-over and labels", func() {
	It("show no sample stale, twice, lost or mislabelled, and do go through the faults", func() {
		bad, seen := play(rollout.DisabledSafeguards{})
		Expect(bad).To(Equal(rollout.Violations{}))
		Expect(seen.Crashes).To(BeNumerically(">", testedSchedules))
		Expect(seen.Pauses).To(BeNumerically(">", testedSchedules))
		Expect(seen.Restarts).To(BeNumerically(">", testedSchedules))
		Expect(seen.Outages).To(BeNumerically(">", testedSchedules))
		Expect(seen.DiscardedSamples).To(BeNumerically(">", testedSchedules))
	})

	// The checker is only worth what it catches: each of these breaks one
	// safeguard and must be seen.
	It("catch duplicates when pulls do not tell the lots that are not recorded", func() {
		// The trainer holds a lot that its owner did not record before it died;
		// the successor does not learn of it and gives its samples again.
		bad, _ := play(rollout.DisabledSafeguards{RewritePull: func(p handover.Pull) handover.Pull {
			for i := range p.Unrecorded {
				p.Unrecorded[i].IDs = p.Unrecorded[i].IDs[:1]
			}
			return p
		}})
		Expect(bad.Duplicates).To(BeNumerically(">", 0))
	})

	It("catch a trainer that takes a second answer for a cursor", func() {
		// An old owner's answer comes after the successor's; both are taken.
		bad, _ := play(rollout.DisabledSafeguards{RewriteAnswer: func(at handover.Position, a handover.Answer) handover.Answer {
			if len(a.Samples) > 0 && a.Cursor <= at.Cursor {
				a.Cursor = at.Cursor + 1
			}
			return a
		}})
		Expect(bad.Duplicates).To(BeNumerically(">", 0))
	})

	It("catch labels that leave out what a swap changed", func() {
		bad, _ := play(rollout.DisabledSafeguards{DropLastSegment: true})
		Expect(bad.Mislabeled).To(BeNumerically(">", 0))
	})

	It("show none stale, twice, lost or mislabelled while the shape of the steps changes", func() {
		bad, seen := rollout.RunShapeSchedules(testedSchedules, rollout.DisabledSafeguards{})
		Expect(bad).To(Equal(rollout.Violations{}))
		Expect(seen.ShapeChanges).To(BeNumerically(">", testedSchedules))
		Expect(seen.ReshapedSteps).To(BeNumerically(">", testedSchedules/2))
	})

	It("catch pulls that do not tell the shape in which a lot was served", func() {
		// A paused owner serves a step in the old shape; its successor counts the
		// lot against the new one and waits for samples that are no part of it.
		bad, _ := rollout.RunShapeSchedules(testedSchedules, rollout.DisabledSafeguards{RewritePull: func(p handover.Pull) handover.Pull {
			p.Token, _, _ = strings.Cut(p.Token, "+")
			return p
		}})
		Expect(bad.Lost).To(BeNumerically(">", 0))
	})

	It("catch samples that a pull claims without holding them", func() {
		// A pull that tells of a sample more than the trainer holds: nobody
		// would ever give it.
		bad, _ := play(rollout.DisabledSafeguards{RewriteAnswer: func(_ handover.Position, a handover.Answer) handover.Answer {
			if n := len(a.Samples); n > 1 {
				a.Samples[n-1].ID = a.Samples[0].ID
			}
			return a
		}})
		Expect(bad.Lost + bad.Duplicates).To(BeNumerically(">", 0))
	})
})
