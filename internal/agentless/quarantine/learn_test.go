package quarantine_test

import (
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

// feed records what a Quarantine passes on.
type feed struct {
	mu        sync.Mutex
	announced []quarantine.Entry
	forgotten []string
}

func (f *feed) Announce(e quarantine.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = append(f.announced, e)
}

func (f *feed) Forget(_ time.Time, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgotten = append(f.forgotten, key)
}

func (f *feed) entries() []quarantine.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]quarantine.Entry(nil), f.announced...)
}

var _ = Describe("the reports that processes send to each other", func() {
	const poisonous = 1
	var store *standin.TransactionalStore
	var ended endedAddresses
	var reporter, other *process
	var sent *feed

	// start starts a process that knows the endpoints a, b and c.
	start := func(name string, f quarantine.Feed) *process {
		d := directory.New(name, "", nil)
		for _, id := range []string{"a", "b", "c"} {
			d.Put(*endpoint(id))
		}
		return startProcess(store, name, ended, func(q *quarantine.Quarantine) { q.Directory, q.Feed = d, f })
	}
	// lose has the reporter lose an endpoint and returns the entry that it passes on.
	lose := func(id string) quarantine.Entry {
		before := len(sent.entries())
		reporter.ConnectionLost(request(poisonous), endpoint(id))
		Expect(sent.entries()).To(HaveLen(before + 1))
		return sent.entries()[before]
	}

	BeforeEach(func() {
		store = standin.NewTransactionalStore()
		store.SetDown(true)
		ended = endedAddresses{"a:1": true, "b:1": true, "c:1": true}
		sent = &feed{}
		reporter, other = start("p1", sent), start("p2", nil)
	})

	// Guards against a process that sends a request to further endpoints during an outage of the
	// store, under which others lost endpoints.
	It("count while the store is away, and are written by their reporter only", func() {
		for _, id := range []string{"a", "b", "c"} {
			Expect(other.Learn("p1", true, lose(id))).To(Succeed())
		}
		Expect(other.BlockedUntil(poisonous)).NotTo(BeZero())
		Expect(other.log.lines(`"event":2542`)).To(Equal(3))
		Expect(other.HasUnwritten()).To(BeFalse())
		Expect(other.Learn("p1", true, sent.entries()[0])).To(Succeed(), "once more")
		Expect(other.log.lines(`"event":2542`)).To(Equal(3))
	})

	It("no longer count once any process got the request answered, also if the store has them later", func() {
		e := lose("a")
		Expect(other.Learn("p1", true, e)).To(Succeed())
		withdrawal := quarantine.Entry{Key: e.Key, At: e.At, Withdrawn: true}
		for _, p := range []*process{reporter, other} {
			Expect(p.Learn("p3", true, withdrawal)).To(Succeed())
			Expect(p.Status()[0].Contested).To(BeFalse())
		}
		value, err := quarantine.EncodeReport(e.Report)
		Expect(err).NotTo(HaveOccurred())
		other.Changed(kv.Record{Key: e.Key, Value: value, Revision: 5})
		for _, id := range []string{"b", "c"} {
			Expect(other.Learn("p1", true, lose(id))).To(Succeed())
		}
		Expect(other.BlockedUntil(poisonous)).To(BeZero(), "two ends count")
		store.SetDown(false)
		Eventually(func() []string {
			reporter.StoreAnswers()
			page, err := store.ReadPage(GinkgoT().Context(), cluster.CrashPrefix, "")
			Expect(err).NotTo(HaveOccurred())
			var endpoints []string
			for _, r := range page.Records {
				endpoints = append(endpoints, r.Key)
			}
			return endpoints
		}, "30s").Should(And(HaveLen(2), Not(ContainElement(e.Key))))
	})

	// Guards against memory that grows with reports that their reporter did not live to write.
	It("are forgotten after an hour if the store never had them", func() {
		now := time.Now().UnixMilli()
		withdrawn := quarantine.NewEntry(poisonous, endpoint("b"), "lost", now)
		Expect(other.Learn("lost", true, quarantine.NewEntry(poisonous, endpoint("a"), "lost", now))).To(Succeed())
		Expect(other.Learn("lost", true, withdrawn)).To(Succeed())
		Expect(other.Learn("lost", true, quarantine.Entry{Key: withdrawn.Key, At: withdrawn.At, Withdrawn: true})).To(Succeed())
		Expect(other.Status()[0].Endpoints).To(HaveLen(2))
		other.AgeReports(2 * time.Hour)
		store.SetDown(false)
		other.ConnectionLost(request(poisonous), endpoint("c"))
		Eventually(func() map[string]string { return other.Status()[0].Endpoints }, "30s").Should(Equal(map[string]string{"c": "p2"}))
	})

	It("are passed on once for an end, and once more when they no longer count", func() {
		e := lose("a")
		reporter.ConnectionLost(request(poisonous), endpoint("a"))
		reporter.Answered(poisonous)
		reporter.Answered(poisonous)
		Expect(sent.entries()).To(Equal([]quarantine.Entry{e, {Key: e.Key, At: e.At, Withdrawn: true}}))
	})

	It("are forgotten when an operator removes them from the store", func() {
		e := lose("a")
		reporter.Deleted(e.Key)
		Expect(sent.forgotten).To(Equal([]string{e.Key}))
		Expect(reporter.Status()).To(BeEmpty())
	})

	// Guards against a quarantine of harmless requests by whoever reaches the inner port.
	It("of a process that is not listed count only if the endpoint is found to have ended", func() {
		e := lose("a")
		delete(ended, "a:1")
		Expect(other.Learn("unknown", false, e)).To(MatchError(ContainSubstring("not found to have ended")))
		Expect(other.Status()).To(BeEmpty())
		ended["a:1"] = true
		Expect(other.Learn("unknown", false, e)).To(Succeed())
		Expect(other.Status()).To(HaveLen(1))
		Expect(other.Learn("unknown", false, quarantine.Entry{Key: e.Key, At: e.At, Withdrawn: true})).To(MatchError(ContainSubstring("not listed")))
		ended["x:1"] = true
		Expect(other.Learn("unknown", false, lose("x"))).NotTo(Succeed(), "an endpoint that is not listed here")
	})

	// Guards against values that would keep a request from running for ever, fill the memory or
	// displace other reports.
	DescribeTable("are not used if a value is wrong", func(change func(e *quarantine.Entry)) {
		e := lose("a")
		change(&e)
		Expect(other.Learn("p1", true, e)).NotTo(Succeed())
		Expect(other.Status()).To(BeEmpty())
	},
		Entry("key of another report", func(e *quarantine.Entry) { e.Key += "0" }),
		Entry("no key", func(e *quarantine.Entry) { e.Key = "" }),
		Entry("key of a withdrawal without a fingerprint", func(e *quarantine.Entry) { e.Withdrawn, e.Key = true, "live/crashes/zz/1" }),
		Entry("no endpoint", func(e *quarantine.Entry) { e.Report.Endpoint = "" }),
		Entry("no reporter", func(e *quarantine.Entry) { e.Report.Reporter = "" }),
		Entry("no service", func(e *quarantine.Entry) { e.Report.Service = "" }),
		Entry("long host", func(e *quarantine.Entry) { e.Report.Host = strings.Repeat("h", 256) }),
		Entry("long path", func(e *quarantine.Entry) { e.Report.Path = strings.Repeat("p", 201) }),
		Entry("long method", func(e *quarantine.Entry) { e.Report.Method = strings.Repeat("M", 33) }),
		Entry("time of another end", func(e *quarantine.Entry) { e.At-- }),
		Entry("long ago", func(e *quarantine.Entry) {
			e.At = time.Now().Add(-2 * time.Hour).UnixMilli()
			e.Report.UnixMilli = e.At
		}),
		Entry("far ahead", func(e *quarantine.Entry) {
			e.At = time.Now().Add(time.Hour).UnixMilli()
			e.Report.UnixMilli = e.At
		}),
	)
})
