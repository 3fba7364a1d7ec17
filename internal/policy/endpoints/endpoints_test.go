package endpoints_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

var start = time.Unix(1000, 0)

func newSet(n int) *endpoints.Set {
	s := endpoints.NewSet("self")
	for i := range n {
		s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "a", Slots: 2, StartedAtMillis: 1, Versions: map[string]int64{"m": int64(i)}})
	}
	return s
}

var _ = Describe("Set", func() {
	It("spreads requests over idle slots and counts them", func() {
		s := newSet(3)
		counts := map[string]int{}
		for range 6 {
			counts[s.Pick(endpoints.Request{Now: start, Domain: "a"}).ID]++
		}
		Expect(counts).To(Equal(map[string]int{"e0": 2, "e1": 2, "e2": 2}))
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).To(BeNil(), "no slot is free")
		Expect(s.Pick(endpoints.Request{Now: start})).NotTo(BeNil(), "if no free slot is required, a queue is better than no endpoint")
	})

	It("excludes leaving and tried endpoints and those with too old weights", func() {
		s := newSet(3)
		s.Put(deployment.Endpoint{ID: "e2", Address: "10.0.0.2:1", Slots: 2, StartedAtMillis: 1, Leaving: true, Versions: map[string]int64{"m": 2}})
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", MinVersion: 2})).To(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", MinVersion: 1}).ID).To(Equal("e1"))
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", Version: 0, Tried: []string{"e0", "e1"}})).To(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, Model: "other"})).To(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", Version: 1}).ID).To(Equal("e1"))
	})

	It("ejects an unreachable endpoint, longer each time, and probes it with one request", func() {
		// An engine becomes unreachable. The first request to it fails, and others must
		// not be sent there. After the ejection time one request tests whether it is
		// back; until that one ends no other is sent.
		s := newSet(2)
		unreachable := s.Pick(endpoints.Request{Now: start, Tried: []string{"e1"}})
		unreachable.End(start, endpoints.Unreachable, 0, 0)
		for range 4 {
			Expect(s.Pick(endpoints.Request{Now: start}).ID).To(Equal("e1"))
		}
		later := start.Add(time.Second)
		probe := s.Pick(endpoints.Request{Now: later})
		Expect(probe.ID).To(Equal("e0"), "the ejected endpoint is tried again")
		Expect(s.Pick(endpoints.Request{Now: later}).ID).To(Equal("e1"), "by one request only")
		probe.End(later, endpoints.Unreachable, 0, 0)
		until, unavailable := probe.UnavailableUntil(later)
		Expect(unavailable).To(BeTrue())
		Expect(until.Sub(later)).To(Equal(time.Second), "twice the first ejection time")
	})

	It("uses an ejected endpoint if there is no other", func() {
		s := newSet(1)
		s.Pick(endpoints.Request{Now: start}).End(start, endpoints.Unreachable, 0, 0)
		Expect(s.Pick(endpoints.Request{Now: start})).NotTo(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).To(BeNil(), "requests that need a free slot wait")
	})

	It("does not eject an endpoint after two broken answers", func() {
		// Single broken answers are no sign of a bad endpoint. Without e0 all requests
		// would go to e1.
		s := newSet(2)
		for range 2 {
			s.Pick(endpoints.Request{Now: start, Tried: []string{"e1"}}).End(start, endpoints.BrokenAnswer, 0, 0)
		}
		Expect(s.Pick(endpoints.Request{Now: start}).ID).To(Equal("e0"))
	})

	It("backs off from an endpoint that refuses as full, until it answers", func() {
		// An engine that loads weights refuses everything for about a second. Asked
		// every 25 ms by each of forty items, it sent some hundred refusals.
		s := newSet(1)
		now, asked := start, 0
		for now.Before(start.Add(time.Second)) {
			if e := s.Pick(endpoints.Request{Now: now, RequireFreeSlot: true}); e != nil {
				asked++
				e.End(now, endpoints.Refused, 0, 0)
			}
			now = now.Add(5 * time.Millisecond)
		}
		Expect(asked).To(BeNumerically("<=", 9))
		now = now.Add(time.Second)
		e := s.Pick(endpoints.Request{Now: now, RequireFreeSlot: true})
		e.End(now, endpoints.Answered, time.Millisecond, 1)
		s.Pick(endpoints.Request{Now: now, RequireFreeSlot: true}).End(now, endpoints.Refused, 0, 0)
		until, _ := e.UnavailableUntil(now)
		Expect(until.Sub(now)).To(BeNumerically("<=", 25*time.Millisecond))
	})

	It("prefers different endpoints in different idle processes, and always the same in one", func() {
		// 27 entries that each send a request now and then share the 6 endpoints of
		// their failure domain. If they chose by the order of IDs, all would choose the
		// first endpoint, and when that one slows down, lookups of all entries are late.
		// An entry that stays with one endpoint keeps the connection in use.
		const entries, each = 27, 6
		entriesAt := map[string]int{}
		for i := range entries {
			s := endpoints.NewSet(fmt.Sprintf("entry-%d", i))
			for k := range each {
				s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", k), Domain: "a", Slots: 6, StartedAtMillis: 1})
			}
			first := ""
			for range 3 {
				e := s.Pick(endpoints.Request{Now: start, Domain: "a"})
				e.End(start, endpoints.Answered, 25*time.Millisecond, 1)
				Expect(first == "" || first == e.ID).To(BeTrue())
				first = e.ID
			}
			entriesAt[first]++
		}
		for _, n := range entriesAt {
			Expect(n).To(BeNumerically("<=", 2*entries/each))
		}
	})

	It("learns that an endpoint is slow from requests cancelled after another one's answer", func() {
		// Regression: each lookup was late by the delay of a hedge. The preferred
		// endpoint had slowed down, each request to it was cancelled when the second
		// endpoint had answered, and the next request went to the slow one again.
		s := newSet(2)
		for range 3 {
			for _, other := range []string{"e0", "e1"} {
				s.Pick(endpoints.Request{Now: start, Tried: []string{other}}).End(start, endpoints.Answered, 25*time.Millisecond, 1)
			}
		}
		preferred := s.Pick(endpoints.Request{Now: start}).ID
		s.Get(preferred).End(start, endpoints.Cancelled, 10*time.Millisecond, 1)
		Expect(s.Pick(endpoints.Request{Now: start}).ID).To(Equal(preferred), "a caller that cancels early gives no information")
		s.Get(preferred).End(start, endpoints.Cancelled, 150*time.Millisecond, 1)
		Expect(s.Pick(endpoints.Request{Now: start}).ID).NotTo(Equal(preferred))
	})

	It("sends no requests for a model to an endpoint that is loading it", func() {
		// A quarter of the engines load a new version of the weights at once while a
		// step's items wait. An engine that is loading refuses new items.
		s := newSet(1)
		e := s.Get("e0")
		ask := func(model string, ms int) *endpoints.State {
			return s.Pick(endpoints.Request{Now: start.Add(time.Duration(ms) * time.Millisecond), Model: model})
		}
		list := func(version int64) {
			s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Domain: "a", Slots: 9, StartedAtMillis: 1, Versions: map[string]int64{"m": version, "n": 1}})
		}
		list(1)
		e.MarkLoading(start, "m", 2)
		Expect(ask("m", 500)).To(BeNil())
		Expect(ask("n", 500)).NotTo(BeNil(), "another model is still served")
		Expect(ask("m", 1000)).NotTo(BeNil(), "the load may have ended without notice")
		e.MarkLoading(start, "m", 2)
		list(2)
		Expect(ask("m", 500)).NotTo(BeNil(), "the list shows that the load has ended")
	})

	It("sends fewer requests to a slow endpoint", func() {
		// e0 takes four times as long as the others. A choice by load alone would send
		// it as many requests as them.
		s := newSet(3)
		for range 5 {
			for _, id := range []string{"e0", "e1", "e2"} {
				took := 20 * time.Millisecond
				if id == "e0" {
					took = 80 * time.Millisecond
				}
				var others []string
				for _, other := range []string{"e0", "e1", "e2"} {
					if other != id {
						others = append(others, other)
					}
				}
				s.Pick(endpoints.Request{Now: start, Tried: others}).End(start, endpoints.Answered, took, 1)
			}
		}
		counts := map[string]int{}
		for range 4 {
			counts[s.Pick(endpoints.Request{Now: start}).ID]++
		}
		Expect(counts["e0"]).To(BeZero())
	})

	It("treats a restart under the same ID as a new endpoint", func() {
		// The engine crashed and is back under its ID. What was learnt about the old
		// process, here that it is unreachable, does not apply to the new one.
		s := newSet(1)
		s.Pick(endpoints.Request{Now: start}).End(start, endpoints.Unreachable, 0, 0)
		s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Slots: 2, StartedAtMillis: 2})
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).NotTo(BeNil())
	})

	It("keeps what it has learnt when only the listed data change", func() {
		s := newSet(1)
		s.Pick(endpoints.Request{Now: start}).End(start, endpoints.Unreachable, 0, 0)
		s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Slots: 2, StartedAtMillis: 1, Versions: map[string]int64{"m": 9}})
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).To(BeNil())
	})

	It("prefers its own failure domain among equal endpoints", func() {
		s := newSet(2)
		s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Domain: "b", Slots: 2, StartedAtMillis: 1})
		Expect(s.Pick(endpoints.Request{Now: start, Domain: "a"}).ID).To(Equal("e1"))
	})

	It("leaves slots for callers beside background requests", func() {
		// An owner of jobs resumes with a hundred complete texts and has them all scored
		// at once, at the service that also serves callers' lookups. If the texts took
		// all slots, the lookups would wait.
		s := endpoints.NewSet("self")
		for i := range 3 {
			s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "app", Slots: 6})
		}
		scores := 0
		for s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true, Background: true}) != nil {
			scores++
		}
		Expect(scores).To(Equal(6), "two of the six slots of each")
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).NotTo(BeNil())
		small := endpoints.NewSet("self")
		small.Put(deployment.Endpoint{ID: "e", Service: "app", Slots: 1})
		Expect(small.Pick(endpoints.Request{Now: start, RequireFreeSlot: true, Background: true})).NotTo(BeNil(), "at least one")
	})
})
