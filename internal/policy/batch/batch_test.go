package batch_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var start = time.Unix(1000, 0)

func spec(items int) *batch.Spec {
	s := &batch.Spec{ID: "job", Model: "m", MinVersion: 3, MaxAttempts: 2, Submitted: start, Due: start.Add(8 * time.Second), Expires: start.Add(40 * time.Second)}
	for i := range items {
		s.Items = append(s.Items, batch.Item{ID: fmt.Sprintf("i%d", i), Path: "/p", Body: []byte{byte(i)}, Group: fmt.Sprintf("g%d", i/2)})
	}
	return s
}

// startNext starts the next item, if there is one.
func startNext(j *batch.Job, now time.Time) (batch.RunStart, bool) {
	next, ok := j.Next(now)
	if !ok {
		return batch.RunStart{}, false
	}
	return j.StartRun(next.Index), true
}

func mustStartNext(j *batch.Job, now time.Time) batch.RunStart {
	s, ok := startNext(j, now)
	ExpectWithOffset(1, ok).To(BeTrue())
	return s
}

func addEvents(j *batch.Job, i int, from, to, version int64) {
	for id := from; id <= to; id++ {
		ExpectWithOffset(1, j.AddEvent(i, id, []byte(fmt.Sprintf("e%d", id)), version)).To(BeTrue())
	}
}

