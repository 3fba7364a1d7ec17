package weights_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy/weights")
}

var (
	start = time.Unix(1000, 0)
	model = weights.Key{Model: "m"}
)

// service simulates the agents of a service. It answers a rollout's orders at once, except
// for loads, which wait until finish is called.
type service struct {
	rollout  *weights.Rollout
	now      time.Time
	versions map[string]int64
	roles    map[string]string
	loading  map[string]wire.Order
	kinds    map[wire.OrderKind]int
}

func newService(floor float64, engines, domains int) *service {
	c := weights.DefaultConfig()
	c.Duty, c.Epoch, c.CapacityFloor = "weights/s", 1, floor
	s := &service{
		rollout:  weights.NewRollout(c),
		now:      start,
		versions: map[string]int64{},
		roles:    map[string]string{},
		loading:  map[string]wire.Order{},
		kinds:    map[wire.OrderKind]int{},
	}
	var members []weights.Member
	for i := range engines {
		id := fmt.Sprint("e", i)
		s.versions[id] = 1
		members = append(members, weights.Member{ID: id, Address: id, Domain: fmt.Sprint("d", i%domains), Serving: true})
	}
	s.rollout.SetMembers(members, s.now)
	return s
}

// run steps the rollout until no orders but loads await their replies.
func (s *service) run() {
	for range 10 {
		s.now = s.now.Add(300 * time.Millisecond)
		for _, issued := range s.rollout.Step(s.now) {
			s.kinds[issued.Order.Kind]++
			s.answer(issued)
		}
	}
}

func (s *service) answer(issued weights.EngineOrder) {
	reply := wire.OrderReply{Outcome: wire.Answered, Version: s.versions[issued.Engine], Role: s.roles[issued.Engine]}
	switch issued.Order.Kind {
	case wire.OrderSwap, wire.OrderRole:
		s.loading[issued.Engine] = issued.Order
		return
	case wire.OrderPrepare:
		reply.Version = issued.Order.Version
	}
	s.rollout.HandleReply(issued.Engine, issued.Order, reply, true, s.now)
}

// finish ends the load of an engine with a reply.
func (s *service) finish(id string, reply wire.OrderReply, delivered bool) {
	o := s.loading[id]
	delete(s.loading, id)
	switch {
	case reply.Outcome != wire.Answered:
	case o.Kind == wire.OrderRole:
		s.roles[id] = o.Role
	default:
		s.versions[id] = reply.Version
	}
	s.rollout.HandleReply(id, o, reply, delivered, s.now)
}

func (s *service) finishAll() {
	for id, o := range s.loading {
		s.finish(id, wire.OrderReply{Outcome: wire.Answered, Version: o.Version, Role: o.Role}, true)
	}
}

