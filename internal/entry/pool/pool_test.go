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

// list is the platform's list of instances.
type list struct {
	mu  sync.Mutex
	all []kv.Instance
}

func (l *list) Instances(context.Context, string) ([]kv.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]kv.Instance(nil), l.all...), nil
}

func (l *list) set(all ...kv.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = all
}

// host is an agent beside a plain service, behind a proxy.
type host struct {
	instance kv.Instance
	service  *standin.Service
	proxy    *proxy
	stop     context.CancelFunc
	stopped  chan struct{}
}

func quiet() *logrus.Logger {
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
	a := agent.New(s, quiet(), metrics.NewRegistry())
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
		instances *list
		p         *pool.Pool
		server    *entry.Server
		stop      context.CancelFunc
	)

	start := func(id string) *pool.Pool {
		ctx, cancel := context.WithCancel(context.Background())
		fresh := pool.New(pool.Options{ID: id, Deployment: "d", Lister: instances, HeartbeatInterval: 500 * time.Millisecond, Log: quiet()})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = fresh.Run(ctx)
		}()
		before := stop
		stop = func() {
			cancel()
			<-done
			if before != nil {
				before()
			}
		}
		return fresh
	}

	BeforeEach(func() {
		stop = nil
		instances = &list{}
		DeferCleanup(func() { stop() })
	})

	begin := func() {
		p = start("entry-1")
		server = entry.New(settings.Settings{}, quiet(), metrics.NewRegistry(), entry.Dependencies{Picker: p, Quarantine: noQuarantine{}, RetryBudget: noRetries{}})
	}

	usable := func(p *pool.Pool) func() int {
		return func() int { return len(p.Engines("ledger")) }
	}
	post := func(limit time.Duration) wire.Answer {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return server.Call(ctx, wire.Request{Service: "ledger", Method: "POST", Path: "/sync", Body: []byte(`{"operation":"op"}`), Remaining: limit})
	}

	It("settles a request on a connection that went silent after it was sent", func() {
		// The request reaches the endpoint; then something between the two
		// ends loses the connection. The request runs once, its answer is
		// dropped. The caller must get that very answer within its deadline,
		// asked for over a new connection, not an error and not a second run.
		h := startHost("a", 400*time.Millisecond)
		defer h.stop()
		instances.set(h.instance)
		begin()
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

	It("gives a fresh connection up that goes silent too", func() {
		// The request's connection went silent and the one opened to settle it
		// does as well. The next call has to go over a third one, long before
		// the request's deadline.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		begin()
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

	It("holds an agent suspect that answers on no connection", func() {
		// Neither the standing connection nor a new one is answered: the agent
		// is at fault and not the connection. It stays known, without work.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		begin()
		Eventually(usable(p), "10s").Should(Equal(1))
		h.proxy.silence(true)
		h.proxy.mute()
		Eventually(func() string { return p.Snapshot()[0].State }, "15s").Should(Equal("suspect"))
		Expect(usable(p)()).To(Equal(0))
	})

	It("says not run, truthfully, of a request that a silent connection swallowed", func() {
		// The connection is lost before the request is sent. The agent, asked
		// on a new connection, has never seen it and refuses it from then on.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		begin()
		Eventually(usable(p), "10s").Should(Equal(1))
		h.proxy.silence(true)
		answer := post(20 * time.Second)
		Expect(answer.Outcome).To(Equal(wire.NotRun))
		Expect(h.service.Stats().Effects).To(BeEmpty())
	})

	It("gives a leaving agent nothing new and cuts nothing in flight", func() {
		// The agent is told to stop while a request runs. The request is
		// answered; within 2 s no entry chooses the agent any more.
		a, b := startHost("a", 500*time.Millisecond), startHost("b", 0)
		defer b.stop()
		instances.set(a.instance, b.instance)
		begin()
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

	It("stops at every entry once one of them read on the list that an agent leaves", func() {
		// Entry 2 holds an old copy of the list that never says so. Entry 1
		// reads that the agent leaves and tells the agent; the agent tells
		// entry 2 on its next heartbeat.
		h := startHost("a", 0)
		defer h.stop()
		instances.set(h.instance)
		begin()
		stale := &list{}
		stale.set(h.instance)
		fresh := instances
		instances = stale
		second := start("entry-2")
		Eventually(usable(p), "10s").Should(Equal(1))
		Eventually(usable(second), "10s").Should(Equal(1))
		leaving := h.instance
		leaving.Leaving = true
		fresh.set(leaving)
		Eventually(usable(p), "10s").Should(Equal(0))
		Eventually(usable(second), "10s").Should(Equal(0))
	})

	It("takes an agent back that restarted under its old address", func() {
		h := startHost("a", 0)
		instances.set(h.instance)
		begin()
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
func (noQuarantine) StartCopy(_ context.Context, v entry.RequestCopy) (entry.Admission, wire.Answer, bool) {
	return entry.Admission{Endpoint: v.Endpoint}, wire.Answer{}, true
}

type noRetries struct{}

func (noRetries) Earn(string)       {}
func (noRetries) Spend(string) bool { return false }
