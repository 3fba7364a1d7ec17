package schedule_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/schedule"
)

var _ = Describe("Load.Weight", func() {
	// Two trainers: the step of one is one second old and waits for 160 events, the
	// step of the other has just been submitted and waits for 80.
	long := schedule.Job{Age: 1, Work: 3000, Longest: 160, EventSeconds: 0.035}
	short := schedule.Job{Age: 0, Work: 1400, Longest: 80, EventSeconds: 0.035}

	It("is 1 for the run that ends the longest step and drops quickly for shorter runs", func() {
		load := schedule.TotalLoad([]schedule.Job{long, short})
		Expect(load.Weight(&long, 160, false)).To(BeNumerically("==", 1))
		Expect(load.Weight(&short, 80, false)).To(BeNumerically("<", schedule.CriticalWeight))
		Expect(load.Weight(&short, 5, false)).To(BeNumerically("<", 0.01))
	})

	It("grows with the age of the step, so that a short item that waited long becomes critical", func() {
		load := schedule.TotalLoad([]schedule.Job{long, short})
		old := schedule.Job{Age: 6, Work: 50, Longest: 10, EventSeconds: 0.035}
		Expect(load.Weight(&old, 10, false)).To(BeNumerically(">", schedule.CriticalWeight))
	})

	It("is 0 for spare items and for an empty load", func() {
		load := schedule.TotalLoad([]schedule.Job{long})
		Expect(load.Weight(&long, 160, true)).To(BeZero())
		empty := schedule.TotalLoad(nil)
		Expect(empty.Weight(&long, 160, false)).To(BeZero())
	})

	It("determines which runs are critical", func() {
		load := schedule.TotalLoad([]schedule.Job{long, short})
		Expect(load.IsCritical(&long, 150, false)).To(BeTrue())
		Expect(load.IsCritical(&long, 60, false)).To(BeFalse(), "it completes in a fraction of the step's time")
		Expect(load.IsCritical(&long, 160, true)).To(BeFalse(), "the trainer does not need it")
		none := schedule.TotalLoad(nil)
		Expect(none.IsCritical(&long, 160, false)).To(BeFalse())
	})

	It("does not need a measured time per event", func() {
		unknown := schedule.Job{Work: 3000, Longest: 160}
		load := schedule.TotalLoad([]schedule.Job{unknown})
		Expect(load.Weight(&unknown, 160, false)).To(BeNumerically("==", 1))
	})
})

var _ = Describe("Load.CriticalBatchLimit", func() {
	fresh := &schedule.Job{}

	It("does not limit items that have waited for four seconds", func() {
		// A trainer's step waits for one text for half a minute while the engines are
		// nearly idle. Items of another step and spare items have almost no weight
		// beside it; they must start nevertheless.
		stuck := schedule.Job{Age: 30, Work: 160, Longest: 160}
		load := schedule.TotalLoad([]schedule.Job{stuck, {Age: 5, Work: 100, Longest: 20}})
		Expect(load.CriticalBatchLimit(&schedule.Job{Age: 3.9}, 9)).To(Equal(2))
		Expect(load.CriticalBatchLimit(&schedule.Job{Age: 4}, 9)).To(BeZero())
	})

	It("limits items for half of the time until their step is due, however long that is", func() {
		stuck := schedule.Job{Age: 300, Work: 160, Longest: 160}
		load := schedule.TotalLoad([]schedule.Job{stuck})
		const minutes = 28 * 60.0
		Expect(load.CriticalBatchLimit(&schedule.Job{Age: minutes/2 - 1, Due: minutes}, 9)).To(Equal(2))
		Expect(load.CriticalBatchLimit(&schedule.Job{Age: minutes / 2, Due: minutes}, 9)).To(BeZero())
		Expect(load.CriticalBatchLimit(&schedule.Job{Age: 1, Due: 2}, 9)).To(BeZero())
	})

	It("is somewhat more than the work needs if it is spread over the time of the longest text", func() {
		load := schedule.TotalLoad([]schedule.Job{{Work: 3000, Longest: 160}, {Work: 1400, Longest: 80}})
		Expect(load.CriticalBatchLimit(fresh, 9)).To(Equal(5)) // 1.5 x 4,400 / 160 / 9 = 4.6
	})

	It("leaves capacity under a light load and when no load is known", func() {
		light := schedule.TotalLoad([]schedule.Job{{Work: 100, Longest: 90}})
		Expect(light.CriticalBatchLimit(fresh, 9)).To(Equal(2))
		Expect(light.CriticalBatchLimit(fresh, 0)).To(Equal(2))
		empty := schedule.TotalLoad(nil)
		Expect(empty.CriticalBatchLimit(fresh, 9)).To(Equal(2))
	})
})

