package admission_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/wire"
)

const lookupCost = 0.025

func flatQueue(slots, limit int) *admission.Queue {
	return admission.New(admission.Config{Slots: slots, QueueLimit: limit, Flat: true, Lead: 4 * lookupCost})
}

func lookup(id, customer string, priority int) admission.Item {
	return admission.Item{ID: id, Principal: wire.Principal{Business: customer}, Priority: -priority, Cost: lookupCost}
}

// serveAll ends running requests one after the other, each after its cost, and returns the
// order in which the others start.
func serveAll(q *admission.Queue, running ...string) []string {
	var order []string
	now := start
	for len(running) > 0 {
		now = now.Add(25 * time.Millisecond)
		next := started(q.Done(now, running[0]))
		running = append(running[1:], next...)
		order = append(order, next...)
	}
	return order
}

var _ = Describe("a queue of customers", func() {
	It("serves a higher priority first, but starves no customer", func() {
		// Customer "first" sends all with the highest priority. Were it served first without a
		// bound, "last" would get nothing for as long as it sends.
		q := flatQueue(1, 1000)
		q.Offer(start, lookup("running", "other", 0))
		for i := range 40 {
			q.Offer(start, lookup(fmt.Sprint("last", i), "last", 9))
			q.Offer(start, lookup(fmt.Sprint("first", i), "first", 0))
		}
		order := serveAll(q, "running")
		Expect(order[:4]).To(HaveEach(HavePrefix("first")))
		served := map[byte]int{}
		for _, id := range order[:40] {
			served[id[0]]++
		}
		Expect(served['l']).To(BeNumerically("~", 18, 2), "its share, less the lead")
	})

	It("serves a customer with few requests before one with a backlog, whatever its priority", func() {
		q := flatQueue(1, 1000)
		q.Offer(start, lookup("running", "large", 0))
		for i := range 100 {
			q.Offer(start, lookup(fmt.Sprint("large", i), "large", 0))
		}
		now, running := start, "running"
		for range 20 {
			now = now.Add(25 * time.Millisecond)
			running = started(q.Done(now, running))[0]
		}
		q.Offer(now, lookup("small", "small", 9))
		Expect(started(q.Done(now.Add(25*time.Millisecond), running))).To(Equal([]string{"small"}))
	})

	It("starts retries and hedges only when no first attempt waits, and lets them displace none", func() {
		q := flatQueue(1, 2)
		extra := lookup("extra", "a", 0)
		extra.Extra = true
		q.Offer(start, lookup("running", "b", 0))
		q.Offer(start, extra)
		q.Offer(start, lookup("low", "b", 9))
		another := extra
		another.ID = "another"
		Expect(idsOf(q.Offer(start, another), admission.Refuse)).To(Equal([]string{"another"}))
		Expect(serveAll(q, "running")).To(Equal([]string{"low", "extra"}))
	})

	It("drops the newest request of the customer with the most waiting work when it is full", func() {
		q := flatQueue(1, 3)
		q.Offer(start, lookup("running", "large", 0))
		for i := range 3 {
			q.Offer(start, lookup(fmt.Sprint(i), "large", 0))
		}
		Expect(idsOf(q.Offer(start, lookup("small", "small", 9)), admission.Refuse)).To(Equal([]string{"2"}))
		returned := lookup("returned", "large", 0)
		returned.Returned = true
		Expect(idsOf(q.Offer(start, returned), admission.Refuse)).To(Equal([]string{"1"}), "one that returns is older")
	})

	It("keeps a customer to its cap, and others may use the rest", func() {
		q := flatQueue(3, 100)
		q.SetCap(start, "capped", 1)
		Expect(started(q.Offer(start, lookup("c1", "capped", 0)))).To(HaveLen(1))
		Expect(started(q.Offer(start, lookup("c2", "capped", 0)))).To(BeEmpty())
		Expect(started(q.Offer(start, lookup("f1", "free", 0)))).To(HaveLen(1))
		_, direct := q.TryStart(start, lookup("", "capped", 0))
		Expect(direct).To(BeFalse())
		Expect(started(q.Done(start, "c1"))).To(Equal([]string{"c2"}))
		q.Offer(start, lookup("c3", "capped", 0))
		Expect(started(q.SetCap(start, "capped", 0))).To(Equal([]string{"c3"}))
	})

	It("starts nothing during a hold, unless it is ended", func() {
		q := flatQueue(2, 100)
		q.Hold(start.Add(time.Second))
		Expect(started(q.Offer(start, lookup("a", "x", 0)))).To(BeEmpty())
		q.EndHold()
		Expect(started(q.Tick(start))).To(Equal([]string{"a"}))
		q.Hold(start.Add(time.Second))
		q.Offer(start, lookup("b", "x", 0))
		Expect(started(q.Tick(start.Add(time.Second)))).To(Equal([]string{"b"}))
	})

	It("refuses a request at once that the work before it keeps from its deadline", func() {
		q := flatQueue(1, 1000)
		q.Offer(start, lookup("running", "a", 0))
		for i := range 40 {
			q.Offer(start, lookup(fmt.Sprint(i), "a", 0))
		}
		late := lookup("late", "a", 0)
		late.Deadline = start.Add(500 * time.Millisecond)
		refusals := q.Offer(start, late)
		Expect(idsOf(refusals, admission.Refuse)).To(Equal([]string{"late"}))
		Expect(refusals[0].RetryAfter).To(BeNumerically("~", 550*time.Millisecond, 30*time.Millisecond))
		inTime := late
		inTime.ID, inTime.Principal.Business = "in time", "b"
		Expect(idsOf(q.Offer(start, inTime), admission.Refuse)).To(BeEmpty(), "it is another customer's turn before")
	})

	It("refuses what can't be served before the end of the process, the newest first", func() {
		q := flatQueue(1, 1000)
		q.Offer(start, lookup("running", "a", 0))
		for i := range 10 {
			q.Offer(start, lookup(fmt.Sprint(i), "a", 0))
		}
		Expect(idsOf(q.Leave(start, start.Add(100*time.Millisecond)), admission.Refuse)).To(Equal([]string{"9", "8", "7", "6", "5", "4"}))
		Expect(serveAll(q, "running")).To(HaveLen(3), "the fourth would end too late")
	})

	It("allocates nothing for a request that starts at once", func() {
		q := flatQueue(2, 100)
		item := lookup("", "a", 0)
		Expect(testing.AllocsPerRun(100, func() {
			slot, ok := q.TryStart(start, item)
			if ok {
				q.End(start.Add(time.Millisecond), slot)
			}
		})).To(BeZero())
		Expect(q.Idle()).To(BeTrue())
		q.Customers(func(c admission.CustomerLoad) { Fail(c.Customer + " is listed as busy") })
	})

	// Slots, counts by customer and the order of the heaps must stay consistent however calls follow
	// one another.
	It("keeps within its slots and caps and loses no request in random schedules", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 7))
			slots, cap := 1+rng.IntN(4), 1+rng.IntN(2)
			q := flatQueue(slots, 10)
			q.SetCap(start, "0", cap)
			running, waiting := map[string]string{}, map[string]string{}
			var direct []admission.Slot
			now, inFlight := start, map[string]int{}
			apply := func(actions []admission.Action) {
				for _, a := range actions {
					customer, known := waiting[a.ID]
					Expect(known).To(BeTrue())
					delete(waiting, a.ID)
					if a.Kind == admission.Start {
						running[a.ID] = customer
						inFlight[customer]++
					}
				}
			}
			for step := range 200 {
				now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
				customer, id := fmt.Sprint(rng.IntN(5)), fmt.Sprint(step)
				it := lookup(id, customer, rng.IntN(10))
				it.Extra, it.Returned, it.Deadline = rng.IntN(5) == 0, rng.IntN(5) == 0, now.Add(time.Duration(rng.IntN(500))*time.Millisecond)
				switch rng.IntN(6) {
				case 0, 1:
					if slot, ok := q.TryStart(now, it); ok {
						direct = append(direct, slot)
						inFlight[customer]++
						break
					}
					waiting[id] = customer
					apply(q.Offer(now, it))
				case 2, 3:
					for id, customer := range running {
						delete(running, id)
						inFlight[customer]--
						apply(q.Done(now, id))
						break
					}
				case 4:
					for id := range waiting {
						delete(waiting, id)
						_, _, actions := q.Cancel(now, id)
						apply(actions)
						break
					}
				default:
					q.Hold(now.Add(time.Duration(rng.IntN(30)) * time.Millisecond))
					apply(q.Tick(now))
				}
				load := q.Load()
				Expect(load.Queued).To(Equal(len(waiting)))
				Expect(load.Running).To(And(Equal(len(running)+len(direct)), BeNumerically("<=", slots)))
				Expect(inFlight["0"]).To(BeNumerically("<=", cap))
			}
			q.EndHold()
			for _, slot := range direct {
				apply(q.End(now, slot))
			}
			for len(running) > 0 {
				for id := range running {
					delete(running, id)
					apply(q.Done(now, id))
				}
			}
			Expect(waiting).To(BeEmpty())
			Expect(q.Idle()).To(BeTrue())
		}
	})
})

