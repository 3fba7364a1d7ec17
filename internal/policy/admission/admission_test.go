package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Unix(1_000_000, 0)

func item(id, business string, cost float64) admission.Item {
	return admission.Item{ID: id, Principal: wire.Principal{Business: business, Agency: "a", Caller: "c"}, Cost: cost}
}

func rollout(id string) admission.Item {
	it := item(id, "trainer", 10)
	it.Rollout = true
	return it
}

func started(actions []admission.Action) []string {
	return idsOf(actions, admission.Start)
}

func idsOf(actions []admission.Action, kind admission.ActionKind) []string {
	var ids []string
	for _, a := range actions {
		if a.Kind == kind {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

var _ = Describe("fair queueing", func() {
	It("serves a business with few requests before a flooding one", func() {
		// The greedy business has 50 requests waiting when the first request of the
		// other one arrives. A FIFO queue would put it behind all of them.
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 100})
		for i := range 50 {
			q.Offer(start, item(fmt.Sprint("greedy-", i), "greedy", 0.1))
		}
		q.Offer(start, item("modest", "modest", 0.1))
		next := started(q.Done(start.Add(100*time.Millisecond), "greedy-0"))
		Expect(next).To(Equal([]string{"modest"}))
	})

	It("shares the endpoint between agencies by their declared weights", func() {
		p := func(agency string) wire.Principal { return wire.Principal{Business: "b", Agency: agency} }
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 1000, Weights: map[wire.Principal]float64{p("x"): 3}})
		for i := range 400 {
			for _, agency := range []string{"x", "y"} {
				it := admission.Item{ID: fmt.Sprint(agency, i), Principal: p(agency), Cost: 0.01}
				q.Offer(start, it)
			}
		}
		served := map[byte]int{}
		now, running := start, "x0"
		for range 400 {
			served[running[0]]++
			now = now.Add(10 * time.Millisecond)
			running = started(q.Done(now, running))[0]
		}
		Expect(served['x']).To(BeNumerically("~", 300, 2))
	})

	It("charges the time that a slot was held", func() {
		// A caller that states a tenth of its real costs gets no more slot time.
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 10000})
		for i := range 2000 {
			q.Offer(start, item(fmt.Sprint("liar-", i), "liar", 0.001))
			q.Offer(start, item(fmt.Sprint("honest-", i), "honest", 0.01))
		}
		held := map[string]int{}
		now, running := start, "liar-0"
		for range 1000 {
			held[running[:4]]++
			now = now.Add(10 * time.Millisecond)
			running = started(q.Done(now, running))[0]
		}
		Expect(held["liar"]).To(BeNumerically("~", 500, 20))
	})

	It("orders a caller's own requests by priority, then deadline", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 100})
		q.Offer(start, item("running", "b", 1))
		late, soon, urgent := item("late", "b", 0.1), item("soon", "b", 0.1), item("urgent", "b", 0.1)
		late.Deadline = start.Add(time.Hour)
		soon.Deadline = start.Add(time.Minute)
		urgent.Priority = 1
		q.Offer(start, late)
		q.Offer(start, soon)
		q.Offer(start, urgent)
		var order []string
		running := "running"
		for range 3 {
			running = started(q.Done(start, running))[0]
			order = append(order, running)
		}
		Expect(order).To(Equal([]string{"urgent", "soon", "late"}))
	})
})

