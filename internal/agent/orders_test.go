package agent_test

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/agent"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	loopback        = "127.0.0.1:0"
	maxOrderTimeout = 1500 * time.Millisecond
)

// chunkServer is the part of an agent's inner protocol that serves chunks.
type chunkServer struct{ orders *agent.OrderHandler }

func (s *chunkServer) Chunk(id wire.ChunkRequest, reply *wire.ChunkReply) error {
	*reply = s.orders.Chunk(context.Background(), id)
	return nil
}

func serveChunks(orders *agent.OrderHandler) string {
	server := rpc.NewServer()
	Expect(server.RegisterName(wire.AgentService, &chunkServer{orders})).To(Succeed())
	listener, err := net.Listen("tcp", loopback)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go server.Accept(listener)
	return listener.Addr().String()
}

var _ = Describe("OrderHandler", func() {
	var platform *standin.Platform
	var store platformpb.WeightStoreClient
	var engine *standin.Engine
	var endpoint string
	ctx := context.Background()

	BeforeEach(func() {
		platform = standin.NewPlatform(standin.PlatformOptions{})
		address, err := platform.Start(loopback)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		Expect(err).NotTo(HaveOccurred())
		store = platformpb.NewWeightStoreClient(conn)
		engine = standin.NewEngine(standin.EngineOptions{Version: 1, LoadTime: 50 * time.Millisecond})
		endpoint, err = engine.Start(loopback)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(engine.Crash)
	})

	start := func(incarnation, dir string) *agent.OrderHandler {
		log := logrus.New()
		log.SetOutput(io.Discard)
		return agent.NewOrderHandler(agent.OrderHandlerOptions{
			Incarnation: incarnation, Endpoint: endpoint, Store: store, DataDir: dir, MaxOrderTimeout: maxOrderTimeout, Log: log,
		})
	}
	waitUntilReady := func(o *agent.OrderHandler, epoch int64) wire.Target {
		var reply wire.OrderReply
		Eventually(func() wire.Outcome {
			o.RecordReport(engineapi.Load{WeightVersion: engine.Version()}, time.Now())
			reply = o.Handle(ctx, wire.Order{Kind: wire.OrderStatus, Fence: wire.Fence{Duty: "weights/s", Epoch: epoch}})
			return reply.Outcome
		}).WithTimeout(5 * time.Second).Should(Equal(wire.Answered))
		return reply.Target
	}
	swap := func(o *agent.OrderHandler, target wire.Target, epoch, version int64) wire.OrderReply {
		return o.Handle(ctx, wire.Order{
			ID: "o", Kind: wire.OrderSwap, Version: version, Target: target,
			Fence: wire.Fence{Duty: "weights/s", Epoch: epoch}, Remaining: maxOrderTimeout,
		})
	}

	It("fetches chunks from another agent rather than from the store", func() {
		first, second := start("a", ""), start("b", GinkgoT().TempDir())
		prepare := wire.Order{Kind: wire.OrderPrepare, Model: "m", Version: 2, Remaining: 10 * time.Second}
		Expect(first.Handle(ctx, prepare).Outcome).To(Equal(wire.Answered))
		fetched := platform.Calls()["Chunk"]
		Expect(fetched).To(Equal(4))
		closed, err := net.Listen("tcp", loopback)
		Expect(err).NotTo(HaveOccurred())
		closed.Close()
		prepare.Sources = []string{serveChunks(first), closed.Addr().String()}
		Expect(second.Handle(ctx, prepare).Outcome).To(Equal(wire.Answered))
		Expect(platform.Calls()["Chunk"]).To(Equal(fetched))
		Expect(second.Chunk(ctx, wire.ChunkRequest{Model: "m", Version: 2, Index: 3}).Found).To(BeTrue())
	})

	It("keeps two versions in the data directory across restarts", func() {
		dir := GinkgoT().TempDir()
		for version := int64(1); version <= 4; version++ {
			prepare := wire.Order{Kind: wire.OrderPrepare, Model: "m", Version: version, Remaining: 10 * time.Second}
			Expect(start("a", dir).Handle(ctx, prepare).Outcome).To(Equal(wire.Answered))
		}
		Expect(os.ReadDir(filepath.Join(dir, "weights"))).To(HaveLen(2))
	})

	// The owner's order reaches an agent that is then paused and replaced, and
	// the successor loads version 3. When the old agent resumes, its engine
	// would load version 2, as it ignores fencing tokens. By then the order has
	// expired by the old agent's own clock.
	It("executes no order of a replaced agent after its successor's first one", func() {
		old := start("old", "")
		target := waitUntilReady(old, 1)
		successor := start("new", "")
		Expect(swap(successor, target, 2, 3).Reason).To(Equal(wire.ReasonNotReady))
		fresh := waitUntilReady(successor, 2)
		Expect(swap(successor, fresh, 2, 3).Outcome).To(Equal(wire.Answered))
		Expect(swap(old, target, 1, 2).Reason).To(Equal(wire.ReasonDeadline))
		Expect(swap(successor, fresh, 1, 4).Reason).To(Equal(wire.ReasonStaleEpoch))
		Expect(swap(successor, fresh, 2, 2).Reason).To(Equal(wire.ReasonOldVersion))
		Expect(engine.Version()).To(Equal(int64(3)))
	})

	// There is no data directory. The engine reads over HTTP what its agent
	// prepared and compares it with the digest before it serves it.
	It("serves the engine a prepared version from memory", func() {
		orders := start("a", "")
		serving, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		go func() { _ = orders.ServeWeights(serving) }()
		prepare := wire.Order{Kind: wire.OrderPrepare, Version: 2, Remaining: 10 * time.Second}
		Expect(orders.Handle(ctx, prepare).Outcome).To(Equal(wire.Answered))
		Expect(swap(orders, waitUntilReady(orders, 1), 1, 2).Outcome).To(Equal(wire.Answered))
		Expect(engine.Version()).To(Equal(int64(2)))
		Expect(engine.WeightsRead()).To(BeNumerically(">", 0))
	})

	It("reports a failed load and allows a second attempt", func() {
		orders := start("a", "")
		target := waitUntilReady(orders, 1)
		engine.FailLoads(1)
		Expect(swap(orders, target, 1, 2).Reason).To(Equal(wire.ReasonLoadFailed))
		Expect(swap(orders, waitUntilReady(orders, 1), 1, 2).Version).To(Equal(int64(2)))
	})
})
