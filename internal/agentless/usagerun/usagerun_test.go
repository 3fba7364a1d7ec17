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

const patience = 20 * time.Second

const duty = cluster.DutyKey + "weights"

var rules = usage.Config{WindowLength: 300 * time.Millisecond, DueAfter: 3 * time.Second}

func TestUsagerun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "usagerun")
}

func silent() *logrus.Logger {
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

// bills takes reports and remembers every one.
type bills struct {
	mu       sync.Mutex
	reports  []usagerun.Report
	verdicts []usagerun.Verdict // of the next reports; then they are accepted
	lose     int                // answers that are lost, first
}

func (b *bills) Report(_ context.Context, r usagerun.Report) (usagerun.Verdict, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports = append(b.reports, r)
	if b.lose > 0 {
		b.lose--
		return 0, errors.New("no answer")
	}
	if len(b.verdicts) > 0 {
		next := b.verdicts[0]
		b.verdicts = b.verdicts[1:]
		return next, nil
	}
	return usagerun.Accepted, nil
}

func (b *bills) seen() []usagerun.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]usagerun.Report(nil), b.reports...)
}

// sums adds up each window once.
func (b *bills) sums() usage.Counts {
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

// site is one process that counts and others that may report.
type site struct {
	store   *standin.Shared
	members *cluster.Members
	counter *usagerun.Counter
	bills   *bills
}

func newSite() *site {
	s := &site{store: standin.NewShared(), members: cluster.NewMembers(), counter: usagerun.NewCounter(rules), bills: &bills{}}
	entry := cluster.Member{Name: "entry", Address: "127.0.0.1:1", Boot: time.Now().UnixNano()}
	registrar := s.list(entry)
	follower := &cluster.Follower{Store: s.store, Topic: registrar.Topic()}
	start(follower.Run)
	teller := &usagerun.Sender{Config: rules, Counter: s.counter, Self: entry, Members: s.members, Duty: duty, Peers: rpcpool.New(nil), Log: silent()}
	start(teller.Run)
	return s
}

// list registers a process.
func (s *site) list(m cluster.Member) *cluster.Registrar {
	registrar := cluster.NewRegistrar(s.store, m, time.Hour, s.members, silent())
	start(registrar.Run)
	return registrar
}

// worker starts a process that is told, and reports while it holds the duty.
func (s *site) worker(name string) *cluster.Leader {
	boot := time.Now().UnixNano()
	books := usagerun.NewLedger(rules, boot)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	calls := rpc.NewServer()
	Expect(books.Register(calls)).To(Succeed())
	go calls.Accept(listener)
	DeferCleanup(listener.Close)
	s.list(cluster.Member{Name: name, Address: listener.Addr().String(), Worker: true, Boot: boot})
	leader := cluster.NewLeader(s.store, duty, name, 0, 0, func() bool { return true }, func(bool, int64) {})
	start(leader.Run)
	reporter := &usagerun.Reporter{Config: rules, Self: name, Ledger: books, Members: s.members, Leader: leader, Store: s.store, Biller: s.bills, Log: silent(), Registry: metrics.NewRegistry()}
	start(reporter.Run)
	return leader
}

func (s *site) serve(customer string, n int) {
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
	It("is reported window by window, each request once", func() {
		s := newSite()
		Eventually(leads(s.worker("a"))).WithTimeout(patience).Should(BeTrue())
		s.serve("desk", 3)
		time.Sleep(rules.WindowLength)
		s.serve("desk", 2)
		s.serve("billing", 1)
		Eventually(s.bills.sums).WithTimeout(patience).Should(Equal(usage.Counts{"desk": 5, "billing": 1}))
	})

	It("is sent again, the same, when the answer was lost or the platform is busy", func() {
		s := newSite()
		s.bills.lose, s.bills.verdicts = 2, []usagerun.Verdict{usagerun.Busy}
		Eventually(leads(s.worker("a"))).WithTimeout(patience).Should(BeTrue())
		s.serve("desk", 3)
		Eventually(s.bills.sums).WithTimeout(patience).Should(Equal(usage.Counts{"desk": 3}))
		Consistently(s.bills.sums).Should(Equal(usage.Counts{"desk": 3}))
		told := map[usage.Window]usage.Counts{}
		for _, r := range s.bills.seen() {
			if before, found := told[r.Window]; found {
				Expect(r.Counts).To(Equal(before))
			}
			told[r.Window] = r.Counts
		}
	})

	It("is reported by the next holder under a higher token, with what was told to both", func() {
		s := newSite()
		first := s.worker("a")
		Eventually(leads(first)).WithTimeout(patience).Should(BeTrue())
		second := s.worker("b")
		s.serve("desk", 3)
		Eventually(s.bills.sums).WithTimeout(patience).Should(Equal(usage.Counts{"desk": 3}))
		Expect(first.Release(context.Background())).To(Succeed())
		s.serve("desk", 2)
		second.TryNow()
		Eventually(s.bills.sums).WithTimeout(patience).Should(Equal(usage.Counts{"desk": 5}))
		terms := map[string]int64{}
		for _, r := range s.bills.seen() {
			terms[r.Holder] = r.Term
		}
		Expect(terms["b"]).To(BeNumerically(">", terms["a"]))
	})

	It("is not reported by one whose token is outdated", func() {
		s := newSite()
		s.bills.verdicts = []usagerun.Verdict{usagerun.Outdated}
		leader := s.worker("a")
		Eventually(s.bills.seen).WithTimeout(patience).ShouldNot(BeEmpty())
		first := s.bills.seen()[0].Term
		Eventually(func() bool {
			term, leads := leader.Term(time.Now())
			return leads && term > first
		}).WithTimeout(patience).Should(BeTrue(), "it stands for the duty anew")
	})

	It("waits for the store, as what is not written down may be told differently", func() {
		s := newSite()
		Eventually(leads(s.worker("a"))).WithTimeout(patience).Should(BeTrue())
		Eventually(s.bills.seen).WithTimeout(patience).ShouldNot(BeEmpty())
		s.store.SetDown(true)
		time.Sleep(2 * rules.WindowLength)
		before := len(s.bills.seen())
		Consistently(func() int { return len(s.bills.seen()) }).WithTimeout(rules.WindowLength).Should(Equal(before))
		s.serve("desk", 1)
		s.store.SetDown(false)
		Eventually(s.bills.sums).WithTimeout(patience).Should(Equal(usage.Counts{"desk": 1}))
	})

	It("leaves no more reports in the store than a next holder needs", func() {
		s := newSite()
		Eventually(leads(s.worker("a"))).WithTimeout(patience).Should(BeTrue())
		most := int(rules.RetainedWindows()) + 2
		Eventually(func() int { return len(s.bills.seen()) }).WithTimeout(patience).Should(BeNumerically(">", most+3))
		page, err := kv.ReadAll(context.Background(), s.store, "usage/")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(page.Records)).To(BeNumerically("<=", most))
	})
})
