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

// nextStart begins the item that comes next, if one does.
func nextStart(j *batch.Job, now time.Time) (batch.RunStart, bool) {
	next, ok := j.Next(now)
	if !ok {
		return batch.RunStart{}, false
	}
	return j.StartRun(next.Index), true
}

func begin(j *batch.Job, now time.Time) batch.RunStart {
	s, ok := nextStart(j, now)
	ExpectWithOffset(1, ok).To(BeTrue())
	return s
}

func write(j *batch.Job, i int, from, to, version int64) {
	for id := from; id <= to; id++ {
		ExpectWithOffset(1, j.AddEvent(i, id, []byte(fmt.Sprintf("e%d", id)), version)).To(BeTrue())
	}
}

var _ = Describe("a batch job", func() {
	It("joins the events of broken and resumed runs into one text with all their versions", func() {
		// An engine resets the stream after two events. The item goes on at another
		// engine after the second event, under newer weights; the trainer must see
		// each event once and both versions.
		j := batch.NewJob(spec(1), nil)
		first := begin(j, start)
		write(j, first.Index, 1, 2, 3)
		j.RunEnded(start, first.Index, batch.RunInterrupted, "e1")
		again := begin(j, start.Add(time.Second))
		Expect(again).To(Equal(batch.RunStart{Index: 0, ResumeAfter: 2, PreviousEngine: "e1"}))
		write(j, again.Index, 3, 4, 4)
		j.RunEnded(start, again.Index, batch.RunComplete, "e2")
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Completed, Output: []byte("e1\ne2\ne3\ne4"), Versions: []int64{3, 4}}}))
	})

	It("has results written when a group is whole, others after a second, where steps are not waited for", func() {
		// The load: a step of many groups, whose items end one by one. Each write is
		// a call to the store; the trainer takes whole groups only.
		spec := spec(6)
		spec.WantGroups = 3
		j := batch.NewJob(spec, nil)
		j.Configure(batch.Options{WriteByGroup: true})
		finish := func(i int) {
			begin(j, start)
			write(j, i, 1, 1, 3)
			j.RunEnded(start, i, batch.RunComplete, "e1")
		}
		Expect(j.WriteDue(start)).To(BeFalse(), "nothing is there")
		finish(0)
		Expect(j.WriteDue(start)).To(BeFalse(), "its group is not whole")
		Expect(j.WriteDue(start.Add(900 * time.Millisecond))).To(BeFalse())
		Expect(j.WriteDue(start.Add(time.Second))).To(BeTrue(), "an owner that dies loses no more")
		j.MarkDurable(start, 1)
		finish(1)
		Expect(j.WriteDue(start.Add(time.Second))).To(BeTrue(), "the first group is whole")
		j.MarkDurable(start, 2)
		finish(2)
		Expect(j.WriteDue(start.Add(2*time.Second))).To(BeFalse(), "the wait begins anew")
	})

	It("has results written when the trainer's step is whole, or two seconds after the last", func() {
		// The load: three groups of two, of which the trainer waits for two. Its read
		// is answered by the first result there is, and the next one comes half a
		// second later: results that trickle in make it read a whole step late.
		spec := spec(6)
		spec.WantGroups = 2
		j := batch.NewJob(spec, nil)
		now := start
		finish := func(after time.Duration) {
			now = now.Add(after)
			s := begin(j, now)
			write(j, s.Index, 1, 1, 3)
			j.RunEnded(now, s.Index, batch.RunComplete, "e1")
		}
		finish(0)
		Expect(j.WriteDue(now)).To(BeFalse(), "nothing is whole")
		finish(time.Second)
		Expect(j.WriteDue(now)).To(BeFalse(), "a group is whole, the step is not")
		Expect(j.WriteDue(start.Add(2*time.Second))).To(BeTrue(), "an owner that dies loses no more")
		j.MarkDurable(start.Add(2*time.Second), 2)
		finish(1500 * time.Millisecond)
		finish(0)
		Expect(j.WriteDue(now)).To(BeTrue(), "the step is whole")
	})

	It("has whole groups written as they come once the step is about to be late", func() {
		// The step's last text hangs at a slow engine. What the trainer can use is
		// readable when it is due.
		spec := spec(6)
		spec.WantGroups = 3
		j := batch.NewJob(spec, nil)
		for range 2 {
			s := begin(j, start)
			write(j, s.Index, 1, 1, 3)
			j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		}
		Expect(j.WriteDue(spec.Due.Add(-time.Second))).To(BeFalse())
		Expect(j.WriteDue(spec.Due.Add(-400 * time.Millisecond))).To(BeTrue())
	})

	It("says once what a whole step's time consisted of", func() {
		// Four items of two groups, both waited for. The last to end began late and was
		// moved once: that is what an operator asks of a trainer that idles.
		spec := spec(4)
		spec.WantGroups = 2
		j := batch.NewJob(spec, nil)
		run := func(began, ended time.Duration, how batch.RunOutcome) {
			s := begin(j, start.Add(began))
			j.RunPlaced(start.Add(began), s.Index)
			write(j, s.Index, s.ResumeAfter+1, s.ResumeAfter+1, 3)
			j.RunEnded(start.Add(ended), s.Index, how, "e")
		}
		run(0, time.Second, batch.RunComplete)
		run(0, time.Second, batch.RunComplete)
		run(0, time.Second, batch.RunComplete)
		_, whole := j.StepCompleted(start.Add(time.Second))
		Expect(whole).To(BeFalse())
		run(2*time.Second, 3*time.Second, batch.RunCancelledToMove)
		run(3*time.Second, 5*time.Second, batch.RunComplete)
		t, whole := j.StepCompleted(start.Add(5 * time.Second))
		Expect(whole).To(BeTrue())
		Expect(t).To(Equal(batch.Timeline{
			Elapsed: 5 * time.Second, HalfStarted: 0, AllStarted: 2 * time.Second,
			LastItem: "i3", LastItemEvents: 2, LastItemStarted: 2 * time.Second, LastItemRuns: 2, LastItemEngine: "e",
		}))
		_, again := j.StepCompleted(start.Add(6 * time.Second))
		Expect(again).To(BeFalse())
	})

	It("takes no event out of order, twice, or of weights that are too old", func() {
		j := batch.NewJob(spec(1), nil)
		s := begin(j, start)
		write(j, s.Index, 1, 1, 3)
		Expect(j.AddEvent(s.Index, 3, nil, 3)).To(BeFalse())
		Expect(j.AddEvent(s.Index, 1, nil, 3)).To(BeFalse())
		Expect(j.AddEvent(s.Index, 2, nil, 2)).To(BeFalse())
		Expect(j.AddEvent(s.Index, 2, nil, 3)).To(BeTrue())
	})

	It("keeps one version for a text where the route asks for it", func() {
		one := spec(1)
		one.SingleVersion = true
		j := batch.NewJob(one, nil)
		s := begin(j, start)
		write(j, s.Index, 1, 1, 3)
		Expect(j.AddEvent(s.Index, 2, nil, 4)).To(BeFalse())
		j.RunEnded(start, s.Index, batch.RunInterrupted, "e1")
		Expect(begin(j, start.Add(time.Second)).RequiredVersion).To(Equal(int64(3)))
		j.RunEnded(start, s.Index, batch.RunVersionMismatch, "e2")
		Expect(begin(j, start.Add(2*time.Second))).To(Equal(batch.RunStart{Index: 0, PreviousEngine: "e2"}), "no engine has that version any more: anew")
	})

	It("gives an item up after the failures that its route allows, and not for refusals or breaks", func() {
		j := batch.NewJob(spec(1), nil)
		now := start
		for range 5 {
			s := begin(j, now)
			j.RunEnded(now, s.Index, batch.RunRefused, "e1")
			now = now.Add(time.Second)
			s = begin(j, now)
			j.RunEnded(now, s.Index, batch.RunInterrupted, "e1")
			now = now.Add(time.Second)
		}
		for range 2 {
			s := begin(j, now)
			j.RunEnded(now, s.Index, batch.RunFailed, "e1")
		}
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Aborted}}))
	})

	It("gives an impossible item up at once, and every item at the end of its time", func() {
		j := batch.NewJob(spec(3), nil)
		j.RunEnded(start, begin(j, start).Index, batch.RunImpossible, "e1")
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

	It("shows readers only what is durable, at the same positions after a restart", func() {
		// The owner dies after it decided two results of which one is durable. Its
		// successor lists the durable one first and makes the other anew: a reader
		// that saw position 0 finds the same there.
		j := batch.NewJob(spec(2), nil)
		for range 2 {
			s := begin(j, start)
			write(j, s.Index, 1, 1, 3)
			j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		}
		Expect(j.DurableResults(0)).To(BeEmpty())
		_, results := j.PendingResults()
		j.MarkDurable(start, 1)
		Expect(j.DurableResults(0)).To(Equal(results[:1]))
		Expect(j.DurableResults(1)).To(BeEmpty())

		successor := batch.NewJob(spec(2), results[:1])
		Expect(successor.DurableResults(0)).To(Equal(results[:1]))
		s := begin(successor, start)
		Expect(successor.Spec.Items[s.Index].ID).NotTo(Equal(results[0].Item))
		_, more := nextStart(successor, start)
		Expect(more).To(BeFalse())
	})

	It("starts nothing once it is closed", func() {
		j := batch.NewJob(spec(2), nil)
		j.Close()
		_, ok := nextStart(j, start)
		Expect(ok).To(BeFalse())
		_, found := j.Body("i0")
		Expect(found).To(BeFalse())
	})

	It("scores a text when it is whole, elsewhere after a failure, and gives up after the allowed failures", func() {
		scored := spec(1)
		scored.Items[0].Scorer = &batch.Scorer{ID: "s"}
		j := batch.NewJob(scored, nil)
		s := begin(j, start)
		_, _, ok := j.NextScore(start, 0)
		Expect(ok).To(BeFalse(), "the text is not whole")
		write(j, s.Index, 1, 1, 3)
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
		Expect(ok).To(BeFalse(), "a pause follows")
		for range 2 {
			i, _, ok = j.NextScore(start.Add(time.Second), 0)
			Expect(ok).To(BeTrue())
			j.ScoringEnded(start.Add(time.Second), i, batch.ScoreFailed, "", 3)
		}
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Aborted}}))
	})

	// written returns a job whose only text wants its score.
	written := func() *batch.Job {
		scored := spec(1)
		scored.Items[0].Scorer = &batch.Scorer{ID: "s"}
		j := batch.NewJob(scored, nil)
		s := begin(j, start)
		write(j, s.Index, 1, 1, 3)
		j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		return j
	}
	// asked counts the scoring calls that are made at a moment.
	asked := func(j *batch.Job, now time.Time, patience time.Duration) int {
		n := 0
		for {
			if _, _, ok := j.NextScore(now, patience); !ok {
				return n
			}
			n++
		}
	}

	It("makes all scoring calls that are left at once after the first failure", func() {
		// A scorer that always fails takes 0.3 s a call: one after the other, its item holds
		// its step up for 1.2 s.
		j := written()
		Expect(asked(j, start, 0)).To(Equal(1))
		j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		Expect(asked(j, start, 0)).To(Equal(3))
		for range 3 {
			_, results := j.PendingResults()
			Expect(results).To(BeEmpty())
			j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		}
		_, results := j.PendingResults()
		Expect(results).To(Equal([]batch.Result{{Item: "i0", State: batch.Aborted}}))
	})

	It("takes the first score of several calls, and lists the item once", func() {
		j := written()
		Expect(asked(j, start, 0)).To(Equal(1))
		j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		Expect(asked(j, start, 0)).To(Equal(3))
		j.ScoringEnded(start, 0, batch.ScoreFailed, "", 4)
		j.ScoringEnded(start, 0, batch.ScoreGiven, "seal", 4)
		j.ScoringEnded(start, 0, batch.ScoreGiven, "other", 4)
		_, results := j.PendingResults()
		Expect(results).To(HaveLen(1))
		Expect(results[0].Score).To(Equal("seal"))
	})

	It("joins a scoring call that takes long by one other", func() {
		j := written()
		patience := 500 * time.Millisecond
		Expect(asked(j, start, patience)).To(Equal(1))
		Expect(asked(j, start.Add(400*time.Millisecond), patience)).To(BeZero())
		Expect(asked(j, start.Add(500*time.Millisecond), patience)).To(Equal(1))
		Expect(asked(j, start.Add(5*time.Second), patience)).To(BeZero())
		j.ScoringEnded(start, 0, batch.ScoreRetryable, "", 4)
		j.ScoringEnded(start, 0, batch.ScoreGiven, "seal", 4)
		_, results := j.PendingResults()
		Expect(results).To(HaveLen(1))
	})

	It("gives the body of an item until it is listed", func() {
		j := batch.NewJob(spec(1), nil)
		body, found := j.Body("i0")
		Expect(found).To(BeTrue())
		Expect(body).To(Equal([]byte{0}))
		Expect(j.IsUnlisted("i0")).To(BeTrue())
		s := begin(j, start)
		write(j, s.Index, 1, 1, 3)
		j.RunEnded(start, s.Index, batch.RunComplete, "e1")
		Expect(j.IsUnlisted("i0")).To(BeTrue(), "decided is not listed")
		j.MarkDurable(start, 1)
		Expect(j.IsUnlisted("i0")).To(BeFalse())
		Expect(j.IsUnlisted("nobody")).To(BeFalse())
	})

	It("refuses a job without items, with an item without id, or with two of one id", func() {
		Expect((&batch.Spec{}).Check()).To(MatchError(batch.ErrNoItems))
		Expect((&batch.Spec{Items: []batch.Item{{}}}).Check()).To(MatchError(batch.ErrNoID))
		Expect((&batch.Spec{Items: []batch.Item{{ID: "a"}, {ID: "a"}}}).Check()).To(MatchError(batch.ErrDuplicate))
		Expect(spec(2).Check()).To(Succeed())
	})

	It("keeps every text whole and once through random ends, breaks and restarts", func() {
		for seed := range uint64(200) {
			playRandomly(seed)
		}
	})
})

