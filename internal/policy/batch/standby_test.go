package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("Job.MergeStandby", func() {
	now := time.Unix(1000, 0)
	scored := &batch.Scorer{ID: "s"}
	spec := &batch.Spec{ID: "j", MinVersion: 3, MaxAttempts: 2, Items: []batch.Item{{ID: "listed"}, {ID: "done"}, {ID: "half"}, {ID: "failed", Scorer: scored}, {ID: "new"}}}

	// generate runs an item that generates the given number of events.
	generate := func(j *batch.Job, i int, events int64, outcome batch.RunOutcome) {
		j.StartRun(i)
		for n := int64(1); n <= events; n++ {
			ExpectWithOffset(1, j.AddEvent(i, n, []byte("e"), 3)).To(BeTrue())
		}
		j.RunEnded(now, i, outcome, "e")
	}

	It("gives its results and texts to the next owner, which lists them after the listed results", func() {
		standby := batch.NewStandbyJob(spec, []string{"listed"})
		generate(standby, 1, 2, batch.RunComplete)
		generate(standby, 2, 1, batch.RunInterrupted)
		generate(standby, 3, 1, batch.RunComplete)
		for range 2 {
			later := now.Add(time.Hour)
			i, _, found := standby.NextScore(later, 0)
			Expect(found).To(BeTrue())
			standby.ScoringEnded(later, i, batch.ScoreFailed, "", 2)
		}
		owner := batch.NewJob(spec, []batch.Result{{Item: "listed", Output: []byte("before")}})
		Expect(owner.MergeStandby(standby)).To(Equal(3))
		position, results := owner.PendingResults()
		Expect(position).To(Equal(1))
		Expect(results).To(HaveLen(2))
		Expect(results[0].Item).To(Equal("done"))
		Expect(results[1]).To(Equal(batch.Result{Item: "failed", State: batch.Aborted}))
		Expect(owner.StartRun(2).ResumeAfter).To(Equal(int64(1)))
		Expect(owner.StartRun(4).ResumeAfter).To(BeZero())
	})

	It("does not list an item again that the owner listed before it failed", func() {
		standby := batch.NewStandbyJob(spec, nil)
		generate(standby, 1, 2, batch.RunComplete)
		owner := batch.NewJob(spec, []batch.Result{{Item: "done", Output: []byte("its owner's")}})
		Expect(owner.MergeStandby(standby)).To(BeZero())
		_, results := owner.PendingResults()
		Expect(results).To(BeEmpty())
	})

	It("does not give the owner texts of older weights than the job accepts", func() {
		standby := batch.NewStandbyJob(spec, nil)
		generate(standby, 1, 2, batch.RunComplete)
		newer := *spec
		newer.MinVersion = 4
		Expect(batch.NewJob(&newer, nil).MergeStandby(standby)).To(BeZero())
	})
})
