package quarantine_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/standin"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

// endedAddresses is a Prober of endpoints of which some have ended.
type endedAddresses map[string]bool

func (e endedAddresses) RefusesConnections(_ context.Context, address string) bool { return e[address] }

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) lines(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// process is a Quarantine that writes to the store and follows it.
type process struct {
	*quarantine.Quarantine
	log  *lockedBuffer
	stop context.CancelFunc
}

func startProcess(store kv.TransactionalStore, name string, prober quarantine.Prober, configure ...func(*quarantine.Quarantine)) *process {
	log := &lockedBuffer{}
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	p := &process{Quarantine: quarantine.New(name, store, prober, logger, metrics.NewRegistry()), log: log}
	for _, set := range configure {
		set(p.Quarantine)
	}
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	DeferCleanup(p.stop)
	go func() { _ = p.Run(ctx) }()
	follower := &cluster.Follower{Store: store, Topic: &cluster.Topic{Prefix: cluster.CrashPrefix, Changed: p.Changed, Deleted: func(key string, _ int64) { p.Deleted(key) }}}
	go func() { _ = follower.Run(ctx) }()
	return p
}

func endpoint(id string) *deployment.Endpoint {
	return &deployment.Endpoint{ID: id, Service: "app", Address: id + ":1", StartedAtMillis: 1}
}

func request(fingerprint uint64) quarantine.Request {
	return quarantine.Request{ID: fmt.Sprint("r", fingerprint), Fingerprint: fingerprint, Method: "GET", Host: "h", Path: "/p"}
}

var _ = Describe("Quarantine", func() {
	const poisonous, innocent = 1, 2
	var store *standin.TransactionalStore
	ended := endedAddresses{"a:1": true, "b:1": true, "c:1": true, "d:1": true}
	blocked := func(p *process) func() bool {
		return func() bool { return !p.BlockedUntil(poisonous).IsZero() }
	}
	reports := func() int {
		page, err := kv.ReadAll(context.Background(), store, cluster.CrashPrefix)
		Expect(err).NotTo(HaveOccurred())
		return len(page.Records)
	}

	BeforeEach(func() { store = standin.NewTransactionalStore() })

	// Each process loses one endpoint under the content. None of them alone would refuse it.
	It("counts the endpoints that processes lost under one content together", func() {
		first, second := startProcess(store, "p1", ended), startProcess(store, "p2", ended)
		first.ConnectionLost(request(poisonous), endpoint("a"))
		second.ConnectionLost(request(poisonous), endpoint("b"))
		third := startProcess(store, "p3", ended)
		third.ConnectionLost(request(poisonous), endpoint("c"))
		for _, p := range []*process{first, second, third} {
			Eventually(blocked(p), "5s").Should(BeTrue())
			Expect(p.Admits(poisonous, 0)).To(BeFalse())
			Expect(p.Admits(innocent, 0)).To(BeTrue())
			Expect(p.log.lines(`"event":1310`)).To(Equal(1))
		}
		Expect(store.Count("commit")).To(Equal(3), "one call for each crash")
		By("a process that starts later")
		Eventually(blocked(startProcess(store, "p4", ended)), "5s").Should(BeTrue())
	})

	It("counts the end of an endpoint once, whoever loses it", func() {
		first, second := startProcess(store, "p1", ended), startProcess(store, "p2", ended)
		for range 3 {
			first.ConnectionLost(request(poisonous), endpoint("a"))
			second.ConnectionLost(request(poisonous), endpoint("a"))
		}
		Eventually(reports, "5s").Should(Equal(1))
		Consistently(blocked(first), "300ms").Should(BeFalse())
	})

	// Endpoints reset connections that were idle or are too many. Such requests are innocent.
	It("doesn't count a broken connection of an endpoint that goes on", func() {
		p := startProcess(store, "p1", endedAddresses{})
		for _, id := range []string{"a", "b", "c", "d"} {
			p.ConnectionLost(request(poisonous), endpoint(id))
		}
		Consistently(blocked(p), "300ms").Should(BeFalse())
		Expect(reports()).To(BeZero())
	})

	DescribeTable("counts an endpoint that is found later to have ended",
		func(found func(p *process, e *deployment.Endpoint)) {
			p := startProcess(store, "p1", endedAddresses{})
			for _, id := range []string{"a", "b", "c"} {
				p.ConnectionLost(request(poisonous), endpoint(id))
				found(p, endpoint(id))
			}
			Expect(blocked(p)()).To(BeTrue())
		},
		Entry("no longer listed", func(p *process, e *deployment.Endpoint) { p.EndpointGone(e.ID) }),
		Entry("listed again after a restart", func(p *process, e *deployment.Endpoint) { e.StartedAtMillis = 2; p.EndpointListed(e) }),
		Entry("another endpoint has its address", func(p *process, e *deployment.Endpoint) { e.ID += "2"; p.EndpointListed(e) }),
		Entry("another instance answers", func(p *process, e *deployment.Endpoint) { p.EndpointReplaced(e) }),
	)

	It("doesn't count an endpoint whose list entry merely changes", func() {
		p := startProcess(store, "p1", endedAddresses{})
		for _, id := range []string{"a", "b", "c"} {
			p.ConnectionLost(request(poisonous), endpoint(id))
			p.EndpointListed(endpoint(id))
		}
		Expect(blocked(p)()).To(BeFalse())
	})

	// A popular request runs on many endpoints when these end for another reason.
	It("withdraws the reports about a request once any process gets it answered", func() {
		first, second := startProcess(store, "p1", ended), startProcess(store, "p2", ended)
		for _, id := range []string{"a", "b", "c"} {
			first.ConnectionLost(request(poisonous), endpoint(id))
		}
		Eventually(blocked(second), "5s").Should(BeTrue())
		second.Answered(poisonous)
		Expect(blocked(second)()).To(BeFalse())
		Eventually(blocked(first), "5s").Should(BeFalse())
		Eventually(reports, "5s").Should(BeZero())
		Expect(first.log.lines(`"event":2009`)).To(Equal(1))
	})

	It("doesn't report a request that was answered a moment ago", func() {
		p := startProcess(store, "p1", ended)
		p.Answered(poisonous)
		for _, id := range []string{"a", "b", "c"} {
			p.ConnectionLost(request(poisonous), endpoint(id))
		}
		Expect(blocked(p)()).To(BeFalse())
		Consistently(reports, "300ms").Should(BeZero())
	})

	It("costs no calls for requests that are answered", func() {
		p := startProcess(store, "p1", ended)
		for i := range uint64(1000) {
			p.Answered(i)
		}
		Consistently(func() int { return store.Count("commit") }, "300ms").Should(BeZero())
	})

	It("writes its reports once the store is back, and refuses the request itself meanwhile", func() {
		store.SetDown(true)
		p := startProcess(store, "p1", ended)
		for _, id := range []string{"a", "b", "c"} {
			p.ConnectionLost(request(poisonous), endpoint(id))
		}
		Expect(blocked(p)()).To(BeTrue())
		Eventually(func() int { return p.log.lines(`"event":2010`) }, "5s").Should(BeNumerically(">=", 2))
		store.SetDown(false)
		Eventually(reports, "5s").Should(Equal(3))
	})

	// Guards against reports that wait for seconds after an outage of the store, in which each other
	// process sends the request to further endpoints.
	It("writes its reports as soon as the store answers again, however long the delay after a failed write is", func() {
		store.SetDown(true)
		p := startProcess(store, "p1", ended, func(q *quarantine.Quarantine) { q.SetRetryDelay(time.Hour) })
		p.ConnectionLost(request(poisonous), endpoint("a"))
		Eventually(p.HasUnwritten, "30s").Should(BeTrue())
		store.SetDown(false)
		Eventually(func() int { p.StoreAnswers(); return reports() }, "30s").Should(Equal(1))
		Eventually(p.HasUnwritten, "30s").Should(BeFalse())
	})

	// Guards against a third endpoint that ends because the report of the second one waited for
	// writeInterval: another entry knew of the first one only and sent a copy to the last endpoint.
	It("writes the reports of ends that follow each other within milliseconds at once", func() {
		p := startProcess(store, "p1", ended)
		for n, id := range []string{"a", "b"} {
			p.ConnectionLost(request(poisonous), endpoint(id))
			Eventually(reports, "5s", "1ms").Should(Equal(n + 1))
		}
		limiter, now := quarantine.NewWriteLimiter(), time.Unix(1000, 0)
		Expect(limiter.AllowN(now, 1)).To(BeTrue())
		Expect(limiter.AllowN(now, 1)).To(BeTrue(), "the second report leaves at once")
		Expect(limiter.AllowN(now, 1)).To(BeTrue())
		Expect(limiter.AllowN(now, 1)).To(BeFalse())
		Expect(limiter.AllowN(now.Add(quarantine.WriteInterval), 1)).To(BeTrue())
	})

	// Guards against calls to the store that grow with the number of endpoints that end.
	It("writes the reports of many ends with few calls", func() {
		p := startProcess(store, "p1", endedAddresses{"a:1": true})
		began := time.Now()
		for i := range uint64(100) {
			p.ConnectionLost(request(10+i), endpoint("a"))
			time.Sleep(5 * time.Millisecond)
		}
		Eventually(reports, "5s").Should(Equal(100))
		allowed := quarantine.WriteBurst + int(time.Since(began)/quarantine.WriteInterval)
		Expect(store.Count("commit")).To(BeNumerically("<=", allowed))
	})

	// In an outage every process of a large fleet may have ends to report.
	It("calls a store that is down ever less often", func() {
		store.SetDown(true)
		p := startProcess(store, "p1", ended)
		p.ConnectionLost(request(poisonous), endpoint("a"))
		const allowed = 6 // at 0 s and after delays of 0.25 s or more that double
		Consistently(func() int { return store.Count("commit") }, "3s", "100ms").Should(BeNumerically("<=", allowed))
		Expect(store.Count("commit")).To(BeNumerically(">=", 2))
	})

	It("repeats a write whose answer was lost", func() {
		store.LoseAnswers(1)
		p := startProcess(store, "p1", ended)
		p.ConnectionLost(request(poisonous), endpoint("a"))
		Eventually(reports, "5s").Should(Equal(1))
		Consistently(reports, "500ms").Should(Equal(1))
	})

	It("lets an operator release a request by deleting its reports", func() {
		p := startProcess(store, "p1", ended)
		for _, id := range []string{"a", "b", "c"} {
			p.ConnectionLost(request(poisonous), endpoint(id))
		}
		Eventually(reports, "5s").Should(Equal(3))
		listed, err := quarantine.List(context.Background(), store)
		Expect(err).NotTo(HaveOccurred())
		Expect(listed).To(HaveLen(1))
		Expect(listed[0].Fingerprint).To(BeEquivalentTo(poisonous))
		Expect(listed[0].Reports).To(HaveLen(3))
		removed, err := quarantine.Release(context.Background(), store, poisonous)
		Expect(err).NotTo(HaveOccurred())
		Expect(removed).To(Equal(3))
		Eventually(blocked(p), "5s").Should(BeFalse())
		removed, err = quarantine.Release(context.Background(), store, poisonous)
		Expect(err).NotTo(HaveOccurred())
		Expect(removed).To(BeZero())
	})

	It("ignores a report that can't be read", func() {
		p := startProcess(store, "p1", ended)
		key := cluster.CrashPrefix + poison.FormatFingerprint(poisonous) + "/x"
		for _, bad := range []string{key, cluster.CrashPrefix + "x"} {
			_, err := store.Commit(context.Background(), kv.Transaction{Puts: []kv.Put{{Key: bad, Value: []byte("not a report")}}})
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() int { return p.log.lines(`"event":2207`) }, "5s").Should(Equal(2))
		_, err := store.Commit(context.Background(), kv.Transaction{Remove: []string{key, cluster.CrashPrefix + "x"}})
		Expect(err).NotTo(HaveOccurred())
		p.ConnectionLost(request(poisonous), endpoint("a"))
		Eventually(reports, "5s").Should(Equal(1))
	})

	// Without a limit, the reports of endpoints that end under ever new requests would fill the
	// memory of every process.
	It("keeps a limited number of reports, the newest", func() {
		p := startProcess(store, "p1", ended)
		for i := range uint64(700) {
			p.ConnectionLost(request(10+i), endpoint("a"))
		}
		const writes = 44 // 16 reports each
		Eventually(func() int { return store.Count("commit") }, "60s").Should(Equal(writes))
		Expect(reports()).To(Equal(512))
	})
})
