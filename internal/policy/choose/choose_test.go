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

const choices = 2000

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

// count makes many choices and returns how often each candidate was chosen.
func count(all []*choose.Candidate, r choose.Request) map[string]int {
	c := chooser()
	r.Now = now
	counts := map[string]int{}
	for range choices {
		if chosen := c.Choose(r, all); chosen != nil {
			counts[chosen.ID]++
		}
	}
	return counts
}

var _ = Describe("Chooser", func() {
	It("never returns an endpoint that may not receive the request", func() {
		all := candidates(6)
		all[0].Leaving = true
		all[1].Suspect = true
		all[2].Ready = false
		all[3].Load.Down = true
		counts := count(all, choose.Request{Exclude: []string{"agent-4"}})
		Expect(counts).To(Equal(map[string]int{"agent-5": choices}))
	})

	It("returns a suspect endpoint if there is no other, but never a leaving one", func() {
		all := candidates(2)
		all[0].Suspect = true
		all[1].Leaving = true
		Expect(count(all, choose.Request{})).To(Equal(map[string]int{"agent-0": choices}))
		Expect(count(all, choose.Request{Exclude: []string{"agent-0"}})).To(BeEmpty())
	})

	It("never returns the most loaded of several endpoints", func() {
		// If the same endpoint could be sampled twice, one choice in n squared would
		// return the most loaded one without a comparison.
		all := candidates(6)
		all[0].SetLoad(now, wire.Load{Slots: 4, Running: 4})
		Expect(count(all, choose.Request{})).NotTo(HaveKey("agent-0"))
	})

	It("discounts reports by age", func() {
		// The busy endpoint's report is a minute old, so its load counts less than that
		// of the nearly idle one.
		all := candidates(2)
		all[0].SetLoad(now.Add(-time.Minute), wire.Load{Slots: 4, Running: 4})
		all[1].SetLoad(now, wire.Load{Slots: 4, Running: 1})
		Expect(count(all, choose.Request{})).To(Equal(map[string]int{"agent-0": choices}))
	})

	It("compares saturated endpoints by the business's own requests", func() {
		// A greedy business has filled both queues, one a little more than the
		// other. The queues are fair, so this does not matter to a modest
		// business, whose own requests all wait in the shorter queue.
		all := candidates(2)
		all[0].SetLoad(now, wire.Load{Slots: 4, Running: 4, Queued: 40})
		all[1].SetLoad(now, wire.Load{Slots: 4, Running: 4, Queued: 36})
		all[1].InFlightCounts.Add("modest", 8)
		Expect(count(all, choose.Request{Business: "modest"})).To(Equal(map[string]int{"agent-0": choices}))
	})

	It("prefers the affinity home of a prefix, the same at every entry, up to the bonus", func() {
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

	It("does not allocate", func() {
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

// BenchmarkRoundRobin32 is the baseline of BenchmarkChoice32: it ignores the load.
func BenchmarkRoundRobin32(b *testing.B) {
	all := candidates(32)
	next := 0
	var chosen *choose.Candidate
	for b.Loop() {
		next++
		chosen = all[next%len(all)]
	}
	_ = chosen
}
