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

const timeout = 20 * time.Second

// engine answers orders with the scripted verdicts, then accepts.
type engine struct {
	mu           sync.Mutex
	accepted     int64
	countReads   int // calls of Accepted
	nextVerdicts []modelrun.Verdict
	failOrders   int // number of orders, before the scripted verdicts, that fail without an answer
	orders       []modelrun.Order
}

func (e *engine) Accepted(context.Context, *deployment.Endpoint) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countReads++
	return e.accepted, nil
}

func (e *engine) Order(_ context.Context, _ *deployment.Endpoint, o modelrun.Order) (modelrun.Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if e.failOrders > 0 {
		e.failOrders--
		return 0, errors.New("no answer")
	}
	if len(e.nextVerdicts) > 0 {
		next := e.nextVerdicts[0]
		e.nextVerdicts = e.nextVerdicts[1:]
		return next, nil
	}
	e.accepted++
	return modelrun.Accepted, nil
}

func (e *engine) receivedOrders() []modelrun.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]modelrun.Order(nil), e.orders...)
}

var _ = Describe("weight orders", func() {
	var store *standin.TransactionalStore
	var e *engine
	var singleVersion bool

	// startLeader runs a process that sends orders to one engine at version 1.
	startLeader := func() *modelrun.Runner {
		d := directory.New("self", "", nil)
		d.Declare(&deployment.Declaration{Version: 1,
			Routes:   []deployment.Route{{Host: "h", Prefix: "/", SingleVersion: singleVersion, Backends: []deployment.Backend{{Service: "llm", Weight: 1}}}},
			Services: map[string]deployment.Service{"llm": {Name: "llm", Models: []string{"m"}}}})
		d.Put(deployment.Endpoint{ID: "e", Service: "llm", Address: "x:1", StartedAtMillis: 1, Versions: map[string]int64{"m": 1}})
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
		store, e, singleVersion = standin.NewTransactionalStore(), &engine{}, false
	})

	It("carry the term and the number of orders that the engine has accepted", func() {
		e.accepted = 7
		startLeader()
		Eventually(func() int { return len(e.receivedOrders()) }).WithTimeout(timeout).Should(BeNumerically(">", 0))
		first := e.receivedOrders()[0]
		Expect(first.Expected).To(Equal(int64(7)))
		Expect(first.Term).To(BeNumerically(">", 0))
		Expect(first.Version).To(Equal(int64(2)))
		Expect(first.FinishRuns).To(BeFalse())
	})

	It("carry a count read again from the engine after an order without an answer", func() {
		// The order may be carried out seconds later. The next one carries the count that
		// the engine has then, so whichever is carried out first, the other has no effect.
		e.failOrders = 1
		startLeader()
		Eventually(func() int { return len(e.receivedOrders()) }).WithTimeout(timeout).Should(BeNumerically(">=", 2))
		e.mu.Lock()
		defer e.mu.Unlock()
		Expect(e.countReads).To(BeNumerically(">=", 2))
	})

	It("are sent only under a new term after the engine has refused the old one as outdated", func() {
		e.nextVerdicts = []modelrun.Verdict{modelrun.Outdated}
		startLeader()
		Eventually(func() int { return len(e.receivedOrders()) }).WithTimeout(timeout).Should(BeNumerically(">=", 2))
		orders := e.receivedOrders()
		Expect(orders[1].Term).To(BeNumerically(">", orders[0].Term), "no order under the term that was refused")
	})

	It("let running requests finish first if texts require a single version", func() {
		singleVersion = true
		startLeader()
		Eventually(func() int { return len(e.receivedOrders()) }).WithTimeout(timeout).Should(BeNumerically(">", 0))
		Expect(e.receivedOrders()[0].FinishRuns).To(BeTrue())
	})

	It("are not sent while the store does not confirm the duty", func() {
		startLeader()
		Eventually(func() int { return len(e.receivedOrders()) }).WithTimeout(timeout).Should(Equal(1))
		store.SetDown(true)
		before := len(e.receivedOrders())
		Consistently(func() int { return len(e.receivedOrders()) }).WithTimeout(time.Second).Should(Equal(before))
	})
})
