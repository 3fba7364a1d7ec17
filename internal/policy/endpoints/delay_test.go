package endpoints_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

var _ = Describe("the placement of long requests", func() {
	now := time.Unix(1000, 0)
	engines := func(n int) *endpoints.Set {
		s := endpoints.NewSet("self")
		for i := range n {
			s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "llm", Slots: 16, Versions: map[string]int64{"m": 1}})
		}
		return s
	}
	long := endpoints.Placement{RemainingWork: 160, Weight: 1, Critical: true, CriticalBatchLimit: 5}
	brief := endpoints.Placement{RemainingWork: 8, Weight: 0.01, CriticalBatchLimit: 5}
	pick := func(s *endpoints.Set, p endpoints.Placement) *endpoints.State {
		return s.Pick(endpoints.Request{Now: now, Model: "m", RequireFreeSlot: true, Placement: p})
	}

	It("spreads the longest over the engines, and keeps brief ones from crowding them", func() {
		// A step arrives: three long items first, then 140 brief ones, at four engines.
		// At full batches everywhere the long ones would take a third longer.
		s := engines(4)
		for range 3 {
			Expect(pick(s, long).InFlight).To(Equal(1), "an engine of its own")
		}
		started := 0
		for pick(s, brief) != nil {
			started++
		}
		Expect(started).To(Equal(16+3*4), "one engine is filled; beside each long run there are four")
	})

	It("lets a request that matters onto any engine with a free slot", func() {
		s := engines(1)
		pick(s, long)
		for range 4 {
			Expect(pick(s, brief)).NotTo(BeNil())
		}
		Expect(pick(s, brief)).To(BeNil())
		Expect(pick(s, long)).NotTo(BeNil())
	})

	It("takes back what an ended request weighed", func() {
		s := engines(1)
		e := pick(s, long)
		for range 4 {
			pick(s, brief)
		}
		e.ReleasePlacement(&long)
		e.End(now, endpoints.Answered, time.Second, 160)
		Expect(pick(s, brief)).NotTo(BeNil(), "no long run is left there")
	})

	It("avoids an engine that works slowly", func() {
		s := engines(2)
		for range 10 {
			s.Get("e0").ObservePace(0.1)
			s.Get("e1").ObservePace(0.03)
		}
		for range 3 {
			Expect(pick(s, long).ID).To(Equal("e1"))
		}
	})

	It("tells a run of a full engine that a nearly idle one would save it time, but not for little", func() {
		s := engines(2)
		e := pick(s, long)
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
