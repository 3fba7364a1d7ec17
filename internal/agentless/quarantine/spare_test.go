package quarantine_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("a harmless scoring call that runs beside a request that ends endpoints", func() {
	const poisonous, scoring = 1, 2

	// Guards against a quarantine of the scoring call for an hour: an entry and the owner of a job
	// lose all three endpoints of a service at the same moments, each under its own request, and
	// the scoring call would count as often as the request that ends the endpoints.
	It("is not quarantined, and the other request is once it ends an endpoint alone", func() {
		store := standin.NewTransactionalStore()
		ended := endedAddresses{"a:1": true, "b:1": true, "c:1": true}
		entry, owner := startProcess(store, "entry", ended), startProcess(store, "owner", ended)
		for _, id := range []string{"a", "b", "c"} {
			entry.ConnectionLost(request(poisonous), endpoint(id))
			owner.ConnectionLost(request(scoring), endpoint(id))
		}
		again := endpoint("a")
		again.StartedAtMillis = 2
		entry.ConnectionLost(request(poisonous), again)
		for _, p := range []*process{entry, owner} {
			Eventually(func() bool { return p.BlockedUntil(poisonous).IsZero() }, "5s").Should(BeFalse())
			Eventually(func() bool { return p.BlockedUntil(scoring).IsZero() }, "5s").Should(BeTrue())
		}
	})
})

