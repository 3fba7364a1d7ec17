package claims_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// service is a fake of the key-value service.
type service struct {
	records  map[string]claims.Record
	revision int64
	writes   int
}

func (s *service) get(key string) claims.Record {
	r := s.records[key]
	r.Key = key
	return r
}

func (s *service) swap(w claims.Write) claims.WriteDone {
	s.writes++
	r := s.get(w.Key)
	if r.Revision != w.Expected {
		return claims.WriteDone{ID: w.ID, Current: r}
	}
	s.revision++
	r.Value, r.Revision = w.Value, s.revision
	s.records[w.Key] = r
	return claims.WriteDone{ID: w.ID, Swapped: true, Current: r}
}

// host steps a Partition, executes its reads and writes, and records its other actions.
type host struct {
	*claims.Partition
	kv          *service
	now         time.Time
	writes      []claims.Write // not executed yet
	hold        bool           // hold writes back until deliver
	runs        []claims.Run
	replies     map[int64]claims.Reply
	deleted     []string
	sentResults []claims.SendResult
	queries     []claims.QueryAgents
}

func newHost(kv *service, name string, change func(*claims.Config)) *host {
	config := claims.DefaultConfig("claims/0", "claims/0", name)
	if change != nil {
		change(&config)
	}
	return &host{Partition: claims.New(config), kv: kv, now: time.Unix(1000, 0), replies: map[int64]claims.Reply{}}
}

func newService() *service { return &service{records: map[string]claims.Record{}} }

func (h *host) step(e claims.Event) {
	for _, a := range h.Step(h.now, e) {
		switch a := a.(type) {
		case claims.Read:
			h.step(claims.ReadDone{Record: h.kv.get(a.Key)})
		case claims.Write:
			h.writes = append(h.writes, a)
			if !h.hold {
				h.deliver()
			}
		case claims.Run:
			h.runs = append(h.runs, a)
		case claims.Reply:
			h.replies[a.Waiter] = a
		case claims.SendResult:
			h.sentResults = append(h.sentResults, a)
		case claims.QueryAgents:
			h.queries = append(h.queries, a)
		case claims.Delete:
			delete(h.kv.records, a.Key)
			h.deleted = append(h.deleted, a.Key)
		}
	}
}

// deliver executes the writes held back.
func (h *host) deliver() {
	writes := h.writes
	h.writes = nil
	for _, w := range writes {
		h.step(h.kv.swap(w))
	}
}

func (h *host) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(claims.Tick{})
}

func (h *host) acquire(epoch int64) {
	h.step(claims.Acquired{Epoch: epoch, Until: h.now.Add(10 * time.Second)})
}

func (h *host) submit(waiter int64, id string, body uint64) {
	h.step(claims.Submitted{
		Waiter:      waiter,
		Key:         claims.NewKey("caller", id),
		Fingerprint: body,
		Deadline:    h.now.Add(time.Second),
		Window:      time.Minute,
	})
}

func (h *host) settle(id string, a wire.Answer) {
	h.step(claims.Settled{Key: claims.NewKey("caller", id), Answer: a})
}

func ok(body string) wire.Answer {
	return wire.Answer{Outcome: wire.Answered, Status: 200, Body: []byte(body)}
}

