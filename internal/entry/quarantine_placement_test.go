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

var _ = Describe("PoisonGuard's choice of an endpoint", func() {
	var quarantines map[string]*PoisonQuarantine
	BeforeEach(func() { quarantines = newQuarantines("entry-1", "entry-2", "entry-3") })
	admit := func(name string, v RequestCopy) string {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		a, _, admitted := quarantines[name].StartCopy(ctx, v)
		Expect(admitted).To(BeTrue())
		return a.Endpoint
	}
	placed := func(name string) []string {
		g := quarantines[name]
		g.mu.Lock()
		defer g.mu.Unlock()
		endpoints, _ := g.registry.AllowedEndpoints(time.Now(), requestID(copyAt("")))
		return endpoints
	}

	// A caller resends its request every 20 ms through another entry, and the
	// first copy has not crashed yet. Every copy goes to that endpoint; of the
	// hedges one may go elsewhere, since beside a slow copy it would be as slow.
	It("sends copies of an unknown request where the first runs, but for one hedge", func() {
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

	// The first copy runs at an endpoint that leaves. A copy that waited for it
	// until it is answered could come too late.
	It("goes elsewhere after a while if the endpoint to follow takes no work", func() {
		Expect(admit("entry-1", copyAt("agent-1"))).To(Equal("agent-1"))
		next := copyAt("agent-2")
		next.Usable = func(string) bool { return false }
		Expect(admit("entry-1", next)).To(Equal("agent-2"))
	})

	// In a fleet of hundreds the news of every request to every entry would be
	// the larger part of their work. One entry hears of the first copy; the caller
	// resends, a second copy begins elsewhere, and all entries know of both, so
	// that the third crashes no third endpoint. The ends are known to all too.
	It("tells one entry of the first copy, and all of the second", func() {
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
		Expect(coordinator).NotTo(BeNil(), "the first entry is to be another than the coordinator")
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

	// The scheduler moves a sample to another engine, where it begins before its
	// old copy has ended. Made to follow that, it would stay where it was.
	It("leaves rollouts where the scheduler put them", func() {
		rollout := copyAt("agent-1")
		rollout.Rollout = true
		Expect(admit("entry-1", rollout)).To(Equal("agent-1"))
		rollout.Endpoint = "agent-2"
		Expect(admit("entry-1", rollout)).To(Equal("agent-2"))
		Expect(placed("entry-1")).To(BeEmpty())
	})

	// Two endpoints crashed with the request in company, so nothing is proved.
	// It is tried on these two only, and waits while neither may be given work.
	It("runs a suspect that crashed two endpoints on no third", func() {
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
