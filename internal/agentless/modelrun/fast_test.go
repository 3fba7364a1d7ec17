package modelrun_test

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/modelrun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

// namedEngines accept every order and record to which engine it went.
type namedEngines struct {
	mu      sync.Mutex
	ordered []string
}

func (e *namedEngines) Accepted(context.Context, *deployment.Endpoint) (int64, error) { return 0, nil }

func (e *namedEngines) Order(_ context.Context, to *deployment.Endpoint, _ modelrun.Order) (modelrun.Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordered = append(e.ordered, to.ID)
	return modelrun.Accepted, nil
}

func (e *namedEngines) first() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ordered) == 0 {
		return ""
	}
	return e.ordered[0]
}

var _ = Describe("the report of fast engines", func() {
	const duty = "live/duty/weights"
	ids := []string{"e0", "e1", "e2", "e3"}
	var logged *gbytes.Buffer

	// start starts a worker that holds the duty and plans the loads of four engines.
	start := func(disabled ...mechanism.Mechanism) (*modelrun.Runner, *namedEngines, *cluster.Members) {
		d := directory.New("self", "", nil)
		d.Declare(&deployment.Declaration{Version: 1, Services: map[string]deployment.Service{"llm": {Name: "llm", Models: []string{"m"}}}})
		for _, id := range ids {
			d.Put(deployment.Endpoint{ID: id, Service: "llm", Address: "x:1", StartedAtMillis: 1, Versions: map[string]int64{"m": 1}})
		}
		log := logrus.New()
		logged = gbytes.NewBuffer()
		log.SetOutput(logged)
		e := &namedEngines{}
		switches := &mechanism.Switches{}
		switches.SetDisabled(disabled)
		store := standin.NewTransactionalStore()
		l := cluster.NewLeader(store, duty, "a", 0, 0, func() bool { return true }, func(bool, int64) {})
		r := &modelrun.Runner{Self: "a", Directory: d, Leader: l, Engines: e, Log: log, Registry: metrics.NewRegistry(), Switches: switches}
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { _ = l.Run(ctx) })
		done.Go(func() { _ = r.Run(ctx) })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := rpc.NewServer()
		Expect(r.Register(server)).To(Succeed())
		go server.Accept(listener)
		DeferCleanup(func() {
			cancel()
			_ = listener.Close()
			done.Wait()
		})
		members := cluster.NewMembers()
		registrar := cluster.NewRegistrar(store, cluster.Member{Name: "a", Address: listener.Addr().String(), Worker: true}, time.Hour, members, log)
		follower := &cluster.Follower{Store: store, Topic: registrar.Topic()}
		done.Go(func() { _ = registrar.Run(ctx) })
		done.Go(func() { _ = follower.Run(ctx) })
		Eventually(func() bool {
			_, leads := l.Term(time.Now())
			_, found := members.Get(members.Holder(duty))
			return leads && found
		}).WithTimeout(timeout).Should(BeTrue())
		return r, e, members
	}

	It("reaches the worker that sends the orders, which loads these engines first", func() {
		// That worker owns no jobs and gets no load messages. Without the report it cannot know
		// which engines are fast.
		for _, id := range ids {
			r, e, members := start()
			modelrun.SendFast(context.Background(), members, rpcpool.New(nil), duty, modelrun.FastArgs{From: "b", Model: "m", Engines: []string{id, "unlisted"}})
			Eventually(func() bool { return modelrun.HasFastReport(r, "llm") }).WithTimeout(timeout).Should(BeTrue())
			r.SetNewestVersion("m", 2)
			Eventually(e.first).WithTimeout(timeout).Should(Equal(id))
		}
	})

	It("is not used if it is too large, and the log names its sender", func() {
		r, _, _ := start()
		r.RecordFast(modelrun.FastArgs{From: "b", Model: "m", Engines: make([]string, 5000)})
		Expect(modelrun.HasFastReport(r, "llm")).To(BeFalse())
		Expect(string(logged.Contents())).To(And(ContainSubstring("from=b"), ContainSubstring("field=Engines")))
	})

	It("is not used if the mechanism is disabled", func() {
		r, _, _ := start(mechanism.PlaceByTime)
		r.RecordFast(modelrun.FastArgs{From: "b", Model: "m", Engines: ids[:1]})
		Expect(modelrun.HasFastReport(r, "llm")).To(BeFalse())
	})
})
