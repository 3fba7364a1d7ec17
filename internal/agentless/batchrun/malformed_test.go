package batchrun_test

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/standin"
)

// strictSender passes requests on to engines unless the pool of connections refuses to write them.
type strictSender struct {
	*engines
	pool    *upstream.Pool
	refused atomic.Int64
}

// Send implements dispatch.Sender.
func (s *strictSender) Send(ctx context.Context, endpoint *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	if !strings.Contains(r.Target, " ") {
		return s.engines.Send(ctx, endpoint, r)
	}
	s.refused.Add(1)
	_, err := s.pool.Do(ctx, "127.0.0.1:1", &upstream.Call{Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body})
	return nil, err
}

var _ = Describe("an accepted job with a part that can't be sent", func() {
	// Guards against one job of an earlier release that takes the endpoints from all others: a
	// request that is not sent says nothing about its endpoint.
	DescribeTable("leaves its endpoints in use, is not tried again and ends when it expires",
		func(breakItem func(*batch.Item), service string) {
			sender := &strictSender{engines: &engines{sent: map[string]int{}}, pool: upstream.NewPool(nil, nil)}
			p := newProcess("a", standin.NewTransactionalStore(), sender).run()
			Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
			job := spec("j", 2)
			job.Expires = job.Submitted.Add(2 * time.Second)
			for i := range job.Items { // as many as the service has endpoints
				breakItem(&job.Items[i])
			}
			Expect(p.frontend.Submit(context.Background(), job)).To(Succeed())
			Eventually(sender.refused.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">=", 2))
			Expect(p.owner.Directory.TimeUntilAvailable(service, time.Now())).To(BeZero())
			Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
			all, err := readAll(p.frontend, "j")
			Expect(err).NotTo(HaveOccurred())
			for _, r := range all {
				Expect(r.State).To(Equal(batch.Aborted))
			}
			Expect(sender.refused.Load()).To(Equal(int64(2)))
		},
		Entry("of an item", func(i *batch.Item) { i.Path = "/items/x y" }, "llm"),
		Entry("of a scoring call", func(i *batch.Item) { i.Scorer.Path = "/score/x y" }, "app"),
	)
})
