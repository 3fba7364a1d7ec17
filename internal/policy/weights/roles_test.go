package weights_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("declared roles", func() {
	shares := func(prefill, decode int) []weights.Role {
		return []weights.Role{{Name: "prefill", Share: prefill}, {Name: "decode", Share: decode}}
	}
	count := func(s *service) map[string]int {
		held := map[string]int{}
		for _, role := range s.roles {
			held[role]++
		}
		return held
	}
	// settle runs the rollout until all loads are done and returns their number.
	settle := func(s *service) (loads int) {
		for range 10 {
			s.run()
			loads += len(s.loading)
			s.finishAll()
		}
		return loads
	}

	It("divide the engines by their shares, within the capacity floor", func() {
		s := newService(0.5, 8, 2)
		s.rollout.SetRoles(shares(1, 3))
		s.run()
		Expect(s.loading).To(HaveLen(4))
		Expect(settle(s)).To(Equal(8))
		Expect(count(s)).To(Equal(map[string]int{"prefill": 2, "decode": 6}))
		p := s.rollout.Progress(s.now)
		Expect(p).To(HaveLen(1))
		Expect(p[0].Done).To(Equal(8))
	})

	It("change no more engines than needed, and none if no roles are declared", func() {
		s := newService(0.5, 8, 2)
		s.rollout.SetRoles(shares(1, 3))
		settle(s)
		s.rollout.SetRoles(shares(1, 1))
		Expect(settle(s)).To(Equal(2))
		Expect(count(s)).To(Equal(map[string]int{"prefill": 4, "decode": 4}))
		s.rollout.SetRoles(nil)
		Expect(settle(s)).To(BeZero())
	})

	// A new owner does not know the roles of the engines yet. If it assigned roles after
	// the first replies, it would change engines to roles that others already have, and
	// take them out of service for nothing.
	It("are not assigned until every engine has reported its role", func() {
		s := newService(0.5, 4, 2)
		s.roles = map[string]string{"e0": "decode", "e1": "decode", "e2": "prefill", "e3": "prefill"}
		s.rollout.SetRoles(shares(1, 1))
		for range 5 {
			s.now = s.now.Add(300 * time.Millisecond)
			for _, issued := range s.rollout.Step(s.now) {
				if issued.Engine != "e3" {
					s.answer(issued)
				}
			}
		}
		Expect(s.loading).To(BeEmpty())
		Expect(settle(s)).To(BeZero())
	})

	It("are restored at an engine that restarted, after its load of new weights", func() {
		s := newService(0.5, 4, 2)
		s.rollout.SetRoles(shares(1, 1))
		settle(s)
		s.roles["e1"] = ""
		s.rollout.SetTarget(model, 2)
		s.run()
		s.now = s.now.Add(weights.DefaultConfig().RecheckInterval)
		settle(s)
		s.now = s.now.Add(weights.DefaultConfig().RecheckInterval)
		settle(s)
		Expect(count(s)).To(Equal(map[string]int{"prefill": 2, "decode": 2}))
		Expect(s.versions).To(HaveEach(int64(2)))
	})

	// The reply to a change of role is lost. The engine does not count as serving until
	// its agent has reported a role, whichever that is.
	It("count an engine as not serving until the outcome of its change is known", func() {
		s := newService(0.75, 4, 2)
		s.rollout.SetRoles([]weights.Role{{Name: "decode", Share: 1}})
		s.run()
		Expect(s.loading).To(HaveLen(1))
		for id := range s.loading {
			s.finish(id, wire.OrderReply{}, false)
		}
		s.run()
		Expect(settle(s)).To(BeNumerically(">=", 4))
		Expect(count(s)).To(Equal(map[string]int{"decode": 4}))
	})
})

var _ = Describe("OrderFilter", func() {
	// A paused owner orders a role after its successor has taken over, and the successor
	// orders a role that the engine already has. Neither order may reach the engine.
	It("accepts a new role of the newest epoch once, and reports it", func() {
		filter := weights.NewOrderFilter("a", weights.MaxOrderTimeout, start.Add(-weights.MaxOrderTimeout))
		filter.ReportRole("prefill", start)
		filter.ReportVersions(map[string]int64{"": 1}, start)
		order := func(kind wire.OrderKind, epoch int64, role string, target wire.Target) weights.Verdict {
			return filter.Accept(wire.Order{
				ID: role, Kind: kind, Role: role, Sequence: 9, Target: target, Remaining: time.Second,
				Fence: wire.Fence{Duty: "weights/s", Epoch: epoch},
			}, start)
		}
		status := order(wire.OrderStatus, 2, "", wire.Target{}).Reply
		Expect(status.Role).To(Equal("prefill"))
		Expect(order(wire.OrderRole, 1, "decode", status.Target).Reply.Reason).To(Equal(wire.ReasonStaleEpoch))
		Expect(order(wire.OrderRole, 2, "prefill", status.Target).Run).To(BeFalse())
		Expect(order(wire.OrderRole, 2, "decode", status.Target).Run).To(BeTrue())
		Expect(order(wire.OrderSwap, 2, "", status.Target).Reply.Reason).To(Equal(wire.ReasonNotReady))
		Expect(filter.Finish(weights.LoadDone, start).Role).To(Equal("decode"))
		Expect(order(wire.OrderStatus, 2, "", wire.Target{}).Reply.Version).To(Equal(int64(1)))
	})
})
