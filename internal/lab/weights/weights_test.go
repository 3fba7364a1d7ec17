package weights_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/lab/weights"
)

func TestWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lab/weights")
}

// sumViolations adds up the violations of the schedules with seeds in [from, to).
func sumViolations(from, to uint64, disabled weights.DisabledSafeguards) weights.Violations {
	var sum weights.Violations
	for seed := from; seed < to; seed++ {
		violations, _ := weights.RunSchedule(seed, disabled)
		sum.Reverts += violations.Reverts
		sum.TwoEffective += violations.TwoEffective
		sum.FloorBreaks += violations.FloorBreaks
	}
	return sum
}

// If a safeguard is disabled, an engine that ignores fencing tokens returns to an
// older version, or more engines load at once than the capacity floor permits. These
// specs show that the checks detect it. With all safeguards the same seeds have no
// violations.
var _ = Describe("a schedule of faults", func() {
	It("detects a revert if agents pass every load to the engine", func() {
		Expect(sumViolations(100, 200, weights.DisabledSafeguards{OrderFilter: true}).Reverts).To(BeNumerically(">", 0))
		Expect(sumViolations(100, 200, weights.DisabledSafeguards{})).To(Equal(weights.Violations{}))
	})

	It("detects a violation of the capacity floor if a new agent does not wait", func() {
		Expect(sumViolations(1, 100, weights.DisabledSafeguards{StartupWait: true}).FloorBreaks).To(BeNumerically(">", 0))
		Expect(sumViolations(1, 100, weights.DisabledSafeguards{})).To(Equal(weights.Violations{}))
	})

	It("detects a revert if a resumed agent accepts an old order", func() {
		Expect(sumViolations(100, 200, weights.DisabledSafeguards{TargetAge: true}).Reverts).To(BeNumerically(">", 0))
	})

	It("detects a violation of the capacity floor if a lost load may still begin", func() {
		Expect(sumViolations(2450, 2550, weights.DisabledSafeguards{StatusInvalidation: true}).FloorBreaks).To(BeNumerically(">", 0))
		Expect(sumViolations(2450, 2550, weights.DisabledSafeguards{})).To(Equal(weights.Violations{}))
	})
})

var _ = Describe("a schedule of faults with roles", func() {
	// Operators change the roles while versions change and owners fail. Without the
	// agents' order filter, an engine obeys a paused owner after its successor.
	It("has no violations, but two effective owners without the order filter", func() {
		for _, seed := range []uint64{429, 512, 546, 551, 627} {
			violations, _ := weights.RunRoleSchedule(seed, weights.DisabledSafeguards{OrderFilter: true})
			Expect(violations.TwoEffective).To(BeNumerically(">", 0))
			violations, faults := weights.RunRoleSchedule(seed, weights.DisabledSafeguards{})
			Expect(violations).To(Equal(weights.Violations{}))
			Expect(faults.RoleChanges).To(BeNumerically(">", 1))
		}
	})
})

var _ = Describe("a fleet", func() {
	It("keeps its capacity floor while all engines load", func() {
		fleet := weights.ReferenceFleet()
		fleet.Engines, fleet.Domains, fleet.LoadFailureRate = 40, 3, 0.2
		result := fleet.Run()
		Expect(result.Done).To(BeTrue())
		Expect(result.MinServingShare).To(BeNumerically(">=", fleet.CapacityFloor))
	})
})