var _ = Describe("Job", func() {
	It("joins the events of interrupted and resumed runs into one text with all their versions", func() {
		// An engine resets the stream after two events. The item resumes at another
		// engine after the second event, with newer weights; the trainer must see
		// each event once and both versions.
		j := batch.NewJob(spec(1), nil)
		first := mustStartNext(j, start)
		addEvents(j, first.Index, 1, 2, 3)
		j.RunEnded(start, first.Index, batch.RunInterrupted, "e1")
		again := mustStartNext(j, start.Add(time.Second))
		Expect(again).To(Equal(batch.RunStart{Index: 0, ResumeAfter: 2, PreviousEngine: "e1"}))
		addEvents(j, again.Index, 3, 4, 4)
		j.RunEnded(start, again.Index, batch.RunComplete, "e2")
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Completed, Output: []byte("e1\ne2\ne3\ne4"), Versions: []int64{3, 4}}}))
	})

	It("with WriteByGroup, writes results when a group is complete, and others after a second", func() {
		// The workload: a step of many groups whose items end one by one. Each write is
		// a call to the store, and the trainer only uses complete groups.
		spec := spec(6)
		spec.WantGroups = 3
		j := batch.NewJob(spec, nil)
		j.Configure(batch.Options{WriteByGroup: true})
		finish := func(i int) {
			mustStartNext(j, start)
			addEvents(j, i, 1, 1, 3)
			j.RunEnded(start, i, batch.RunComplete, "e1")
		}
		Expect(j.WriteDue(start)).To(BeFalse(), "there are no results")
		finish(0)
		Expect(j.WriteDue(start)).To(BeFalse(), "its group is not complete")
		Expect(j.WriteDue(start.Add(900 * time.Millisecond))).To(BeFalse())
		Expect(j.WriteDue(start.Add(time.Second))).To(BeTrue(), "bounds the work lost with a failed owner")
		j.MarkDurable(start, 1)
		finish(1)
		Expect(j.WriteDue(start.Add(time.Second))).To(BeTrue(), "the first group is complete")
		j.MarkDurable(start, 2)
		finish(2)
		Expect(j.WriteDue(start.Add(2*time.Second))).To(BeFalse(), "the delay starts again")
	})

	It("writes results when the step is complete, or two seconds after the last write", func() {
		// The workload: three groups of two, of which the trainer waits for two. A read
		// returns as soon as there is a result, and the trainer reads again half a second
		// later: if results were written one by one, it would get the complete step late.
		spec := spec(6)
		spec.WantGroups = 2
		j := batch.NewJob(spec, nil)
		now := start
		finish := func(after time.Duration) {
			now = now.Add(after)
			s := mustStartNext(j, now)
			addEvents(j, s.Index, 1, 1, 3)
			j.RunEnded(now, s.Index, batch.RunComplete, "e1")
		}
		finish(0)
		Expect(j.WriteDue(now)).To(BeFalse(), "no group is complete")
		finish(time.Second)
		Expect(j.WriteDue(now)).To(BeFalse(), "a group is complete, the step is not")
		Expect(j.WriteDue(start.Add(2*time.Second))).To(BeTrue(), "bounds the work lost with a failed owner")
		j.MarkDurable(start.Add(2*time.Second), 2)
		finish(1500 * time.Millisecond)
		finish(0)
		Expect(j.WriteDue(now)).To(BeTrue(), "the step is complete")
	})

	It("writes complete groups one by one shortly before the step is due", func() {
		// The last text of the step is delayed by a slow engine. The complete groups, which
		// the trainer can use, must be readable when the step is due.
		spec := spec(6)
		spec.WantGroups = 3
		j := batch.NewJob(spec, nil)
		for range 2 {
			s := mustStartNext(j, start)
			addEvents(j, s.Index, 1, 1, 3)
			j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		}
		Expect(j.WriteDue(spec.Due.Add(-time.Second))).To(BeFalse())
		Expect(j.WriteDue(spec.Due.Add(-400 * time.Millisecond))).To(BeTrue())
	})

	It("returns the timeline of a completed step once", func() {
		// Four items in two groups, both of which the trainer waits for. The last item to
		// end started late and was moved once, which explains to an operator why the trainer
		// was idle.
		spec := spec(4)
		spec.WantGroups = 2
		j := batch.NewJob(spec, nil)
		run := func(started, ended time.Duration, outcome batch.RunOutcome) {
			s := mustStartNext(j, start.Add(started))
			j.RunPlaced(start.Add(started), s.Index)
			addEvents(j, s.Index, s.ResumeAfter+1, s.ResumeAfter+1, 3)
			j.RunEnded(start.Add(ended), s.Index, outcome, "e")
		}
		run(0, time.Second, batch.RunComplete)
		run(0, time.Second, batch.RunComplete)
		run(0, time.Second, batch.RunComplete)
		_, complete := j.StepCompleted(start.Add(time.Second))
		Expect(complete).To(BeFalse())
		run(2*time.Second, 3*time.Second, batch.RunCancelledToMove)
		run(3*time.Second, 5*time.Second, batch.RunComplete)
		t, complete := j.StepCompleted(start.Add(5 * time.Second))
		Expect(complete).To(BeTrue())
		Expect(t).To(Equal(batch.Timeline{
			Elapsed: 5 * time.Second, HalfStarted: 0, AllStarted: 2 * time.Second,
			LastItem: "i3", LastItemEvents: 2, LastItemStarted: 2 * time.Second, LastItemRuns: 2, LastItemEngine: "e",
		}))
		_, again := j.StepCompleted(start.Add(6 * time.Second))
		Expect(again).To(BeFalse())
	})

	It("rejects events that are out of order, repeated, or of too old a weight version", func() {
		j := batch.NewJob(spec(1), nil)
		s := mustStartNext(j, start)
		addEvents(j, s.Index, 1, 1, 3)
		Expect(j.AddEvent(s.Index, 3, nil, 3)).To(BeFalse())
		Expect(j.AddEvent(s.Index, 1, nil, 3)).To(BeFalse())
		Expect(j.AddEvent(s.Index, 2, nil, 2)).To(BeFalse())
		Expect(j.AddEvent(s.Index, 2, nil, 3)).To(BeTrue())
	})

	It("generates a text with a single version if the route requires it", func() {
		one := spec(1)
		one.SingleVersion = true
		j := batch.NewJob(one, nil)
		s := mustStartNext(j, start)
		addEvents(j, s.Index, 1, 1, 3)
		Expect(j.AddEvent(s.Index, 2, nil, 4)).To(BeFalse())
		j.RunEnded(start, s.Index, batch.RunInterrupted, "e1")
		Expect(mustStartNext(j, start.Add(time.Second)).RequiredVersion).To(Equal(int64(3)))
		j.RunEnded(start, s.Index, batch.RunVersionMismatch, "e2")
		Expect(mustStartNext(j, start.Add(2*time.Second))).To(Equal(batch.RunStart{Index: 0, PreviousEngine: "e2"}), "restarts, as no engine has that version any more")
	})

	It("aborts an item after the failures that its route allows, but not after refusals or interruptions", func() {
		j := batch.NewJob(spec(1), nil)
		now := start
		for range 5 {
			s := mustStartNext(j, now)
			j.RunEnded(now, s.Index, batch.RunRefused, "e1")
			now = now.Add(time.Second)
			s = mustStartNext(j, now)
			j.RunEnded(now, s.Index, batch.RunInterrupted, "e1")
			now = now.Add(time.Second)
		}
		for range 2 {
			s := mustStartNext(j, now)
			j.RunEnded(now, s.Index, batch.RunFailed, "e1")
		}
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Aborted}}))
	})

	It("aborts an impossible item at once, and every item when the job expires", func() {
		j := batch.NewJob(spec(3), nil)
		j.RunEnded(start, mustStartNext(j, start).Index, batch.RunImpossible, "e1")
		_, results := j.PendingResults()
		Expect(results).To(HaveLen(1))
		Expect(j.Expire(start.Add(39 * time.Second))).To(BeFalse())
		Expect(j.Expire(start.Add(40 * time.Second))).To(BeTrue())
		_, results = j.PendingResults()
		Expect(results).To(HaveLen(3))
		Expect(j.Finished()).To(BeFalse(), "nothing is durable yet")
		j.MarkDurable(start, 3)
		Expect(j.Finished()).To(BeTrue())
	})

	// Guards against a loop of sends that can't succeed, and against a result that is aborted
	// before the trainer expects it.
	It("does not start an unsendable item again and aborts it when the job expires, or at once if it never does", func() {
		for _, expires := range []bool{true, false} {
			spec := spec(2)
			if !expires {
				spec.Expires = time.Time{}
			}
			j := batch.NewJob(spec, nil)
			j.RunEnded(start, mustStartNext(j, start).Index, batch.RunUnsendable, "e1")
			mustStartNext(j, start.Add(39*time.Second))
			_, more := j.Next(start.Add(39 * time.Second))
			Expect(more).To(BeFalse())
			_, results := j.PendingResults()
			if expires {
				Expect(results).To(BeEmpty())
				Expect(j.Expire(start.Add(40 * time.Second))).To(BeTrue())
				_, results = j.PendingResults()
			}
			Expect(results).To(ContainElement(batch.Result{Item: "i0", State: batch.Aborted}))
		}
	})

	It("does not repeat an unsendable scoring call before the job expires", func() {
		for _, expires := range []bool{true, false} {
			spec := spec(1)
			spec.Items[0].Scorer = &batch.Scorer{ID: "s"}
			if !expires {
				spec.Expires = time.Time{}
			}
			j := batch.NewJob(spec, nil)
			mustStartNext(j, start)
			addEvents(j, 0, 1, 1, 3)
			j.RunEnded(start, 0, batch.RunComplete, "e1")
			i, _, found := j.NextScore(start, 0)
			Expect(found).To(BeTrue())
			j.ScoringEnded(start, i, batch.ScoreUnsendable, "", 3)
			_, _, found = j.NextScore(start.Add(39*time.Second), 0)
			Expect(found).To(BeFalse())
			Expect(j.Expire(start.Add(40 * time.Second))).To(Equal(expires))
			_, results := j.PendingResults()
			Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Aborted}}))
		}
	})

	It("returns only durable results, at the same positions after a restart", func() {
		// The owner fails after it decided two results, of which one is durable. Its
		// successor lists the durable one first and generates the other again, so that a
		// reader that has seen position 0 finds the same result there.
		j := batch.NewJob(spec(2), nil)
		for range 2 {
			s := mustStartNext(j, start)
			addEvents(j, s.Index, 1, 1, 3)
			j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		}
		Expect(j.DurableResults(0)).To(BeEmpty())
		_, results := j.PendingResults()
		j.MarkDurable(start, 1)
		Expect(j.DurableResults(0)).To(Equal(results[:1]))
		Expect(j.DurableResults(1)).To(BeEmpty())

		successor := batch.NewJob(spec(2), results[:1])
		Expect(successor.DurableResults(0)).To(Equal(results[:1]))
		s := mustStartNext(successor, start)
		Expect(successor.Spec.Items[s.Index].ID).NotTo(Equal(results[0].Item))
		_, more := startNext(successor, start)
		Expect(more).To(BeFalse())
	})

	It("starts nothing once it is closed", func() {
		j := batch.NewJob(spec(2), nil)
		j.Close()
		_, ok := startNext(j, start)
		Expect(ok).To(BeFalse())
		_, found := j.Body("i0")
		Expect(found).To(BeFalse())
	})

	It("scores a complete text, reports the endpoint of a failed call, and aborts the item after the allowed failures", func() {
		scored := spec(1)
		scored.Items[0].Scorer = &batch.Scorer{ID: "s"}
		j := batch.NewJob(scored, nil)
		s := mustStartNext(j, start)
		_, _, ok := j.NextScore(start, 0)
		Expect(ok).To(BeFalse(), "the text is not complete")
		addEvents(j, s.Index, 1, 1, 3)
		j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		i, last, ok := j.NextScore(start, 0)
		Expect(ok).To(BeTrue())
		Expect(last).To(BeEmpty())
		j.SetScoringEndpoint(i, "p1")
		j.ScoringEnded(start, i, batch.ScoreFailed, "", 3)
		i, last, ok = j.NextScore(start, 0)
		Expect(ok).To(BeTrue())
		Expect(last).To(Equal("p1"))
		j.ScoringEnded(start, i, batch.ScoreRetryable, "", 3)
		_, _, ok = j.NextScore(start, 0)
		Expect(ok).To(BeFalse(), "a backoff follows")
		for range 2 {
			i, _, ok = j.NextScore(start.Add(time.Second), 0)
			Expect(ok).To(BeTrue())
			j.ScoringEnded(start.Add(time.Second), i, batch.ScoreFailed, "", 3)
		}
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Aborted}}))
	})

	// generatedJob returns a job whose only text is complete and not yet scored.
	generatedJob := func() *batch.Job {
		scored := spec(1)
		scored.Items[0].Scorer = &batch.Scorer{ID: "s"}
		j := batch.NewJob(scored, nil)
		s := mustStartNext(j, start)
		addEvents(j, s.Index, 1, 1, 3)
		j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		return j
	}
	// scoringCalls returns the number of scoring calls that start at the given time.
	scoringCalls := func(j *batch.Job, now time.Time, hedgeDelay time.Duration) int {
		n := 0
		for {
			if _, _, ok := j.NextScore(now, hedgeDelay); !ok {
				return n
			}
			n++
		}
	}

	It("makes all remaining scoring calls concurrently after the first failure", func() {
		// A scorer that always fails takes 0.3 s per call: if the calls were made one after
		// the other, the item would delay its step by 1.2 s.
		j := generatedJob()
		Expect(scoringCalls(j, start, 0)).To(Equal(1))
		j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		Expect(scoringCalls(j, start, 0)).To(Equal(3))
		for range 3 {
			_, results := j.PendingResults()
			Expect(results).To(BeEmpty())
			j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		}
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Aborted}}))
	})

	It("uses the first score of concurrent calls, and lists the item once", func() {
		j := generatedJob()
		Expect(scoringCalls(j, start, 0)).To(Equal(1))
		j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		Expect(scoringCalls(j, start, 0)).To(Equal(3))
		j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		j.ScoringEnded(start, 0, batch.ScoreGiven, "seal", 4)
		j.ScoringEnded(start, 0, batch.ScoreGiven, "other", 4)
		_, results := j.PendingResults()
		Expect(results).To(HaveLen(1))
		Expect(results[0].Score).To(Equal("seal"))
	})

	It("hedges a slow scoring call with one other", func() {
		j := generatedJob()
		hedgeDelay := 500 * time.Millisecond
		Expect(scoringCalls(j, start, hedgeDelay)).To(Equal(1))
		Expect(scoringCalls(j, start.Add(400*time.Millisecond), hedgeDelay)).To(BeZero())
		Expect(scoringCalls(j, start.Add(500*time.Millisecond), hedgeDelay)).To(Equal(1))
		Expect(scoringCalls(j, start.Add(5*time.Second), hedgeDelay)).To(BeZero())
		j.ScoringEnded(start, 0, batch.ScoreRetryable, "", 4)
		j.ScoringEnded(start, 0, batch.ScoreGiven, "seal", 4)
		_, results := j.PendingResults()
		Expect(results).To(HaveLen(1))
	})

	It("returns the body of an item, which stays unlisted until its result is durable", func() {
		j := batch.NewJob(spec(1), nil)
		body, found := j.Body("i0")
		Expect(found).To(BeTrue())
		Expect(body).To(Equal([]byte{0}))
		Expect(j.IsUnlisted("i0")).To(BeTrue())
		s := mustStartNext(j, start)
		addEvents(j, s.Index, 1, 1, 3)
		j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		Expect(j.IsUnlisted("i0")).To(BeTrue(), "a decided result is not listed yet")
		j.MarkDurable(start, 1)
		Expect(j.IsUnlisted("i0")).To(BeFalse())
		Expect(j.IsUnlisted("nobody")).To(BeFalse())
	})

	It("rejects a job without items, with an item without ID, or with a duplicate ID", func() {
		Expect((&batch.Spec{}).Check()).To(MatchError(batch.ErrNoItems))
		Expect((&batch.Spec{Items: []batch.Item{{}}}).Check()).To(MatchError(batch.ErrNoID))
		Expect((&batch.Spec{Items: []batch.Item{{ID: "a"}, {ID: "a"}}}).Check()).To(MatchError(batch.ErrDuplicate))
		Expect(spec(2).Check()).To(Succeed())
	})

	It("generates every text completely and once despite random interruptions and owner restarts", func() {
		for seed := range uint64(200) {
			runRandomly(seed)
		}
	})
})