var _ = Describe("Choose", func() {
	old := &schedule.Job{Age: 4, EventSeconds: 0.035}
	fresh := &schedule.Job{Age: 0, EventSeconds: 0.035}

	It("returns the item whose step would complete last if it started now", func() {
		// A step that is four seconds old waits for 20 events (4.7 s), one that has just
		// been submitted for 160 (5.6 s); once the long texts run, the older step goes first.
		Expect(schedule.Choose([]schedule.Candidate{{Job: old, RemainingWork: 20}, {Job: fresh, RemainingWork: 160}})).To(Equal(1))
		Expect(schedule.Choose([]schedule.Candidate{{Job: old, RemainingWork: 20}, {Job: fresh, RemainingWork: 100}})).To(Equal(0))
	})

	It("returns a spare item only if there is no other item", func() {
		Expect(schedule.Choose([]schedule.Candidate{{Job: old, RemainingWork: 160, Spare: true}, {Job: fresh, RemainingWork: 1}})).To(Equal(1))
		Expect(schedule.Choose([]schedule.Candidate{{Job: old, RemainingWork: 160, Spare: true}, {Job: fresh, RemainingWork: 170, Spare: true}})).To(Equal(0))
		Expect(schedule.Choose(nil)).To(Equal(-1))
	})

	It("compares items at the slowest free engine where speeds are uneven", func() {
		// Once the fast engines are taken, a text of 100 events of a fresh step ends after 5.5 s
		// at a slow one, and a text of 20 events of a step that is 4 s old after 5.1 s. By the
		// speed of the fast engines, the short one took the last of them.
		old := schedule.Job{Age: 4, EventSeconds: 0.026, TypicalSeconds: 0.055}
		fresh := schedule.Job{EventSeconds: 0.026, TypicalSeconds: 0.055}
		candidates := []schedule.Candidate{{Job: &old, RemainingWork: 20}, {Job: &fresh, RemainingWork: 100}}
		Expect(schedule.Choose(candidates)).To(Equal(1))
		old.StartSeconds, fresh.StartSeconds = 0.026, 0.026
		Expect(schedule.Choose(candidates)).To(Equal(0), "only fast engines are free")
	})
})

var _ = Describe("Load where engines are of unequal speed", func() {
	const fast, slow = 0.026, 0.055
	view := func(age, longest float64) schedule.Job {
		return schedule.Job{Age: age, Work: 3000, Longest: longest, Due: 7.5, EventSeconds: fast, TypicalSeconds: slow}
	}

	It("counts a text as critical that would be the last of its step at a slow engine", func() {
		// A text of 75 events ends after 4.1 s at a slow engine, one of 150 after 3.9 s at a fast
		// one. Compared by their events, the shorter one could run anywhere.
		step := view(0, 150)
		load := schedule.TotalLoad([]schedule.Job{step})
		Expect(load.Weight(&step, 75, false)).To(BeNumerically("==", 1))
		Expect(load.Weight(&step, 20, false)).To(BeNumerically("<", schedule.CriticalWeight))
	})

	It("waits for a text that ends late at its engine, but not for one that ends before half of the time until due", func() {
		step := view(0, 150)
		load := schedule.TotalLoad([]schedule.Job{step})
		Expect(load.WaitsFor(&step, 80, false)).To(BeTrue())
		Expect(load.WaitsFor(&step, 60, false)).To(BeFalse(), "it ends after 3.3 s")
		Expect(load.WaitsFor(&step, 80, true)).To(BeFalse(), "the trainer does not need it")
		none := schedule.TotalLoad(nil)
		Expect(none.WaitsFor(&step, 80, false)).To(BeFalse())
	})

	It("waits for a text whose own step may be late, whatever another step waits for", func() {
		// A step that a fault has delayed by 20 s would otherwise keep all texts of the other
		// trainers' steps at their slow engines.
		delayed, step := view(20, 100), view(2, 50)
		load := schedule.TotalLoad([]schedule.Job{delayed, step})
		Expect(load.WaitsFor(&step, 50, false)).To(BeTrue())
	})
})
