package agent

import (
	"context"
	"net"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

// restartableAddr is the listen address of an endpoint that a spec restarts on
// the same port. No outgoing connection takes a port of this address meanwhile.
const restartableAddr = "127.0.0.2:0"

// fixture is an agent with a stand-in plain service as its endpoint.
type fixture struct {
	service *standin.Service
	agent   *Agent
	client  *rpc.Client
	stop    context.CancelFunc
	stopped chan struct{}
}

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	return log
}

func newFixture(latency time.Duration) *fixture {
	f := &fixture{service: standin.NewService(standin.ServiceOptions{Name: "ledger", Latency: latency, PoisonText: "POISON"}), stopped: make(chan struct{})}
	endpoint, err := f.service.Start(restartableAddr)
	Expect(err).NotTo(HaveOccurred())
	s := settings.Settings{ID: "a1", Service: "ledger", EndpointAddress: endpoint, StopTimeout: 10 * time.Second}
	f.agent = New(s, quietLogger(), metrics.NewRegistry())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() {
		defer close(f.stopped)
		_ = f.agent.Serve(ctx, listener)
	}()
	f.client, err = rpc.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		cancel()
		f.service.Crash()
	})
	return f
}

func (f *fixture) target() wire.Target {
	var reply wire.HeartbeatReply
	Expect(f.client.Call("Agent.Heartbeat", wire.HeartbeatRequest{From: "e1"}, &reply)).To(Succeed())
	return reply.Target
}

func (f *fixture) sync(id string, target wire.Target) wire.Request {
	return wire.Request{ID: id, CallID: id, Service: "ledger", Method: "POST", Path: "/sync", Body: []byte("b-" + id), Remaining: 5 * time.Second, Target: target}
}

func (f *fixture) do(req wire.Request) wire.Answer {
	var answer wire.Answer
	Expect(f.client.Call("Agent.Do", req, &answer)).To(Succeed())
	return answer
}

func (f *fixture) settle(id string, target wire.Target) wire.Answer {
	var answer wire.Answer
	Expect(f.client.Call("Agent.Settle", wire.SettleRequest{ID: id, Target: target, Wait: 5 * time.Second}, &answer)).To(Succeed())
	return answer
}

