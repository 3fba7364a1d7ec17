package pool_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agent"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/entry/pool"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pool")
}

// instanceList is a fake of the platform's list of instances.
type instanceList struct {
	mu  sync.Mutex
	all []kv.Instance
}

func (l *instanceList) Instances(context.Context, string) ([]kv.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]kv.Instance(nil), l.all...), nil
}

func (l *instanceList) set(all ...kv.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = all
}

// host is an agent of a plain service, reached through a proxy.
type host struct {
	instance kv.Instance
	service  *standin.Service
	proxy    *proxy
	stop     context.CancelFunc
	stopped  chan struct{}
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startHost(id string, latency time.Duration) *host {
	h := &host{service: standin.NewService(standin.ServiceOptions{Name: "ledger", Latency: latency}), stopped: make(chan struct{})}
	endpoint, err := h.service.Start("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := settings.Settings{ID: id, Service: "ledger", FailureDomain: "hall-" + id, EndpointAddress: endpoint, StopTimeout: 10 * time.Second}
	a := agent.New(s, discardLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.stopped)
		_ = a.Serve(ctx, listener)
	}()
	h.proxy = newProxy(listener.Addr().String())
	h.instance = kv.Instance{ID: id, Address: h.proxy.address(), FailureDomain: s.FailureDomain, Role: "agent", Service: "ledger"}
	return h
}

var _ = Describe("the pool", func() {
	var (
		instances *instanceList
		p         *pool.Pool
		server    *entry.Server
		stop      context.CancelFunc
	)

	startPool := func(id string) *pool.Pool {
		ctx, cancel := context.WithCancel(context.Background())
		newPool := pool.New(pool.Options{ID: id, Deployment: "d", Lister: instances, HeartbeatInterval: 500 * time.Millisecond, Log: discardLogger()})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = newPool.Run(ctx)
		}()
		stopOthers := stop
		stop = func() {
			cancel()
			<-done
			if stopOthers != nil {
				stopOthers()
			}
		}
		return newPool
	}

	BeforeEach(func() {
		stop = nil
		instances = &instanceList{}
		DeferCleanup(func() { stop() })
	})

	startEntry := func() {
		p = startPool("entry-1")
		server = entry.New(settings.Settings{}, discardLogger(), metrics.NewRegistry(), entry.Dependencies{Picker: p, Quarantine: noQuarantine{}, RetryBudget: noRetries{}})
	}

	usable := func(p *pool.Pool) func() int {
		return func() int { return len(p.Engines("ledger")) }
	}
	post := func(limit time.Duration) wire.Answer {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return server.Call(ctx, wire.Request{Service: "ledger", Method: "POST", Path: "/sync", Body: []byte(`{"operation":"op"}`), Remaining: limit})
	}

	It("settles a request whose connection went silent after the request was sent", func() {
		// The request reaches the endpoint. Then a device between the two ends loses
		// the connection's state, so the request runs once and its answer is dropped.
		// The caller must get that answer within its deadline, requested on a new
		// connection, and neither an error nor a second run.
		h := startHost("a", 400*time.Millisecond)
		defer h.stop()
		instances.set(h.instance)
		startEntry()
		Eventually(usable(p), "10s").Should(Equal(1))
		answer := make(chan wire.Answer, 1)
		go func() { answer <- post(20 * time.Second) }()
		Eventually(func() int { return h.service.Stats().Effects["op"] }, "5s").Should(Equal(1))
		h.proxy.silence(false)
		Eventually(answer, "15s").Should(Receive(HaveField("Outcome", wire.Answered)))
		Expect(h.service.Stats().Effects).To(HaveLen(1))
		Expect(h.service.Stats().Effects["op"]).To(Equal(1))
		Eventually(usable(p), "10s").Should(Equal(1))
	})

	It("closes a fresh connection that goes silent too", func() {
		// The request's connection went silent, and so does the one that was opened to
		// settle it. The next call must use a third connection, long before the
		// request's deadline.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		startEntry()
		Eventually(usable(p), "10s").Should(Equal(1))
		ep, _ := p.Find("a")
		settle := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var answer wire.Answer
			err := ep.CallFresh(ctx, "Agent.Settle", wire.SettleRequest{ID: "r", Target: ep.Target()}, &answer)
			Expect(ctx.Err()).NotTo(HaveOccurred(), "returns before the request's deadline")
			return err
		}
		Expect(settle()).To(Succeed())
		h.proxy.silence(true)
		Expect(settle()).NotTo(Succeed())
		Expect(settle()).To(Succeed())
	})

	It("marks an agent as suspect that answers on no connection", func() {
		// Heartbeats are answered neither on the active connection nor on a new one, so
		// the agent has failed and not the connection. It stays in the membership table
		// but gets no requests.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		startEntry()
		Eventually(usable(p), "10s").Should(Equal(1))
		h.proxy.silence(true)
		h.proxy.silenceNew()
		Eventually(func() string { return p.Snapshot()[0].State }, "15s").Should(Equal("suspect"))
		Expect(usable(p)()).To(Equal(0))
	})

	It("returns NotRun for a request that was lost on a silent connection", func() {
		// The connection goes silent before the request is sent. The agent, asked on a
		// new connection, has never seen the request and refuses it from then on, so
		// NotRun is correct.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		startEntry()
		Eventually(usable(p), "10s").Should(Equal(1))
		h.proxy.silence(true)
		answer := post(20 * time.Second)
		Expect(answer.Outcome).To(Equal(wire.NotRun))
		Expect(h.service.Stats().Effects).To(BeEmpty())
	})

	It("sends no new requests to a leaving agent and does not interrupt those in flight", func() {
		// The agent is stopped while a request runs. The request is answered, and within
		// 2 s no entry selects the agent any more.
		a, b := startHost("a", 500*time.Millisecond), startHost("b", 0)
		defer b.stop()
		instances.set(a.instance, b.instance)
		startEntry()
		Eventually(usable(p), "10s").Should(Equal(2))
		ep, _ := p.Find("a")
		answer := make(chan wire.Answer, 1)
		go func() {
			var got wire.Answer
			req := wire.Request{ID: "r", Service: "ledger", Method: "POST", Path: "/", Body: []byte(`{"operation":"op"}`), Remaining: 20 * time.Second, Target: ep.Target()}
			_ = ep.Call(context.Background(), "Agent.Do", req, &got)
			answer <- got
		}()
		Eventually(func() int { return a.service.Stats().Effects["op"] }, "5s").Should(Equal(1))
		a.stop()
		Eventually(usable(p), "10s").Should(Equal(1))
		Eventually(answer, "10s").Should(Receive(HaveField("Outcome", wire.Answered)))
		Eventually(a.stopped, "10s").Should(BeClosed())
	})

	It("stops sending requests to an agent at every entry once one of them reads on the list that it is leaving", func() {
		// Entry 2 has an old copy of the list, on which the agent never leaves. Entry 1
		// reads that the agent is leaving and tells the agent, which tells entry 2 in
		// the reply to its next heartbeat.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		startEntry()
		stale := &instanceList{}
		stale.set(h.instance)
		current := instances
		instances = stale
		second := startPool("entry-2")
		Eventually(usable(p), "10s").Should(Equal(1))
		Eventually(usable(second), "10s").Should(Equal(1))
		leaving := h.instance
		leaving.Leaving = true
		current.set(leaving)
		Eventually(usable(p), "10s").Should(Equal(0))
		Eventually(usable(second), "10s").Should(Equal(0))
	})

	It("uses an agent again that restarted at its old address", func() {
		h := startHost("a", 0)
		instances.set(h.instance)
		startEntry()
		Eventually(usable(p), "10s").Should(Equal(1))
		ep, _ := p.Find("a")
		before := ep.Target().Incarnation
		h.stop()
		Eventually(h.stopped, "10s").Should(BeClosed())
		next := startHost("a", 0)
		defer next.stop()
		h.proxy.retarget(next.proxy.address())
		Eventually(func() string { return ep.Target().Incarnation }, "15s").ShouldNot(Equal(before))
		Eventually(usable(p), "15s").Should(Equal(1))
	})
})

type noQuarantine struct{}

func (noQuarantine) Blocked(string, uint64) bool             { return false }
func (noQuarantine) ReportCrash(wire.Suspicion)              {}
func (noQuarantine) EndCopy(entry.RequestCopy, string, bool) {}
func (noQuarantine) StartCopy(_ context.Context, c entry.RequestCopy) (entry.Admission, wire.Answer, bool) {
	return entry.Admission{Endpoint: c.Endpoint}, wire.Answer{}, true
}

type noRetries struct{}

func (noRetries) Earn(string)       {}
func (noRetries) Spend(string) bool { return false }
