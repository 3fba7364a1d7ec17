package poison_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

var _ = Describe("Registry", func() {
	var r *poison.Registry
	var now time.Time
	id := func(fingerprint uint64) poison.ID { return poison.ID{Service: "tone", Fingerprint: fingerprint} }
	crash := func(fingerprint uint64, endpoint string, batch int) wire.Suspicion {
		return wire.Suspicion{Fingerprint: fingerprint, Service: "tone", Endpoint: endpoint, Batch: batch, UnixMilli: now.UnixMilli()}
	}
	allowed := func(r *poison.Registry, at time.Time, fingerprint uint64) []string {
		endpoints, _ := r.AllowedEndpoints(at, id(fingerprint))
		return endpoints
	}
	verdict := func(fingerprint uint64) poison.Verdict { return r.Verdict(now, id(fingerprint)) }

	BeforeEach(func() {
		r = poison.New(poison.DefaultConfig(), "entry-2")
		now = time.Unix(1000, 0)
	})

	// A request crashes an endpoint that runs two others too. All three run alone the
	// next time: the harmless ones are answered, and the poison one crashes a second
	// endpoint and is quarantined.
	It("quarantines after the second endpoint and clears the other requests", func() {
		for _, f := range []uint64{1, 2, 3} {
			Expect(r.RecordCrash(now, crash(f, "a", 3))).To(BeFalse())
			Expect(verdict(f)).To(Equal(poison.Alone))
		}
		r.RecordAnswer(now, id(1))
		r.RecordAnswer(now, id(2))
		Expect(verdict(1)).To(Equal(poison.Unrestricted))
		Expect(r.RecordCrash(now, crash(3, "b", 1))).To(BeTrue())
		Expect(verdict(3)).To(Equal(poison.Blocked))
		Expect(verdict(2)).To(Equal(poison.Unrestricted))
		Expect(r.List(now)[0].Endpoints).To(Equal(2))
	})

	It("counts several reports of one crash once", func() {
		r.RecordCrash(now, crash(1, "a", 1))
		now = now.Add(time.Second)
		Expect(r.RecordCrash(now, crash(1, "a", 1))).To(BeFalse())
		Expect(verdict(1)).To(Equal(poison.Alone))
	})

	// Two copies are sent at once, and other requests run beside them on both
	// endpoints. Once all requests that ran are known, the only one that ran at both
	// crashes must have caused them.
	It("quarantines the only request that two crashes have in common", func() {
		r.RecordCrash(now, crash(1, "a", 2))
		r.RecordCrash(now, crash(1, "b", 2))
		Expect(verdict(1)).To(Equal(poison.Alone))
		r.RecordCrash(now, crash(2, "a", 2))
		Expect(verdict(1)).To(Equal(poison.Alone))
		cleared := crash(3, "b", 2)
		cleared.Cleared = true
		r.RecordCrash(now, cleared)
		Expect(verdict(1)).To(Equal(poison.Blocked))
		Expect(verdict(2)).To(Equal(poison.Alone))
		Expect(verdict(3)).To(Equal(poison.Unrestricted))
	})

	It("does not quarantine while another suspect ran at both crashes", func() {
		for _, f := range []uint64{1, 2} {
			r.RecordCrash(now, crash(f, "a", 2))
			r.RecordCrash(now, crash(f, "b", 2))
		}
		Expect(verdict(1)).To(Equal(poison.Alone))
		r.RecordAnswer(now, id(2))
		Expect(verdict(1)).To(Equal(poison.Blocked))
	})

	// A harmless request ran beside a poison request, and then alone when another
	// endpoint crashed for a different reason. If it were quarantined, its retries would
	// be refused for an hour. Instead it waits for one of the two endpoints and is
	// answered there.
	It("does not quarantine a request that ran alone at an unrelated crash while the cause of the first is unknown", func() {
		r.RecordCrash(now, crash(1, "a", 2))
		r.RecordCrash(now, crash(2, "a", 2))
		Expect(r.RecordCrash(now, crash(2, "b", 1))).To(BeFalse())
		endpoints, exclusive := r.AllowedEndpoints(now, id(2))
		Expect(endpoints).To(Equal([]string{"a", "b"}))
		Expect(exclusive).To(BeTrue())
		Expect(r.RecordCrash(now, crash(1, "c", 1))).To(BeFalse())
		Expect(allowed(r, now, 1)).To(Equal([]string{"a", "c"}))
		r.RecordAnswer(now, id(2))
		Expect(verdict(1)).To(Equal(poison.Blocked))
		Expect(verdict(2)).To(Equal(poison.Unrestricted))
	})

	// An entry gets a suspect answered. The others would run it alone for ten minutes, and hold it
	// against every other request of its crash.
	It("clears a suspect that a peer got answered, but not of a newer crash", func() {
		peer := poison.New(poison.DefaultConfig(), "entry-3")
		for _, known := range []*poison.Registry{r, peer} {
			known.RecordCrash(now, crash(1, "a", 2))
			known.RecordCrash(now, crash(2, "a", 2))
		}
		peer.RecordAnswer(now, id(2))
		now = now.Add(time.Second)
		r.RecordCrash(now, crash(1, "b", 1))
		Expect(verdict(2)).To(Equal(poison.Alone))
		Expect(verdict(1)).To(Equal(poison.Alone))
		for _, s := range peer.Suspicions() {
			r.RecordCrash(now, s)
		}
		Expect(verdict(2)).To(Equal(poison.Unrestricted))
		Expect(verdict(1)).To(Equal(poison.Blocked))

		r.RecordCrash(now, crash(2, "c", 2))
		for _, s := range peer.Suspicions() {
			r.RecordCrash(now, s)
		}
		Expect(verdict(2)).To(Equal(poison.Alone))
	})

	// A request that ran at the first crash is never sent again, as its caller gave up. The cause
	// of that crash would stay unknown, and each copy of the poison request would wait for its
	// two crashed endpoints until its deadline.
	It("quarantines although another request that ran at the first crash is never sent again", func() {
		r.RecordCrash(now, crash(1, "a", 2))
		r.RecordCrash(now, crash(2, "a", 2))
		r.RecordCrash(now, crash(2, "b", 1))
		Expect(verdict(2)).To(Equal(poison.Alone))
		now = now.Add(5 * time.Second)
		Expect(verdict(2)).To(Equal(poison.Blocked))
		Expect(verdict(1)).To(Equal(poison.Alone))
	})

	It("does not quarantine for a crash that a quarantined request explains", func() {
		r.RecordCrash(now, crash(1, "a", 2))
		r.RecordCrash(now, crash(1, "b", 1))
		Expect(verdict(1)).To(Equal(poison.Blocked))
		r.RecordCrash(now, crash(2, "a", 2))
		Expect(r.RecordCrash(now, crash(2, "c", 1))).To(BeFalse())
		now = now.Add(10 * time.Second)
		Expect(r.RecordCrash(now, crash(2, "c", 1))).To(BeTrue())
	})

	// A suspect that runs alone crashes an endpoint, which restarts within a second, and
	// crashes it again. If that passed for a second report of the first crash, the
	// request would run a third time.
	It("distinguishes two crashes of one endpoint by their numbers", func() {
		first, second := crash(1, "a", 1), crash(1, "a", 1)
		first.Crash, second.Crash = 1, 2
		Expect(r.RecordCrash(now, first)).To(BeFalse())
		Expect(r.RecordCrash(now, first)).To(BeFalse())
		Expect(r.RecordCrash(now, second)).To(BeTrue())
	})

	// A caller resends a poison request before the first copy has crashed its endpoint.
	// If each copy ran on another endpoint, each would crash one more.
	It("lets copies of an unknown request follow the first copy, through any entry", func() {
		peer := poison.New(poison.DefaultConfig(), "entry-3")
		Expect(allowed(r, now, 1)).To(BeEmpty())
		started, send := r.StartCopy(now, id(1), "a")
		Expect(send).To(BeTrue())
		peer.RecordPlacement(now, started)
		Expect(allowed(peer, now, 1)).To(Equal([]string{"a"}))
		Expect(allowed(peer, now.Add(time.Minute), 1)).To(BeEmpty())
		ended, send := r.EndCopy(now, id(1), "a", true)
		Expect(send).To(BeTrue())
		peer.RecordPlacement(now, ended)
		for _, known := range []*poison.Registry{r, peer} {
			Expect(allowed(known, now, 1)).To(BeEmpty())
			_, send = known.StartCopy(now, id(1), "b")
			Expect(send).To(BeFalse())
			Expect(allowed(known, now, 1)).To(BeEmpty())
		}
	})

	// Two entries run copies. One is answered, and the message about it arrives before
	// the other entry's message about a copy that started earlier. If that were
	// recorded, it would restrict a cleared request until the placement expires.
	It("ignores a late message about a copy once the request was answered", func() {
		answered, _ := r.StartCopy(now, id(1), "a")
		answered.Ended, answered.Cleared = true, true
		late := wire.Placement{Service: "tone", Fingerprint: 1, Endpoint: "b"}
		r.RecordPlacement(now, answered)
		r.RecordPlacement(now, late)
		Expect(allowed(r, now, 1)).To(BeEmpty())
	})

	// Many callers send the same request at once. If all copies followed the first, one
	// endpoint would run them all.
	It("spreads copies over endpoints if there are too many of them to be retries", func() {
		for range poison.DefaultConfig().MaxCopiesPerEndpoint {
			r.StartCopy(now, id(1), "a")
		}
		Expect(allowed(r, now, 1)).To(BeEmpty())
		r.StartCopy(now, id(1), "b")
		Expect(allowed(r, now, 1)).To(Equal([]string{"b"}))
	})

	It("no longer follows a copy that was refused", func() {
		r.StartCopy(now, id(1), "a")
		r.StartCopy(now, id(1), "a")
		r.EndCopy(now, id(1), "a", false)
		Expect(allowed(r, now, 1)).To(Equal([]string{"a"}))
		r.EndCopy(now, id(1), "a", false)
		Expect(allowed(r, now, 1)).To(BeEmpty())
	})

	It("does not suspect a recently answered request that ran beside others at a crash", func() {
		r.RecordAnswer(now, id(1))
		now = now.Add(4 * time.Minute)
		r.RecordCrash(now, crash(1, "a", 5))
		Expect(verdict(1)).To(Equal(poison.Unrestricted))
		now = now.Add(20 * time.Minute)
		r.RecordCrash(now, crash(1, "a", 5))
		Expect(verdict(1)).To(Equal(poison.Alone))
	})

	It("lets suspicions and quarantines expire", func() {
		r.RecordCrash(now, crash(1, "a", 1))
		r.RecordCrash(now, crash(2, "a", 1))
		r.RecordCrash(now, crash(2, "b", 1))
		now = now.Add(11 * time.Minute)
		Expect(verdict(1)).To(Equal(poison.Unrestricted))
		Expect(verdict(2)).To(Equal(poison.Blocked))
		now = now.Add(time.Hour)
		Expect(verdict(2)).To(Equal(poison.Unrestricted))
		Expect(r.List(now)).To(BeEmpty())
	})

	It("merges with peers, and an operator's release overrides older quarantines", func() {
		peer := poison.New(poison.DefaultConfig(), "entry-3")
		r.RecordCrash(now, crash(1, "a", 1))
		for _, s := range r.Suspicions() {
			peer.RecordCrash(now, s)
		}
		Expect(peer.Verdict(now, id(1))).To(Equal(poison.Alone))
		peer.RecordCrash(now, crash(1, "b", 1))
		quarantined := peer.List(now)
		r.Merge(now, quarantined)
		Expect(verdict(1)).To(Equal(poison.Blocked))
		now = now.Add(time.Minute)
		Expect(r.Release(now, 1)).To(BeTrue())
		Expect(r.Release(now, 1)).To(BeFalse())
		r.Merge(now, quarantined)
		Expect(verdict(1)).To(Equal(poison.Unrestricted))
		peer.Merge(now, r.List(now))
		Expect(peer.Verdict(now, id(1))).To(Equal(poison.Unrestricted))
		now = now.Add(time.Minute)
		r.RecordCrash(now, crash(1, "a", 1))
		Expect(r.RecordCrash(now, crash(1, "c", 1))).To(BeTrue())
		peer.Merge(now, r.List(now))
		Expect(peer.Verdict(now, id(1))).To(Equal(poison.Blocked))
	})

	// Two entries are about to start the same suspect. The one that asks last sees the
	// other's reservation, and the one with the greater ID yields.
	It("starts a suspect on one entry at a time", func() {
		other := poison.New(poison.DefaultConfig(), "entry-1")
		Expect(r.Reserve(id(1))).To(BeTrue())
		Expect(other.Busy(now, id(1), "entry-2")).To(BeFalse())
		Expect(other.Reserve(id(1))).To(BeTrue())
		Expect(r.Busy(now, id(1), "entry-1")).To(BeFalse())
		Expect(other.Reserved(id(1))).To(BeTrue())
		other.StartCopy(now, id(1), "a")
		Expect(r.Reserved(id(1))).To(BeFalse())
		Expect(r.Reserve(id(1))).To(BeTrue())
		Expect(other.Busy(now, id(1), "entry-2")).To(BeTrue())
		r.CancelReservation(id(1))
		other.EndCopy(now, id(1), "a", false)
		Expect(other.Busy(now, id(1), "entry-2")).To(BeFalse())
	})
})

