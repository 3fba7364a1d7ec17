package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func instance(id string) membership.Instance {
	return membership.Instance{ID: id, Address: "10.0.0.1:7000/" + id, Domain: "d", Service: "s"}
}

func word(id, incarnation string, uptime float64) membership.SelfReport {
	return membership.SelfReport{From: id, Incarnation: incarnation, Uptime: time.Duration(uptime * float64(time.Second))}
}

var _ = Describe("the table", func() {
	var t *membership.Table
	state := func(id string) membership.State { return t.Get(id).State() }

	BeforeEach(func() {
		t = membership.New(membership.DefaultConfig())
		t.ApplyList(start, []membership.Instance{instance("a"), instance("b")})
		Expect(state("a")).To(Equal(membership.Joining))
		t.ApplyReport(start, "a", word("a", "run-1", 1))
		t.ApplyReport(start, "b", word("b", "run-1", 1))
		Expect(state("a")).To(Equal(membership.Live))
	})

	It("lets no old copy of the list bring back an agent that left", func() {
		// The agent announces that it leaves and stops. The list goes on
		// naming it as staying, drops it, and an older copy names it again.
		leaving := word("a", "run-1", 2)
		leaving.Leaving = true
		t.ApplyReport(at(1), "a", leaving)
		Expect(state("a")).To(Equal(membership.Leaving))
		t.ApplyList(at(2), []membership.Instance{instance("a"), instance("b")})
		Expect(state("a")).To(Equal(membership.Leaving))
		t.MarkUnresponsive(at(3), "a")
		t.Tick(at(14))
		Expect(state("a")).To(Equal(membership.Gone))
		t.ApplyList(at(20), []membership.Instance{instance("b")})
		t.ApplyList(at(500), []membership.Instance{instance("a"), instance("b")})
		Expect(state("a")).To(Equal(membership.Gone))
	})

	It("takes an instance back under its old address by its new run alone", func() {
		leaving := word("a", "run-1", 2)
		leaving.Leaving = true
		t.ApplyReport(at(1), "a", leaving)
		t.MarkUnresponsive(at(2), "a")
		t.Tick(at(13))
		Expect(state("a")).To(Equal(membership.Gone))
		t.ApplyReport(at(14), "a", word("a", "run-1", 1.5)) // late answer of the old run
		Expect(state("a")).To(Equal(membership.Gone))
		t.ApplyReport(at(15), "a", word("a", "run-2", 0.1))
		Expect(state("a")).To(Equal(membership.Live))
	})

	It("hears no older word that comes late", func() {
		leaving := word("a", "run-1", 5)
		leaving.Leaving = true
		t.ApplyReport(at(5), "a", leaving)
		t.ApplyReport(at(5.1), "a", word("a", "run-1", 4))
		Expect(state("a")).To(Equal(membership.Leaving))
	})

	It("gives the address to the instance that answers there", func() {
		changes := t.ApplyReport(at(1), "a", word("c", "run-9", 1))
		Expect(changes).To(ContainElement(HaveField("To", membership.Gone)))
		Expect(state("a")).To(Equal(membership.Gone))
		Expect(t.Get("c").Address).To(Equal(instance("a").Address))
		var ids []string
		for _, in := range t.ConnectionCandidates() {
			ids = append(ids, in.ID)
		}
		Expect(ids).To(Equal([]string{"b", "c"}))
	})

	It("keeps the agents of a region that is cut off, however long, and their places", func() {
		// For ten minutes nothing of the other region answers. Its agents get
		// no requests, but no other takes their place, so nothing moves when
		// the cut ends, and they serve again with their first heartbeat.
		before := t.ConnectionCandidates()
		t.MarkUnresponsive(at(1), "a")
		t.Tick(at(600))
		Expect(state("a")).To(Equal(membership.Suspect))
		Expect(t.ConnectionCandidates()).To(Equal(before))
		t.ApplyReport(at(601), "a", word("a", "run-1", 601))
		Expect(state("a")).To(Equal(membership.Live))
	})

	It("goes on with agents that answer when the list is empty or wrong", func() {
		t.ApplyList(at(1), nil)
		t.Tick(at(100))
		Expect(state("a")).To(Equal(membership.Live))
		t.MarkUnresponsive(at(101), "a")
		t.Tick(at(112))
		Expect(state("a")).To(Equal(membership.Gone))
	})

	It("has the agent told once when the list says that it leaves, and believes a correction", func() {
		leaving := instance("a")
		leaving.Leaving = true
		list := []membership.Instance{leaving, instance("b")}
		Expect(t.ApplyList(at(1), list)).To(ConsistOf(And(HaveField("ID", "a"), HaveField("Notify", true))))
		Expect(t.ApplyList(at(2), list)).To(BeEmpty())
		Expect(state("a")).To(Equal(membership.Leaving))
		right := []membership.Instance{instance("a"), instance("b")}
		t.ApplyList(at(3), right)
		Expect(state("a")).To(Equal(membership.Leaving)) // may be an older copy
		t.ApplyList(at(34), right)
		Expect(state("a")).To(Equal(membership.Live))
	})
})

