package gate_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
)

// The first timer of go-metrics starts a goroutine that runs as long as the process. In a bubble of
// synctest it would keep virtual time from advancing.
func init() { metrics.NewTimer().Stop() }

// Guards against a second run of a non-idempotent request whose route has a timeout above the
// default one: the hedge timer of such a route runs for that long.
func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	for _, requireKeys := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			service := &slotEndpoints{takes: always(40 * time.Second)}
			g := gate.New(newDirectory(requireKeys, 2, 2), service, quietLog(), metrics.NewRegistry())
			slow := route(deployment.NonIdempotent)
			slow.Timeout = time.Minute
			r := from("small", "slow")
			r.Timeout = time.Minute
			NewWithT(t).Expect(g.Serve(context.Background(), slow, r).End).To(Equal(gate.Answered))
			NewWithT(t).Expect(service.order()).To(HaveLen(1))
		})
	}
}

// connectTimeout opens no connection for the first attempt of the request "hedged".
type connectTimeout struct {
	*slotEndpoints
	once sync.Once
}

// Send implements dispatch.Sender.
func (c *connectTimeout) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	unsent := false
	if r.ID == "hedged" {
		c.once.Do(func() { unsent = true })
	}
	if unsent {
		time.Sleep(200 * time.Millisecond)
		return nil, &upstream.SendError{Err: context.DeadlineExceeded}
	}
	return c.slotEndpoints.Send(ctx, e, r)
}

// Guards against a request that waits behind all first attempts although it never ran: its only
// attempt was not sent, and its hedge, which waits with the lowest precedence, was all that was
// left of it.
func TestHedgeOfUnsentRequestWaitsAsFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t).Expect
		service := &connectTimeout{slotEndpoints: &slotEndpoints{takes: always(20 * time.Millisecond)}}
		g := gate.New(newDirectory(true, 2, 4), service, quietLog(), metrics.NewRegistry())
		g.Shares = &fixedShares{slots: 1}
		var group sync.WaitGroup
		group.Go(func() { g.Serve(context.Background(), route(deployment.Idempotent), from("large", "hedged")) })
		time.Sleep(100 * time.Millisecond) // the hedge waits
		for i := range 10 {
			group.Go(func() { g.Serve(context.Background(), route(deployment.NonIdempotent), from("large", fmt.Sprint(i))) })
			synctest.Wait()
		}
		group.Wait()
		expect(service.order()).To(HaveLen(11))
		expect(service.order()[:4]).To(ContainElement("hedged"))
	})
}

// Guards against retry budgets that start anew with each declaration.
func TestRetryBudgetsOutlastDeclarations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{replies: []reply{lost}}
		d := newDirectory(true, 4, 4)
		g := gate.New(d, s, quietLog(), metrics.NewRegistry())
		const requests = 40
		for i := range requests {
			declared := *d.Table().Declaration
			declared.Version = int64(i + 2)
			d.Declare(&declared)
			g.Serve(context.Background(), route(deployment.Idempotent), from("large", "fails"))
			time.Sleep(100 * time.Millisecond)
		}
		// 10 initially, 0.2 per request and 0.5 per second
		NewWithT(t).Expect(len(s.endpoints()) - requests).To(BeNumerically("<=", 10+8+2))
	})
}

// Guards against a record of refusals that grows with each customer that was ever declared.
func TestRefusalsOfFormerCustomersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t).Expect
		service := &slotEndpoints{takes: always(20 * time.Millisecond)}
		d := newDirectory(true, 1, 1)
		g := gate.New(d, service, quietLog(), metrics.NewRegistry())
		ctx, release := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { g.Serve(ctx, route(deployment.NonIdempotent), from("large", "filler")) })
		synctest.Wait()
		late := from("small", "late")
		late.Timeout = 10 * time.Millisecond
		expect(g.Serve(context.Background(), route(deployment.NonIdempotent), late).End).To(Equal(gate.Refused))
		release()
		group.Wait()
		declared := *d.Table().Declaration
		declared.Version, declared.Customers = 2, []deployment.Customer{{Name: "large"}}
		d.Declare(&declared)
		time.Sleep(time.Second)
		expect(g.Serve(context.Background(), route(deployment.NonIdempotent), from("large", "q")).End).To(Equal(gate.Answered))
		expect(g.QueueStatus()[0].Customers).NotTo(ContainElement(HaveField("Customer", "small")))
		expect(g.QueueStatus()[0].Refused).To(HaveLen(1), "the sum remains")
	})
}