// runRandomly runs a job with random interruptions and restarts, and checks every text.
func runRandomly(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	s := spec(4)
	j := batch.NewJob(s, nil)
	now := start
	for step := 0; step < 2000 && !j.Finished(); step++ {
		now = now.Add(10 * time.Millisecond)
		if n, pending := j.PendingResults(); len(pending) > 0 && random.IntN(3) == 0 {
			j.MarkDurable(start, n+1+random.IntN(len(pending)))
		}
		if random.IntN(40) == 0 {
			j = batch.NewJob(s, append([]batch.Result(nil), j.DurableResults(0)...)) // its owner failed
		}
		run, ok := startNext(j, now)
		if !ok {
			continue
		}
		next := run.ResumeAfter + 1
		for next <= 5 && random.IntN(5) > 0 {
			Expect(j.AddEvent(run.Index, next, []byte(fmt.Sprintf("e%d", next)), 3+int64(random.IntN(2)))).To(BeTrue())
			next++
		}
		outcome := batch.RunInterrupted
		if next > 5 {
			outcome = batch.RunComplete
		}
		j.RunEnded(now, run.Index, outcome, "e")
	}
	Expect(j.Finished()).To(BeTrue(), "seed %d", seed)
	seen := map[string]bool{}
	for _, r := range j.DurableResults(0) {
		Expect(seen[r.Item]).To(BeFalse(), "seed %d", seed)
		seen[r.Item] = true
		Expect(string(r.Output)).To(Equal("e1\ne2\ne3\ne4\ne5"), "seed %d", seed)
	}
	Expect(seen).To(HaveLen(4))
}

