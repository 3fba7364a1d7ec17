package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/choose"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestChoose(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "choose")
}

var now = time.Unix(1_000_000, 0)

const draws = 2000

func chooser() *choose.Chooser { return choose.New(rand.New(rand.NewPCG(1, 2))) }

func candidates(n int) []*choose.Candidate {
	var all []*choose.Candidate
	for i := range n {
		id := fmt.Sprint("agent-", i)
		c := &choose.Candidate{ID: id, Key: rendezvous.Key(id), Ready: true}
		c.SetLoad(now, wire.Load{Slots: 4})
		all = append(all, c)
	}
	return all
}

// count draws often and returns how often each candidate was chosen.
func count(all []*choose.Candidate, r choose.Request) map[string]int {
	c := chooser()
	r.Now = now
	counts := map[string]int{}
	for range draws {
		if chosen := c.Choose(r, all); chosen != nil {
			counts[chosen.ID]++
		}
	}
	return counts
}

var _ = Describe("a choice", func() {
	It("never falls on an endpoint that may not have the request", func() {
		all := candidates(6)
		all[0].Leaving = true
		all[1].Suspect = true
		all[2].Ready = false
		all[3].Load.Down = true
		counts := count(all, choose.Request{Exclude: []string{"agent-4"}})
		Expect(counts).To(Equal(map[string]int{"agent-5": draws}))
	})

	It("takes a suspect rather than none, but none that leaves", func() {
		all := candidates(2)
		all[0].Suspect = true
		all[1].Leaving = true
		Expect(count(all, choose.Request{})).To(Equal(map[string]int{"agent-0": draws}))
		Expect(count(all, choose.Request{Exclude: []string{"agent-0"}})).To(BeEmpty())
	})

	It("never falls on the most loaded of several", func() {
		// Drawn with repetition, one in n squared would.
		all := candidates(6)
		all[0].SetLoad(now, wire.Load{Slots: 4, Running: 4})
		Expect(count(all, choose.Request{})).NotTo(HaveKey("agent-0"))
	})

	It("believes a report less as it ages", func() {
		all := candidates(2)
		all[0].SetLoad(now.Add(-time.Minute), wire.Load{Slots: 4, Running: 4})
		all[1].SetLoad(now, wire.Load{Slots: 4, Running: 1})
		Expect(count(all, choose.Request{})).To(Equal(map[string]int{"agent-0": draws}))
	})

	It("follows a business's own requests where all endpoints are saturated", func() {
		// A greedy business has both queues full, one a little more. Behind
		// fair queues that is nothing to a modest one, whose own requests all
		// wait at the less full of the two.
		all := candidates(2)
		all[0].SetLoad(now, wire.Load{Slots: 4, Running: 4, Queued: 40})
		all[1].SetLoad(now, wire.Load{Slots: 4, Running: 4, Queued: 36})
		all[1].InFlightCounts.Add("modest", 8)
		Expect(count(all, choose.Request{Business: "modest"})).To(Equal(map[string]int{"agent-0": draws}))
	})

	It("prefers the home of a prefix, the same at every entry, up to the cap", func() {
		all := candidates(8)
		counts := count(all, choose.Request{Prefix: 7})
		Expect(counts).To(HaveLen(1))
		for id := range counts {
			for _, c := range all {
				if c.ID == id {
					c.SetLoad(now, wire.Load{Slots: 4, Running: 3})
				}
			}
			Expect(count(all, choose.Request{Prefix: 7})).NotTo(HaveKey(id))
		}
	})

	It("allocates nothing", func() {
		all := candidates(32)
		c := chooser()
		exclude := []string{"agent-3"}
		allocs := testing.AllocsPerRun(1000, func() {
			c.Choose(choose.Request{Now: now, Business: "b", Prefix: 7, Exclude: exclude}, all)
		})
		Expect(allocs).To(BeZero())
	})
})

func BenchmarkChoice32(b *testing.B) {
	all := candidates(32)
	c := chooser()
	request := choose.Request{Now: now, Business: "b", Prefix: 7, Exclude: []string{"agent-3"}}
	b.ReportAllocs()
	for b.Loop() {
		c.Choose(request, all)
	}
}

// The baseline of BenchmarkChoice32: in turn, without a look at the load.
func BenchmarkRoundRobin32(b *testing.B) {
	all := candidates(32)
	turn := 0
	var chosen *choose.Candidate
	for b.Loop() {
		turn++
		chosen = all[turn%len(all)]
	}
	_ = chosen
}
