package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("PoisonQuarantine's choice of an endpoint", func() {
	var quarantines map[string]*PoisonQuarantine
	BeforeEach(func() { quarantines = newQuarantines("entry-1", "entry-2", "entry-3") })
	admit := func(name string, c RequestCopy) string {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		a, _, admitted := quarantines[name].StartCopy(ctx, c)
		Expect(admitted).To(BeTrue())
		return a.Endpoint
	}
	placed := func(name string) []string {
		q := quarantines[name]
		q.mu.Lock()
		defer q.mu.Unlock()
		endpoints, _ := q.registry.AllowedEndpoints(time.Now(), requestID(copyAt("")))
		return endpoints
	}

	// A caller resends its request every 20 ms through another entry, and the
	// first copy has not crashed yet. If each copy ran at an endpoint of its own,
	// each could crash one, so every copy goes to the endpoint of the first. One
	// hedge may use another endpoint, since at the first it would be just as slow.
	It("sends copies of an unproven request to the endpoint of the first, except for one hedge", func() {
		Expect(admit("entry-1", copyAt("agent-1"))).To(Equal("agent-1"))
		Eventually(func() []string { return placed("entry-2") }, time.Minute).Should(Equal([]string{"agent-1"}))
		Expect(admit("entry-2", copyAt("agent-2"))).To(Equal("agent-1"))
		hedge := copyAt("agent-3")
		hedge.Hedge = true
		Expect(admit("entry-1", hedge)).To(Equal("agent-3"))
		hedge.Endpoint = "agent-4"
		Expect(admit("entry-1", hedge)).To(Equal("agent-1"))
		quarantines["entry-1"].EndCopy(copyAt("agent-1"), "agent-1", true)
		Eventually(func() []string { return placed("entry-3") }, time.Minute).Should(BeEmpty())
		Expect(admit("entry-3", copyAt("agent-5"))).To(Equal("agent-5"))
	})

	// The first copy runs at an endpoint that is leaving. A copy that waited for
	// the first one's answer could miss its deadline.
	It("uses another endpoint after followTimeout if that of the first copy gets no requests", func() {
		Expect(admit("entry-1", copyAt("agent-1"))).To(Equal("agent-1"))
		next := copyAt("agent-2")
		next.Usable = func(string) bool { return false }
		Expect(admit("entry-1", next)).To(Equal("agent-2"))
	})

	// In a fleet of hundreds, sending every placement to every entry would be most
	// of the entries' work. Only the coordinator gets the placement of the first
	// copy. When the caller resends and a second copy starts at another endpoint,
	// all entries get both placements, so that the third copy crashes no third
	// endpoint. The ends of the copies are sent to all entries too.
	It("sends the first placement to one entry, and the second to all", func() {
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprintf("entry-%02d", i))
		}
		quarantines = newQuarantines(names...)
		known := func(want ...string) func() int {
			return func() (n int) {
				for _, name := range names {
					if slices.Equal(placed(name), want) {
						n++
					}
				}
				return n
			}
		}
		coordinator := quarantines[names[0]].coordinator(quarantines[names[0]].peers.Others(), copyAt("").Fingerprint)
		Expect(coordinator).NotTo(BeNil(), "the first entry must not be the coordinator")
		Expect(admit(names[0], copyAt("agent-1"))).To(Equal("agent-1"))
		Eventually(known("agent-1"), time.Minute).Should(Equal(2))
		Consistently(known("agent-1"), 100*time.Millisecond).Should(Equal(2))
		second := slices.IndexFunc(names, func(name string) bool { return name != names[0] && name != coordinator.ID })
		Expect(admit(names[second], copyAt("agent-2"))).To(Equal("agent-2"))
		Eventually(known("agent-1", "agent-2"), time.Minute).Should(Equal(len(names)))
		Expect(admit(names[second+3], copyAt("agent-3"))).To(BeElementOf("agent-1", "agent-2"))
		quarantines[names[0]].EndCopy(copyAt("agent-1"), "agent-1", true)
		Eventually(known(), time.Minute).Should(Equal(len(names)))
	})

	// The scheduler moves a sample to another engine, where it starts before the
	// old copy has ended. If it had to run at the old copy's engine, it could not
	// move.
	It("runs rollouts at the endpoint that the scheduler chose", func() {
		rollout := copyAt("agent-1")
		rollout.Rollout = true
		Expect(admit("entry-1", rollout)).To(Equal("agent-1"))
		rollout.Endpoint = "agent-2"
		Expect(admit("entry-1", rollout)).To(Equal("agent-2"))
		Expect(placed("entry-1")).To(BeEmpty())
	})

	// Two endpoints crashed while the request ran among others, so that none of the
	// requests is proven to be the cause. It may run only at these two endpoints,
	// and waits while neither gets requests.
	It("does not run a suspect that crashed two endpoints at a third", func() {
		for _, endpoint := range []string{"agent-1", "agent-2"} {
			quarantines["entry-1"].ReportCrash(crashAt(endpoint, 4))
		}
		Expect(admit("entry-2", copyAt("agent-3"))).To(Equal("agent-1"))
		quarantines["entry-2"].EndCopy(copyAt("agent-3"), "agent-1", false)
		down := copyAt("agent-3")
		down.Usable = func(string) bool { return false }
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, refusal, admitted := quarantines["entry-2"].StartCopy(ctx, down)
		Expect(admitted).To(BeFalse())
		Expect(refusal.Outcome).To(Equal(wire.NotRun))
	})
})
