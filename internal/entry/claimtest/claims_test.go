// Package claimtest tests entry.Claims with real duties, platform clients and TCP
// connections, against a stand-in of the platform.
package claimtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/dutyrun"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims with a stand-in of the platform")
}

// ledgerEndpoint fakes the endpoint of a ledger service. It answers with the number
// of the run and ignores fences.
type ledgerEndpoint struct {
	mu      sync.Mutex
	runs    map[string]int
	gate    chan struct{} // if not nil, requests wait until it is closed
	reached chan struct{}
	results []wire.ClaimResult // results that its agent remembers
	queries int                // queries that its agent got
}

func (l *ledgerEndpoint) dispatch(_ context.Context, call wire.Request) wire.Answer {
	l.mu.Lock()
	gate := l.gate
	l.mu.Unlock()
	if gate != nil {
		l.reached <- struct{}{}
		<-gate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[call.CallID]++
	body := fmt.Appendf(nil, "run %d", l.runs[call.CallID])
	l.results = append(l.results, wire.ClaimResult{Claim: call.Claim, Outcome: wire.Answered, Kept: true, Status: 200, Body: body})
	return wire.Answer{Outcome: wire.Answered, Status: 200, Body: body}
}

// ledgerAgent is the ledger's agent, which a successor queries.
type ledgerAgent struct{ *ledgerEndpoint }

// ID implements entry.Endpoint.
func (l ledgerAgent) ID() string { return "agent" }

// Target implements entry.Endpoint.
func (l ledgerAgent) Target() wire.Target { return wire.Target{} }

// Call answers a query for claims with the results of all runs.
func (l ledgerAgent) Call(_ context.Context, _ string, _, reply any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queries++
	reply.(*wire.ClaimsTold).Results = l.results
	return nil
}

// CallFresh implements entry.Endpoint.
func (l ledgerAgent) CallFresh(ctx context.Context, method string, args, reply any) error {
	return l.Call(ctx, method, args, reply)
}

func (l *ledgerEndpoint) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// claimProcess is the part of an entry that runs claims: its platform client, its
// duties and its claims, which are reached over TCP.
type claimProcess struct {
	self     duties.Member
	store    *kv.Client
	keeper   *dutyrun.Keeper
	claims   *entry.Claims
	listener net.Listener
	stop     context.CancelFunc
}

// CallPeer implements entry.ClaimPeers. It opens a connection per call.
func (p *claimProcess) CallPeer(ctx context.Context, address string, _ bool, method string, args, reply any) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(entry.ErrNotSent, err.Error())
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func accept(server *rpc.Server, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(conn)
	}
}

// crash stops the process at once: it receives and sends nothing any more.
func (p *claimProcess) crash() {
	p.stop()
	_ = p.listener.Close()
	_ = p.store.Close()
}