var _ = Describe("refusals", func() {
	It("refuses at once a request that cannot meet its deadline, with a time to retry after", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 100})
		for i := range 20 {
			q.Offer(start, item(fmt.Sprint(i), "b", 0.1))
		}
		it := item("hopeless", "b", 0.1)
		it.Deadline = start.Add(time.Second)
		actions := q.Offer(start, it)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Reason).To(Equal(wire.ReasonDeadline))
		Expect(actions[0].RetryAfter).To(BeNumerically("~", time.Second, 300*time.Millisecond))
		it.ID, it.Principal.Business = "other-business", "other"
		Expect(idsOf(q.Offer(start, it), admission.Refuse)).To(BeEmpty())
	})

	It("refuses a waiting request as soon as it can no longer meet its deadline", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 100})
		q.Offer(start, item("running", "b", 0.01))
		it := item("waiting", "b", 0.1)
		it.Deadline = start.Add(time.Second)
		q.Offer(start, it)
		at, found := q.NextExpiry()
		Expect(found).To(BeTrue())
		Expect(q.Tick(at)).To(BeEmpty())
		Expect(idsOf(q.Tick(at.Add(1)), admission.Refuse)).To(Equal([]string{"waiting"}))
	})

	It("sheds requests of the flooding business when the queue is full", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 10})
		for i := range 11 {
			Expect(idsOf(q.Offer(start, item(fmt.Sprint("greedy-", i), "greedy", 0.1)), admission.Refuse)).To(BeEmpty())
		}
		Expect(idsOf(q.Offer(start, item("greedy-11", "greedy", 0.1)), admission.Refuse)).To(Equal([]string{"greedy-11"}))
		refused := idsOf(q.Offer(start, item("modest", "modest", 0.1)), admission.Refuse)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0]).To(HavePrefix("greedy"))
	})

	It("limits a caller's rate", func() {
		p := wire.Principal{Business: "b", Agency: "a", Caller: "c"}
		q := admission.New(admission.Config{Slots: 10, QueueLimit: 10, Rates: map[wire.Principal]admission.Rate{p: {PerSecond: 2, Burst: 1}}})
		Expect(started(q.Offer(start, item("1", "b", 0.1)))).To(HaveLen(1))
		refusal := q.Offer(start, item("2", "b", 0.1))[0]
		Expect(refusal.Reason).To(Equal(wire.ReasonRateLimited))
		Expect(refusal.RetryAfter).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
		Expect(started(q.Offer(start.Add(refusal.RetryAfter), item("3", "b", 0.1)))).To(HaveLen(1))
	})

	It("divides a caller's rate by the number of agents that its requests are spread over", func() {
		p := wire.Principal{Business: "b", Agency: "a", Caller: "c"}
		q := admission.New(admission.Config{Slots: 100, QueueLimit: 10, Rates: map[wire.Principal]admission.Rate{p: {PerSecond: 20, Burst: 1}}})
		q.SetAgentCount(start, 10)
		served := 0
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			served += len(started(q.Offer(now, item(fmt.Sprint(i), "b", 0.1))))
		}
		Expect(served).To(BeNumerically("~", 20, 1))
	})

	It("never reports a request with a known ID as not run", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 10})
		q.Offer(start, item("1", "b", 0.1))
		refusal := q.Offer(start, item("1", "b", 0.1))[0]
		Expect(refusal.Reason).To(Equal(wire.ReasonDuplicate))
		Expect(refusal.Started).To(BeTrue())
	})
})

var _ = Describe("rollouts", func() {
	It("are preempted for a deadline request and continue afterwards", func() {
		// Rollouts hold both slots when a lookup arrives. One of them is stopped,
		// the lookup gets its slot, and the rollout continues when it is done.
		q := admission.New(admission.Config{Slots: 2, QueueLimit: 10})
		q.Offer(start, rollout("r1"))
		q.Offer(start, rollout("r2"))
		Expect(idsOf(q.Offer(start, item("lookup", "b", 0.1)), admission.Preempt)).To(Equal([]string{"r2"}))
		Expect(started(q.Preempted(start, "r2"))).To(Equal([]string{"lookup"}))
		Expect(started(q.Done(start, "lookup"))).To(Equal([]string{"r2"}))
		Expect(q.Load().Running).To(Equal(2))
	})

	It("are not reported as not run once they have run", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 10})
		r := rollout("r")
		r.Deadline = start.Add(20 * time.Second)
		q.Offer(start, r)
		q.Offer(start, item("long", "b", 30))
		q.Preempted(start, "r")
		refusal := q.Tick(start.Add(time.Minute))[0]
		Expect(refusal.Kind).To(Equal(admission.Refuse))
		Expect(refusal.Started).To(BeTrue())
	})

	It("that never started are refused at a graceful stop, and all other requests are served", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 10})
		q.Offer(start, item("running", "b", 1))
		q.Offer(start, item("waiting", "b", 1))
		q.Offer(start, rollout("r"))
		Expect(idsOf(q.Drain(start), admission.Refuse)).To(Equal([]string{"r"}))
		Expect(idsOf(q.Offer(start, item("new", "b", 1)), admission.Refuse)).To(Equal([]string{"new"}))
		Expect(started(q.Done(start, "running"))).To(Equal([]string{"waiting"}))
		q.Done(start, "waiting")
		Expect(q.Idle()).To(BeTrue())
	})
})

