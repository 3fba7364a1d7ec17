package entry

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/agent"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	maxOrderTimeout    = 1500 * time.Millisecond // maximum timeout of an order in these specs
	weightsTestTimeout = time.Minute             // longer than the cooldown of an engine after failed loads
	// restartable is the listen address of engines that a spec restarts at the same
	// port. Outgoing connections use another local address, so they cannot take the
	// port meanwhile.
	restartable = "127.0.0.2:0"
)

// fakeDutyLeases reports the lease states that a spec sets.
type fakeDutyLeases struct {
	DutyLeases
	mu sync.Mutex
	fn func(duties.Change)
}

func (d *fakeDutyLeases) OnChange(_ string, fn func(duties.Change)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fn = fn
}

func (d *fakeDutyLeases) notify(c duties.Change) {
	Eventually(func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.fn != nil
	}).WithTimeout(weightsTestTimeout).Should(BeTrue())
	c.Duty = "weights/tone"
	d.fn(c)
}

type fixedConfig struct{ deployment *decl.Deployment }

func (c fixedConfig) Current() *decl.Deployment { return c.deployment }

// orderServer serves the part of an agent's inner protocol that rollouts use.
type orderServer struct{ orders *agent.OrderHandler }

func (s *orderServer) Order(o wire.Order, reply *wire.OrderReply) error {
	*reply = s.orders.Handle(context.Background(), o)
	return nil
}

func (s *orderServer) Chunk(id wire.ChunkRequest, reply *wire.ChunkReply) error {
	*reply = s.orders.Chunk(context.Background(), id)
	return nil
}