const (
	flatCustomers = 10_000
	flatQueued    = 100_000
)

// newFilledFlatQueue returns a queue with flatQueued waiting requests of flatCustomers.
func newFilledFlatQueue() *admission.Queue {
	q := flatQueue(1, flatQueued)
	for i := range flatQueued + 1 {
		it := lookup(fmt.Sprint(i), fmt.Sprint(i%flatCustomers), i%3)
		it.Deadline = start.Add(time.Hour + time.Duration(i)*time.Millisecond)
		q.Offer(start, it)
	}
	return q
}

// BenchmarkFlatOffer adds a request to a queue of 100,000 requests of 10,000 customers, which is
// full, so that another one is dropped.
func BenchmarkFlatOffer(b *testing.B) {
	q := newFilledFlatQueue()
	if got := q.Load().Queued; got != flatQueued {
		b.Fatalf("%d queued", got)
	}
	items := make([]admission.Item, 1000)
	for i := range items {
		items[i] = lookup("", fmt.Sprint(i*7), 0)
		items[i].Deadline = start.Add(time.Hour)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		it := items[n%len(items)]
		it.ID = fmt.Sprint("n", n)
		n++
		q.Offer(start, it)
	}
}

// BenchmarkFlatStart starts and ends a request that need not wait, which is the common case.
func BenchmarkFlatStart(b *testing.B) {
	q := flatQueue(18, 100)
	item := lookup("", "customer", 0)
	b.ReportAllocs()
	for b.Loop() {
		slot, _ := q.TryStart(start, item)
		q.End(start, slot)
	}
}

// BenchmarkFlatCustomer reports the bytes that a queue holds for each idle customer it knows.
func BenchmarkFlatCustomer(b *testing.B) {
	names := make([]string, flatCustomers)
	for i := range names {
		names[i] = fmt.Sprint("customer", i)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := flatQueue(1, 100)
		for _, name := range names {
			slot, _ := q.TryStart(start, lookup("", name, 0))
			q.End(start, slot)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(q)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flatCustomers, "B/customer")
}
