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

// broken counts what goes wrong over a range of seeds.
func broken(from, to uint64, harm weights.DisabledSafeguards) weights.Violations {
	var sum weights.Violations
	for seed := from; seed < to; seed++ {
		bad, _ := weights.RunSchedule(seed, harm)
		sum.Reverts += bad.Reverts
		sum.TwoEffective += bad.TwoEffective
		sum.FloorBreaks += bad.FloorBreaks
	}
	return sum
}

// Without a safeguard an engine that ignores fencing numbers goes back to an
// older version, or more engines load at once than the floor leaves. These specs
// show that the checks notice; with all safeguards the same seeds are clean.
var _ = Describe("a schedule of faults", func() {
	It("shows a revert when agents pass every load on", func() {
		Expect(broken(100, 200, weights.DisabledSafeguards{OrderFilter: true}).Reverts).To(BeNumerically(">", 0))
		Expect(broken(100, 200, weights.DisabledSafeguards{})).To(Equal(weights.Violations{}))
	})

	It("shows the floor broken when a new agent does not wait", func() {
		Expect(broken(1, 100, weights.DisabledSafeguards{StartupWait: true}).FloorBreaks).To(BeNumerically(">", 0))
		Expect(broken(1, 100, weights.DisabledSafeguards{})).To(Equal(weights.Violations{}))
	})

	It("shows a revert when a woken agent takes an old order", func() {
		Expect(broken(100, 200, weights.DisabledSafeguards{TargetAge: true}).Reverts).To(BeNumerically(">", 0))
	})

	It("shows the floor broken when a lost load may still begin", func() {
		Expect(broken(2450, 2550, weights.DisabledSafeguards{StatusInvalidation: true}).FloorBreaks).To(BeNumerically(">", 0))
		Expect(broken(2450, 2550, weights.DisabledSafeguards{})).To(Equal(weights.Violations{}))
	})
})

var _ = Describe("a schedule of faults with roles", func() {
	// Operators declare other roles while versions change and owners are lost.
	// Without the agents' guard an engine obeys a paused owner after its successor.
	It("keeps every promise, and shows the failure without the guard", func() {
		for _, seed := range []uint64{429, 512, 546, 551, 627} {
			bad, _ := weights.RunRoleSchedule(seed, weights.DisabledSafeguards{OrderFilter: true})
			Expect(bad.TwoEffective).To(BeNumerically(">", 0))
			bad, seen := weights.RunRoleSchedule(seed, weights.DisabledSafeguards{})
			Expect(bad).To(Equal(weights.Violations{}))
			Expect(seen.RoleChanges).To(BeNumerically(">", 1))
		}
	})
})

var _ = Describe("a fleet", func() {
	It("keeps its floor and every domain while all engines load", func() {
		fleet := weights.ReferenceFleet()
		fleet.Engines, fleet.Domains, fleet.LoadFailureRate = 40, 3, 0.2
		result := fleet.Run()
		Expect(result.Done).To(BeTrue())
		Expect(result.MinServingShare).To(BeNumerically(">=", fleet.CapacityFloor))
	})
})
