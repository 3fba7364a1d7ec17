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

func report(id, incarnation string, uptime float64) membership.SelfReport {
	return membership.SelfReport{From: id, Incarnation: incarnation, Uptime: time.Duration(uptime * float64(time.Second))}
}

var _ = Describe("Table", func() {
	var t *membership.Table
	state := func(id string) membership.State { return t.Get(id).State() }

	BeforeEach(func() {
		t = membership.New(membership.DefaultConfig())
		t.ApplyList(start, []membership.Instance{instance("a"), instance("b")})
		Expect(state("a")).To(Equal(membership.Joining))
		t.ApplyReport(start, "a", report("a", "run-1", 1))
		t.ApplyReport(start, "b", report("b", "run-1", 1))
		Expect(state("a")).To(Equal(membership.Live))
	})

	It("does not bring back an agent that left because of an outdated copy of the list", func() {
		// The agent reports that it leaves and stops. The list still names it as
		// staying, then omits it, and an older copy names it again.
		leaving := report("a", "run-1", 2)
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

	It("makes an instance live again under its old address only by a report of its new process", func() {
		leaving := report("a", "run-1", 2)
		leaving.Leaving = true
		t.ApplyReport(at(1), "a", leaving)
		t.MarkUnresponsive(at(2), "a")
		t.Tick(at(13))
		Expect(state("a")).To(Equal(membership.Gone))
		t.ApplyReport(at(14), "a", report("a", "run-1", 1.5)) // late reply of the old process
		Expect(state("a")).To(Equal(membership.Gone))
		t.ApplyReport(at(15), "a", report("a", "run-2", 0.1))
		Expect(state("a")).To(Equal(membership.Live))
	})

	It("ignores an older report that arrives late", func() {
		// Two reports of one process arrive in reverse order. The older one, from
		// before the agent began to leave, must not make it live again.
		leaving := report("a", "run-1", 5)
		leaving.Leaving = true
		t.ApplyReport(at(5), "a", leaving)
		t.ApplyReport(at(5.1), "a", report("a", "run-1", 4))
		Expect(state("a")).To(Equal(membership.Leaving))
	})

	It("assigns an address to the instance that answers there", func() {
		// Instance c answers at an address at which the list still names instance a.
		// Instance a is gone then, although nothing else has reported that, and c is
		// known before the list names it.
		changes := t.ApplyReport(at(1), "a", report("c", "run-9", 1))
		Expect(changes).To(ContainElement(HaveField("To", membership.Gone)))
		Expect(state("a")).To(Equal(membership.Gone))
		Expect(t.Get("c").Address).To(Equal(instance("a").Address))
		var ids []string
		for _, in := range t.ConnectionCandidates() {
			ids = append(ids, in.ID)
		}
		Expect(ids).To(Equal([]string{"b", "c"}))
	})

	It("keeps the agents of a region that is cut off, and their places, for any length of time", func() {
		// For ten minutes no agent of the other region answers. Its agents get
		// no requests, but no others take their places, so connections don't
		// move when the partition ends, and the agents serve again with their
		// first heartbeat.
		before := t.ConnectionCandidates()
		t.MarkUnresponsive(at(1), "a")
		t.Tick(at(600))
		Expect(state("a")).To(Equal(membership.Suspect))
		Expect(t.ConnectionCandidates()).To(Equal(before))
		t.ApplyReport(at(601), "a", report("a", "run-1", 601))
		Expect(state("a")).To(Equal(membership.Live))
	})

	It("keeps agents that answer when the list is empty or wrong", func() {
		t.ApplyList(at(1), nil)
		t.Tick(at(100))
		Expect(state("a")).To(Equal(membership.Live))
		t.MarkUnresponsive(at(101), "a")
		t.Tick(at(112))
		Expect(state("a")).To(Equal(membership.Gone))
	})

	It("notifies an agent once when the list names it as leaving, and accepts a correction", func() {
		leaving := instance("a")
		leaving.Leaving = true
		list := []membership.Instance{leaving, instance("b")}
		Expect(t.ApplyList(at(1), list)).To(ConsistOf(And(HaveField("ID", "a"), HaveField("Notify", true))))
		Expect(t.ApplyList(at(2), list)).To(BeEmpty())
		Expect(state("a")).To(Equal(membership.Leaving))
		right := []membership.Instance{instance("a"), instance("b")}
		t.ApplyList(at(3), right)
		Expect(state("a")).To(Equal(membership.Leaving)) // the list may be an older copy
		t.ApplyList(at(34), right)
		Expect(state("a")).To(Equal(membership.Live))
	})
})

var _ = Describe("SelectConnections and NextPoll", func() {
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

	It("keeps every agent in a small fleet", func() {
		entries, all := fleet(3, 13)
		for _, e := range entries {
			Expect(membership.SelectConnections(e, entries, all, membership.DefaultFanout(), time.Second)).To(HaveLen(13))
		}
	})

	It("keeps few agents of a small service that is spread over many failure domains", func() {
		// Regression: the agents of a small service were called by nearly every
		// entry, and their traffic grew with the number of entries. Each entry
		// kept an agent in every failure domain; with eight of them and ten
		// agents that was most of the service, although the quota of an entry
		// was four.
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

	It("moves only the agents of an entry that is removed", func() {
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

	It("spreads the entries' reads of the list over an interval", func() {
		entries, _ := fleet(10, 0)
		reads := map[time.Time]bool{}
		for _, e := range entries {
			reads[membership.NextPoll(start, e, entries, 1000)] = true
		}
		Expect(reads).To(HaveLen(10))
		Expect(membership.PollInterval(16)).To(Equal(time.Second))
	})
})