var _ = Describe("a suspect request", func() {
	It("runs alone", func() {
		// If it crashes the endpoint, no other request is in the same batch.
		q := admission.New(admission.Config{Slots: 2, QueueLimit: 10})
		q.Offer(start, item("before", "b", 1))
		suspect := item("suspect", "b", 1)
		suspect.Suspect = true
		Expect(started(q.Offer(start, suspect))).To(BeEmpty())
		Expect(started(q.Offer(start, item("after", "b", 1)))).To(BeEmpty())
		Expect(started(q.Done(start, "before"))).To(Equal([]string{"suspect"}))
		Expect(started(q.Done(start, "suspect"))).To(Equal([]string{"after"}))
	})
})

var _ = Describe("the tail cost", func() {
	It("is subtracted from the deadline, so that a request that starts last ends in time", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 100})
		q.Offer(start, item("running", "b", 0.1))
		it := item("waiting", "b", 0.1)
		it.Deadline = start.Add(time.Second)
		it.TailCost = 0.4
		q.Offer(start, it)
		at, _ := q.NextExpiry()
		Expect(at).To(Equal(start.Add(600 * time.Millisecond)))
	})

	It("never refuses a request that can start now", func() {
		// After a temporary slowdown the estimate is ten times the deadline. If the
		// request were refused, the class would never run again and its estimate
		// never change.
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 100})
		it := item("first", "b", 10)
		it.Deadline = start.Add(time.Second)
		Expect(started(q.Offer(start, it))).To(Equal([]string{"first"}))
	})
})

const benchQueued = 10_000

// newFilledQueue returns a queue with benchQueued waiting requests of 100 callers.
func newFilledQueue(b *testing.B) (*admission.Queue, []admission.Item) {
	items := make([]admission.Item, benchQueued+1)
	for i := range items {
		items[i] = admission.Item{
			ID:        fmt.Sprint(i),
			Principal: wire.Principal{Business: fmt.Sprint(i % 4), Agency: fmt.Sprint(i % 20), Caller: fmt.Sprint(i % 100)},
			Deadline:  start.Add(time.Hour + time.Duration(i)*time.Millisecond),
			Cost:      0.01,
		}
	}
	q := admission.New(admission.Config{Slots: 1, QueueLimit: 2 * benchQueued})
	for _, it := range items {
		q.Offer(start, it)
	}
	if got := q.Load().Queued; got != benchQueued {
		b.Fatalf("%d queued", got)
	}
	b.ReportAllocs()
	return q, items
}

// BenchmarkEnqueueDequeue10000 ends the running request, which starts the next one in
// fair order, and offers the ended request again.
func BenchmarkEnqueueDequeue10000(b *testing.B) {
	q, items := newFilledQueue(b)
	running := "0"
	index := map[string]int{}
	for i, it := range items {
		index[it.ID] = i
	}
	for b.Loop() {
		ended := running
		running = q.Done(start, ended)[0].ID
		q.Offer(start, items[index[ended]])
	}
}

// BenchmarkFIFO10000 is the baseline of BenchmarkEnqueueDequeue10000: a FIFO queue.
func BenchmarkFIFO10000(b *testing.B) {
	fifo := make(chan admission.Item, benchQueued+1)
	for i := range benchQueued {
		fifo <- admission.Item{ID: fmt.Sprint(i)}
	}
	for b.Loop() {
		fifo <- <-fifo
	}
}
