package rollout_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy rollout")
}

var begin = time.Unix(1000, 0)

func ids(step int64, groups, size int) []sample.ID {
	var all []sample.ID
	for g := range groups {
		for i := range size {
			all = append(all, sample.ID{Step: step, Group: int64(g), Index: int32(i)})
		}
	}
	return all
}

func starts(acts []rollout.Action) map[sample.ID]string {
	all := map[sample.ID]string{}
	for _, a := range acts {
		if s, ok := a.(rollout.Start); ok {
			all[s.ID] = s.Engine
		}
	}
	return all
}

var _ = Describe("Scheduler", func() {
	var s *rollout.Scheduler
	feed := rollout.Feed{
		Name: "f", Shape: sample.Shape{Groups: 4, Size: 2}, Classes: 2, Share: 1,
		WeightIdle: 4, WeightStaleness: 1, Limits: sample.Limits{MaxVersionLag: 1}, MaxTokens: 1000,
	}
	engines := func(versions ...int64) []rollout.Engine {
		var all []rollout.Engine
		for i, v := range versions {
			all = append(all, rollout.Engine{ID: string(rune('a' + i)), Slots: 2, Version: v})
		}
		return all
	}
	BeforeEach(func() {
		s = rollout.New(rollout.Options{
			Pace:     rollout.Pace{Base: 10 * time.Millisecond, Each: 10 * time.Millisecond},
			Move:     rollout.MoveCost{Fixed: 100 * time.Millisecond},
			SwapWait: 5 * time.Second,
		})
		s.SetFeed(feed)
	})

	It("spreads a group over engines and begins every group before it goes deep", func() {
		s.SetEngines(begin, engines(1, 1))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		begun := starts(s.Plan(begin))
		Expect(begun).To(HaveLen(4))
		for id := range begun {
			Expect(id.Index).To(BeZero())
		}
	})

	It("goes on with the group that its first samples show to be long", func() {
		// The first sample of each group has ended, one of them late. Its sibling
		// goes first, so that it does not end the step alone.
		s.SetEngines(begin, engines(1, 1))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		s.Plan(begin)
		for g := range int64(4) {
			tokens := 10
			if g == 2 {
				tokens = 900
			}
			s.Complete("f", sample.ID{Group: g}, tokens)
		}
		s.SetEngines(begin, []rollout.Engine{{ID: "a", Slots: 1, Version: 1}})
		Expect(s.Plan(begin)).To(Equal([]rollout.Action{
			rollout.Start{Feed: "f", ID: sample.ID{Group: 2, Index: 1}, Engine: "a"},
		}))
	})

	It("begins nothing that the trainer would not take when it is done", func() {
		s.SetEngines(begin, engines(1, 3))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 3, Current: ids(0, 4, 2)})
		for _, engine := range starts(s.Plan(begin)) {
			Expect(engine).To(Equal("b"), "a is two versions behind, one is allowed")
		}
	})

	It("waits for a swap only where staleness weighs more, and not for ever", func() {
		heavy := feed
		heavy.WeightStaleness = 9
		s.SetFeed(heavy)
		s.SetEngines(begin, engines(1))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 2, Current: ids(0, 4, 2)})
		Expect(s.Plan(begin)).To(BeEmpty())
		Expect(s.Plan(begin.Add(6 * time.Second))).To(HaveLen(2))
	})

	It("runs ahead as far as the weights say", func() {
		train := func(f rollout.Feed) float64 {
			s.SetFeed(f)
			s.SetEngines(begin, engines(1, 1, 1))
			s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Training: true})
			s.SetDemand(begin.Add(10*time.Second), rollout.Demand{Feed: "f", Step: 1, Version: 2, Current: ids(1, 4, 2)})
			return s.AheadShare("f")
		}
		Expect(train(feed)).To(BeNumerically(">", 0))
		strict := feed
		strict.WeightStaleness = 1000
		Expect(train(strict)).To(BeZero())
		bound := feed
		bound.Limits.MaxVersionLag = 0
		Expect(train(bound)).To(BeZero(), "a sample begun early would be too old")
	})

	It("moves a straggler to a free engine when that saves more than it costs", func() {
		// Both slots of a are taken, b is free and nothing waits: alone on b a
		// token takes a third less. With dear moves it stays.
		for _, cost := range []time.Duration{100 * time.Millisecond, time.Hour} {
			s = rollout.New(rollout.Options{
				Pace: rollout.Pace{Base: 10 * time.Millisecond, Each: 10 * time.Millisecond},
				Move: rollout.MoveCost{Fixed: cost},
			})
			s.SetFeed(feed)
			s.SetEngines(begin, engines(1))
			s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 2)})
			Expect(s.Plan(begin)).To(HaveLen(2))
			s.SetEngines(begin, engines(1, 1))
			moves := s.Plan(begin)
			if cost == time.Hour {
				Expect(moves).To(BeEmpty())
				continue
			}
			Expect(moves).To(ConsistOf(BeAssignableToTypeOf(rollout.Move{})))
			Expect(s.Plan(begin)).To(BeEmpty(), "one that is under way must not move again")
		}
	})

	It("moves a sample whose slot callers took before it begins new ones", func() {
		// Both samples run on a; callers then take a's slots, and b gets free. A
		// third sample waits to begin, but the two hold up the step: one that has
		// stood still for longer than a move costs goes to b.
		s.SetEngines(begin, engines(1))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 3, 1)})
		s.Plan(begin)
		first, second := sample.ID{}, sample.ID{Group: 1}
		s.Progress("f", first, 50)
		s.Progress("f", second, 50)
		s.Plan(begin)
		later := begin.Add(3 * time.Second)
		s.SetEngines(later, []rollout.Engine{
			{ID: "a", Slots: 2, Others: 2, Version: 1}, {ID: "b", Slots: 1, Version: 1},
		})
		Expect(s.Plan(later)).To(Equal([]rollout.Action{rollout.Move{Feed: "f", ID: first, From: "a", To: "b"}}))
	})

	DescribeTable("takes the KV cache along where that is cheaper than its computation",
		func(prompt int, carry rollout.MoveCost, want []rollout.Action) {
			s = rollout.New(rollout.Options{
				Pace:  rollout.Pace{Base: 10 * time.Millisecond, Each: 10 * time.Millisecond},
				Move:  rollout.MoveCost{Fixed: 100 * time.Millisecond, Each: time.Millisecond},
				Carry: carry,
			})
			long := feed
			long.PromptTokens = prompt
			s.SetFeed(long)
			s.SetEngines(begin, engines(1))
			s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 2)})
			Expect(s.Plan(begin)).To(HaveLen(2))
			s.SetEngines(begin, engines(1, 1))
			Expect(s.Plan(begin)).To(Equal(want))
		},
		Entry("a long prompt over a fast link", 4000, rollout.MoveCost{Fixed: 100 * time.Millisecond, Each: 10 * time.Microsecond},
			[]rollout.Action{rollout.Move{Feed: "f", From: "a", To: "b", Carry: true}}),
		Entry("a long prompt without export", 4000, rollout.MoveCost{}, nil),
		Entry("a link so slow that the sample ends first", 4000, rollout.MoveCost{Each: 10 * time.Millisecond}, nil),
		Entry("a short prompt over a slow link", 10, rollout.MoveCost{Fixed: 5 * time.Second, Each: time.Millisecond},
			[]rollout.Action{rollout.Move{Feed: "f", From: "a", To: "b"}}),
	)

	It("cancels what is no longer needed and begins a failed sample again", func() {
		s.SetEngines(begin, engines(1))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 2)})
		s.Plan(begin)
		s.Failed("f", sample.ID{})
		Expect(starts(s.Plan(begin))).To(HaveKey(sample.ID{}))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 1)})
		Expect(s.Plan(begin)).To(Equal([]rollout.Action{rollout.Cancel{Feed: "f", ID: sample.ID{Index: 1}}}))
	})

	It("sends a feed its share of samples though another entry's have every slot", func() {
		// Two entries own a feed each, of equal shares. One filled the engines
		// first, and fills each slot that gets free before the other sees it. The
		// other must have samples in the agents' queues, which take turns by
		// share; where callers have the slots, none.
		s.SetShares(2)
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		taken := rollout.Engine{Slots: 4, Others: 4, Version: 1}
		taken.ID, taken.Feeds = "feeds", 4
		half := taken
		half.ID, half.Feeds = "half", 2
		callers := taken
		callers.ID, callers.Feeds = "callers", 0
		s.SetEngines(begin, []rollout.Engine{taken, half, callers})
		count := map[string]int{}
		for _, engine := range starts(s.Plan(begin)) {
			count[engine]++
		}
		Expect(count).To(Equal(map[string]int{"feeds": 2, "half": 1}))
		s.SetShares(1)
		s.Failed("f", sample.ID{})
		Expect(s.Plan(begin)).To(BeEmpty(), "no other feed has a share")
	})

	It("gives a small feed its share while another bursts", func() {
		// The burst holds every slot; each one that becomes free goes to the
		// small feed until it has its share.
		small := feed
		small.Name = "small"
		s.SetFeed(small)
		s.SetEngines(begin, engines(1, 1, 1))
		s.SetDemand(begin, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		Expect(s.Plan(begin)).To(HaveLen(6))
		s.SetDemand(begin, rollout.Demand{Feed: "small", Version: 1, Current: ids(0, 4, 2)})
		for g := range int64(2) {
			s.Complete("f", sample.ID{Group: g}, 100)
			Expect(s.Plan(begin)).To(ConsistOf(HaveField("Feed", "small")))
		}
	})
})

var _ = Describe("Predictor", func() {
	It("expects more of a sample the longer it has run past its class", func() {
		p := rollout.NewPredictor(5000)
		for i := range 50 {
			p.Observe(0, sample.ID{Group: int64(i)}, 100+i)
		}
		id := sample.ID{Group: 99}
		Expect(p.Remaining(0, id, 0)).To(BeNumerically("~", 125, 25))
		Expect(p.Remaining(0, id, 400)).To(BeNumerically(">", 1))
		Expect(p.Remaining(0, id, 4999)).To(BeNumerically("<=", 1))
	})
})
