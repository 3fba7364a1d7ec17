package modelrun_test

import (
	"context"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/modelrun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/standin"
)

const patience = 20 * time.Second

// engine answers orders with the next verdicts, then accepts.
type engine struct {
	mu       sync.Mutex
	accepted int64
	asked    int // how often its count of accepted orders was asked
	verdicts []modelrun.Verdict
	failures int // orders without an answer, first
	orders   []modelrun.Order
}

func (e *engine) Accepted(context.Context, *deployment.Endpoint) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	return e.accepted, nil
}

func (e *engine) Order(_ context.Context, _ *deployment.Endpoint, o modelrun.Order) (modelrun.Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if e.failures > 0 {
		e.failures--
		return 0, errors.New("no answer")
	}
	if len(e.verdicts) > 0 {
		next := e.verdicts[0]
		e.verdicts = e.verdicts[1:]
		return next, nil
	}
	e.accepted++
	return modelrun.Accepted, nil
}

func (e *engine) seen() []modelrun.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]modelrun.Order(nil), e.orders...)
}

var _ = Describe("weight orders", func() {
	var store *standin.Shared
	var e *engine
	var single bool

	// lead runs a process that gives orders to one engine at version 1.
	lead := func() *modelrun.Runner {
		d := directory.New("self", "", nil)
		d.Declare(&deployment.Declaration{Version: 1,
			Routes:   []deployment.Route{{Host: "h", Prefix: "/", SingleVersion: single, Backends: []deployment.Backend{{Service: "llm", Weight: 1}}}},
			Services: map[string]deployment.Service{"llm": {Name: "llm", Models: []string{"m"}}}})
		d.Put(deployment.Endpoint{ID: "e", Service: "llm", Address: "x:1", Born: 1, Versions: map[string]int64{"m": 1}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := cluster.NewLeader(store, "live/duty/weights", "a", 0, 0, func() bool { return true }, func(bool, int64) {})
		r := &modelrun.Runner{Self: "a", Directory: d, Leader: l, Engines: e, Log: log, Registry: metrics.NewRegistry()}
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { _ = l.Run(ctx) })
		done.Go(func() { _ = r.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			done.Wait()
		})
		r.SetNewestVersion("m", 2)
		return r
	}

	BeforeEach(func() {
		store, e, single = standin.NewShared(), &engine{}, false
	})

	It("carry the term and the number of orders that the engine has accepted", func() {
		e.accepted = 7
		lead()
		Eventually(func() int { return len(e.seen()) }).WithTimeout(patience).Should(BeNumerically(">", 0))
		first := e.seen()[0]
		Expect(first.Expected).To(Equal(int64(7)))
		Expect(first.Term).To(BeNumerically(">", 0))
		Expect(first.Version).To(Equal(int64(2)))
		Expect(first.FinishRuns).To(BeFalse())
	})

	It("ask the engine anew after one without an answer", func() {
		// The order may be carried out seconds later. The next one carries the count
		// that the engine has then: whichever is carried out first, the other has no
		// effect.
		e.failures = 1
		lead()
		Eventually(func() int { return len(e.seen()) }).WithTimeout(patience).Should(BeNumerically(">=", 2))
		e.mu.Lock()
		defer e.mu.Unlock()
		Expect(e.asked).To(BeNumerically(">=", 2))
	})

	It("end when the engine knows a higher term", func() {
		e.verdicts = []modelrun.Verdict{modelrun.Outdated}
		lead()
		Eventually(func() int { return len(e.seen()) }).WithTimeout(patience).Should(BeNumerically(">=", 2))
		orders := e.seen()
		Expect(orders[1].Term).To(BeNumerically(">", orders[0].Term), "never again under the term that was refused")
	})

	It("let runs finish first where texts must have one version", func() {
		single = true
		lead()
		Eventually(func() int { return len(e.seen()) }).WithTimeout(patience).Should(BeNumerically(">", 0))
		Expect(e.seen()[0].FinishRuns).To(BeTrue())
	})

	It("are not given while the store does not confirm the duty", func() {
		lead()
		Eventually(func() int { return len(e.seen()) }).WithTimeout(patience).Should(Equal(1))
		store.SetDown(true)
		before := len(e.seen())
		Consistently(func() int { return len(e.seen()) }).WithTimeout(time.Second).Should(Equal(before))
	})
})
