package batchrun_test

import (
	"context"
	"io"
	"net/http"
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
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/standin"
)

// crashingEngines are engines of which some end while they run one request, and are back at once as
// new incarnations.
type crashingEngines struct {
	*engines
	requestID string
	crashes   int // number of endpoints that end under the request
	directory *directory.Directory

	mu    sync.Mutex
	ended int
}

// Send implements dispatch.Sender.
func (c *crashingEngines) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ID != c.requestID || c.ended >= c.crashes {
		return c.engines.Send(ctx, e, r)
	}
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

var _ = Describe("an item of a batch job under which endpoints end", func() {
	var store *standin.TransactionalStore
	var llm *crashingEngines
	var p *process
	var q *quarantine.Quarantine

	// prepare starts an owner whose engines and scorers end while they run a request.
	prepare := func(requestID string, crashes int) {
		store = standin.NewTransactionalStore()
		llm = &crashingEngines{engines: &engines{sent: map[string]int{}}, requestID: requestID, crashes: crashes}
		p = newProcess("a", store, llm)
		llm.directory = p.owner.Directory
		q = quarantine.New("a", store, llm, discardLogger(), metrics.NewRegistry())
		p.owner.Quarantine = q
		for _, service := range []string{"llm", "app"} {
			for _, e := range llm.directory.List(service) {
				e.StartedAtMillis = 1
				llm.directory.Put(e.Endpoint)
			}
		}
		p.run()
		Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
	}
	submit := func() *batch.Spec {
		job := spec("j", 4)
		for i := range job.Items {
			job.Items[i].Scorer.Body = job.Items[i].Body
		}
		Expect(p.frontend.Submit(context.Background(), job)).To(Succeed())
		return job
	}

	// Guards against an item that is never placed again after a burst of crashes, as it seems to have
	// caused them.
	DescribeTable("is placed again until it completes",
		func(requestID string) {
			prepare(requestID, 8)
			submit()
			Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(4))
			Expect(llm.count()).To(Equal(8))
			Expect(q.Status()).To(BeEmpty(), "an item is no evidence against callers' requests with its content")
		},
		Entry("an item", "i1"),
		Entry("its scoring call", "si1"),
	)

	// Guards against an item that is not run since callers sent its content while endpoints ended.
	It("is run while callers' requests with its content are quarantined", func() {
		prepare("none", 0)
		job := spec("j", 4)
		item := &job.Items[1]
		for _, id := range []string{"x1", "x2", "x3"} {
			request := quarantine.Request{
				ID: "c" + id, Fingerprint: poison.Fingerprint(item.Body, http.MethodPost, job.Host, item.Path), Method: http.MethodPost, Host: job.Host, Path: item.Path,
			}
			q.ConnectionLost(request, &deployment.Endpoint{ID: id, Service: "llm", Address: id + ":1", StartedAtMillis: 1})
		}
		Expect(q.Status()).To(HaveLen(1))
		submit()
		Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(4))
	})

	// Guards against an item that ends engine after engine as fast as the owner can place it.
	It("is placed at most about once a second if each endpoint ends under it", func() {
		prepare("i1", 1000)
		submit()
		Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(3))
		before := llm.count()
		time.Sleep(3 * time.Second)
		Expect(llm.count() - before).To(And(BeNumerically(">=", 1), BeNumerically("<=", 10)))
	})
})
