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

// service answers a rollout's orders as agents would; loads wait for finish.
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

// run steps until nothing but loads is outstanding.
func (s *service) run() {
	for range 10 {
		s.now = s.now.Add(300 * time.Millisecond)
		for _, send := range s.rollout.Step(s.now) {
			s.kinds[send.Order.Kind]++
			s.answer(send)
		}
	}
}

func (s *service) answer(send weights.EngineOrder) {
	reply := wire.OrderReply{Outcome: wire.Answered, Version: s.versions[send.Engine], Role: s.roles[send.Engine]}
	switch send.Order.Kind {
	case wire.OrderSwap, wire.OrderRole:
		s.loading[send.Engine] = send.Order
		return
	case wire.OrderPrepare:
		reply.Version = send.Order.Version
	}
	s.rollout.HandleReply(send.Engine, send.Order, reply, true, s.now)
}

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

var _ = Describe("a rollout", func() {
	It("loads no more engines at once than the floor leaves, spread over the domains", func() {
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

	It("never takes a domain's last serving engine, however low the floor", func() {
		s := newService(0, 4, 2)
		s.rollout.SetTarget(model, 2)
		s.run()
		Expect(s.loading).To(HaveLen(2))
	})

	It("gives an engine a newer version that comes while it loads, and none an older one", func() {
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

	It("goes on elsewhere after a failed load and sets the engine aside in the end", func() {
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

	// The answer to a load is lost. Until the engine's agent says that it is
	// settled, the engine may still be loading, so its place is not given away.
	It("keeps the place of an engine whose load's end is not known", func() {
		s := newService(0.5, 2, 1)
		s.rollout.SetTarget(model, 2)
		s.run()
		Expect(s.loading).To(HaveLen(1))
		for id := range s.loading {
			s.finish(id, wire.OrderReply{}, false)
		}
		for _, send := range s.rollout.Step(s.now.Add(time.Second)) {
			Expect(send.Order.Kind).To(Equal(wire.OrderStatus))
			unsettled := wire.OrderReply{Outcome: wire.Running, Reason: wire.ReasonNotReady}
			s.rollout.HandleReply(send.Engine, send.Order, unsettled, true, s.now)
		}
		Expect(s.loading).To(BeEmpty())
		s.run()
		Expect(s.loading).To(HaveLen(1))
	})

	It("gives no order once an agent knows a higher epoch", func() {
		s := newService(0.5, 2, 1)
		s.rollout.SetTarget(model, 2)
		send := s.rollout.Step(s.now)[0]
		s.rollout.HandleReply(send.Engine, send.Order, wire.OrderReply{Reason: wire.ReasonStaleEpoch}, true, s.now)
		Expect(s.rollout.Deposed()).To(BeTrue())
		Expect(s.rollout.Step(s.now.Add(time.Minute))).To(BeEmpty())
	})
})

var _ = Describe("a spread", func() {
	It("reaches every agent in each stripe and has none send more than it receives", func() {
		for _, n := range []int{1, 2, 3, 5, 64, 1300} {
			spread := weights.Distribution{Stripes: 4, RootsPerStripe: 1}
			plan := spread.Parents(n)
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
			Expect(sent).To(HaveEach(BeNumerically("<=", spread.Stripes)))
		}
	})
})

// An agent that passes chunks on falls silent. Its child's first questions wait
// for their whole time limit; if each later chunk of the stripe did so too, the
// version would come many seconds late.
var _ = Describe("a fetch", func() {
	It("asks a source that failed for nothing more, and the store last", func() {
		fetch := weights.NewFetchPlan(12, []string{"silent", "good"})
		asked := map[string]int{}
		for !fetch.Done() {
			for _, piece := range fetch.Next() {
				asked[piece.Source]++
				if piece.Source == "silent" {
					fetch.MarkFailed(piece)
				} else {
					fetch.MarkReceived(piece)
				}
			}
		}
		Expect(asked["silent"]).To(BeNumerically("<=", 2)) // those asked at once
		Expect(asked[weights.StoreSource]).To(BeZero())
	})

	It("goes to the store when every agent fails, and gives up in the end", func() {
		fetch := weights.NewFetchPlan(1, []string{"a", "b"})
		var asked []string
		for pieces := fetch.Next(); len(pieces) > 0; pieces = fetch.Next() {
			asked = append(asked, pieces[0].Source)
			fetch.MarkFailed(pieces[0])
		}
		Expect(asked[:3]).To(Equal([]string{"a", "b", weights.StoreSource}))
		Expect(len(asked)).To(BeNumerically("<", 20))
	})
})

var _ = Describe("a record", func() {
	It("only rises", func() {
		r, _ := weights.Record{}.Raise(model, 5)
		_, raised := r.Raise(model, 4)
		Expect(raised).To(BeFalse())
		r, raised = r.Raise(weights.Key{Model: "m", Adapter: "a"}, 1)
		Expect(raised).To(BeTrue())
		Expect(r.Version(model)).To(Equal(int64(5)))
	})
})
