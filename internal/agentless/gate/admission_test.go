package gate_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
)

func from(customer, id string) *gate.Request {
	r := request()
	r.Customer, r.ID = customer, id
	return r
}

var _ = Describe("requests to a service with customers", func() {
	const takes = 20 * time.Millisecond
	var service *slotEndpoints
	var d *directory.Directory
	var g *gate.Gate
	var group sync.WaitGroup

	BeforeEach(func() {
		service = &slotEndpoints{takes: always(takes)}
		d = newDirectory(true, 1, 2)
		g = gate.New(d, service, quietLog(), metrics.NewRegistry())
	})
	AfterEach(func() { group.Wait() })

	serve := func(ctx context.Context, kind deployment.Kind, r *gate.Request) chan gate.Outcome {
		result := make(chan gate.Outcome, 1)
		group.Add(1)
		go func() {
			defer group.Done()
			result <- g.Serve(ctx, route(kind), r)
		}()
		return result
	}
	waiting := func() int {
		n := 0
		for _, demand := range g.Demands("app") {
			n += demand.Waiting
		}
		return n
	}
	// fill occupies the slots of the service until release is called.
	fill := func(n int) (release func()) {
		ctx, cancel := context.WithCancel(context.Background())
		for i := range n {
			serve(ctx, deployment.NonIdempotent, from("filler", fmt.Sprint("filler", i)))
		}
		Eventually(service.order).Should(HaveLen(n))
		return cancel
	}

	It("wait while as many are in flight as the endpoints have slots, and are all served", func() {
		// 17 entries that send all they get at once have 3 endpoints refuse most of it.
		for i := range 20 {
			serve(context.Background(), deployment.NonIdempotent, from("large", fmt.Sprint(i)))
		}
		group.Wait()
		Expect(service.order()).To(HaveLen(20))
		Expect(service.most).To(Equal(2))
	})

	DescribeTable("are sent at once, as before, if",
		func(requireKeys bool, off ...mechanism.Mechanism) {
			d = newDirectory(requireKeys, 1, 2)
			g = gate.New(d, service, quietLog(), metrics.NewRegistry())
			g.Switches = &mechanism.Switches{}
			g.Switches.SetDisabled(off)
			g.Shares = &fixedShares{slots: 1, customer: 1}
			release := fill(20)
			Expect(g.QueueStatus()).To(BeEmpty())
			release()
		},
		Entry("no customers are declared", false),
		Entry("the mechanism is off", true, mechanism.Admission),
	)

	It("start in an order that is fair between customers", func() {
		release := fill(2)
		for i := range 30 {
			serve(context.Background(), deployment.NonIdempotent, from("large", fmt.Sprint("large", i)))
			Eventually(waiting).Should(Equal(i + 1))
		}
		serve(context.Background(), deployment.NonIdempotent, from("small", "small"))
		Eventually(waiting).Should(Equal(31))
		release()
		group.Wait()
		Expect(service.order()[2:6]).To(ContainElement("small"), "not behind all that the large customer sent before")
	})

	It("start by priority within one customer", func() {
		g.Shares = &fixedShares{slots: 1}
		release := fill(1)
		for i, priority := range []int{5, 0, 2} {
			r := from("large", fmt.Sprint("p", priority))
			r.Priority = priority
			serve(context.Background(), deployment.NonIdempotent, r)
			Eventually(waiting).Should(Equal(i + 1))
		}
		release()
		group.Wait()
		Expect(service.order()[1:]).To(Equal([]string{"p0", "p2", "p5"}))
	})

	It("are not sent after their caller left, and hold no slot", func() {
		release := fill(2)
		ctx, leave := context.WithCancel(context.Background())
		result := serve(ctx, deployment.NonIdempotent, from("small", "left"))
		Eventually(waiting).Should(Equal(1))
		leave()
		Expect((<-result).End).To(Equal(gate.Cancelled))
		Expect(waiting()).To(BeZero())
		release()
		group.Wait()
		Expect(service.order()).NotTo(ContainElement("left"))
		Eventually(func() int { return len(g.Demands("app")) }).Should(BeZero())
	})

	It("are refused as not run if their time passes while they wait, with a time to come back", func() {
		// 504 says that the request may have run; the caller of a non-idempotent request then
		// can't send it again.
		release := fill(2)
		defer release()
		for _, timeout := range []time.Duration{80 * time.Millisecond, time.Millisecond} {
			r := from("small", "late")
			r.Timeout = timeout
			o := <-serve(context.Background(), deployment.NonIdempotent, r)
			Expect(o.End).To(Equal(gate.Refused))
			Expect(o.RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
		}
		Expect(service.order()).NotTo(ContainElement("late"))
		Expect(g.QueueStatus()[0].Refused).To(HaveKeyWithValue("deadline", BeNumerically(">=", 1)))
	})

	// fullFor has another process hold the only slot of the endpoint.
	fullFor := func(hold time.Duration) {
		service.slots = 1
		ctx, cancel := context.WithTimeout(context.Background(), hold)
		group.Add(1)
		go func() {
			defer group.Done()
			defer cancel()
			_, _ = service.Send(ctx, &deployment.Endpoint{ID: "a"}, &dispatch.Request{ID: "filler"})
		}()
		Eventually(service.order).Should(HaveLen(1))
	}

	It("are refused as not run as streams if no connection was open before their time was over", func() {
		g = gate.New(d, unreachable{}, quietLog(), metrics.NewRegistry())
		r := from("small", "q")
		r.Timeout = 30 * time.Millisecond
		Expect(g.Stream(context.Background(), route(deployment.Streaming), r, &sink{}).End).To(Equal(gate.Refused))
	})

	It("get a time to come back with a jitter of half of it", func() {
		release := fill(2)
		defer release()
		times := map[time.Duration]bool{}
		for range 40 {
			r := from("small", "late")
			r.Timeout = time.Millisecond
			o := g.Serve(context.Background(), route(deployment.NonIdempotent), r)
			Expect(o.RetryAfter).To(And(BeNumerically(">=", 50*time.Millisecond), BeNumerically("<=", 75*time.Millisecond)))
			times[o.RetryAfter/time.Millisecond] = true
		}
		Expect(len(times)).To(BeNumerically(">", 5))
	})

	// Guards against a refusal that depends on whether the deadline or the queue is faster: without
	// the queue's reason, operators miss it, and its time to come back is that of another failure.
	DescribeTable("are refused by the queue if their time is over before it looks at them",
		func(serve func(r *gate.Request) gate.Outcome) {
			release := fill(2)
			defer release()
			times := map[time.Duration]bool{}
			for range 40 {
				r := from("small", "late")
				r.Timeout, r.Arrived = time.Millisecond, time.Now().Add(-2*time.Millisecond)
				o := serve(r)
				Expect(o.End).To(Equal(gate.Refused))
				Expect(o.Reason).To(Equal("deadline"))
				Expect(o.RetryAfter).To(And(BeNumerically(">=", 50*time.Millisecond), BeNumerically("<=", 75*time.Millisecond)))
				times[o.RetryAfter/time.Millisecond] = true
			}
			Expect(len(times)).To(BeNumerically(">", 5))
			Expect(g.QueueStatus()[0].Refused).To(HaveKeyWithValue("deadline", int64(40)))
		},
		Entry("requests", func(r *gate.Request) gate.Outcome {
			return g.Serve(context.Background(), route(deployment.NonIdempotent), r)
		}),
		Entry("streams", func(r *gate.Request) gate.Outcome {
			return g.Stream(context.Background(), route(deployment.Streaming), r, &sink{})
		}),
	)

	It("return to the queue if all endpoints are full, and are sent again", func() {
		fullFor(150 * time.Millisecond)
		o := <-serve(context.Background(), deployment.NonIdempotent, from("small", "patient"))
		Expect(o.End).To(Equal(gate.Answered))
		group.Wait()
		Expect(service.refused).To(BeNumerically(">", 1))
		Expect(service.order()).To(Equal([]string{"filler", "patient"}))
		Expect(g.LastFull("app")).NotTo(BeZero())
		Expect(g.QueueStatus()[0].Learned).To(Equal(1), "refusals lower the limit")
	})

	It("do not lower the limit if engines refuse them that load the weights of their model", func() {
		// Otherwise a stream for another model would wait until one of a few long streams ends.
		d.Put(deployment.Endpoint{ID: "a", Service: "app", Address: "x:1", Slots: 8, Versions: map[string]int64{"m": 1}})
		s := &scriptedSender{replies: []reply{refusing, refusing, refusing, answered}}
		g = gate.New(d, s, quietLog(), metrics.NewRegistry())
		r := from("small", "q")
		r.Model = "m"
		Expect(g.Serve(context.Background(), route(deployment.NonIdempotent), r).End).To(Equal(gate.Answered))
		Expect(s.endpoints()).To(HaveLen(4))
		Expect(g.QueueStatus()[0].Learned).To(Equal(8))
	})

	// Guards against logs that grow with the time for which a service stays full.
	It("write one line for all refusals after the first one", func() {
		output := gbytes.NewBuffer()
		log := logrus.New()
		log.SetOutput(output)
		d.Put(deployment.Endpoint{ID: "a", Service: "app", Address: "x:1", Slots: 8})
		replies := slices.Repeat([]reply{refusing}, 10)
		g = gate.New(d, &scriptedSender{replies: append(replies, answered)}, log, metrics.NewRegistry())
		Expect(g.Serve(context.Background(), route(deployment.NonIdempotent), from("small", "q")).End).To(Equal(gate.Answered))
		Expect(bytes.Count(output.Contents(), []byte("event=2004"))).To(Equal(1))
		Expect(output).To(gbytes.Say(`event=2000 .*returns=10`))
	})

	It("are refused as not run if all endpoints stay full until the timeout", func() {
		fullFor(300 * time.Millisecond)
		r := from("small", "late")
		r.Timeout = 200 * time.Millisecond
		o := <-serve(context.Background(), deployment.Idempotent, r)
		Expect(o.End).To(Equal(gate.Refused))
		Expect(o.Reason).To(Equal("full"))
		Expect(service.refused).To(BeNumerically("<", 60), "it is not sent in a tight loop")
	})

	It("are not sent again after one that may have run", func() {
		s := &scriptedSender{replies: []reply{refusing, lost, answered}}
		g = gate.New(d, s, quietLog(), metrics.NewRegistry())
		Expect(g.Serve(context.Background(), route(deployment.NonIdempotent), from("small", "once")).End).To(Equal(gate.Unknown))
		Expect(s.endpoints()).To(HaveLen(2))
	})

	It("are sent to no more endpoints than the route allows, also when they return", func() {
		d = newDirectory(true, 6, 2)
		s := &scriptedSender{replies: []reply{refusing, refusing, refusing, refusing, refusing, refusing, refusing, answered}}
		g = gate.New(d, s, quietLog(), metrics.NewRegistry())
		Expect(g.Serve(context.Background(), route(deployment.Idempotent), from("small", "q")).End).To(Equal(gate.Answered))
		distinct := map[string]bool{}
		for _, id := range s.endpoints() {
			distinct[id] = true
		}
		Expect(distinct).To(HaveLen(3))
	})

	It("observe the slots that are assigned to the process and to a customer", func() {
		service.takes = always(5 * time.Millisecond)
		d.Put(deployment.Endpoint{ID: "b", Service: "app", Address: "x:1", Slots: 20})
		g.Shares = &fixedShares{slots: 5, customer: 3}
		for i := range 30 {
			serve(context.Background(), deployment.NonIdempotent, from("large", fmt.Sprint(i)))
		}
		group.Wait()
		Expect(service.most).To(Equal(3))
		for i := range 60 {
			serve(context.Background(), deployment.NonIdempotent, from([]string{"large", "small"}[i%2], fmt.Sprint(i)))
		}
		group.Wait()
		Expect(service.most).To(Equal(5))
	})

	It("are served or refused at once when the process leaves", func() {
		release := fill(2)
		defer release()
		result := serve(context.Background(), deployment.NonIdempotent, from("small", "waits"))
		Eventually(waiting).Should(Equal(1))
		g.Leave(time.Now().Add(time.Millisecond))
		Expect(*receive(result)).To(HaveField("Reason", "leaving"))
	})

	It("keep waiting under a new declaration, also one without customers", func() {
		release := fill(2)
		result := serve(context.Background(), deployment.NonIdempotent, from("small", "waits"))
		Eventually(waiting).Should(Equal(1))
		d.Declare(&deployment.Declaration{Version: 2, RequireKeys: true})
		d.Declare(&deployment.Declaration{Version: 3})
		Consistently(result, "60ms").ShouldNot(Receive())
		release()
		Expect((<-result).End).To(Equal(gate.Answered))
	})

	It("wait as streams too, and are refused before their sink is touched", func() {
		release := fill(2)
		stream := func(id string, timeout time.Duration) (gate.Outcome, *sink) {
			out := &sink{}
			r := from("small", id)
			r.Timeout = timeout
			return g.Stream(context.Background(), route(deployment.Streaming), r, out), out
		}
		o, out := stream("late", 60*time.Millisecond)
		Expect(o.End).To(Equal(gate.Refused))
		Expect(out.status).To(BeZero())
		time.AfterFunc(50*time.Millisecond, release)
		o, out = stream("served", time.Minute)
		Expect(o.End).To(Equal(gate.Answered))
		Expect(out.events).To(HaveLen(1))
		Expect(service.order()).NotTo(ContainElement("late"))
		Expect(g.Demands("app")).To(BeEmpty())
	})

	It("spend the retries of their own customer only", func() {
		// A customer whose requests all fail must not use up the retries of the others.
		s := &scriptedSender{replies: []reply{lost}}
		g = gate.New(newDirectory(true, 4, 4), s, quietLog(), metrics.NewRegistry())
		for range 50 {
			g.Serve(context.Background(), route(deployment.Idempotent), from("large", "fails"))
		}
		before := len(s.endpoints())
		g.Serve(context.Background(), route(deployment.Idempotent), from("small", "first"))
		Expect(len(s.endpoints()) - before).To(Equal(3))
	})

	// Guards against hedges that are sent with the slot of the attempt that has just brought the answer.
	It("are not hedged once their answer is in", func() {
		service.takes = always(60 * time.Millisecond) // hedges are due after 40 ms
		g = gate.New(newDirectory(true, 3, 2), service, quietLog(), metrics.NewRegistry())
		g.Shares = &fixedShares{slots: 1}
		for i := range 30 {
			Expect(g.Serve(context.Background(), route(deployment.Idempotent), from("large", fmt.Sprint(i))).End).To(Equal(gate.Answered))
		}
		Expect(service.order()).To(HaveLen(30))
	})

	// Guards against a customer whose failed requests are no longer retried, since hedges that waited
	// for a slot and were never sent have used up its retries.
	It("spend no retry for a hedge that is not sent", func() {
		service.takes = always(60 * time.Millisecond) // hedges are due after 40 ms
		s := &losing{Sender: service}
		g = gate.New(newDirectory(true, 3, 2), s, quietLog(), metrics.NewRegistry())
		g.Shares = &fixedShares{slots: 1}
		for i := range 30 {
			Expect(g.Serve(context.Background(), route(deployment.Idempotent), from("large", fmt.Sprint(i))).End).To(Equal(gate.Answered))
		}
		Expect(service.order()).To(HaveLen(30))
		g.Serve(context.Background(), route(deployment.Idempotent), from("large", "lost"))
		Expect(s.lost.Load()).To(BeEquivalentTo(3), "attempts")
	})

	It("cost no allocation more than without a queue while they need not wait", func() {
		allocations := func(requireKeys bool) float64 {
			g = gate.New(newDirectory(requireKeys, 1, 2), &scriptedSender{replies: []reply{answered}}, quietLog(), metrics.NewRegistry())
			r := from("small", "q")
			r.Arrived = time.Now().Add(time.Hour) // in time for all runs
			return testing.AllocsPerRun(2000, func() { g.Serve(context.Background(), route(deployment.NonIdempotent), r) })
		}
		allocations(true) // starts what the whole process needs once
		Expect(allocations(true)).To(BeNumerically("<=", allocations(false)))
	})

	It("are logged by customer while they wait, in one line per second at most", func() {
		var lines syncBuffer
		log := quietLog()
		log.SetOutput(&lines)
		g = gate.New(d, service, log, metrics.NewRegistry())
		release := fill(2)
		for i := range 50 {
			serve(context.Background(), deployment.NonIdempotent, from("large", fmt.Sprint(i)))
			Eventually(waiting).Should(Equal(i + 1))
		}
		Expect(strings.Count(lines.String(), "event=2520")).To(Equal(1))
		Expect(lines.String()).To(ContainSubstring("large:1"))
		release()
	})

	It("are reported by customer while they wait or run", func() {
		release := fill(2)
		serve(context.Background(), deployment.NonIdempotent, from("small", "waits"))
		Eventually(waiting).Should(Equal(1))
		Expect(g.Demands("app")).To(ConsistOf(
			fairshare.Demand{Customer: "filler", Weight: 1, InFlight: 2}, fairshare.Demand{Customer: "small", Weight: 1, Waiting: 1}))
		status := g.QueueStatus()
		Expect(status).To(HaveLen(1))
		Expect(status[0]).To(And(HaveField("Limit", 2), HaveField("InFlight", 2), HaveField("Waiting", 1)))
		release()
		group.Wait()
		Expect(g.Demands("app")).To(BeEmpty())
	})
})
