package batchrun_test

import (
	"context"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
	"siskinloom.example/siskinloom/internal/standin"
)

// heldScorers are engines whose scoring calls wait until they are released.
type heldScorers struct {
	*engines
	release chan struct{}
	running atomic.Int64
}

// Send implements dispatch.Sender.
func (h *heldScorers) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	if strings.HasPrefix(r.Target, "/score/") {
		h.running.Add(1)
		defer h.running.Add(-1)
		select {
		case <-h.release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return h.engines.Send(ctx, e, r)
}

// fixedShares are shares that do not change.
type fixedShares struct {
	slots, customerSlots int // -1: not limited
}

func (f *fixedShares) Slots(string) (int, bool) { return f.slots, f.slots >= 0 }

func (f *fixedShares) CustomerSlots(_, customer string) (int, bool) {
	return f.customerSlots, f.customerSlots >= 0 && customer == "tenant"
}

var _ = Describe("the scoring calls of an owner", func() {
	const (
		items     = 14
		fixedPart = 4 // of two endpoints with eight slots each
	)

	// With a fixed part, an owner leaves slots idle while nobody else asks for them, and two owners
	// and the callers together ask for more than there are.
	DescribeTable("use a fixed part of the slots, and their share while the service is under pressure",
		func(shares batchrun.Shares, want int) {
			scorers := &heldScorers{engines: &engines{sent: map[string]int{}}, release: make(chan struct{})}
			p := newProcess("a", standin.NewTransactionalStore(), scorers)
			p.owner.Shares = shares
			p.run()
			Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
			job := spec("j", items)
			job.Customer = "tenant"
			Expect(p.frontend.Submit(context.Background(), job)).To(Succeed())
			Eventually(scorers.running.Load).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(want))
			Eventually(func() []fairshare.Demand { return p.owner.Demands("app") }).WithTimeout(eventuallyTimeout).
				Should(Equal([]fairshare.Demand{{Customer: "tenant", Weight: 1, InFlight: want, Waiting: items - want}}))
			Expect(scorers.running.Load()).To(BeEquivalentTo(want))
			Expect(p.owner.Demands("other")).To(BeEmpty())
			close(scorers.release)
			Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(items))
			Eventually(func() []fairshare.Demand { return p.owner.Demands("app") }).WithTimeout(eventuallyTimeout).Should(BeEmpty())
		},
		Entry("without shares", nil, fixedPart),
		Entry("without pressure", &fixedShares{-1, -1}, fixedPart),
		Entry("with more slots than the fixed part", &fixedShares{7, -1}, 7),
		Entry("with fewer slots than the fixed part", &fixedShares{1, -1}, 1),
		Entry("with a limit for the customer of the job", &fixedShares{7, 3}, 3),
	)
})