var _ = Describe("Weights", func() {
	var platform *standin.Platform
	var address string
	var engines []*standin.Engine
	var endpoints []string
	var ctx context.Context
	var deployment *decl.Deployment
	log := logrus.New()
	log.SetOutput(io.Discard)

	startAgent := func(id int) *platformpb.Instance {
		engine := standin.NewEngine(standin.EngineOptions{Version: 1, LoadTime: 20 * time.Millisecond})
		endpoint, err := engine.Start(restartable)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(engine.Crash)
		engines = append(engines, engine)
		endpoints = append(endpoints, endpoint)
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		Expect(err).NotTo(HaveOccurred())
		orders := agent.NewOrderHandler(agent.OrderHandlerOptions{
			Incarnation: strconv.Itoa(id), Endpoint: endpoint, MaxOrderTimeout: maxOrderTimeout, Log: log,
			Store: platformpb.NewWeightStoreClient(conn),
		})
		server := rpc.NewServer()
		Expect(server.RegisterName(wire.AgentService, &orderServer{orders})).To(Succeed())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go server.Accept(listener)
		go func(ctx context.Context) {
			for ctx.Err() == nil {
				orders.RecordReport(engineapi.Load{
					WeightVersion: engine.Version(),
					Adapters:      map[string]int64{"polite": engine.Adapter("polite")},
					Role:          engine.Role(),
				}, time.Now())
				sleep(ctx, 20*time.Millisecond)
			}
		}(ctx)
		return &platformpb.Instance{
			Id: strconv.Itoa(id), Address: listener.Addr().String(), Role: "agent", Service: "tone",
			FailureDomain: strconv.Itoa(id % 2),
		}
	}

	startEntry := func(id string) (*Weights, *fakeDutyLeases) {
		store, err := kv.NewClient(kv.Options{Address: address, Writer: id})
		Expect(err).NotTo(HaveOccurred())
		lister, err := kv.NewLister(address)
		Expect(err).NotTo(HaveOccurred())
		leases := &fakeDutyLeases{}
		w := NewWeights(WeightsOptions{
			Store: store, Duties: leases, Config: fixedConfig{deployment}, Instances: lister, Deployment: "d", Log: log,
			AdjustConfig: func(c *weights.Config) {
				c.LoadTimeout, c.MaxTargetAge = maxOrderTimeout*3/4, maxOrderTimeout/4
				c.RecheckInterval = 300 * time.Millisecond
			},
		})
		go func(ctx context.Context) { _ = w.Run(ctx) }(ctx)
		return w, leases
	}

	versions := func() []int64 {
		var all []int64
		for _, e := range engines {
			all = append(all, e.Version())
		}
		return all
	}

	BeforeEach(func() {
		platform = standin.NewPlatform(standin.PlatformOptions{})
		var err error
		address, err = platform.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		engines, endpoints = nil, nil
		deployment = &decl.Deployment{
			Name:     "d",
			Services: []decl.Service{{Name: "tone", Kind: decl.KindModel, CapacityFloor: 0.5}},
			Feeds:    []decl.Feed{{Name: "drafts", Service: "tone", Model: "m"}},
		}
		var instances []*platformpb.Instance
		for i := range 4 {
			instances = append(instances, startAgent(i))
		}
		platform.SetInstances(instances)
	})

	It("brings an announced version to every engine despite a failed load", func() {
		w, leases := startEntry("a")
		engines[2].FailLoads(1)
		leases.notify(duties.Change{Epoch: 1, LeaseState: duties.Holder})
		Expect(w.Announce(ctx, "d", "drafts", "m", 2, "")).To(Equal(int64(2)))
		Eventually(versions).WithTimeout(weightsTestTimeout).Should(HaveEach(int64(2)))
	})

	// The key-value service fails after the owner has read the announcement and
	// before an engine has loaded the version. Loads need no call to the service.
	It("finishes a rollout during an outage", func() {
		w, leases := startEntry("a")
		Expect(w.Announce(ctx, "d", "drafts", "m", 2, "")).To(Equal(int64(2)))
		leases.notify(duties.Change{Epoch: 1, LeaseState: duties.Holder})
		Eventually(func() int { return len(w.Progress()["tone"]) }).WithTimeout(weightsTestTimeout).Should(Equal(1))
		platform.SetDown(true)
		leases.notify(duties.Change{Epoch: 1, LeaseState: duties.Lapsed})
		Eventually(versions).WithTimeout(weightsTestTimeout).Should(HaveEach(int64(2)))
		Expect(w.Progress()["tone"]).To(HaveLen(1))
	})

	It("brings an adapter to every engine and keeps the model's version", func() {
		w, leases := startEntry("a")
		leases.notify(duties.Change{Epoch: 1, LeaseState: duties.Holder})
		Expect(w.Announce(ctx, "d", "drafts", "m", 7, "polite")).To(Equal(int64(7)))
		Eventually(func() []int64 {
			var all []int64
			for _, e := range engines {
				all = append(all, e.Adapter("polite"))
			}
			return all
		}).WithTimeout(weightsTestTimeout).Should(HaveEach(int64(7)))
		Expect(versions()).To(HaveEach(int64(1)))
	})

	// An engine crashes and restarts with its initial version. Its agent must accept
	// the order for the newest version again, although it executed that order before.
	It("brings a restarted engine back to the newest version", func() {
		w, leases := startEntry("a")
		leases.notify(duties.Change{Epoch: 1, LeaseState: duties.Holder})
		Expect(w.Announce(ctx, "d", "drafts", "m", 2, "")).To(Equal(int64(2)))
		Eventually(versions).WithTimeout(weightsTestTimeout).Should(HaveEach(int64(2)))
		engines[1].Crash()
		Expect(versions()).To(ContainElement(int64(1)))
		_, err := engines[1].Start(endpoints[1])
		Expect(err).NotTo(HaveOccurred())
		Eventually(versions).WithTimeout(weightsTestTimeout).Should(HaveEach(int64(2)))
	})

	It("skips an engine that an operator drained", func() {
		deployment.DrainInstances = []string{"3"}
		w, leases := startEntry("a")
		leases.notify(duties.Change{Epoch: 1, LeaseState: duties.Holder})
		Expect(w.Announce(ctx, "d", "drafts", "m", 2, "")).To(Equal(int64(2)))
		Eventually(versions).WithTimeout(weightsTestTimeout).Should(Equal([]int64{2, 2, 2, 1}))
	})

	// Operators declare roles. One engine fails its role change once, another
	// restarts without its role, and a successor replaces the owner.
	It("gives the engines their declared roles and restores them", func() {
		deployment.Services[0].Roles = []string{"prefill:1", "decode:3"}
		_, leases := startEntry("a")
		_, next := startEntry("b")
		engines[2].FailLoads(1)
		roles := func() []string {
			var all []string
			for _, e := range engines {
				all = append(all, e.Role())
			}
			return all
		}
		divided := ConsistOf("prefill", "decode", "decode", "decode")
		leases.notify(duties.Change{Epoch: 1, LeaseState: duties.Holder})
		Eventually(roles).WithTimeout(weightsTestTimeout).Should(divided)
		engines[1].Crash()
		_, err := engines[1].Start(endpoints[1])
		Expect(err).NotTo(HaveOccurred())
		next.notify(duties.Change{Epoch: 2, LeaseState: duties.Holder})
		Eventually(roles).WithTimeout(weightsTestTimeout).Should(divided)
		Expect(versions()).To(HaveEach(int64(1)))
	})

	It("refuses a feed that is not declared", func() {
		w, _ := startEntry("a")
		_, err := w.Announce(ctx, "d", "other", "m", 2, "")
		Expect(err).To(MatchError(ErrUnknownFeed))
	})

	// A trainer announces version 3 and the answer to the write is lost. Another
	// trainer's late announcement of version 2 follows. The first call must not
	// fail, and the second must not lower the version.
	It("resolves a write with a lost answer, and never lowers the version", func() {
		w, _ := startEntry("a")
		platform.LoseAnswers(1)
		Expect(w.Announce(ctx, "d", "drafts", "m", 3, "")).To(Equal(int64(3)))
		Expect(w.Announce(ctx, "d", "drafts", "m", 2, "")).To(Equal(int64(3)))
	})

	// The owner loses its duty during a rollout and continues, as it was paused and
	// has not noticed. Its successor rolls out a newer version. The agents refuse
	// the old epoch, so no engine goes back to an older version.
	It("continues under a successor while the former owner is refused", func() {
		old, oldDuties := startEntry("a")
		next, nextDuties := startEntry("b")
		oldDuties.notify(duties.Change{Epoch: 1, LeaseState: duties.Holder})
		Expect(old.Announce(ctx, "d", "drafts", "m", 2, "")).To(Equal(int64(2)))
		Eventually(versions).WithTimeout(weightsTestTimeout).Should(ContainElement(int64(2)))
		nextDuties.notify(duties.Change{Epoch: 2, LeaseState: duties.Holder})
		Expect(next.Announce(ctx, "d", "drafts", "m", 3, "")).To(Equal(int64(3)))
		Eventually(versions).WithTimeout(weightsTestTimeout).Should(HaveEach(int64(3)))
		for _, e := range engines {
			seen := e.Stats().Versions
			for i := 1; i < len(seen); i++ {
				Expect(seen[i]).To(BeNumerically(">", seen[i-1]))
			}
		}
	})
})
