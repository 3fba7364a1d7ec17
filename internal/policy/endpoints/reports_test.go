package endpoints_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

var _ = Describe("Set with reports of other processes", func() {
	now := time.Unix(1000, 0)
	var s *endpoints.Set
	pick := func(at time.Time, p endpoints.Placement) *endpoints.State {
		return s.Pick(endpoints.Request{Now: at, Model: "m", RequireFreeSlot: true, Placement: p})
	}
	critical := endpoints.Placement{RemainingWork: 160, Weight: 1, Critical: true, CriticalBatchLimit: 3}
	short := endpoints.Placement{RemainingWork: 8, Weight: 0.01, CriticalBatchLimit: 3}

	BeforeEach(func() {
		s = endpoints.NewSet("self")
		for i := range 2 {
			s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "llm", Slots: 8, Versions: map[string]int64{"m": 1}})
		}
	})

	It("counts reported requests like its own until the next report", func() {
		// Another owner's step has filled one engine, and its critical request is at
		// the other. Critical requests avoid the full engine, and few short ones join
		// the other critical request.
		s.SetReport(now, "other", map[string]endpoints.ProcessLoad{"e0": {InFlight: 7}, "e1": {InFlight: 2, Heavy: 1, Burden: 160}})
		Expect(pick(now, short).ID).To(Equal("e0"))
		Expect(pick(now, short).ID).To(Equal("e1"), "e0 is full")
		Expect(pick(now, short)).To(BeNil(), "e1 has reached the limit beside a critical request")
		Expect(pick(now, critical).ID).To(Equal("e1"))
		s.SetReport(now, "other", nil)
		Expect(pick(now, critical).ID).To(Equal("e0"))
	})

	It("drops the report of a dead process after a second", func() {
		s.SetReport(now, "other", map[string]endpoints.ProcessLoad{"e0": {InFlight: 8}, "e1": {InFlight: 8}})
		Expect(pick(now.Add(900*time.Millisecond), short)).To(BeNil())
		Expect(pick(now.Add(1100*time.Millisecond), short)).NotTo(BeNil())
	})

	It("sums reports over processes and ignores endpoints that are not listed", func() {
		s.SetReport(now, "a", map[string]endpoints.ProcessLoad{"e0": {InFlight: 4}, "gone": {InFlight: 9}})
		s.SetReport(now, "b", map[string]endpoints.ProcessLoad{"e0": {InFlight: 4}})
		Expect(pick(now, critical).ID).To(Equal("e1"))
		Expect(s.ProcessLoads()).To(Equal(map[string]endpoints.ProcessLoad{"e1": {InFlight: 1, Heavy: 1, Burden: 160}}), "only its own requests")
	})
})
