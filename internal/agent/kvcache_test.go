package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

// serveAgent starts an agent for an engine and returns it with its address.
func serveAgent(endpoint string) (*Agent, string) {
	s := settings.Settings{ID: endpoint, Service: "tone", EndpointAddress: endpoint}
	a := New(s, quietLogger(), metrics.NewRegistry())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = a.Serve(ctx, listener) }()
	return a, listener.Addr().String()
}

func startEngine(o standin.EngineOptions) (*standin.Engine, string) {
	engine := standin.NewEngine(o)
	endpoint, err := engine.Start("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(engine.Crash)
	return engine, endpoint
}

var _ = Describe("KV caches", func() {
	prompt := strings.Repeat("a long account ", 700)

	// begin starts a stream and returns its first tokens.
	begin := func(a *Agent, id string, resume wire.Resume) []string {
		body, err := json.Marshal(engineapi.CompletionRequest{Prompt: prompt, MaxTokens: 4000, Seed: 9})
		Expect(err).NotTo(HaveOccurred())
		var started wire.Started
		Expect((&rpcServer{a}).Start(wire.Request{
			ID: id, Service: "tone", Path: engineapi.PathCompletions, Method: "POST", Body: body, Resume: resume,
			Rollout: true, Remaining: time.Minute, Target: wire.Target{Incarnation: a.incarnation, Uptime: a.uptime()},
		}, &started)).To(Succeed())
		Expect(started.Accepted).To(BeTrue())
		DeferCleanup(func() { _ = (&rpcServer{a}).Cancel(wire.CancelRequest{ID: id}, nil) })
		var reply wire.ReadReply
		Expect((&rpcServer{a}).Read(wire.ReadRequest{ID: id, Wait: 10 * time.Second}, &reply)).To(Succeed())
		Expect(reply.Tokens).NotTo(BeEmpty())
		return reply.Tokens
	}
	importCache := func(a *Agent, source string) wire.ImportReply {
		var reply wire.ImportReply
		Expect((&rpcServer{a}).Import(wire.ImportRequest{
			Cache: "c", Source: source, Request: "first", Remaining: 30 * time.Second,
		}, &reply)).To(Succeed())
		return reply
	}
	exports := func(a *Agent) func() int {
		return func() int {
			a.cacheTransfers.mu.Lock()
			defer a.cacheTransfers.mu.Unlock()
			return len(a.cacheTransfers.exports)
		}
	}

	It("are transferred piece by piece to the engine that resumes the request, and used for this request only", func() {
		_, one := startEngine(standin.EngineOptions{Version: 7, StepTime: 5 * time.Millisecond, KVBytes: 1000})
		engine, two := startEngine(standin.EngineOptions{Version: 8, StepTime: 5 * time.Millisecond})
		from, source := serveAgent(one)
		to, _ := serveAgent(two)
		tokens := begin(from, "first", wire.Resume{})
		reply := importCache(to, source)
		Expect(reply.Imported).To(BeTrue(), reply.Detail)
		Expect(reply.Version).To(Equal(int64(7)))
		Expect(reply.Bytes).To(BeNumerically(">", 2*cachePieceBytes))
		Eventually(exports(from)).Should(BeZero())
		begin(to, "other", wire.Resume{})
		begin(to, "second", wire.Resume{Tokens: tokens, Cache: "c"})
		Expect(engine.Stats().Prefilled["second"]).To(BeZero())
		Expect(engine.Stats().Prefilled["other"]).To(Equal(len(prompt)))
	})

	It("are not imported from an engine that dies during the export", func() {
		// The engine sends a part of the cache and dies. The other engine must not
		// keep this incomplete cache: the resumed stream would continue from a
		// context that was never computed.
		dying := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != engineapi.PathExport {
				return
			}
			w.Header().Set(engineapi.HeaderVersion, "7")
			_, _ = w.Write([]byte(prompt))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(dying.Close)
		engine, two := startEngine(standin.EngineOptions{Version: 7})
		from, source := serveAgent(dying.Listener.Addr().String())
		to, _ := serveAgent(two)
		Expect(importCache(to, source).Imported).To(BeFalse())
		begin(to, "second", wire.Resume{Cache: "c"})
		Expect(engine.Stats().Prefilled["second"]).To(Equal(len(prompt)))
		Eventually(exports(from)).Should(BeZero())
	})

	It("leave no export open when the importing engine refuses them", func() {
		// The import ends at the first piece. The exporting agent is not notified
		// and must not keep the engine's response open.
		_, one := startEngine(standin.EngineOptions{Version: 7, StepTime: 5 * time.Millisecond, KVBytes: 2000})
		_, two := startEngine(standin.EngineOptions{Version: 7, RefuseImports: true})
		from, source := serveAgent(one)
		to, _ := serveAgent(two)
		begin(from, "first", wire.Resume{})
		Expect(importCache(to, source).Imported).To(BeFalse())
		Eventually(exports(from)).WithTimeout(30 * time.Second).Should(BeZero())
	})

	It("end their export when the importing agent fails", func() {
		// Afterwards nobody requests the next piece, or the agent's successor
		// requests a wrong one. If the exports did not end then, the few that may
		// run concurrently would be used up permanently.
		_, one := startEngine(standin.EngineOptions{Version: 7, StepTime: 5 * time.Millisecond, KVBytes: 1000})
		from, _ := serveAgent(one)
		begin(from, "first", wire.Resume{})
		for _, cache := range []string{"a", "b", "c", "d"} {
			Expect(from.cacheTransfers.piece(wire.ExportRequest{Cache: cache, Request: "first"}).Found).To(BeTrue())
		}
		Expect(from.cacheTransfers.piece(wire.ExportRequest{Cache: "e", Request: "first"}).Found).To(BeFalse(), "a fifth concurrent export")
		Expect(from.cacheTransfers.piece(wire.ExportRequest{Cache: "a", Request: "first", Piece: 2}).Found).To(BeFalse(), "a piece was skipped")
		Eventually(exports(from)).WithTimeout(30 * time.Second).Should(BeZero())
		Expect(from.cacheTransfers.piece(wire.ExportRequest{Cache: "e", Request: "first"}).Found).To(BeTrue())
	})
})
