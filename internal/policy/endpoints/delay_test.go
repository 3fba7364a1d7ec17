package endpoints_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

var _ = Describe("Set with placements", func() {
	now := time.Unix(1000, 0)
	engines := func(n int) *endpoints.Set {
		s := endpoints.NewSet("self")
		for i := range n {
			s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "llm", Slots: 16, Versions: map[string]int64{"m": 1}})
		}
		return s
	}
	critical := endpoints.Placement{RemainingWork: 160, Weight: 1, Critical: true, CriticalBatchLimit: 5}
	short := endpoints.Placement{RemainingWork: 8, Weight: 0.01, CriticalBatchLimit: 5}
	pick := func(s *endpoints.Set, p endpoints.Placement) *endpoints.State {
		return s.Pick(endpoints.Request{Now: now, Model: "m", RequireFreeSlot: true, Placement: p})
	}

	It("spreads critical requests over the engines and limits short ones beside them", func() {
		// A step arrives at four engines: three critical items first, then 140 short
		// ones. If all batches were full, the critical ones would take a third longer.
		s := engines(4)
		for range 3 {
			Expect(pick(s, critical).InFlight).To(Equal(1), "an engine of its own")
		}
		started := 0
		for pick(s, short) != nil {
			started++
		}
		Expect(started).To(Equal(16+3*4), "one engine is full; beside each critical request there are four")
	})

	It("places a critical request on any engine with a free slot", func() {
		s := engines(1)
		pick(s, critical)
		for range 4 {
			Expect(pick(s, short)).NotTo(BeNil())
		}
		Expect(pick(s, short)).To(BeNil())
		Expect(pick(s, critical)).NotTo(BeNil())
	})

	It("releases the placement of an ended request", func() {
		s := engines(1)
		e := pick(s, critical)
		for range 4 {
			pick(s, short)
		}
		e.ReleasePlacement(&critical)
		e.End(now, endpoints.Answered, time.Second, 160)
		Expect(pick(s, short)).NotTo(BeNil(), "no critical request is left there")
	})

	It("avoids a slow engine", func() {
		s := engines(2)
		for range 10 {
			s.Get("e0").ObservePace(0.1)
			s.Get("e1").ObservePace(0.03)
		}
		for range 3 {
			Expect(pick(s, critical).ID).To(Equal("e1"))
		}
	})

	It("reports a less loaded engine if the move saves enough time", func() {
		s := engines(2)
		e := pick(s, critical)
		other := "e1"
		if e.ID == other {
			other = "e0"
		}
		for e.InFlight < 16 {
			e.InFlight++
		}
		request := endpoints.Request{Now: now, Model: "m"}
		request.RemainingWork = 100
		Expect(s.HasLessLoaded(request, e, 4)).To(BeTrue())
		request.RemainingWork = 5
		Expect(s.HasLessLoaded(request, e, 4)).To(BeFalse())
		request.RemainingWork = 100
		s.Get(other).InFlight = 14
		Expect(s.HasLessLoaded(request, e, 4)).To(BeFalse())
	})
})