var _ = Describe("Rollout", func() {
	It("loads no more engines at once than the capacity floor allows, spread over the domains", func() {
		s := newService(0.5, 6, 3)
		s.rollout.SetTarget(model, 2)
		s.run()
		Expect(s.loading).To(HaveLen(3))
		domains := map[string]bool{}
		for id := range s.loading {
			domains[fmt.Sprint(int(id[1]-'0')%3)] = true
		}
		Expect(domains).To(HaveLen(3))
		s.finishAll()
		s.run()
		s.finishAll()
		Expect(s.versions).To(HaveEach(int64(2)))
	})

	It("never loads a domain's last serving engine, however low the floor", func() {
		s := newService(0, 4, 2)
		s.rollout.SetTarget(model, 2)
		s.run()
		Expect(s.loading).To(HaveLen(2))
	})

	It("gives an engine a newer version that is announced during its load, and none an older one", func() {
		s := newService(0.5, 2, 1)
		s.rollout.SetTarget(model, 2)
		s.run()
		s.rollout.SetTarget(model, 4)
		s.rollout.SetTarget(model, 3)
		s.run()
		s.finishAll()
		s.run()
		Expect(s.loading).To(HaveLen(1))
		for _, o := range s.loading {
			Expect(o.Version).To(Equal(int64(4)))
		}
	})

	It("continues with other engines after a failed load and finally backs off from the engine", func() {
		s := newService(0.5, 2, 1)
		s.rollout.SetTarget(model, 2)
		failures := 0
		for range 12 {
			s.run()
			if _, ok := s.loading["e0"]; ok {
				failures++
				s.finish("e0", wire.OrderReply{Outcome: wire.NotRun, Reason: wire.ReasonLoadFailed}, true)
			}
			s.finishAll()
		}
		Expect(s.versions["e1"]).To(Equal(int64(2)))
		Expect(failures).To(BeNumerically(">=", weights.DefaultConfig().MaxLoadFailures))
		Expect(failures).To(BeNumerically("<=", 2*weights.DefaultConfig().MaxLoadFailures))
	})

	// The reply to a load is lost. Until the agent reports that it knows the engine's
	// state, the engine may still be loading, so no other engine may load instead.
	It("starts no other load while the outcome of a load is unknown", func() {
		s := newService(0.5, 2, 1)
		s.rollout.SetTarget(model, 2)
		s.run()
		Expect(s.loading).To(HaveLen(1))
		for id := range s.loading {
			s.finish(id, wire.OrderReply{}, false)
		}
		for _, issued := range s.rollout.Step(s.now.Add(time.Second)) {
			Expect(issued.Order.Kind).To(Equal(wire.OrderStatus))
			notReady := wire.OrderReply{Outcome: wire.Running, Reason: wire.ReasonNotReady}
			s.rollout.HandleReply(issued.Engine, issued.Order, notReady, true, s.now)
		}
		Expect(s.loading).To(BeEmpty())
		s.run()
		Expect(s.loading).To(HaveLen(1))
	})

	It("issues no orders once an agent knows a higher epoch", func() {
		s := newService(0.5, 2, 1)
		s.rollout.SetTarget(model, 2)
		issued := s.rollout.Step(s.now)[0]
		s.rollout.HandleReply(issued.Engine, issued.Order, wire.OrderReply{Reason: wire.ReasonStaleEpoch}, true, s.now)
		Expect(s.rollout.Deposed()).To(BeTrue())
		Expect(s.rollout.Step(s.now.Add(time.Minute))).To(BeEmpty())
	})
})

var _ = Describe("Distribution", func() {
	It("reaches every agent in each stripe, and no agent sends more than it receives", func() {
		for _, n := range []int{1, 2, 3, 5, 64, 1300} {
			distribution := weights.Distribution{Stripes: 4, RootsPerStripe: 1}
			plan := distribution.Parents(n)
			sent := make([]int, n)
			for agent, parents := range plan {
				for stripe, parent := range parents {
					if parent >= 0 {
						sent[parent]++
					}
					steps := 0
					for at := agent; at >= 0 && steps <= n; at = plan[at][stripe] {
						steps++
					}
					Expect(steps).To(BeNumerically("<=", n), "agent %d never reaches the store", agent)
				}
			}
			Expect(sent).To(HaveEach(BeNumerically("<=", distribution.Stripes)))
		}
	})
})

// An agent that passes on chunks stops responding. The first requests of its child time
// out. If the requests for all later chunks of the stripe timed out too, the version would
// arrive many seconds late.
var _ = Describe("FetchPlan", func() {
	It("requests nothing more from a source that failed, and uses the store last", func() {
		plan := weights.NewFetchPlan(12, []string{"silent", "good"})
		requests := map[string]int{}
		for !plan.Done() {
			for _, chunk := range plan.Next() {
				requests[chunk.Source]++
				if chunk.Source == "silent" {
					plan.MarkFailed(chunk)
				} else {
					plan.MarkReceived(chunk)
				}
			}
		}
		Expect(requests["silent"]).To(BeNumerically("<=", 2)) // the concurrent requests
		Expect(requests[weights.StoreSource]).To(BeZero())
	})

	It("uses the store when every agent fails, and finally gives up", func() {
		plan := weights.NewFetchPlan(1, []string{"a", "b"})
		var requests []string
		for chunks := plan.Next(); len(chunks) > 0; chunks = plan.Next() {
			requests = append(requests, chunks[0].Source)
			plan.MarkFailed(chunks[0])
		}
		Expect(requests[:3]).To(Equal([]string{"a", "b", weights.StoreSource}))
		Expect(len(requests)).To(BeNumerically("<", 20))
	})
})

var _ = Describe("Record", func() {
	It("only raises versions", func() {
		r, _ := weights.Record{}.Raise(model, 5)
		_, raised := r.Raise(model, 4)
		Expect(raised).To(BeFalse())
		r, raised = r.Raise(weights.Key{Model: "m", Adapter: "a"}, 1)
		Expect(raised).To(BeTrue())
		Expect(r.Version(model)).To(Equal(int64(5)))
	})
})
