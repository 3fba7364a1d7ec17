package batchrun_test

import (
	"context"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/standin"
)

// crashingEngines are engines that end under one request and are back at once as new
// incarnations.
type crashingEngines struct {
	*engines
	poisonID  string
	directory *directory.Directory

	mu    sync.Mutex
	ended int
}

// Send implements dispatch.Sender.
func (c *crashingEngines) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	if r.ID != c.poisonID {
		return c.engines.Send(ctx, e, r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	next := *e
	next.StartedAtMillis++
	c.directory.Put(next)
	return nil, &upstream.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
}

// RefusesConnections implements quarantine.Prober.
func (c *crashingEngines) RefusesConnections(context.Context, string) bool { return true }

func (c *crashingEngines) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

var _ = Describe("a batch job with a request under which endpoints end", func() {
	const (
		limit       = 3 // endpoints that may end before the request is no longer sent
		repeatLimit = 3 // endpoints that it may reach after that, at most
	)

	// The owner retries broken runs and scoring calls until the job expires. Each retry would
	// end one more endpoint, those of other jobs' items with it.
	DescribeTable("stops sending it, and the other items complete",
		func(poisonID string) {
			store := standin.NewTransactionalStore()
			llm := &crashingEngines{engines: &engines{sent: map[string]int{}}, poisonID: poisonID}
			p := newProcess("a", store, llm)
			llm.directory = p.owner.Directory
			p.owner.Quarantine = quarantine.New("a", store, llm, discardLogger(), metrics.NewRegistry())
			for _, service := range []string{"llm", "app"} {
				for _, e := range llm.directory.List(service) {
					e.StartedAtMillis = 1
					llm.directory.Put(e.Endpoint)
				}
			}
			p.run()
			Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
			job := spec("j", 4)
			for i := range job.Items {
				job.Items[i].Scorer.Body = job.Items[i].Body
			}
			Expect(p.frontend.Submit(context.Background(), job)).To(Succeed())
			Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
			Eventually(llm.count).WithTimeout(eventuallyTimeout).Should(BeNumerically(">=", limit))
			Consistently(llm.count).WithTimeout(3 * time.Second).Should(BeNumerically("<=", limit+repeatLimit))
			Expect(results(p, "j")()).To(Equal(3), "the request may be released before the job expires")
		},
		Entry("an item", "i1"),
		Entry("a scoring call", "si1"),
	)
})
