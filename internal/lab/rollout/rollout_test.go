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
	RunSpecs(t, "lab/rollout")
}

const scheduleCount = 400

// run runs the tested schedules without the given safeguards.
func run(disabled rollout.DisabledSafeguards) (rollout.Violations, rollout.FaultCounts) {
	return rollout.RunSchedules(scheduleCount, disabled)
}

var _ = Describe("Schedules of faults", func() {
	It("have no violations while owners crash and pause, trainers restart and the service has outages", func() {
		violations, faults := run(rollout.DisabledSafeguards{})
		Expect(violations).To(Equal(rollout.Violations{}))
		Expect(faults.Crashes).To(BeNumerically(">", scheduleCount))
		Expect(faults.Pauses).To(BeNumerically(">", scheduleCount))
		Expect(faults.Restarts).To(BeNumerically(">", scheduleCount))
		Expect(faults.Outages).To(BeNumerically(">", scheduleCount))
		Expect(faults.DiscardedSamples).To(BeNumerically(">", scheduleCount))
	})

	// Each of the following specs disables one safeguard and shows that the checks detect
	// the violations that follow.
	It("detect duplicates if pulls omit samples of unrecorded lots", func() {
		// The trainer holds a lot that its owner did not record before it crashed. The
		// successor does not know of it and hands its samples over again.
		violations, _ := run(rollout.DisabledSafeguards{RewritePull: func(p handover.Pull) handover.Pull {
			for i := range p.Unrecorded {
				p.Unrecorded[i].IDs = p.Unrecorded[i].IDs[:1]
			}
			return p
		}})
		Expect(violations.Duplicates).To(BeNumerically(">", 0))
	})

	It("detect duplicates if the trainer accepts a second answer for a cursor", func() {
		// The answer of a former owner arrives after its successor's, and the trainer
		// accepts both.
		violations, _ := run(rollout.DisabledSafeguards{RewriteAnswer: func(at handover.Position, a handover.Answer) handover.Answer {
			if len(a.Samples) > 0 && a.Cursor <= at.Cursor {
				a.Cursor = at.Cursor + 1
			}
			return a
		}})
		Expect(violations.Duplicates).To(BeNumerically(">", 0))
	})

	It("detect labels without the segment after a weight swap", func() {
		violations, _ := run(rollout.DisabledSafeguards{DropLastSegment: true})
		Expect(violations.Mislabeled).To(BeNumerically(">", 0))
	})

	It("have no violations while the shape of the steps changes", func() {
		violations, faults := rollout.RunShapeSchedules(scheduleCount, rollout.DisabledSafeguards{})
		Expect(violations).To(Equal(rollout.Violations{}))
		Expect(faults.ShapeChanges).To(BeNumerically(">", scheduleCount))
		Expect(faults.ReshapedSteps).To(BeNumerically(">", scheduleCount/2))
	})

	It("detect lost samples if pulls omit the shape in which a lot was served", func() {
		// A paused owner serves a step in the old shape. Its successor counts the lot
		// against the new shape and waits for samples that are not part of the step.
		violations, _ := rollout.RunShapeSchedules(scheduleCount, rollout.DisabledSafeguards{RewritePull: func(p handover.Pull) handover.Pull {
			p.Token, _, _ = strings.Cut(p.Token, "+")
			return p
		}})
		Expect(violations.Lost).To(BeNumerically(">", 0))
	})

	It("detect samples that a pull reports although the trainer does not hold them", func() {
		// An owner does not hand over samples that the pull reports as held.
		violations, _ := run(rollout.DisabledSafeguards{RewriteAnswer: func(_ handover.Position, a handover.Answer) handover.Answer {
			if n := len(a.Samples); n > 1 {
				a.Samples[n-1].ID = a.Samples[0].ID
			}
			return a
		}})
		Expect(violations.Lost + violations.Duplicates).To(BeNumerically(">", 0))
	})
})
