package pool_test

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/entry/pool"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/wire"
)

// recorder is an agent that records the fences of each heartbeat.
type recorder struct {
	mu       sync.Mutex
	received [][]wire.Fence // of each heartbeat
}

// Heartbeat records the fences and replies.
func (r *recorder) Heartbeat(req wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, req.Fences)
	*reply = wire.HeartbeatReply{From: "a", Target: wire.Target{Incarnation: "1"}, Ready: true}
	return nil
}

// count returns the number of heartbeats and of those with fences.
func (r *recorder) count() (all, fenced int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fences := range r.received {
		if len(fences) > 0 {
			fenced++
		}
	}
	return len(r.received), fenced
}

// last returns the fences that were received last.
func (r *recorder) last() []wire.Fence {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.received) - 1; i >= 0; i-- {
		if len(r.received[i]) > 0 {
			return r.received[i]
		}
	}
	return nil
}

var _ = Describe("heartbeats to an agent", func() {
	// If every heartbeat contained the epoch of every duty, control traffic would grow
	// with the number of duties, although an epoch changes only with the duty's
	// holder. An agent must still get a new epoch with the next heartbeat, and all
	// epochs on a new connection, which may lead to a new process.
	It("contain the epochs of duties when they change and on new connections", func() {
		agent := &recorder{}
		server := rpc.NewServer()
		Expect(server.RegisterName(wire.AgentService, agent)).To(Succeed())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		go server.Accept(listener)
		proxy := newProxy(listener.Addr().String())
		instances := &instanceList{}
		instances.set(kv.Instance{ID: "a", Address: proxy.address(), Role: "agent", Service: "ledger"})

		var mu sync.Mutex
		epoch := int64(1)
		p := pool.New(pool.Options{ID: "e", Lister: instances, HeartbeatInterval: 20 * time.Millisecond, Log: discardLogger(), FillRequest: func(req *wire.HeartbeatRequest) {
			mu.Lock()
			defer mu.Unlock()
			req.Fences = []wire.Fence{{Duty: "claims/0", Epoch: epoch}, {Duty: "claims/1", Epoch: 7}}
		}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		defer func() {
			cancel()
			Expect(<-done).To(Succeed())
		}()
		waitForHeartbeats := func(n int) {
			from, _ := agent.count()
			Eventually(func() int { all, _ := agent.count(); return all - from }, "20s").Should(BeNumerically(">=", n))
		}
		fenced := func() int { _, n := agent.count(); return n }

		waitForHeartbeats(10)
		Expect(fenced()).To(Equal(1))

		mu.Lock()
		epoch = 2
		mu.Unlock()
		waitForHeartbeats(10)
		Expect(fenced()).To(Equal(2))
		Expect(agent.last()).To(ContainElement(wire.Fence{Duty: "claims/0", Epoch: 2}))

		proxy.silence(false)
		Eventually(fenced, "20s").Should(BeNumerically(">=", 3))
	})
})
