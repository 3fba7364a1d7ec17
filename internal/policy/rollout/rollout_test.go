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

var start = time.Unix(1000, 0)

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
			Pace:          rollout.Pace{Base: 10 * time.Millisecond, PerSample: 10 * time.Millisecond},
			RecomputeCost: rollout.MoveCost{Fixed: 100 * time.Millisecond},
			SwapTimeout:   5 * time.Second,
		})
		s.SetFeed(feed)
	})

	It("starts one sample of every group before the second of any", func() {
		// A long group delays the whole step if it is detected late, and its first sample
		// shows how long the others will be.
		s.SetEngines(start, engines(1, 1))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		started := starts(s.Plan(start))
		Expect(started).To(HaveLen(4))
		for id := range started {
			Expect(id.Index).To(BeZero())
		}
	})

	It("continues with the group whose first sample was long", func() {
		// The first sample of each group has ended, one of them late. The other sample of
		// its group goes first, so that it is not the last of the step to end.
		s.SetEngines(start, engines(1, 1))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		s.Plan(start)
		for g := range int64(4) {
			tokens := 10
			if g == 2 {
				tokens = 900
			}
			s.Complete("f", sample.ID{Group: g}, tokens)
		}
		s.SetEngines(start, []rollout.Engine{{ID: "a", Slots: 1, Version: 1}})
		Expect(s.Plan(start)).To(Equal([]rollout.Action{
			rollout.Start{Feed: "f", ID: sample.ID{Group: 2, Index: 1}, Engine: "a"},
		}))
	})

	It("starts no sample on an engine whose version the trainer would reject", func() {
		s.SetEngines(start, engines(1, 3))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 3, Current: ids(0, 4, 2)})
		for _, engine := range starts(s.Plan(start)) {
			Expect(engine).To(Equal("b"), "a is two versions behind, one is allowed")
		}
	})

	It("waits for a swap only if staleness costs more, and for a limited time", func() {
		// The engine has an older version than the trainer. If its swap fails, the feed must
		// not wait for it forever.
		sensitive := feed
		sensitive.WeightStaleness = 9
		s.SetFeed(sensitive)
		s.SetEngines(start, engines(1))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 2, Current: ids(0, 4, 2)})
		Expect(s.Plan(start)).To(BeEmpty())
		Expect(s.Plan(start.Add(6 * time.Second))).To(HaveLen(2))
	})

	It("sets the run-ahead by the weights of idle time and staleness", func() {
		train := func(f rollout.Feed) float64 {
			s.SetFeed(f)
			s.SetEngines(start, engines(1, 1, 1))
			s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Training: true})
			s.SetDemand(start.Add(10*time.Second), rollout.Demand{Feed: "f", Step: 1, Version: 2, Current: ids(1, 4, 2)})
			return s.AheadShare("f")
		}
		Expect(train(feed)).To(BeNumerically(">", 0))
		strict := feed
		strict.WeightStaleness = 1000
		Expect(train(strict)).To(BeZero())
		bound := feed
		bound.Limits.MaxVersionLag = 0
		Expect(train(bound)).To(BeZero(), "a sample started early would be too old")
	})

	It("moves a straggler to a free engine when that saves more than it costs", func() {
		// Both slots of a are in use, b is free and no sample waits: a token takes a third
		// less time for a sample alone on b. If moves are expensive, the sample stays.
		for _, cost := range []time.Duration{100 * time.Millisecond, time.Hour} {
			s = rollout.New(rollout.Options{
				Pace:          rollout.Pace{Base: 10 * time.Millisecond, PerSample: 10 * time.Millisecond},
				RecomputeCost: rollout.MoveCost{Fixed: cost},
			})
			s.SetFeed(feed)
			s.SetEngines(start, engines(1))
			s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 2)})
			Expect(s.Plan(start)).To(HaveLen(2))
			s.SetEngines(start, engines(1, 1))
			moves := s.Plan(start)
			if cost == time.Hour {
				Expect(moves).To(BeEmpty())
				continue
			}
			Expect(moves).To(ConsistOf(BeAssignableToTypeOf(rollout.Move{})))
			Expect(s.Plan(start)).To(BeEmpty(), "a sample that is being moved must not move again")
		}
	})

	It("moves a sample whose slot callers took before it starts new samples", func() {
		// Both samples run on a; callers then take a's slots, and b becomes free. A third
		// sample waits to start, but the two delay the step: one of them, which has been
		// stalled for longer than a move costs, moves to b.
		s.SetEngines(start, engines(1))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 3, 1)})
		s.Plan(start)
		first, second := sample.ID{}, sample.ID{Group: 1}
		s.Progress("f", first, 50)
		s.Progress("f", second, 50)
		s.Plan(start)
		later := start.Add(3 * time.Second)
		s.SetEngines(later, []rollout.Engine{
			{ID: "a", Slots: 2, UsedByOthers: 2, Version: 1}, {ID: "b", Slots: 1, Version: 1},
		})
		Expect(s.Plan(later)).To(Equal([]rollout.Action{rollout.Move{Feed: "f", ID: first, From: "a", To: "b"}}))
	})

	DescribeTable("transfers the KV cache if that is cheaper than recomputing it",
		func(prompt int, transfer rollout.MoveCost, want []rollout.Action) {
			s = rollout.New(rollout.Options{
				Pace:          rollout.Pace{Base: 10 * time.Millisecond, PerSample: 10 * time.Millisecond},
				RecomputeCost: rollout.MoveCost{Fixed: 100 * time.Millisecond, PerToken: time.Millisecond},
				TransferCost:  transfer,
			})
			long := feed
			long.PromptTokens = prompt
			s.SetFeed(long)
			s.SetEngines(start, engines(1))
			s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 2)})
			Expect(s.Plan(start)).To(HaveLen(2))
			s.SetEngines(start, engines(1, 1))
			Expect(s.Plan(start)).To(Equal(want))
		},
		Entry("a long prompt over a fast link", 4000, rollout.MoveCost{Fixed: 100 * time.Millisecond, PerToken: 10 * time.Microsecond},
			[]rollout.Action{rollout.Move{Feed: "f", From: "a", To: "b", WithCache: true}}),
		Entry("a long prompt without cache transfer", 4000, rollout.MoveCost{}, nil),
		Entry("a link so slow that the sample ends first", 4000, rollout.MoveCost{PerToken: 10 * time.Millisecond}, nil),
		Entry("a short prompt over a slow link", 10, rollout.MoveCost{Fixed: 5 * time.Second, PerToken: time.Millisecond},
			[]rollout.Action{rollout.Move{Feed: "f", From: "a", To: "b"}}),
	)

	It("cancels samples that are no longer needed and restarts failed samples", func() {
		s.SetEngines(start, engines(1))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 2)})
		s.Plan(start)
		s.Failed("f", sample.ID{})
		Expect(starts(s.Plan(start))).To(HaveKey(sample.ID{}))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 1, 1)})
		Expect(s.Plan(start)).To(Equal([]rollout.Action{rollout.Cancel{Feed: "f", ID: sample.ID{Index: 1}}}))
	})

	It("starts a feed's share of samples even if another entry's samples use every slot", func() {
		// Two entries own one feed each, with equal shares. One entry filled the engines
		// first, and refills each free slot before the other sees it. The other must have
		// samples in the agents' queues, which alternate by share, but none where callers
		// use the slots.
		s.SetTotalShares(2)
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		full := rollout.Engine{Slots: 4, UsedByOthers: 4, Version: 1}
		full.ID, full.UsedByOtherFeeds = "feeds", 4
		half := full
		half.ID, half.UsedByOtherFeeds = "half", 2
		callers := full
		callers.ID, callers.UsedByOtherFeeds = "callers", 0
		s.SetEngines(start, []rollout.Engine{full, half, callers})
		count := map[string]int{}
		for _, engine := range starts(s.Plan(start)) {
			count[engine]++
		}
		Expect(count).To(Equal(map[string]int{"feeds": 2, "half": 1}))
		s.SetTotalShares(1)
		s.Failed("f", sample.ID{})
		Expect(s.Plan(start)).To(BeEmpty(), "no other feed has a share")
	})

	It("gives a small feed its share while another bursts", func() {
		// The bursting feed uses every slot; each slot that becomes free goes to the small
		// feed until it has its share.
		small := feed
		small.Name = "small"
		s.SetFeed(small)
		s.SetEngines(start, engines(1, 1, 1))
		s.SetDemand(start, rollout.Demand{Feed: "f", Version: 1, Current: ids(0, 4, 2)})
		Expect(s.Plan(start)).To(HaveLen(6))
		s.SetDemand(start, rollout.Demand{Feed: "small", Version: 1, Current: ids(0, 4, 2)})
		for g := range int64(2) {
			s.Complete("f", sample.ID{Group: g}, 100)
			Expect(s.Plan(start)).To(ConsistOf(HaveField("Feed", "small")))
		}
	})
})

var _ = Describe("Predictor", func() {
	It("predicts remaining tokens within the limit even for a sample longer than its class", func() {
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
