package callers

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers lab")
}

var _ = Describe("claim schedules", func() {
	// Callers send one key to several entries, sometimes twice at once, while owners
	// crash or are paused and the key-value service loses answers or is down. A request
	// must run at most once, and no "not run" may be false.
	It("have no violations", func() {
		totals, err := runClaimSchedules(400, noClaimSafeguard)
		Expect(err).NotTo(HaveOccurred())
		Expect(totals.doubleRuns).To(BeZero())
		Expect(totals.falseNotRun).To(BeZero())
		Expect(totals.wrongOrCut).To(BeZero())
		Expect(totals.unreadableRecords).To(BeZero())
		Expect(totals.runs).To(BeNumerically(">", 400))
	})

	// Each entry disables one safeguard and shows that the recorder detects the
	// violations that follow.
	DescribeTable("have violations if a safeguard is disabled",
		func(disabled claimSafeguard, count int, doubleRuns, falseNotRun bool) {
			totals, err := runClaimSchedules(count, disabled)
			Expect(err).NotTo(HaveOccurred())
			Expect(totals.doubleRuns > 0).To(Equal(doubleRuns), "double runs: %d", totals.doubleRuns)
			Expect(totals.falseNotRun > 0).To(Equal(falseNotRun), "false not run: %d", totals.falseNotRun)
		},
		Entry("dispatch before the claim is committed", commitBeforeDispatch, 200, true, true),
		Entry("swap at any revision", revisionCheck, 400, true, true),
		Entry("refusal of a second forward counts for the first", unresolvedForwards, 1000, false, true),
		Entry("running request reported as not run", resultAfterRun, 1000, true, true),
		Entry("no claims", allClaims, 200, true, true),
	)

	It("have the same result for the same seed", func() {
		for seed := range uint64(20) {
			a, b := runClaimSchedule(seed, noClaimSafeguard), runClaimSchedule(seed, noClaimSafeguard)
			Expect(a.recorder.outcomes).To(Equal(b.recorder.outcomes))
			Expect(a.store.writes).To(Equal(b.store.writes))
		}
	})
})

var _ = Describe("poison schedules", func() {
	// A caller sends a request that crashes its endpoint repeatedly through random
	// entries, sometimes twice at once, beside a load of innocent requests. If it resends
	// the request before the first crash, several copies run before any request is a
	// suspect. With allPlacement disabled, seeds 211 and 359 then crash a third endpoint.
	DescribeTable("crash at most two endpoints and quarantine no innocent request", func(count int, scenario poisonScenario) {
		totals, err := runPoisonSchedules(count, scenario)
		Expect(err).NotTo(HaveOccurred())
		Expect(totals.maxCrashedEndpoints).To(BeNumerically("<=", 2))
		Expect(totals.quarantinedInnocent).To(BeZero())
		Expect(totals.quarantinedPoison).To(Equal(totals.poisonRequests))
	},
		Entry("with resends after the crash", 200, slowResends),
		Entry("with resends before the crash", 400, quickResends),
	)

	// An innocent request runs beside the poison request and then alone at an endpoint
	// that crashes by itself. The two requests cannot be told apart until one of them is
	// answered.
	DescribeTable("quarantine no innocent request that ran at an unrelated crash", func(seed uint64) {
		w := runPoisonSchedule(seed, unrelatedCrashes)
		Expect(w.quarantinedInnocent).To(BeEmpty())
		Expect(w.maxCrashedEndpoints()).To(BeNumerically("<=", 2))
		Expect(w.quarantinedPoison).To(HaveLen(len(w.crashedEndpoints)))
	},
		Entry("after two copies beside others and one alone", uint64(1699)),
		Entry("after running beside the poison request, then alone", uint64(3199)),
		Entry("while the poison request is not identified", uint64(4650)),
		Entry("with two copies of the poison request", uint64(9964)),
	)

	It("crash more than two endpoints without quarantine", func() {
		totals, err := runPoisonSchedules(20, slowResends.without(suspicionAndQuarantine))
		Expect(err).NotTo(HaveOccurred())
		Expect(totals.maxCrashedEndpoints).To(BeNumerically(">", 2))
	})

	DescribeTable("crash more than two endpoints if a safeguard is disabled", func(disabled poisonSafeguard) {
		totals, err := runPoisonSchedules(400, quickResends.without(disabled))
		Expect(err).NotTo(HaveOccurred())
		Expect(totals.maxCrashedEndpoints).To(BeNumerically(">", 2))
	},
		Entry("copies of requests that were never answered run anywhere", copyPlacement),
		Entry("suspects that crashed two endpoints run anywhere too", allPlacement),
	)
})