// playRandomly runs a job under drawn ends of runs and checks every text.
func playRandomly(seed uint64) {
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
			j = batch.NewJob(s, append([]batch.Result(nil), j.DurableResults(0)...)) // its owner died
		}
		run, ok := nextStart(j, now)
		if !ok {
			continue
		}
		next := run.ResumeAfter + 1
		for next <= 5 && random.IntN(5) > 0 {
			Expect(j.AddEvent(run.Index, next, []byte(fmt.Sprintf("e%d", next)), 3+int64(random.IntN(2)))).To(BeTrue())
			next++
		}
		how := batch.RunInterrupted
		if next > 5 {
			how = batch.RunComplete
		}
		j.RunEnded(now, run.Index, how, "e")
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

var _ = Describe("the order of starts", func() {
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
			run, ok := nextStart(j, start)
			if !ok {
				return strings.Join(order, " ")
			}
			order = append(order, s.Items[run.Index].ID)
		}
	}

	It("starts long items first, and last the groups that the trainer can do without", func() {
		// Four groups, of which the trainer waits for three. The one with the longest
		// item would hold the step up; it starts last and may stay unfinished.
		s := grouped(10, 20, 30, 5, 50, 900, 40, 60)
		s.WantGroups = 3
		Expect(starts(s)).To(Equal("7 6 2 1 0 3 5 4"))
	})

	It("never holds back the first half of the awaited groups, which may have been carried over", func() {
		s := grouped(900, 20, 30, 5, 50, 60, 40, 60)
		s.WantGroups = 3
		Expect(strings.HasPrefix(starts(s), "0 ")).To(BeTrue())
	})
})
