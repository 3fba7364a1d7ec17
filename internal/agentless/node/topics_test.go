package node

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/standin"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

var _ = Describe("an entry", func() {
	var n *Node
	list := func(m cluster.Member) {
		var raw bytes.Buffer
		Expect(gob.NewEncoder(&raw).Encode(m)).To(Succeed())
		n.registrar.Topic().Changed(kv.Record{Key: "live/members/" + m.Name, Value: raw.Bytes(), Revision: 1})
	}

	BeforeEach(func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		settings := Settings{ID: "entry", IP: "127.0.0.1", ValueBytes: 1 << 20, ResultTTL: time.Minute}
		n = New(settings, Adapter{Store: standin.NewTransactionalStore()}, nil, log, metrics.NewRegistry())
		n.directory.Declare(&deployment.Declaration{Version: 1, Routes: []deployment.Route{
			{Name: "look", Host: "h", Prefix: "/look/", Kind: deployment.Idempotent, Backends: []deployment.Backend{{Service: "app", Weight: 1}}},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: deployment.Rollout, Backends: []deployment.Backend{{Service: "llm", Weight: 1}}},
		}})
	})

	It("needs no endpoints of rollout services while workers own the jobs", func() {
		list(cluster.Member{Name: "worker", Worker: true})
		services, known := n.requiredServices()
		Expect(known).To(BeTrue())
		Expect(services).To(Equal([]string{"app"}))
	})

	// An entry that has just started accepts a job before it knows a worker, and owns it. Without
	// the engines it never runs the job's items.
	It("needs all endpoints while it owns a job", func() {
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		list(cluster.Member{Name: "entry"})
		spec := &batch.Spec{ID: "j", Host: "h", Model: "m", Submitted: time.Now(), Items: []batch.Item{{ID: "i", Path: "/draft/x"}}}
		Expect(n.frontend.Submit(ctx, spec)).To(Succeed())
		// An owner that runs only now reads from the store that it owns the job.
		assignments := &cluster.Follower{Store: n.store, Topic: n.owner.Assignments()}
		go func() { _ = assignments.Run(ctx) }()
		go func() { _ = n.owner.Run(ctx) }()
		Eventually(func() map[string]int64 { return n.owner.Jobs() }, "5s").Should(HaveLen(1))
		list(cluster.Member{Name: "worker", Worker: true})
		services, known := n.requiredServices()
		Expect(known).To(BeTrue())
		Expect(services).To(BeNil())
	})
})

var _ = Describe("a process that stops", func() {
	// Guards against streams that are taken so late that they are cut off at the process's end.
	DescribeTable("serves new callers until the balancer has removed it, and not much longer",
		func(limit, want time.Duration) { Expect(noticePeriod(limit)).To(Equal(want)) },
		Entry("short limit", 5*time.Second, 2*time.Second),
		Entry("usual limit", 8*time.Second, 2900*time.Millisecond),
		Entry("long limit", time.Minute, 2900*time.Millisecond),
	)
})

var _ = Describe("an endpoint whose entry is deleted", func() {
	var n *Node

	BeforeEach(func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		schema := StoreSchema{Endpoints: "listed/", DecodeEndpoint: func(key string, _ []byte) (deployment.Endpoint, error) {
			return deployment.Endpoint{ID: key[len("listed/"):], Service: "app", Address: "x:1", Slots: 1}, nil
		}}
		settings := Settings{ID: "worker", IP: "127.0.0.1", Worker: true, ValueBytes: 1 << 20, ResultTTL: time.Minute}
		n = New(settings, Adapter{Store: standin.NewTransactionalStore(), Schema: schema}, nil, log, metrics.NewRegistry())
		n.endpointListed(kv.Record{Key: "listed/i-1", Revision: 1})
	})
	listed := func() string { return n.directory.ServiceOf("i-1") }
	// afterOutage has the store answer again for a time.
	afterOutage := func(since time.Duration) { n.outage.last.Store(time.Now().Add(-since).UnixNano()) }

	It("is not used any more at once if the store has not failed lately", func() {
		n.endpointDeleted("listed/i-1", 2)
		Expect(listed()).To(BeEmpty())
		n.endpointListed(kv.Record{Key: "listed/i-1", Revision: 3})
		afterOutage(recoveryPeriod)
		n.endpointDeleted("listed/i-1", 4)
		Expect(listed()).To(BeEmpty())
	})

	// Guards against requests that reach an endpoint long after it left, only because the store was
	// away some seconds before.
	It("is used only until entries that expired in an outage are back", func() {
		afterOutage(recoveryPeriod - 200*time.Millisecond)
		n.endpointDeleted("listed/i-1", 2)
		Expect(listed()).To(Equal("app"))
		Eventually(listed, maxRemovalDelay-500*time.Millisecond).Should(BeEmpty())
	})

	It("stays in use if it is listed again in that time", func() {
		afterOutage(recoveryPeriod - 200*time.Millisecond)
		n.endpointDeleted("listed/i-1", 2)
		n.endpointListed(kv.Record{Key: "listed/i-1", Revision: 3})
		Consistently(listed, "500ms").Should(Equal("app"))
	})

	It("has the rest of the recovery period, and nothing after it", func() {
		now := time.Unix(1000, 0)
		o := storeOutage{}
		Expect(o.recoveryLeft(now)).To(BeZero())
		o.last.Store(now.UnixNano())
		Expect(o.recoveryLeft(now.Add(time.Second))).To(Equal(recoveryPeriod - time.Second))
		Expect(o.recoveryLeft(now.Add(recoveryPeriod))).To(BeZero())
	})
})