var _ = Describe("settling a request", func() {
	// The caller is told "not run" while its request is still in flight on a
	// connection that went silent. It arrives after the settle call. If it ran,
	// the caller's retry would be a second ledger sync.
	It("refuses a request that arrives after it was settled as not run", func() {
		f := newFixture(0)
		target := f.target()
		Expect(f.settle("r1", target).Outcome).To(Equal(wire.NotRun))
		Expect(f.do(f.sync("r1", target)).Outcome).To(Equal(wire.NotRun))
		Expect(f.service.Stats().Effects).To(BeEmpty())
	})
	// The answer was lost with the connection. Settle returns the request's
	// only answer, and the service has run the request once.
	It("returns the answer of a request that ran", func() {
		f := newFixture(0)
		target := f.target()
		answer := f.do(f.sync("r1", target))
		Expect(answer.Outcome).To(Equal(wire.Answered))
		Expect(f.settle("r1", target).Body).To(Equal(answer.Body))
		Expect(f.do(f.sync("r1", target)).Body).To(Equal(answer.Body))
		Expect(f.service.Stats().Effects).To(Equal(map[string]int{"r1": 1}))
	})
	// The agent died with the request and was replaced. The new agent has never
	// seen the request, but its predecessor may have run it, so the caller must
	// not be told "not run".
	It("returns Unknown for a request sent to a predecessor", func() {
		f := newFixture(0)
		gone := wire.Target{Incarnation: "predecessor", Uptime: time.Second}
		Expect(f.settle("r1", gone).Outcome).To(Equal(wire.Unknown))
		Expect(f.do(f.sync("r2", gone)).Outcome).To(Equal(wire.NotRun))
		Expect(f.service.Stats().Effects).To(BeEmpty())
	})
	// The entry was paused for longer than the agent remembers requests. The
	// request ran and was evicted, so "not run" would be wrong.
	It("returns Unknown past the retention of requests", func() {
		f := newFixture(0)
		target := f.target()
		Expect(f.do(f.sync("r1", target)).Outcome).To(Equal(wire.Answered))
		f.agent.started = f.agent.started.Add(-2 * retention)
		f.agent.requests.evict(f.agent.uptime())
		Expect(f.settle("r1", target).Outcome).To(Equal(wire.Unknown))
	})
	// The endpoint crashes while it runs a request. Whether the request took
	// effect is unknown, and the crash is reported with its batch.
	It("returns Unknown when the endpoint crashes during a request", func() {
		f := newFixture(0)
		req := f.sync("r1", f.target())
		req.Body = []byte("POISON")
		answer := f.do(req)
		Expect(answer.Outcome).To(Equal(wire.Unknown))
		Expect(answer.Reason).To(Equal(wire.ReasonCrashed))
		Expect(answer.Batch).To(Equal(1))
	})
	// The endpoint is down before the request is sent: no byte left the agent,
	// so "not run" is true and the caller may retry elsewhere. The probe's
	// pooled connection is found closed and doesn't count as a request that
	// broke off.
	It("returns NotRun when the endpoint is unreachable", func() {
		f := newFixture(0)
		target := f.target()
		f.service.Crash()
		Expect(f.do(f.sync("r1", target)).Outcome).To(Equal(wire.NotRun))
	})
	// The endpoint restarts between two requests and leaves the agent with
	// closed connections in its pool. Without the check, the next caller would
	// get "unknown" and its request would be suspected of the crash. As nothing
	// of the request was sent, it goes over a new connection and its caller
	// gets an ordinary answer.
	It("answers the first request after the endpoint restarted", func() {
		f := newFixture(0)
		target := f.target()
		Expect(f.do(f.sync("r1", target)).Outcome).To(Equal(wire.Answered))
		f.service.Crash()
		_, err := f.service.Start(f.agent.settings.EndpointAddress)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.do(f.sync("r2", target)).Outcome).To(Equal(wire.Answered))
		Expect(f.service.Stats().Effects).To(Equal(map[string]int{"r1": 1, "r2": 1}))
	})
	// A holder of a claim partition was paused past the end of its lease. Its
	// successor's epoch is known here, so the old holder's request is refused.
	It("refuses an epoch lower than one it has seen", func() {
		f := newFixture(0)
		target := f.target()
		req := f.sync("r1", target)
		req.Fence = wire.Fence{Duty: "claims/1", Epoch: 7}
		Expect(f.do(req).Outcome).To(Equal(wire.Answered))
		old := f.sync("r2", target)
		old.Fence = wire.Fence{Duty: "claims/1", Epoch: 6}
		Expect(f.do(old).Reason).To(Equal(wire.ReasonStaleEpoch))
		Expect(f.service.Stats().Effects).To(Equal(map[string]int{"r1": 1}))
	})
})

var _ = Describe("a graceful stop", func() {
	// The instance is removed while a request runs. The request's caller gets
	// its answer, and requests that come after the announcement are refused
	// without being run.
	It("finishes running requests and accepts no new ones", func() {
		f := newFixture(shutdownDelay + 500*time.Millisecond)
		target := f.target()
		running := make(chan wire.Answer, 1)
		go func() {
			defer GinkgoRecover()
			running <- f.do(f.sync("r1", target))
		}()
		Eventually(f.agent.requests.running).WithTimeout(5 * time.Second).Should(Equal(1))
		f.stop()
		Eventually(f.agent.leaving.Load).WithTimeout(5 * time.Second).Should(BeTrue())
		late := f.do(f.sync("r2", target))
		Expect(late.Reason).To(Equal(wire.ReasonLeaving))
		Expect(late.Outcome).To(Equal(wire.NotRun))
		Expect((<-running).Outcome).To(Equal(wire.Answered))
		Expect(f.stopped).NotTo(BeClosed(), "the process would have ended during the request")
		Eventually(f.stopped).WithTimeout(time.Minute).Should(BeClosed())
		Expect(f.service.Stats().Effects).To(Equal(map[string]int{"r1": 1}))
	})
})
