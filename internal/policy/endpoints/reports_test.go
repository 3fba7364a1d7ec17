package endpoints_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

var _ = Describe("what other processes have at endpoints", func() {
	now := time.Unix(1000, 0)
	var s *endpoints.Set
	pick := func(at time.Time, p endpoints.Placement) *endpoints.State {
		return s.Pick(endpoints.Request{Now: at, Model: "m", RequireFreeSlot: true, Placement: p})
	}
	long := endpoints.Placement{RemainingWork: 160, Weight: 1, Critical: true, CriticalBatchLimit: 3}
	brief := endpoints.Placement{RemainingWork: 8, Weight: 0.01, CriticalBatchLimit: 3}

	BeforeEach(func() {
		s = endpoints.NewSet("self")
		for i := range 2 {
			s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "llm", Slots: 8, Versions: map[string]int64{"m": 1}})
		}
	})

	It("counts like this process's own requests until it is told anew", func() {
		// Another owner's step has filled one engine, and its longest run is at the
		// other: long runs avoid the full one, short ones do not crowd the long run.
		s.SetReport(now, "other", map[string]endpoints.ProcessLoad{"e0": {InFlight: 7}, "e1": {InFlight: 2, Heavy: 1, Burden: 160}})
		Expect(pick(now, brief).ID).To(Equal("e0"))
		Expect(pick(now, brief).ID).To(Equal("e1"), "e0 is full")
		Expect(pick(now, brief)).To(BeNil(), "e1 is as wide as it may be beside a heavy run")
		Expect(pick(now, long).ID).To(Equal("e1"))
		s.SetReport(now, "other", nil)
		Expect(pick(now, long).ID).To(Equal("e0"))
	})

	It("is forgotten a second after the last word of a process that died", func() {
		s.SetReport(now, "other", map[string]endpoints.ProcessLoad{"e0": {InFlight: 8}, "e1": {InFlight: 8}})
		Expect(pick(now.Add(900*time.Millisecond), brief)).To(BeNil())
		Expect(pick(now.Add(1100*time.Millisecond), brief)).NotTo(BeNil())
	})

	It("is summed over processes, and an endpoint that nobody lists is of no use", func() {
		s.SetReport(now, "a", map[string]endpoints.ProcessLoad{"e0": {InFlight: 4}, "gone": {InFlight: 9}})
		s.SetReport(now, "b", map[string]endpoints.ProcessLoad{"e0": {InFlight: 4}})
		Expect(pick(now, long).ID).To(Equal("e1"))
		Expect(s.ProcessLoads()).To(Equal(map[string]endpoints.ProcessLoad{"e1": {InFlight: 1, Heavy: 1, Burden: 160}}), "its own only")
	})
})
