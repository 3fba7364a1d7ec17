package entry

import (
	"context"
	"fmt"
	"io"
	"net/rpc"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/wire"
)

// guardPeers connects guards to each other.
type guardPeers struct {
	self   string
	guards map[string]*PoisonQuarantine
	cut    map[string]bool // cannot be reached
}

func (p *guardPeers) Others() []kv.Instance {
	var all []kv.Instance
	for name := range p.guards {
		if name != p.self {
			all = append(all, kv.Instance{ID: name, Address: name})
		}
	}
	return all
}

func (p *guardPeers) CallPeer(_ context.Context, address string, _ bool, method string, args, reply any) error {
	if p.cut[address] || p.cut[p.self] {
		return ErrNotSent
	}
	if method == methodPlace {
		return p.guards[address].Server().Place(args.([]wire.Placement), reply.(*struct{}))
	}
	return p.guards[address].Server().Exchange(args.(wire.PoisonExchange), reply.(*wire.PoisonExchange))
}

func newGuards(names ...string) map[string]*PoisonQuarantine {
	guards := map[string]*PoisonQuarantine{}
	cut := map[string]bool{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, name := range names {
		guards[name] = NewPoisonQuarantine(name, &guardPeers{self: name, guards: guards, cut: cut}, log)
	}
	return guards
}

// fragile is an endpoint that crashes when it runs the body "bad".
type fragile struct {
	id      string
	mu      sync.Mutex
	crashes int
	alone   []bool // of each request with that body
}

func (f *fragile) ID() string          { return f.id }
func (f *fragile) Target() wire.Target { return wire.Target{} }

func (f *fragile) Call(_ context.Context, _ string, args, reply any) error {
	req := args.(wire.Request)
	answer := reply.(*wire.Answer)
	if string(req.Body) != "bad" {
		*answer = wire.Answer{Outcome: wire.Answered, Status: 200}
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.alone = append(f.alone, req.Suspect)
	batch := 4
	if req.Suspect {
		batch = 1
	}
	*answer = wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonCrashed, Batch: batch}
	return nil
}

func (f *fragile) CallFresh(context.Context, string, any, any) error {
	return rpc.ErrShutdown
}

// fragilePool picks endpoints in turn, those not tried first.
type fragilePool struct{ endpoints []*fragile }

func (p *fragilePool) Pick(_, _ string, _ uint64, exclude []string) (Endpoint, bool) {
	for _, e := range p.endpoints {
		if e.crashes == 0 && !slices.Contains(exclude, e.id) {
			return e, true
		}
	}
	return nil, false
}

func (p *fragilePool) Find(string) (Endpoint, bool) { return nil, false }

type plentyRetries struct{}

func (plentyRetries) Earn(string)                   {}
func (plentyRetries) Spend(string) bool             { return true }
func (plentyRetries) Delay(string) time.Duration    { return 0 }
func (plentyRetries) Observe(string, time.Duration) {}

func crashAt(endpoint string, batch int) wire.Suspicion {
	return wire.Suspicion{Service: "tone", Fingerprint: 7, Endpoint: endpoint, Batch: batch, UnixMilli: time.Now().UnixMilli()}
}

func visitAt(endpoint string) RequestCopy {
	return RequestCopy{Service: "tone", Fingerprint: 7, Endpoint: endpoint, Usable: func(string) bool { return true }}
}

var _ = Describe("PoisonGuard", func() {
	var guards map[string]*PoisonQuarantine
	BeforeEach(func() { guards = newGuards("entry-1", "entry-2", "entry-3") })
	enter := func(name string, wait time.Duration) (bool, wire.Answer, bool) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		a, refusal, admitted := guards[name].StartCopy(ctx, visitAt("agent-9"))
		return a.Alone, refusal, admitted
	}

	// The caller of a request that crashed its endpoint sends it again through
	// another entry at once. That entry knows of the crash already.
	It("tells the other entries before the caller hears of a crash", func() {
		guards["entry-1"].ReportCrash(crashAt("agent-1", 4))
		alone, _, admitted := enter("entry-2", time.Minute)
		Expect(admitted).To(BeTrue())
		Expect(alone).To(BeTrue())
		guards["entry-2"].ReportCrash(crashAt("agent-2", 1))
		guards["entry-2"].EndCopy(visitAt("agent-9"), "agent-9", false)
		for name := range guards {
			_, refusal, admitted := enter(name, time.Minute)
			Expect(admitted).To(BeFalse())
			Expect(refusal.Reason).To(Equal(wire.ReasonQuarantined))
		}
	})

	It("runs a suspect through one entry at a time, and freely once answered", func() {
		guards["entry-1"].ReportCrash(crashAt("agent-1", 4))
		_, _, admitted := enter("entry-2", time.Minute)
		Expect(admitted).To(BeTrue())
		_, refusal, admitted := enter("entry-3", 100*time.Millisecond)
		Expect(admitted).To(BeFalse())
		Expect(refusal.Outcome).To(Equal(wire.NotRun))
		guards["entry-2"].EndCopy(visitAt("agent-9"), "agent-9", true)
		_, _, admitted = enter("entry-3", time.Minute)
		Expect(admitted).To(BeTrue())
		guards["entry-3"].EndCopy(visitAt("agent-9"), "agent-9", true)
		alone, _, _ := enter("entry-2", time.Minute)
		Expect(alone).To(BeFalse())
	})

	It("lets an operator release a request on every entry, and a new entry learn", func() {
		guards["entry-1"].ReportCrash(crashAt("agent-1", 1))
		guards["entry-1"].ReportCrash(crashAt("agent-2", 1))
		fresh := newGuards("entry-4")["entry-4"]
		fresh.ApplyHeartbeat(nil, guards["entry-2"].List())
		Expect(fresh.Blocked("tone", 7)).To(BeTrue())
		Expect(guards["entry-3"].Release(7)).To(BeTrue())
		for _, g := range guards {
			Expect(g.Blocked("tone", 7)).To(BeFalse())
		}
		fresh.ApplyHeartbeat(nil, guards["entry-2"].List())
		Expect(fresh.Blocked("tone", 7)).To(BeFalse())
	})

	// A caller's request crashes an endpoint in company. The entry retries it
	// alone, it crashes the second, and no third one ever sees it: not by the
	// retry, not by the caller's resend through another entry.
	It("keeps a poison request from a third endpoint", func() {
		pool := &fragilePool{}
		for i := range 5 {
			pool.endpoints = append(pool.endpoints, &fragile{id: fmt.Sprintf("agent-%d", i)})
		}
		crashes := func() (n int) {
			for _, e := range pool.endpoints {
				n += e.crashes
			}
			return n
		}
		send := func(name, body string) wire.Answer {
			server := New(settings.Settings{}, guards[name].log, metrics.NewRegistry(), Dependencies{
				Picker: pool, Quarantine: guards[name], Retries: plentyRetries{}, Hedge: plentyRetries{},
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			req := wire.Request{Service: "tone", Body: []byte(body), Idempotent: true, Fingerprint: uint64(len(body))}
			return server.execute(ctx, call{req: req, plain: true, class: decl.Class{Idempotent: true}})
		}
		Expect(send("entry-1", "bad").Outcome).NotTo(Equal(wire.Answered))
		Expect(crashes()).To(Equal(2))
		Expect(pool.endpoints[0].alone).To(Equal([]bool{false}))
		Expect(pool.endpoints[1].alone).To(Equal([]bool{true}))
		again := send("entry-2", "bad")
		Expect(again.Outcome).To(Equal(wire.NotRun))
		Expect(again.Reason).To(Equal(wire.ReasonQuarantined))
		Expect(crashes()).To(Equal(2))
		Expect(send("entry-3", "good").Outcome).To(Equal(wire.Answered))
	})
})