var _ = Describe("Partition", func() {
	It("dispatches after the commit, joins and replays retries, and refuses another body", func() {
		h := newHost(newService(), "a", nil)
		h.acquire(1)
		h.hold = true
		h.submit(1, "x", 7)
		h.submit(2, "x", 7)
		Expect(h.runs).To(BeEmpty())
		h.hold = false
		h.deliver()
		Expect(h.runs).To(HaveLen(1))
		Expect(h.runs[0].Fence).To(Equal(wire.Fence{Duty: "claims/0", Epoch: 1}))
		h.settle("x", ok("done"))
		Expect(h.replies[1].Answer).To(Equal(ok("done")))
		Expect(h.replies[2].Answer).To(Equal(ok("done")))
		h.submit(3, "x", 7)
		Expect(h.replies[3].Answer).To(Equal(ok("done")))
		h.submit(4, "x", 8)
		Expect(h.replies[4].Answer.Outcome).To(Equal(wire.NotRun))
		Expect(h.replies[4].Answer.Reason).To(Equal(wire.ReasonConflict))
		Expect(h.runs).To(HaveLen(1))
	})

	It("commits many claims in one write", func() {
		kv := newService()
		h := newHost(kv, "a", nil)
		h.acquire(1)
		h.submit(1, "first", 1)
		before := kv.writes
		for i := range int64(100) {
			h.submit(10+i, fmt.Sprint(i), 1)
		}
		Expect(kv.writes).To(Equal(before))
		h.advance(25 * time.Millisecond)
		Expect(kv.writes).To(Equal(before + 1))
		Expect(h.runs).To(HaveLen(101))
	})

	// The owner crashes after it has written a claim. The successor can't know whether
	// the request was dispatched, so it answers "unknown" and never runs the request.
	// Answers that were stored in time are replayed, even from a sealed bucket.
	It("hands claims over to a successor through the head and the buckets", func() {
		kv := newService()
		small := func(c *claims.Config) { c.SealBytes = 500 }
		h := newHost(kv, "a", small)
		h.acquire(1)
		for i := range int64(30) {
			id := fmt.Sprint(i)
			h.submit(i, id, 1)
			h.advance(25 * time.Millisecond)
			if i != 13 && i != 29 {
				h.settle(id, ok("answer "+id))
			}
			h.advance(25 * time.Millisecond)
		}
		Expect(kv.records).To(HaveKey("claims/0/1-3"))
		next := newHost(kv, "b", small)
		next.now = h.now
		next.acquire(2)
		for i := range int64(30) {
			next.submit(i, fmt.Sprint(i), 1)
			if i == 13 || i == 29 {
				Expect(next.replies).NotTo(HaveKey(i))
				continue
			}
			Expect(next.replies[i].Answer).To(Equal(ok("answer " + fmt.Sprint(i))))
		}
		next.advance(time.Second)
		for _, i := range []int64{13, 29} {
			Expect(next.replies).To(HaveKey(i))
			Expect(next.replies[i].Answer.Outcome).To(Equal(wire.Unknown))
			Expect(next.replies[i].Answer.Reason).To(Equal(wire.ReasonUnsettled))
		}
		Expect(next.runs).To(BeEmpty())
		h.submit(100, "late", 1)
		h.advance(25 * time.Millisecond)
		Expect(h.replies[100].Moved).To(BeTrue())
		Expect(h.runs).To(HaveLen(30))
	})

	It("drops expired buckets, first from the head", func() {
		kv := newService()
		h := newHost(kv, "a", func(c *claims.Config) { c.SealBytes = 500 })
		h.acquire(1)
		for i := range int64(20) {
			h.submit(i, fmt.Sprint(i), 1)
			h.settle(fmt.Sprint(i), ok(""))
			h.advance(25 * time.Millisecond)
		}
		Expect(h.deleted).To(BeEmpty())
		h.advance(2 * time.Minute)
		h.submit(50, "new", 1)
		h.advance(25 * time.Millisecond)
		Expect(h.deleted).NotTo(BeEmpty())
		for _, key := range h.deleted {
			Expect(string(kv.records["claims/0/head"].Value)).NotTo(ContainSubstring(key))
		}
	})

	It("reports an answer that is too long to store as lost, not as a conflict", func() {
		kv := newService()
		h := newHost(kv, "a", nil)
		h.acquire(1)
		h.submit(1, "x", 1)
		long := strings.Repeat("x", claims.DefaultMaxAnswerBytes+1)
		h.settle("x", ok(long))
		Expect(h.replies[1].Answer.Body).To(HaveLen(len(long)))
		h.submit(2, "x", 1)
		Expect(h.replies[2].Answer.Outcome).To(Equal(wire.Unknown))
		Expect(h.replies[2].Answer.Reason).To(Equal(wire.ReasonAnswerLost))
	})

	// The answer to a commit is lost and the service doesn't answer until the
	// caller's deadline. The write may have taken effect or not, so the request is
	// not dispatched. While the lease is valid, no other owner has run it: "not run".
	// After the lease has expired a successor may have run it: "unknown".
	DescribeTable("in an outage", func(lapsed bool, want wire.Outcome) {
		h := newHost(newService(), "a", nil)
		h.acquire(1)
		h.hold = true
		if lapsed {
			h.advance(10 * time.Second)
		}
		h.submit(1, "x", 1)
		Expect(h.writes).To(HaveLen(1))
		h.step(claims.WriteDone{ID: h.writes[0].ID, Failed: true})
		h.advance(999 * time.Millisecond)
		Expect(h.replies[1].Answer.Outcome).To(Equal(want))
		Expect(h.runs).To(BeEmpty())
	},
		Entry("while the lease is valid", false, wire.NotRun),
		Entry("after the lease has expired", true, wire.Unknown),
	)

	// The owner is paused with an uncommitted claim. The successor runs a request
	// with the same key and another body, and a retry of that request then reaches
	// the old owner. Its own claim is outdated, so it must not refuse the retry as "not
	// run". Schedule 4 of the simulation in internal/lab/callers found "not run"
	// answered after the request had run.
	It("does not answer not-run based on an uncommitted claim", func() {
		h := newHost(newService(), "a", nil)
		h.acquire(1)
		h.hold = true
		h.submit(1, "x", 1)
		h.now = h.now.Add(20 * time.Second)
		h.submit(2, "x", 2)
		Expect(h.replies[2].Answer.Outcome).To(Equal(wire.Unknown))
	})

	// An endpoint refuses a call, and the answer "not run" is delayed on its way to
	// the caller. A retry through another entry must not run until that answer can no
	// longer arrive. Found by schedule 4773 of the simulation in internal/lab/callers.
	It("does not run a retry of a refused request while the refusal can still arrive", func() {
		h := newHost(newService(), "a", nil)
		h.acquire(1)
		h.submit(1, "x", 1)
		h.settle("x", wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull})
		Expect(h.replies[1].Answer.Outcome).To(Equal(wire.NotRun))
		h.advance(500 * time.Millisecond)
		h.submit(2, "x", 1)
		h.advance(100 * time.Millisecond)
		Expect(h.runs).To(HaveLen(1))
		h.advance(400 * time.Millisecond)
		Expect(h.runs).To(HaveLen(2))
	})

	// An outage lasts longer than the lease. One request ended during it, and one was
	// abandoned while its claim was being written. Both are "unknown" to another
	// process that takes the duty over, but not to the old owner once it holds the
	// duty again.
	DescribeTable("after a lapsed lease, knows the results of requests that ended here", func(same bool, wantRan, wantAbandoned wire.Outcome) {
		kv := newService()
		h := newHost(kv, "a", nil)
		h.acquire(1)
		h.submit(1, "ran", 1)
		h.hold = true
		h.advance(30 * time.Millisecond)
		h.submit(2, "given up", 1)
		h.settle("ran", ok("done"))
		h.step(claims.WriteDone{ID: h.writes[0].ID, Failed: true})
		kv.swap(h.writes[0])
		h.writes = nil
		h.advance(10 * time.Second)
		next := h
		if !same {
			next = newHost(kv, "b", nil)
			next.now = h.now
		}
		next.hold = false
		next.writes = nil
		next.acquire(2)
		next.advance(time.Second)
		next.submit(11, "ran", 1)
		next.submit(12, "given up", 1)
		next.advance(time.Second)
		Expect(next.replies[11].Answer.Outcome).To(Equal(wantRan))
		if wantAbandoned == wire.Unknown {
			Expect(next.replies[12].Answer.Outcome).To(Equal(wire.Unknown))
			return
		}
		Expect(next.runs[len(next.runs)-1].Waiter).To(Equal(int64(12)))
	},
		Entry("if the same process is the next owner", true, wire.Answered, wire.Running),
		Entry("but not if another process is the next owner", false, wire.Unknown, wire.Unknown),
	)

	// The write of a claim is lost, and the deadline of its call passes during the
	// outage. The next write omits the claim.
	It("does not write claims after an outage that were abandoned during it", func() {
		kv := newService()
		h := newHost(kv, "a", nil)
		h.acquire(1)
		h.hold = true
		h.submit(1, "x", 1)
		lost := h.writes[0]
		h.writes = nil
		h.step(claims.WriteDone{ID: lost.ID, Failed: true})
		h.advance(2 * time.Second)
		Expect(h.replies[1].Answer.Outcome).To(Equal(wire.NotRun))
		Expect(h.writes).To(HaveLen(1))
		Expect(string(h.writes[0].Value)).NotTo(ContainSubstring(`"s":"c"`))
		h.hold = false
		h.deliver()
		Expect(kv.swap(lost).Swapped).To(BeFalse())
		Expect(h.runs).To(BeEmpty())
	})

	// The first write of a claim takes effect late, after the read that still returned
	// the old head and before the write that replaced it.
	It("recognizes an earlier write that took effect late", func() {
		kv := newService()
		h := newHost(kv, "a", nil)
		h.acquire(1)
		h.hold = true
		h.submit(1, "x", 1)
		late := h.writes[0]
		h.writes = nil
		h.step(claims.WriteDone{ID: late.ID, Failed: true})
		h.advance(100 * time.Millisecond)
		Expect(h.writes).To(HaveLen(1))
		kv.swap(late)
		h.hold = false
		h.deliver()
		Expect(h.runs).To(HaveLen(1))
		h.advance(100 * time.Millisecond)
		h.settle("x", ok("done"))
		h.advance(100 * time.Millisecond)
		Expect(h.runs).To(HaveLen(1))
		Expect(string(kv.records["claims/0/head"].Value)).To(ContainSubstring(`"s":"d"`))
	})

	// Calls that are abandoned before any write of their claims would otherwise
	// accumulate during an outage, and be written after it.
	It("drops claims that were abandoned during an outage before they were written", func() {
		kv := newService()
		h := newHost(kv, "a", nil)
		h.acquire(1)
		h.hold = true
		h.submit(1, "first", 1)
		for i := range int64(50) {
			h.submit(10+i, fmt.Sprint(i), 1)
		}
		h.advance(2 * time.Second)
		h.hold = false
		h.deliver()
		h.advance(time.Second)
		Expect(string(kv.records["claims/0/head"].Value)).NotTo(ContainSubstring(fmt.Sprintf("%x", claims.NewKey("caller", "7"))))
		Expect(h.runs).To(BeEmpty())
	})

	It("does not serve while a bucket can't be read", func() {
		kv := newService()
		kv.records["claims/0/head"] = claims.Record{Value: []byte(`{"w":"a","e":1,"c":3,"b":[{"e":1,"n":1,"x":9999999999999}]}`), Revision: 5}
		h := newHost(kv, "b", func(c *claims.Config) { c.RetryDelay = time.Second })
		h.acquire(2)
		Expect(h.Serving()).To(BeFalse())
	})
})
