package usagerun_test

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/usage"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

const timeout = 20 * time.Second

const duty = cluster.DutyPrefix + "weights"

var config = usage.Config{WindowLength: 300 * time.Millisecond, DueAfter: 3 * time.Second}

func TestUsagerun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "usagerun")
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func start(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	DeferCleanup(func() { cancel(); <-done })
}

// fakeBiller records all reports and answers with the given verdicts.
type fakeBiller struct {
	mu          sync.Mutex
	reports     []usagerun.Report
	verdicts    []usagerun.Verdict // of the next reports; all later ones are accepted
	lostAnswers int                // how many reports get no answer before that
}

func (b *fakeBiller) Report(_ context.Context, r usagerun.Report) (usagerun.Verdict, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports = append(b.reports, r)
	if b.lostAnswers > 0 {
		b.lostAnswers--
		return 0, errors.New("no answer")
	}
	if len(b.verdicts) > 0 {
		next := b.verdicts[0]
		b.verdicts = b.verdicts[1:]
		return next, nil
	}
	return usagerun.Accepted, nil
}

func (b *fakeBiller) seen() []usagerun.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]usagerun.Report(nil), b.reports...)
}

// sums returns the total of all windows, each counted once.
func (b *fakeBiller) sums() usage.Counts {
	sums, windows := usage.Counts{}, map[usage.Window]bool{}
	for _, r := range b.seen() {
		if !windows[r.Window] {
			windows[r.Window] = true
			for customer, n := range r.Counts {
				sums[customer] += n
			}
		}
	}
	return sums
}

// testSystem is a process that counts requests, and workers that may report them.
type testSystem struct {
	store   *standin.TransactionalStore
	members *cluster.Members
	counter *usagerun.Counter
	biller  *fakeBiller
}

func newTestSystem() *testSystem {
	s := &testSystem{store: standin.NewTransactionalStore(), members: cluster.NewMembers(), counter: usagerun.NewCounter(config), biller: &fakeBiller{}}
	entry := cluster.Member{Name: "entry", Address: "127.0.0.1:1", Boot: time.Now().UnixNano()}
	registrar := s.register(entry)
	follower := &cluster.Follower{Store: s.store, Topic: registrar.Topic()}
	start(follower.Run)
	sender := &usagerun.Sender{Config: config, Counter: s.counter, Self: entry, Members: s.members, Duty: duty, Peers: rpcpool.New(nil), Log: discardLogger()}
	start(sender.Run)
	return s
}

// register registers a process.
func (s *testSystem) register(m cluster.Member) *cluster.Registrar {
	registrar := cluster.NewRegistrar(s.store, m, time.Hour, s.members, discardLogger())
	start(registrar.Run)
	return registrar
}

// worker starts a process that receives counts and reports them while it holds the
// duty.
func (s *testSystem) worker(name string) *cluster.Leader {
	boot := time.Now().UnixNano()
	ledger := usagerun.NewLedger(config, boot)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	calls := rpc.NewServer()
	Expect(ledger.Register(calls)).To(Succeed())
	go calls.Accept(listener)
	DeferCleanup(listener.Close)
	s.register(cluster.Member{Name: name, Address: listener.Addr().String(), Worker: true, Boot: boot})
	leader := cluster.NewLeader(s.store, duty, name, 0, 0, func() bool { return true }, func(bool, int64) {})
	start(leader.Run)
	reporter := &usagerun.Reporter{Config: config, Self: name, Ledger: ledger, Members: s.members, Leader: leader, Store: s.store, Biller: s.biller, Log: discardLogger(), Registry: metrics.NewRegistry()}
	start(reporter.Run)
	return leader
}

func (s *testSystem) serve(customer string, n int) {
	for range n {
		r := s.counter.Enter(customer)
		r.CountStart(time.Now())
		r.Leave()
	}
}

func leads(l *cluster.Leader) func() bool {
	return func() bool { _, leads := l.Term(time.Now()); return leads }
}

