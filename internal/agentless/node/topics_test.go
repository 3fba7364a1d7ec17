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