var _ = Describe("the admission of copies", func() {
	const suspect, harmless = 1, 2
	var d *directory.Directory
	var ended endedAddresses
	var store *standin.TransactionalStore
	start := func(name string) *process {
		p := startProcess(store, name, ended)
		p.Directory = d
		return p
	}
	admits := func(p *process, tried ...string) *quarantine.Admission {
		a := p.Admit(quarantine.Copy{Fingerprint: suspect, Service: "app", Tried: tried})
		if a.Admitted {
			a.Ended()
		}
		return a
	}

	BeforeEach(func() {
		store = standin.NewTransactionalStore()
		ended = endedAddresses{"a:1": true}
		d = directory.New("self", "", nil)
		for _, id := range []string{"a", "b", "c"} {
			d.Put(*endpoint(id))
		}
	})

	It("sends a suspect of any process to one endpoint, the same in all processes", func() {
		first, second := start("p1"), start("p2")
		first.ConnectionLost(request(suspect), endpoint("a"))
		only := admits(first).Only
		Expect(only).To(HaveLen(1))
		Eventually(func() []string { return admits(second).Only }, "5s").Should(Equal(only))
		Expect(second.Admit(quarantine.Copy{Fingerprint: harmless, Service: "app"}).Only).To(BeNil())
	})

	// Guards against an entry that holds a request of a suspect until its caller gives up: the time
	// until which reports of other processes are awaited was taken from the clock of the reporter.
	It("does not wait for a report whose time lies in the future", func() {
		for _, id := range []string{"b", "c"} {
			d.Remove(id)
		}
		d.Put(*endpoint("b"))
		value, err := quarantine.EncodeReport(quarantine.Report{
			Fingerprint: suspect, Service: "app", Endpoint: "a", StartedAtMillis: 1, Reporter: "ahead", UnixMilli: time.Now().Add(time.Hour).UnixMilli(),
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(context.Background(), kv.Transaction{Puts: []kv.Put{{Key: cluster.CrashPrefix + poison.FormatFingerprint(suspect) + "/x", Value: value}}})
		Expect(err).NotTo(HaveOccurred())
		p := start("p1")
		Eventually(func() bool { return admits(p).Admitted }, "5s").Should(BeFalse())
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		a := p.AdmitSettled(ctx, quarantine.Copy{Fingerprint: suspect, Service: "app"})
		Expect(a.Admitted).To(BeFalse())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(p.log.lines(`"event":2207`)).To(Equal(1))
	})

	DescribeTable("does not count an endpoint as healthy", func(lose func(p *process)) {
		p := start("p1")
		p.ConnectionLost(request(suspect), endpoint("a"))
		Expect(admits(p).Admitted).To(BeTrue())
		lose(p)
		refused := admits(p)
		Expect(refused.Admitted).To(BeFalse())
		Expect(refused.Quarantined).To(BeFalse())
		Expect(refused.RetryAfter).To(And(BeNumerically(">", time.Second), BeNumerically("<", 10*time.Second)))
	},
		Entry("that is leaving", func(*process) {
			e := endpoint("b")
			e.Leaving = true
			d.Put(*e)
		}),
		Entry("that is no longer listed", func(p *process) {
			p.EndpointGone("b")
			d.Remove("b")
		}),
		Entry("that another request lost", func(p *process) {
			ended["b:1"] = true
			p.ConnectionLost(request(harmless), endpoint("b"))
		}),
		Entry("that another process lost", func(p *process) {
			other := start("p2")
			ended["b:1"] = true
			other.ConnectionLost(request(harmless), endpoint("b"))
			Eventually(func() bool { return admits(p).Admitted }, "5s").Should(BeFalse())
		}),
		Entry("that did not run the request and refuses connections", func(p *process) {
			only := admits(p).Only
			ended[only[0]+":1"] = true
			Expect(admits(p, only...).Admitted).To(BeFalse())
		}),
	)

	// Guards against a suspect that ends the last endpoint ten seconds after the others: in an outage of
	// the store the list still names them, and other instances listen at their addresses.
	It("keeps the last endpoint when others ended longer ago and are still listed", func() {
		longAgo := time.Now().Add(-time.Minute / 2).UnixMilli()
		var p *process
		for fingerprint := uint64(100); fingerprint < 110; fingerprint++ {
			p = start(fmt.Sprint("p", fingerprint))
			for _, id := range []string{"a", "b"} {
				Expect(p.Learn("p2", true, quarantine.NewEntry(fingerprint, endpoint(id), "p2", longAgo))).To(Succeed())
			}
			a := p.Admit(quarantine.Copy{Fingerprint: fingerprint, Service: "app"})
			Expect(a.Only).To(HaveLen(1), "request %d", fingerprint)
			Expect(a.Only).NotTo(ContainElement("c"))
			a.Ended()
		}
		p.EndpointReplaced(endpoint("a"))
		p.EndpointReplaced(endpoint("b"))
		a := p.Admit(quarantine.Copy{Fingerprint: 109, Service: "app"})
		Expect(a.Admitted).To(BeFalse())
		Expect(a.Quarantined).To(BeFalse())
		By("one of them is listed with another start")
		again := *endpoint("b")
		again.StartedAtMillis = 2
		d.Put(again)
		p.EndpointListed(&again)
		Expect(p.Admit(quarantine.Copy{Fingerprint: 109, Service: "app"}).Admitted).To(BeTrue())
	})

	It("holds a suspect back by its own reports while the store is down", func() {
		store.SetDown(true)
		p := start("p1")
		ended["b:1"] = true
		p.ConnectionLost(request(suspect), endpoint("a"))
		Expect(admits(p).Admitted).To(BeTrue())
		p.ConnectionLost(request(suspect), endpoint("b"))
		Expect(admits(p).Admitted).To(BeFalse())
	})

	It("admits a suspect again once its endpoint is back, and learns how long that takes", func() {
		p := start("p1")
		d.Remove("b")
		d.Remove("c")
		p.ConnectionLost(request(suspect), endpoint("a"))
		Expect(admits(p).Admitted).To(BeFalse())
		back := endpoint("a")
		back.StartedAtMillis = 2
		p.EndpointListed(back)
		d.Put(*back)
		Expect(admits(p).Admitted).To(BeTrue())
		p.ConnectionLost(request(harmless), back)
		Expect(p.Admit(quarantine.Copy{Fingerprint: harmless, Service: "app"}).RetryAfter).To(BeNumerically("<", 3500*time.Millisecond))
	})

	// Guards against a quarantine for an hour after two ends, the limit of a service with one
	// endpoint, while only one of several engines has the weights that a text needs.
	It("counts the engines with other weights when it limits the ends under a text", func() {
		p := start("p1")
		ended["b:1"] = true
		for _, id := range []string{"a", "b"} {
			p.ConnectionLost(request(suspect), endpoint(id))
		}
		versions := map[string]int64{"a": 4, "b": 4, "c": 5}
		for id, version := range versions {
			e := endpoint(id)
			if id != "c" {
				e.StartedAtMillis = 2
			}
			e.Versions = map[string]int64{"m": version}
			p.EndpointListed(e)
			d.Put(*e)
		}
		a := p.Admit(quarantine.Copy{Fingerprint: suspect, Service: "app", Model: "m", MinVersion: 5})
		Expect(a.Quarantined).To(BeFalse())
		Expect(a.Admitted).To(BeTrue())
		a.Ended()
	})

	It("goes by the number of ends while the mechanism is off, and holds nothing back", func() {
		p := start("p1")
		p.Switches = &mechanism.Switches{}
		p.Switches.SetDisabled([]mechanism.Mechanism{mechanism.SpareEndpoints})
		d.Remove("b")
		d.Remove("c")
		p.ConnectionLost(request(suspect), endpoint("a"))
		Expect(admits(p)).To(Equal(&quarantine.Admission{Admitted: true}))
	})

	It("limits the log lines about a suspect that is sent again and again, and shows it to operators", func() {
		p := start("p1")
		d.Remove("b")
		p.ConnectionLost(request(suspect), endpoint("a"))
		for range 100 {
			Expect(admits(p).Admitted).To(BeFalse())
		}
		Expect(p.log.lines(`"event":2540`)).To(Equal(1))
		Expect(p.Status()).To(HaveExactElements(HaveField("Endpoints", HaveKeyWithValue("a", "p1"))))
	})

	// Guards against a refusal of a request that another process's reports clear: another request
	// ran at its end and at one more.
	It("admits a suspect to the last endpoint once another process reports the likelier cause", func() {
		p, other := start("p1"), start("p2")
		ended["b:1"] = true
		p.ConnectionLost(request(suspect), endpoint("b"))
		for _, id := range []string{"a", "b"} {
			other.ConnectionLost(request(harmless), endpoint(id))
		}
		Eventually(func() bool { return admits(p).Admitted }, "5s").Should(BeTrue())
	})

	It("waits for another copy of a suspect to end, if asked to", func() {
		p := start("p1")
		p.ConnectionLost(request(suspect), endpoint("a"))
		first := p.Admit(quarantine.Copy{Fingerprint: suspect, Service: "app"})
		first.Started(first.Only[0])
		Expect(admits(p).Admitted).To(BeFalse())
		second := make(chan bool, 1)
		go func() {
			second <- p.AdmitSettled(context.Background(), quarantine.Copy{Fingerprint: suspect, Service: "app"}).Admitted
		}()
		first.Ended()
		Eventually(second, "5s").Should(Receive(BeTrue()))
	})

	It("does not wait once its context has ended", func() {
		p := start("p1")
		p.ConnectionLost(request(suspect), endpoint("a"))
		first := p.Admit(quarantine.Copy{Fingerprint: suspect, Service: "app"})
		Expect(first.Admitted).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(p.AdmitSettled(ctx, quarantine.Copy{Fingerprint: suspect, Service: "app"}).Admitted).To(BeFalse())
	})
})