var _ = Describe("usage", func() {
	It("is reported per window, each request once", func() {
		s := newTestSystem()
		Eventually(leads(s.worker("a"))).WithTimeout(timeout).Should(BeTrue())
		s.serve("desk", 3)
		time.Sleep(config.WindowLength)
		s.serve("desk", 2)
		s.serve("billing", 1)
		Eventually(s.biller.sums).WithTimeout(timeout).Should(Equal(usage.Counts{"desk": 5, "billing": 1}))
	})

	It("is sent again unchanged when the answer was lost or the platform is busy", func() {
		s := newTestSystem()
		s.biller.lostAnswers, s.biller.verdicts = 2, []usagerun.Verdict{usagerun.Busy}
		Eventually(leads(s.worker("a"))).WithTimeout(timeout).Should(BeTrue())
		s.serve("desk", 3)
		Eventually(s.biller.sums).WithTimeout(timeout).Should(Equal(usage.Counts{"desk": 3}))
		Consistently(s.biller.sums).Should(Equal(usage.Counts{"desk": 3}))
		sent := map[usage.Window]usage.Counts{}
		for _, r := range s.biller.seen() {
			if before, found := sent[r.Window]; found {
				Expect(r.Counts).To(Equal(before))
			}
			sent[r.Window] = r.Counts
		}
	})

	It("is reported by the next holder of the duty under a higher fencing token, with the counts sent to both", func() {
		s := newTestSystem()
		first := s.worker("a")
		Eventually(leads(first)).WithTimeout(timeout).Should(BeTrue())
		second := s.worker("b")
		s.serve("desk", 3)
		Eventually(s.biller.sums).WithTimeout(timeout).Should(Equal(usage.Counts{"desk": 3}))
		Expect(first.Release(context.Background())).To(Succeed())
		s.serve("desk", 2)
		second.TryNow()
		Eventually(s.biller.sums).WithTimeout(timeout).Should(Equal(usage.Counts{"desk": 5}))
		terms := map[string]int64{}
		for _, r := range s.biller.seen() {
			terms[r.Holder] = r.Term
		}
		Expect(terms["b"]).To(BeNumerically(">", terms["a"]))
	})

	It("is not reported under an outdated fencing token", func() {
		s := newTestSystem()
		s.biller.verdicts = []usagerun.Verdict{usagerun.Outdated}
		leader := s.worker("a")
		Eventually(s.biller.seen).WithTimeout(timeout).ShouldNot(BeEmpty())
		first := s.biller.seen()[0].Term
		Eventually(func() bool {
			term, leads := leader.Term(time.Now())
			return leads && term > first
		}).WithTimeout(timeout).Should(BeTrue(), "it acquires the duty again")
	})

	It("is not reported before it is stored, because unstored counts may still change", func() {
		s := newTestSystem()
		Eventually(leads(s.worker("a"))).WithTimeout(timeout).Should(BeTrue())
		Eventually(s.biller.seen).WithTimeout(timeout).ShouldNot(BeEmpty())
		s.store.SetDown(true)
		time.Sleep(2 * config.WindowLength)
		before := len(s.biller.seen())
		Consistently(func() int { return len(s.biller.seen()) }).WithTimeout(config.WindowLength).Should(Equal(before))
		s.serve("desk", 1)
		s.store.SetDown(false)
		Eventually(s.biller.sums).WithTimeout(timeout).Should(Equal(usage.Counts{"desk": 1}))
	})

	It("leaves only the reports in the store that the next holder needs", func() {
		s := newTestSystem()
		Eventually(leads(s.worker("a"))).WithTimeout(timeout).Should(BeTrue())
		maxReports := int(config.RetainedWindows()) + 2
		Eventually(func() int { return len(s.biller.seen()) }).WithTimeout(timeout).Should(BeNumerically(">", maxReports+3))
		page, err := kv.ReadAll(context.Background(), s.store, "usage/")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(page.Records)).To(BeNumerically("<=", maxReports))
	})
})