var _ = Describe("Job.Next", func() {
	grouped := func(hints ...int) *batch.Spec {
		s := &batch.Spec{}
		for i, h := range hints {
			s.Items = append(s.Items, batch.Item{ID: fmt.Sprint(i), Group: fmt.Sprintf("g%d", i/2), LengthHint: h})
		}
		return s
	}
	starts := func(s *batch.Spec) string {
		j := batch.NewJob(s, nil)
		var order []string
		for {
			run, ok := startNext(j, start)
			if !ok {
				return strings.Join(order, " ")
			}
			order = append(order, s.Items[run.Index].ID)
		}
	}

	It("starts long items first, and spare groups last", func() {
		// Four groups, of which the trainer waits for three. The group with the longest
		// item would delay the step, so it starts last and may stay unfinished.
		s := grouped(10, 20, 30, 5, 50, 900, 40, 60)
		s.WantGroups = 3
		Expect(starts(s)).To(Equal("7 6 2 1 0 3 5 4"))
	})

	It("never treats the first WantGroups/2 groups as spare, as they may have been carried over", func() {
		s := grouped(900, 20, 30, 5, 50, 60, 40, 60)
		s.WantGroups = 3
		Expect(strings.HasPrefix(starts(s), "0 ")).To(BeTrue())
	})
})

var _ = Describe("Retention", func() {
	const ttl, skew = 2 * time.Minute, 30 * time.Second
	retention := batch.Retention{ResultTTL: ttl, ClockSkew: skew}

	DescribeTable("keeps a job until what permits its removal has happened",
		func(age time.Duration, ended bool, want batch.Removal) {
			Expect(retention.Decide(start.Add(age), start, ended)).To(Equal(want))
		},
		Entry("ended, results must be readable", ttl+skew-time.Nanosecond, true, batch.Keep),
		Entry("ended and old", ttl+skew, true, batch.RemoveEnded),
		Entry("open and older than its results would be kept", ttl+skew, false, batch.Keep),
		Entry("open for days", batch.AbandonedTTL+skew-time.Nanosecond, false, batch.Keep),
		Entry("abandoned", batch.AbandonedTTL+skew, false, batch.RemoveAbandoned),
		Entry("submitted by a clock that is ahead", -time.Hour, true, batch.Keep),
	)
})