var _ = Describe("the fan-out", func() {
	fleet := func(n, agents int) (entries []string, all []membership.Instance) {
		for i := range n {
			entries = append(entries, fmt.Sprint("entry-", i))
		}
		for i := range agents {
			in := instance(fmt.Sprint("agent-", i))
			in.Domain = fmt.Sprint("hall-", i%3)
			in.Service = fmt.Sprint("service-", i%2)
			all = append(all, in)
		}
		return entries, all
	}
	ids := func(kept []membership.Connection) map[string]bool {
		set := map[string]bool{}
		for _, k := range kept {
			set[k.ID] = true
		}
		return set
	}

	It("keeps every agent at today's sizes", func() {
		entries, all := fleet(3, 13)
		for _, e := range entries {
			Expect(membership.SelectConnections(e, entries, all, membership.DefaultFanout(), time.Second)).To(HaveLen(13))
		}
	})

	It("keeps few agents of a small service that is spread over many failure domains", func() {
		// The agents of a small service are called by nearly every entry, and
		// their traffic grows with the entries. Each entry wants an agent in
		// every failure domain; with eight of them and ten agents that is most
		// of the service, though the entry's share allows it four.
		entries, all := fleet(370, 1290)
		for i := range all {
			all[i].Domain = fmt.Sprint("hall-", i%8)
			all[i].Service = fmt.Sprint("service-", i%8)
			if i < 80 {
				all[i].Domain = fmt.Sprint("hall-", i/8%8)
			}
		}
		keepers := map[string]int{}
		for _, e := range entries {
			domains := map[string]map[string]bool{}
			for _, k := range membership.SelectConnections(e, entries, all[:80], membership.DefaultFanout(), time.Second) {
				i := slices.IndexFunc(all, func(in membership.Instance) bool { return in.ID == k.ID })
				service := all[i].Service
				if domains[service] == nil {
					domains[service] = map[string]bool{}
				}
				domains[service][all[i].Domain] = true
				keepers[k.ID]++
			}
			for _, d := range domains {
				Expect(len(d)).To(BeNumerically(">=", 4))
			}
		}
		for _, n := range keepers {
			Expect(n).To(BeNumerically("<=", 230))
		}
	})

	It("moves only the agents of an entry that goes", func() {
		entries, all := fleet(40, 200)
		f := membership.DefaultFanout()
		for _, e := range entries[1:] {
			before := ids(membership.SelectConnections(e, entries, all, f, time.Second))
			after := ids(membership.SelectConnections(e, entries[1:], all, f, time.Second))
			for id := range after {
				delete(before, id)
			}
			Expect(len(before)).To(BeNumerically("<=", 3))
		}
	})

	It("has the entries take turns at the list", func() {
		entries, _ := fleet(10, 0)
		reads := map[time.Time]bool{}
		for _, e := range entries {
			reads[membership.NextPoll(start, e, entries, 1000)] = true
		}
		Expect(reads).To(HaveLen(10))
		Expect(membership.PollInterval(16)).To(Equal(time.Second))
	})
})
