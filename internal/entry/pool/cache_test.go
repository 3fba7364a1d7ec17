package pool_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agent"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/entry/pool"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

// startEngineHost starts an engine and its agent.
func startEngineHost(ctx context.Context, id string) (*standin.Engine, kv.Instance) {
	engine := standin.NewEngine(standin.EngineOptions{Version: 4, StepTime: 5 * time.Millisecond})
	endpoint, err := engine.Start("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(engine.Crash)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	a := agent.New(settings.Settings{ID: id, Service: "tone", EndpointAddress: endpoint}, discardLogger(), metrics.NewRegistry())
	go func() { _ = a.Serve(ctx, listener) }()
	return engine, kv.Instance{ID: id, Address: listener.Addr().String(), Role: "agent", Service: "tone"}
}

var _ = Describe("the KV cache of a sample", func() {
	It("is transferred between engines by their agents", func() {
		// The entry runs a sample on one engine, has the agent of the other engine fetch
		// the KV cache from the first one's agent, and continues the sample there. The
		// second engine must not recompute anything that the first one had computed.
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		_, one := startEngineHost(ctx, "one")
		second, two := startEngineHost(ctx, "two")
		instances := &instanceList{}
		instances.set(one, two)
		p := pool.New(pool.Options{ID: "entry-1", Deployment: "d", Lister: instances, HeartbeatInterval: 500 * time.Millisecond, Log: discardLogger()})
		go func() { _ = p.Run(ctx) }()
		server := entry.New(settings.Settings{}, discardLogger(), metrics.NewRegistry(), entry.Dependencies{Picker: p, Quarantine: noQuarantine{}, RetryBudget: noRetries{}})
		Eventually(func() int { return len(p.Engines("tone")) }, "20s").Should(Equal(2))
		addresses := map[string]string{}
		for _, e := range p.Engines("tone") {
			addresses[e.ID] = e.Address
		}

		body, err := json.Marshal(engineapi.CompletionRequest{Prompt: strings.Repeat("a long account ", 100), MaxTokens: 4000, Seed: 9})
		Expect(err).NotTo(HaveOccurred())
		reads := make(chan wire.ReadReply, 5000)
		generate := func(ctx context.Context, at string, resume wire.Resume) {
			_ = server.Generate(ctx, wire.Request{
				Service: "tone", Method: "POST", Path: engineapi.PathCompletions, Body: body,
				Prefer: at, Resume: resume, Remaining: time.Minute,
			}, func(r wire.ReadReply) { reads <- r })
		}
		running, stop := context.WithCancel(ctx)
		go generate(running, "one", wire.Resume{})
		var first wire.ReadReply
		Eventually(reads, "20s").Should(Receive(&first))
		reply, err := server.ImportCache(ctx, "two", wire.ImportRequest{
			Cache: "c", Source: addresses["one"], Request: first.ID, Remaining: 20 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Imported).To(BeTrue(), reply.Detail)
		Expect(reply.Version).To(Equal(int64(4)))
		stop()
		go generate(ctx, "two", wire.Resume{Tokens: first.Tokens, Cache: "c"})
		Eventually(func() map[string]int { return second.Stats().Prefilled }, "20s").Should(HaveLen(1))
		for _, computed := range second.Stats().Prefilled {
			Expect(computed).To(BeZero())
		}
	})
})
