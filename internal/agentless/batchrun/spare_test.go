package batchrun_test

import (
	"context"
	"io"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/standin"
)

// poisonFingerprint is the fingerprint of a request that another process sends.
const poisonFingerprint = 1

// besideEngines end under another process's request while they run one scoring call, for its first
// calls, and are back at once as new incarnations. The other process reports each end.
type besideEngines struct {
	*engines
	scoreID    string
	directory  *directory.Directory
	quarantine *quarantine.Quarantine

	mu   sync.Mutex
	left int // calls beside which the other request still runs
}

// Send implements dispatch.Sender.
func (b *besideEngines) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ID != b.scoreID || b.left == 0 {
		return b.engines.Send(ctx, e, r)
	}
	b.left--
	b.quarantine.ConnectionLost(quarantine.Request{ID: "poison", Fingerprint: poisonFingerprint}, e)
	next := *e
	next.StartedAtMillis++
	b.quarantine.EndpointListed(&next)
	b.directory.Put(next)
	return nil, &upstream.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
}

// RefusesConnections implements quarantine.Prober.
func (b *besideEngines) RefusesConnections(context.Context, string) bool { return true }

var _ = Describe("a harmless scoring call beside a request under which endpoints end", func() {
	start := func(disabled ...mechanism.Mechanism) *process {
		store := standin.NewTransactionalStore()
		llm := &besideEngines{engines: &engines{sent: map[string]int{}}, scoreID: "si1", left: 3}
		p := newProcess("a", store, llm)
		p.owner.Quarantine = quarantine.New("a", store, llm, discardLogger(), metrics.NewRegistry())
		p.owner.Quarantine.Directory, p.owner.Quarantine.Switches = p.owner.Directory, &mechanism.Switches{}
		p.owner.Quarantine.Switches.SetDisabled(disabled)
		llm.directory, llm.quarantine = p.owner.Directory, p.owner.Quarantine
		for _, id := range []string{"app0", "app1", "app2"} {
			p.owner.Directory.Put(deployment.Endpoint{ID: id, Service: "app", Address: id + ":1", Slots: 8, StartedAtMillis: 1})
		}
		p.run()
		Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		job := spec("j", 4)
		for i := range job.Items {
			job.Items[i].Scorer.Body = job.Items[i].Body
		}
		Expect(p.frontend.Submit(context.Background(), job)).To(Succeed())
		return p
	}

	// Guards against an item that waits for an hour: its scoring call ran beside the other request
	// at all three endpoints.
	It("is made again, and the item completes", func() {
		p := start()
		Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(4))
	})

	It("is made again while the mechanism is off, too", func() {
		p := start(mechanism.SpareEndpoints)
		Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(4))
	})
})
