package entry

import (
	"bytes"
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

// quarantinePeers connects the quarantines of several entries.
type quarantinePeers struct {
	self        string
	quarantines map[string]*PoisonQuarantine
	cut         map[string]bool // entries that cannot be reached
}

func (p *quarantinePeers) Others() []kv.Instance {
	var all []kv.Instance
	for name := range p.quarantines {
		if name != p.self {
			all = append(all, kv.Instance{ID: name, Address: name})
		}
	}
	return all
}

func (p *quarantinePeers) CallPeer(_ context.Context, address string, _ bool, method string, args, reply any) error {
	if p.cut[address] || p.cut[p.self] {
		return ErrNotSent
	}
	if method == methodPlace {
		return p.quarantines[address].Server().Place(args.([]wire.Placement), reply.(*struct{}))
	}
	return p.quarantines[address].Server().Exchange(args.(wire.PoisonExchange), reply.(*wire.PoisonExchange))
}

func newQuarantines(names ...string) map[string]*PoisonQuarantine {
	quarantines := map[string]*PoisonQuarantine{}
	cut := map[string]bool{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, name := range names {
		quarantines[name] = NewPoisonQuarantine(name, &quarantinePeers{self: name, quarantines: quarantines, cut: cut}, log)
	}
	return quarantines
}

// crashingEndpoint is an endpoint that crashes when it runs the body "bad".
type crashingEndpoint struct {
	id      string
	mu      sync.Mutex
	crashes int
	alone   []bool // whether each request with that body was marked as suspect
}

func (f *crashingEndpoint) ID() string          { return f.id }
func (f *crashingEndpoint) Target() wire.Target { return wire.Target{} }

func (f *crashingEndpoint) Call(_ context.Context, _ string, args, reply any) error {
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

func (f *crashingEndpoint) CallFresh(context.Context, string, any, any) error {
	return rpc.ErrShutdown
}

// crashingPool picks the first endpoint that has not crashed and is not excluded.
type crashingPool struct{ endpoints []*crashingEndpoint }

func (p *crashingPool) Pick(_, _ string, _ uint64, exclude []string) (Endpoint, bool) {
	for _, e := range p.endpoints {
		if e.crashes == 0 && !slices.Contains(exclude, e.id) {
			return e, true
		}
	}
	return nil, false
}

func (p *crashingPool) Find(string) (Endpoint, bool) { return nil, false }

type unlimitedRetries struct{}

func (unlimitedRetries) Earn(string)                   {}
func (unlimitedRetries) Spend(string) bool             { return true }
func (unlimitedRetries) Delay(string) time.Duration    { return 0 }
func (unlimitedRetries) Observe(string, time.Duration) {}

func crashAt(endpoint string, batch int) wire.Suspicion {
	return wire.Suspicion{Service: "tone", Fingerprint: 7, Endpoint: endpoint, Batch: batch, UnixMilli: time.Now().UnixMilli()}
}

func copyAt(endpoint string) RequestCopy {
	return RequestCopy{Service: "tone", Fingerprint: 7, Endpoint: endpoint, Usable: func(string) bool { return true }}
}

var _ = Describe("PoisonQuarantine", func() {
	var quarantines map[string]*PoisonQuarantine
	BeforeEach(func() { quarantines = newQuarantines("entry-1", "entry-2", "entry-3") })
	startCopy := func(name string, wait time.Duration) (bool, wire.Answer, bool) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		a, refusal, admitted := quarantines[name].StartCopy(ctx, copyAt("agent-9"))
		return a.Alone, refusal, admitted
	}

	// The caller of a request that crashed its endpoint resends it at once through
	// another entry. That entry must know of the crash already.
	It("reports a crash to the other entries before the caller gets its answer", func() {
		quarantines["entry-1"].ReportCrash(crashAt("agent-1", 4))
		alone, _, admitted := startCopy("entry-2", time.Minute)
		Expect(admitted).To(BeTrue())
		Expect(alone).To(BeTrue())
		quarantines["entry-2"].ReportCrash(crashAt("agent-2", 1))
		quarantines["entry-2"].EndCopy(copyAt("agent-9"), "agent-9", false)
		for name := range quarantines {
			_, refusal, admitted := startCopy(name, time.Minute)
			Expect(admitted).To(BeFalse())
			Expect(refusal.Reason).To(Equal(wire.ReasonQuarantined))
		}
	})

	It("runs a suspect through one entry at a time, and without restriction once answered", func() {
		quarantines["entry-1"].ReportCrash(crashAt("agent-1", 4))
		_, _, admitted := startCopy("entry-2", time.Minute)
		Expect(admitted).To(BeTrue())
		_, refusal, admitted := startCopy("entry-3", 100*time.Millisecond)
		Expect(admitted).To(BeFalse())
		Expect(refusal.Outcome).To(Equal(wire.NotRun))
		quarantines["entry-2"].EndCopy(copyAt("agent-9"), "agent-9", true)
		_, _, admitted = startCopy("entry-3", time.Minute)
		Expect(admitted).To(BeTrue())
		quarantines["entry-3"].EndCopy(copyAt("agent-9"), "agent-9", true)
		alone, _, _ := startCopy("entry-2", time.Minute)
		Expect(alone).To(BeFalse())
	})

	// A sample that ran at the first crash is cancelled and never sent again. Copies of the poison
	// request would wait for its two crashed endpoints until their deadline.
	It("refuses a poison request through every entry soon after another suspect is no longer sent", func() {
		other := crashAt("agent-1", 2)
		other.Fingerprint = 8
		quarantines["entry-1"].ReportCrash(other)
		quarantines["entry-1"].ReportCrash(crashAt("agent-1", 2))
		quarantines["entry-2"].ReportCrash(crashAt("agent-2", 1))
		c := copyAt("agent-9")
		c.Usable = func(string) bool { return false }
		for name := range quarantines {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			_, refusal, admitted := quarantines[name].StartCopy(ctx, c)
			cancel()
			Expect(admitted).To(BeFalse())
			Expect(refusal.Reason).To(Equal(wire.ReasonQuarantined))
		}
	})

	// The quarantine follows from the time that has passed, without a message from a peer.
	It("logs a quarantine of an entry that has no peers", func() {
		alone := newQuarantines("entry-1")["entry-1"]
		log := &bytes.Buffer{}
		alone.log.SetOutput(log)
		other := crashAt("agent-1", 2)
		other.Fingerprint = 8
		for _, crash := range []wire.Suspicion{other, crashAt("agent-1", 2), crashAt("agent-2", 1)} {
			alone.ReportCrash(crash)
		}
		Eventually(func() bool { return alone.Blocked("tone", 7) }, "30s").Should(BeTrue())
		Expect(log.String()).To(ContainSubstring("event=1310"))
	})

	It("releases a request on every entry, and passes its quarantine on to a new entry", func() {
		quarantines["entry-1"].ReportCrash(crashAt("agent-1", 1))
		quarantines["entry-1"].ReportCrash(crashAt("agent-2", 1))
		fresh := newQuarantines("entry-4")["entry-4"]
		fresh.ApplyHeartbeat(nil, quarantines["entry-2"].List())
		Expect(fresh.Blocked("tone", 7)).To(BeTrue())
		Expect(quarantines["entry-3"].Release(7)).To(BeTrue())
		for _, q := range quarantines {
			Expect(q.Blocked("tone", 7)).To(BeFalse())
		}
		fresh.ApplyHeartbeat(nil, quarantines["entry-2"].List())
		Expect(fresh.Blocked("tone", 7)).To(BeFalse())
	})

	// A request crashes an endpoint while other requests run there. The entry
	// retries it alone and it crashes a second endpoint. No third endpoint may get
	// it, neither by a retry nor by a resend through another entry.
	It("keeps a poison request from a third endpoint", func() {
		pool := &crashingPool{}
		for i := range 5 {
			pool.endpoints = append(pool.endpoints, &crashingEndpoint{id: fmt.Sprintf("agent-%d", i)})
		}
		crashes := func() (n int) {
			for _, e := range pool.endpoints {
				n += e.crashes
			}
			return n
		}
		send := func(name, body string) wire.Answer {
			server := New(settings.Settings{}, quarantines[name].log, metrics.NewRegistry(), Dependencies{
				Picker: pool, Quarantine: quarantines[name], RetryBudget: unlimitedRetries{}, Hedger: unlimitedRetries{},
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
