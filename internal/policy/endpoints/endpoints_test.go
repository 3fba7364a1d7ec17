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

func set(n int) *endpoints.Set {
	s := endpoints.NewSet("self")
	for i := range n {
		s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "a", Slots: 2, Born: 1, Versions: map[string]int64{"m": int64(i)}})
	}
	return s
}

var _ = Describe("the choice of an endpoint", func() {
	It("spreads requests over idle slots and counts what it gave", func() {
		s := set(3)
		counts := map[string]int{}
		for range 6 {
			counts[s.Pick(endpoints.Request{Now: start, Domain: "a"}).ID]++
		}
		Expect(counts).To(Equal(map[string]int{"e0": 2, "e1": 2, "e2": 2}))
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).To(BeNil(), "no slot is free")
		Expect(s.Pick(endpoints.Request{Now: start})).NotTo(BeNil(), "without Within a queue is better than none")
	})

	It("leaves out those that leave, were tried, or have too old weights", func() {
		s := set(3)
		s.Put(deployment.Endpoint{ID: "e2", Address: "10.0.0.2:1", Slots: 2, Born: 1, Leaving: true, Versions: map[string]int64{"m": 2}})
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", MinVersion: 2})).To(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", MinVersion: 1}).ID).To(Equal("e1"))
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", Version: 0, Tried: []string{"e0", "e1"}})).To(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, Model: "other"})).To(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, Model: "m", Version: 1}).ID).To(Equal("e1"))
	})

	It("puts an endpoint without connection aside, longer each time, and tries it with one request", func() {
		// What the caller sees: an engine went dark. The first request to it fails,
		// the others must not follow; after the pause one request finds out whether
		// it is back, and the rest wait for that one's outcome.
		s := set(2)
		dark := s.Pick(endpoints.Request{Now: start, Tried: []string{"e1"}})
		dark.End(start, endpoints.Unreachable, 0, 0)
		for range 4 {
			Expect(s.Pick(endpoints.Request{Now: start}).ID).To(Equal("e1"))
		}
		later := start.Add(time.Second)
		probe := s.Pick(endpoints.Request{Now: later})
		Expect(probe.ID).To(Equal("e0"), "the idle one is tried again")
		Expect(s.Pick(endpoints.Request{Now: later}).ID).To(Equal("e1"), "by one request only")
		probe.End(later, endpoints.Unreachable, 0, 0)
		until, aside := probe.UnavailableUntil(later)
		Expect(aside).To(BeTrue())
		Expect(until.Sub(later)).To(Equal(time.Second), "twice the first pause")
	})

	It("uses one that is put aside if there is no other", func() {
		s := set(1)
		s.Pick(endpoints.Request{Now: start}).End(start, endpoints.Unreachable, 0, 0)
		Expect(s.Pick(endpoints.Request{Now: start})).NotTo(BeNil())
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).To(BeNil(), "work that can wait does")
	})

	It("does not condemn an endpoint for single broken answers", func() {
		s := set(2)
		for range 2 {
			s.Pick(endpoints.Request{Now: start, Tried: []string{"e1"}}).End(start, endpoints.BrokenAnswer, 0, 0)
		}
		Expect(s.Pick(endpoints.Request{Now: start}).ID).To(Equal("e0"))
	})

	It("asks one that refuses as full less and less often, and afresh once it answers", func() {
		// An engine that loads weights refuses everything for about a second; asked
		// again every 25 ms by each of forty items, it answered some hundred refusals.
		s := set(1)
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

	It("is another one at each idle process, and the same one while it stays idle", func() {
		// The load: 27 entries, each with a request now and then, before 6 endpoints of
		// their failure domain. With the first in the order of their IDs all of them
		// met at one endpoint; when that one turned slow, lookups of all entries were
		// late. Staying with one keeps its connection in use.
		const entries, each = 27, 6
		at := map[string]int{}
		for i := range entries {
			s := endpoints.NewSet(fmt.Sprintf("entry-%d", i))
			for k := range each {
				s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", k), Domain: "a", Slots: 6, Born: 1})
			}
			first := ""
			for range 3 {
				e := s.Pick(endpoints.Request{Now: start, Domain: "a"})
				e.End(start, endpoints.Answered, 25*time.Millisecond, 1)
				Expect(first == "" || first == e.ID).To(BeTrue())
				first = e.ID
			}
			at[first]++
		}
		for _, n := range at {
			Expect(n).To(BeNumerically("<=", 2*entries/each))
		}
	})

	It("learns that an endpoint is slow from requests that were ended for another's answer", func() {
		// What the caller sees: lookups late by the time of a hedge, one after the
		// other. The first endpoint turned slow; each request to it was ended when the
		// second had answered, and the next one went there again.
		s := set(2)
		for range 3 {
			for _, other := range []string{"e0", "e1"} {
				s.Pick(endpoints.Request{Now: start, Tried: []string{other}}).End(start, endpoints.Answered, 25*time.Millisecond, 1)
			}
		}
		favourite := s.Pick(endpoints.Request{Now: start}).ID
		s.Get(favourite).End(start, endpoints.Cancelled, 10*time.Millisecond, 1)
		Expect(s.Pick(endpoints.Request{Now: start}).ID).To(Equal(favourite), "a caller that left early says nothing")
		s.Get(favourite).End(start, endpoints.Cancelled, 150*time.Millisecond, 1)
		Expect(s.Pick(endpoints.Request{Now: start}).ID).NotTo(Equal(favourite))
	})

	It("leaves an endpoint alone for the model that it loads, until it has it", func() {
		// The load: a new version of the weights, which a quarter of the engines load at
		// once while a step's items wait. An engine that loads refuses new items.
		s := set(1)
		e := s.Get("e0")
		ask := func(model string, ms int) *endpoints.State {
			return s.Pick(endpoints.Request{Now: start.Add(time.Duration(ms) * time.Millisecond), Model: model})
		}
		put := func(version int64) {
			s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Domain: "a", Slots: 9, Born: 1, Versions: map[string]int64{"m": version, "n": 1}})
		}
		put(1)
		e.MarkLoading(start, "m", 2)
		Expect(ask("m", 500)).To(BeNil())
		Expect(ask("n", 500)).NotTo(BeNil(), "another model is served meanwhile")
		Expect(ask("m", 1000)).NotTo(BeNil(), "it may be done without a word")
		e.MarkLoading(start, "m", 2)
		put(2)
		Expect(ask("m", 500)).NotTo(BeNil(), "the list says that it is done")
	})

	It("gives a slow endpoint fewer requests", func() {
		s := set(3)
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

	It("takes another start of the same ID for a new endpoint", func() {
		// The engine crashed and is back under its ID. What was learnt of the old
		// process, here that it does not answer, says nothing of the new one.
		s := set(1)
		s.Pick(endpoints.Request{Now: start}).End(start, endpoints.Unreachable, 0, 0)
		s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Slots: 2, Born: 2})
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).NotTo(BeNil())
	})

	It("keeps what it learnt when only the list's entry changes", func() {
		s := set(1)
		s.Pick(endpoints.Request{Now: start}).End(start, endpoints.Unreachable, 0, 0)
		s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Slots: 2, Born: 1, Versions: map[string]int64{"m": 9}})
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).To(BeNil())
	})

	It("prefers its own failure domain between equals", func() {
		s := set(2)
		s.Put(deployment.Endpoint{ID: "e0", Address: "10.0.0.0:1", Domain: "b", Slots: 2, Born: 1})
		Expect(s.Pick(endpoints.Request{Now: start, Domain: "a"}).ID).To(Equal("e1"))
	})

	It("leaves room for callers beside background requests", func() {
		// An owner of jobs comes back with a hundred whole texts and has them all scored
		// at once, at the service where callers look things up.
		s := endpoints.NewSet("self")
		for i := range 3 {
			s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "app", Slots: 6})
		}
		scores := 0
		for s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true, Background: true}) != nil {
			scores++
		}
		Expect(scores).To(Equal(6), "two of the six places of each")
		Expect(s.Pick(endpoints.Request{Now: start, RequireFreeSlot: true})).NotTo(BeNil())
		small := endpoints.NewSet("self")
		small.Put(deployment.Endpoint{ID: "e", Service: "app", Slots: 1})
		Expect(small.Pick(endpoints.Request{Now: start, RequireFreeSlot: true, Background: true})).NotTo(BeNil(), "one at least")
	})
})