var _ = Describe("Registry without agents", func() {
	var r *poison.Registry
	var now time.Time
	id := func(fingerprint uint64) poison.ID { return poison.ID{Fingerprint: fingerprint} }
	end := func(fingerprint uint64, endpoint string) wire.Suspicion {
		return wire.Suspicion{Fingerprint: fingerprint, Endpoint: endpoint, Crash: 1, UnixMilli: now.UnixMilli()}
	}

	BeforeEach(func() {
		r = poison.New(poison.SharedConfig(), "entry-2")
		now = time.Unix(1000, 0)
	})

	It("quarantines a request at the third endpoint that ended under it", func() {
		Expect(r.RecordCrash(now, end(1, "a"))).To(BeFalse())
		Expect(r.RecordCrash(now, end(1, "a"))).To(BeFalse(), "the same end, reported twice")
		Expect(r.RecordCrash(now, end(1, "b"))).To(BeFalse())
		Expect(r.Admits(now, id(1), 0)).To(BeTrue())
		Expect(r.RecordCrash(now, end(1, "c"))).To(BeTrue())
		Expect(r.Admits(now, id(1), 0)).To(BeFalse())
		Expect(r.BlockedUntil(now, id(1))).To(Equal(now.Add(poison.SharedConfig().QuarantineTTL)))
		Expect(r.Verdict(now, id(2))).To(Equal(poison.Unrestricted))
		Expect(r.BlockedUntil(now, id(2))).To(BeZero())
	})

	// Hedges and retries of one try would take more endpoints than the limit before any of them
	// has ended.
	It("admits only as many copies as may end endpoints", func() {
		Expect(r.Admits(now, id(1), 2)).To(BeTrue())
		Expect(r.Admits(now, id(1), 3)).To(BeFalse())
		r.RecordCrash(now, end(1, "a"))
		Expect(r.Admits(now, id(1), 1)).To(BeTrue())
		Expect(r.Admits(now, id(1), 2)).To(BeFalse())
	})

	// Without knowledge of what else ran, an innocent request that is alone in the books must not
	// count as the certain cause of two crashes.
	It("doesn't quarantine for two ends", func() {
		r.RecordCrash(now, end(1, "a"))
		Expect(r.RecordCrash(now, end(1, "b"))).To(BeFalse())
		Expect(r.Verdict(now, id(1))).NotTo(Equal(poison.Blocked))
	})

	It("counts anew after an answer", func() {
		r.RecordCrash(now, end(1, "a"))
		r.RecordCrash(now, end(1, "b"))
		r.RecordAnswer(now, id(1))
		Expect(r.RecentlyAnswered(now, id(1))).To(BeTrue())
		now = now.Add(poison.SharedConfig().ClearedTTL)
		Expect(r.RecentlyAnswered(now, id(1))).To(BeFalse())
		Expect(r.RecordCrash(now, end(1, "c"))).To(BeFalse())
		Expect(r.Admits(now, id(1), 1)).To(BeTrue())
	})

	It("ends a quarantine when one of its reports is withdrawn, and keeps the others", func() {
		for _, endpoint := range []string{"a", "b", "c", "d"} {
			r.RecordCrash(now, end(1, endpoint))
		}
		Expect(r.Withdraw(now, end(1, "d"))).To(BeFalse())
		Expect(r.Withdraw(now, end(1, "c"))).To(BeTrue())
		Expect(r.Admits(now, id(1), 0)).To(BeTrue())
		Expect(r.RecordCrash(now, end(1, "e"))).To(BeTrue())
	})

	It("lets quarantines expire", func() {
		for _, endpoint := range []string{"a", "b", "c"} {
			r.RecordCrash(now, end(1, endpoint))
		}
		now = now.Add(poison.SharedConfig().QuarantineTTL - time.Second)
		Expect(r.Admits(now, id(1), 0)).To(BeFalse())
		now = now.Add(time.Second)
		Expect(r.Admits(now, id(1), 0)).To(BeTrue())
	})
})