var _ = Describe("Claims with a stand-in of the platform", func() {
	const testTimeout = 30 * time.Second
	var (
		platform       *standin.Platform
		address        string
		ledger         *ledgerEndpoint
		processes      []*claimProcess
		members        atomic.Pointer[[]duties.Member]
		agentRemembers bool // the ledger's agent answers queries of successors
	)
	config := duties.Config{
		TTL: time.Second, Margin: 100 * time.Millisecond, RenewInterval: 300 * time.Millisecond,
		PollInterval: 200 * time.Millisecond, Jitter: 100 * time.Millisecond,
		Candidates: 3, MaxTakeoversPerTick: 4, HandBackAfter: time.Hour,
	}
	class := decl.Class{Name: "sync", RetryWindow: time.Minute}
	log := logrus.New()
	log.SetOutput(io.Discard)

	start := func(listener net.Listener, self duties.Member) *claimProcess {
		store, err := kv.NewClient(kv.Options{Address: address, Writer: self.ID, CallsPerSec: 1000, Metrics: metrics.NewRegistry()})
		Expect(err).NotTo(HaveOccurred())
		p := &claimProcess{self: self, store: store, listener: listener}
		p.keeper = dutyrun.New(dutyrun.Options{
			Store: store, Deployment: "test", Self: self, Log: log, Config: config,
			Names:   entry.ClaimDuties,
			Members: func() []duties.Member { return *members.Load() },
			Offer: func(_ context.Context, address string, offer wire.DutyOffer) (wire.Holder, error) {
				for _, other := range processes {
					if other.self.Address == address {
						return other.keeper.Offered(offer)
					}
				}
				return wire.Holder{}, dutyrun.ErrOfferRefused
			},
		})
		p.claims = entry.NewClaims(entry.ClaimsOptions{
			Store: store, Duties: p.keeper, Peers: p, Dispatch: ledger.dispatch,
			Deployment: "test", Instance: self.ID, Log: log, Metrics: metrics.NewRegistry(),
			Agents: func(fn func(entry.Endpoint)) {
				if agentRemembers {
					fn(ledgerAgent{ledger})
				}
			},
		})
		var ctx context.Context
		ctx, p.stop = context.WithCancel(context.Background())
		server := rpc.NewServer()
		Expect(server.RegisterName(wire.ClaimService, p.claims.Server())).To(Succeed())
		go accept(server, listener)
		go func() { _ = p.keeper.Run(ctx) }()
		return p
	}
	owner := func(duty string) *claimProcess {
		for _, p := range processes {
			if p.keeper.LeaseState(duty) == duties.Holder {
				return p
			}
		}
		return nil
	}

	BeforeEach(func() {
		platform = standin.NewPlatform(standin.PlatformOptions{})
		var err error
		address, err = platform.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
		ledger = &ledgerEndpoint{runs: map[string]int{}, reached: make(chan struct{}, 100)}
		processes = nil
		agentRemembers = false
		var listeners []net.Listener
		var all []duties.Member
		for i := range 3 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			listeners = append(listeners, l)
			all = append(all, duties.Member{ID: fmt.Sprintf("entry-%d", i), Address: l.Addr().String()})
		}
		members.Store(&all)
		for i, l := range listeners {
			processes = append(processes, start(l, all[i]))
		}
		DeferCleanup(func() {
			for _, p := range processes {
				p.crash()
			}
		})
		for _, duty := range entry.ClaimDuties() {
			Eventually(func() bool { return owner(duty) != nil }, testTimeout).Should(BeTrue())
		}
	})

	send := func(via *claimProcess, id string, limit time.Duration) <-chan wire.Answer {
		answers := make(chan wire.Answer, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			call := wire.Request{CallID: id, Keyed: true, Principal: wire.Principal{Caller: "billing"}, Fingerprint: 1}
			answers <- via.claims.Do(ctx, call, class, ledger.dispatch)
		}()
		return answers
	}
	ask := func(via *claimProcess, id string, limit time.Duration) wire.Answer {
		GinkgoHelper()
		var answer wire.Answer
		Eventually(send(via, id, limit), testTimeout).Should(Receive(&answer))
		return answer
	}
	expectAnswer := func(a wire.Answer) {
		GinkgoHelper()
		Expect(a.Outcome).To(Equal(wire.Answered), a.Detail)
		Expect(string(a.Body)).To(Equal("run 1"))
	}
	others := func(excluded *claimProcess) []*claimProcess {
		var all []*claimProcess
		for _, p := range processes {
			if p != excluded {
				all = append(all, p)
			}
		}
		return all
	}

	removeMember := func(leaving *claimProcess) {
		var left []duties.Member
		for _, p := range others(leaving) {
			left = append(left, p.self)
		}
		members.Store(&left)
	}

	It("answers repeats through every entry, also if answers of the platform are lost", func() {
		for i := range 6 {
			if i%2 == 1 {
				platform.LoseAnswers(1)
			}
			for _, p := range processes {
				expectAnswer(ask(p, fmt.Sprint("sync-", i), testTimeout))
			}
		}
	})

	// A sync of the billing service is in flight when the owner of its claim
	// crashes. A repeat through another entry gets "unknown", and there is no second
	// run, also if the first one reaches its endpoint afterwards.
	It("runs a sync once if the owner crashes while it is in flight", func() {
		gate := make(chan struct{})
		ledger.gate = gate
		partition := claims.NewKey("billing", "sync").Partition(claims.DefaultPartitions)
		crashed := owner(wire.ClaimDuty(partition))
		first := send(others(crashed)[0], "sync", 2*time.Second)
		Eventually(ledger.reached, testTimeout).Should(Receive())
		crashed.crash()
		var again wire.Answer
		Eventually(func() wire.Reason {
			again = ask(others(crashed)[1], "sync", 3*time.Second)
			return again.Reason
		}, testTimeout).Should(Equal(wire.ReasonUnsettled))
		Expect(again.Outcome).To(Equal(wire.Unknown))
		close(gate)
		Eventually(first, testTimeout).Should(Receive())
		Eventually(func() int { return ledger.count("sync") }, testTimeout).Should(Equal(1))
		Consistently(func() int { return ledger.count("sync") }, 300*time.Millisecond).Should(Equal(1))
	})

	// The owner crashes before it has recorded the answer of a sync that ran. The
	// agent remembers the answer, so a repeat gets it instead of "unknown".
	It("adopts from the agent the answer that a crashed owner did not record", func() {
		agentRemembers = true
		gate := make(chan struct{})
		ledger.gate = gate
		partition := claims.NewKey("billing", "sync").Partition(claims.DefaultPartitions)
		crashed := owner(wire.ClaimDuty(partition))
		send(others(crashed)[0], "sync", 2*time.Second)
		Eventually(ledger.reached, testTimeout).Should(Receive())
		crashed.crash()
		close(gate)
		Eventually(func() int { return ledger.count("sync") }, testTimeout).Should(Equal(1))
		var again wire.Answer
		Eventually(func() wire.Outcome {
			again = ask(others(crashed)[1], "sync", 3*time.Second)
			return again.Outcome
		}, testTimeout).Should(Equal(wire.Answered))
		expectAnswer(again)
		Expect(ledger.count("sync")).To(Equal(1))
		ledger.mu.Lock()
		defer ledger.mu.Unlock()
		Expect(ledger.queries).To(BeNumerically("<=", claims.DefaultPartitions))
	})

	It("refuses in an outage without running the request, and serves the same key afterwards", func() {
		expectAnswer(ask(processes[0], "before", testTimeout))
		Eventually(func() string {
			all, err := processes[0].store.List(context.Background(), kv.UseClaim, wire.ClaimDutyPrefix)
			if err != nil {
				return err.Error()
			}
			var values strings.Builder
			for _, r := range all {
				values.Write(r.Value)
			}
			return values.String()
		}, testTimeout).Should(ContainSubstring(`"s":"d"`))
		platform.SetDown(true)
		answer := ask(processes[1], "during", 600*time.Millisecond)
		Expect(answer.Outcome).NotTo(Equal(wire.Answered))
		Expect(ledger.count("during")).To(BeZero())
		platform.SetDown(false)
		Eventually(func() wire.Outcome { return ask(processes[2], "during", 5*time.Second).Outcome }, testTimeout).Should(Equal(wire.Answered))
		Expect(ledger.count("during")).To(Equal(1))
		expectAnswer(ask(processes[2], "before", testTimeout))
	})

	// The owner stops as planned while a sync runs for longer than the handover
	// takes. It releases its duty at once and finishes the sync; a repeat through
	// another entry waits at the successor for the result. Without that, the release
	// of the duty would have to wait for the slowest run, or the repeat would get
	// "unknown".
	It("sends the results of requests in flight at a planned stop to the successor", func() {
		gate := make(chan struct{})
		ledger.gate = gate
		partition := claims.NewKey("billing", "sync").Partition(claims.DefaultPartitions)
		leaving := owner(wire.ClaimDuty(partition))
		first := send(others(leaving)[0], "sync", testTimeout)
		Eventually(ledger.reached, testTimeout).Should(Receive())
		removeMember(leaving)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		Expect(leaving.claims.Close(ctx)).To(Succeed())
		Expect(leaving.keeper.Stop(ctx)).To(Succeed())
		drained := make(chan error, 1)
		go func() { drained <- leaving.claims.Drain(ctx) }()
		Eventually(func() *claimProcess { return owner(wire.ClaimDuty(partition)) }, testTimeout).ShouldNot(BeNil())
		again := send(others(leaving)[1], "sync", testTimeout)
		Consistently(again, 2500*time.Millisecond).ShouldNot(Receive())
		close(gate)
		for _, answers := range []<-chan wire.Answer{first, again} {
			var answer wire.Answer
			Eventually(answers, testTimeout).Should(Receive(&answer))
			expectAnswer(answer)
		}
		Eventually(drained, testTimeout).Should(Receive(BeNil()))
		leaving.crash()
		expectAnswer(ask(others(leaving)[0], "sync", testTimeout))
		Expect(ledger.count("sync")).To(Equal(1))
	})

	It("replays answers through the other entries after a planned stop", func() {
		for i := range 4 {
			expectAnswer(ask(processes[0], fmt.Sprint("sync-", i), testTimeout))
		}
		leaving := owner(wire.ClaimDuty(0))
		removeMember(leaving)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		Expect(leaving.claims.Drain(ctx)).To(Succeed())
		Expect(leaving.keeper.Stop(ctx)).To(Succeed())
		leaving.crash()
		for i := range 4 {
			expectAnswer(ask(others(leaving)[0], fmt.Sprint("sync-", i), testTimeout))
		}
	})
})
