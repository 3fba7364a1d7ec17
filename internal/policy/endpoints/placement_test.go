package endpoints_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

var _ = Describe("Set with endpoints of unequal speed", func() {
	now := time.Unix(1000, 0)
	const slots, fastSeconds, slowSeconds = 6, 0.026, 0.055

	// engines returns a set whose first endpoints are fast, with known speeds.
	engines := func(fast, slow int) *endpoints.Set {
		s := endpoints.NewSet("self")
		for i := range fast + slow {
			s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Slots: slots, Versions: map[string]int64{"m": 1}})
		}
		for i, e := range s.All() {
			for range 20 {
				if i < fast {
					e.ObservePace(fastSeconds)
				} else {
					e.ObservePace(slowSeconds)
				}
			}
		}
		return s
	}
	isFast := func(e *endpoints.State, fast int) bool { return e.ID < fmt.Sprintf("e%02d", fast) }
	critical := endpoints.Placement{RemainingWork: 150, Weight: 1, Critical: true, CriticalBatchLimit: 2}
	short := endpoints.Placement{RemainingWork: 8, Weight: 0.01, CriticalBatchLimit: 2}
	request := func(p endpoints.Placement) endpoints.Request {
		return endpoints.Request{Now: now, Model: "m", RequireFreeSlot: true, Placement: p}
	}

	It("places long texts at fast endpoints", func() {
		// Before, an endpoint of twice the typical speed counted as typical.
		s := engines(3, 9)
		for range 9 {
			Expect(isFast(s.Pick(request(critical)), 3)).To(BeTrue())
		}
	})

	It("keeps slots of fast endpoints free of short texts while others have room", func() {
		s := engines(2, 6)
		atFast := 0
		for range 40 {
			if isFast(s.Pick(request(short)), 2) {
				atFast++
			}
		}
		Expect(atFast).To(Equal(2*4), "two of six slots of each stay free")
		for range 4 {
			Expect(isFast(s.Pick(request(critical)), 2)).To(BeTrue())
		}
	})

	It("leaves no fast endpoint idle, and only its last slot unused, while short texts wait", func() {
		s := engines(2, 6)
		started := 0
		for s.Pick(request(short)) != nil {
			started++
		}
		Expect(started).To(Equal(8*slots - 2))
		single := engines(2, 6)
		for _, e := range single.All() {
			e.Slots = 1
		}
		for range 8 {
			Expect(single.Pick(request(short))).NotTo(BeNil(), "an endpoint with a single slot is idle")
		}
	})

	It("decides by the typical speed if the option ignores speeds", func() {
		s := engines(3, 9)
		s.Options.PlaceByLoad = true
		atFast := 0
		for range 12 {
			if isFast(s.Pick(request(critical)), 3) {
				atFast++
			}
		}
		Expect(atFast).To(Equal(3), "one text at each endpoint")
		_, uneven := s.UnevenSpeeds(now)
		Expect(uneven).To(BeFalse())
	})

	Describe("PickFaster", func() {
		run := endpoints.Run{MoveSeconds: 0.1}
		// atSlow returns a set with a text at a slow endpoint.
		atSlow := func() (*endpoints.Set, *endpoints.State) {
			s := engines(3, 9)
			r := request(critical)
			r.Tried = []string{"e00", "e01", "e02"}
			return s, s.Pick(r)
		}

		It("moves a long text from a slow endpoint to a fast one and holds its slot", func() {
			s, e := atSlow()
			move, found := s.PickFaster(request(critical), e, run)
			Expect(found).To(BeTrue())
			Expect(isFast(move.To, 3)).To(BeTrue())
			Expect(move.To.InFlight).To(Equal(1))
			Expect(move.Gain).To(BeNumerically("~", 150*(slowSeconds-fastSeconds)-0.1, 0.01))
		})

		It("leaves a text where it is if nothing waits for it, or the gain is lower than the price", func() {
			s, e := atSlow()
			_, found := s.PickFaster(request(short), e, run)
			Expect(found).To(BeFalse())
			few := critical
			few.RemainingWork = 8
			_, found = s.PickFaster(request(few), e, run)
			Expect(found).To(BeFalse())
			_, found = s.PickFaster(request(critical), e, endpoints.Run{MoveSeconds: 5})
			Expect(found).To(BeFalse())
		})

		It("never moves a text to an endpoint that is not faster", func() {
			// Two thirds of the moves led from one slow engine to another, after 600 ms of
			// noise in the pace of the request.
			s, e := atSlow()
			for i := range 3 {
				s.Get(fmt.Sprintf("e%02d", i)).InFlight = slots
			}
			_, found := s.PickFaster(request(critical), e, run)
			Expect(found).To(BeFalse())
			fast := s.Get("e00")
			s.Get("e01").InFlight, s.Get("e02").InFlight = 1, 1
			fast.InFlight = 1
			_, found = s.PickFaster(request(critical), fast, run)
			Expect(found).To(BeFalse())
		})

		It("moves a text again only if its endpoint has become slower, or a fast one is free", func() {
			s, e := atSlow()
			moved := endpoints.Run{MoveSeconds: 0.1, Promised: slowSeconds}
			_, found := s.PickFaster(request(critical), e, moved)
			Expect(found).To(BeTrue(), "fast endpoints are free")

			fast := s.Get("e00")
			fast.InFlight = slots
			moved.Promised = s.UnitSeconds(fast, slots-1)
			_, found = s.PickFaster(request(critical), fast, moved)
			Expect(found).To(BeFalse(), "nothing has changed since the move")
			moved.Latest = 2.5 * moved.Promised
			_, found = s.PickFaster(request(critical), fast, moved)
			Expect(found).To(BeFalse(), "noise")
			moved.Lasting = 2.5 * moved.Promised
			again, found := s.PickFaster(request(critical), fast, moved)
			Expect(found).To(BeTrue(), "it lasts")
			again.To.InFlight--
			moved.Lasting, moved.Latest = 0, 6*moved.Promised
			_, found = s.PickFaster(request(critical), fast, moved)
			Expect(found).To(BeTrue(), "the endpoint has become six times slower")
		})

		It("never moves a text where speeds are even", func() {
			s := engines(0, 12)
			e := s.Pick(request(critical))
			e.InFlight = slots
			_, found := s.PickFaster(request(critical), e, run)
			Expect(found).To(BeFalse())
		})
	})
})
