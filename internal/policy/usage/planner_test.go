package usage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

var _ = Describe("Planner", func() {
	now := at(6 * time.Second)
	done := usage.Result{Outcome: usage.Done}
	notDone := usage.Result{Outcome: usage.NotDone}
	failed := usage.Result{Outcome: usage.Failed, RetryAt: now.Add(time.Second)}
	counts := usage.Counts{"desk": 2}
	var p *usage.Planner

	// do expects a command and passes its result.
	do := func(want usage.Command, r usage.Result) {
		ExpectWithOffset(1, p.Next(now)).To(Equal(want))
		p.HandleResult(now, r)
	}
	report := func(w usage.Window) usage.Report { return usage.Report{Window: w, Counts: counts} }

	BeforeEach(func() {
		p = usage.NewPlanner(config)
		p.SetTerm(7)
		ledger := usage.NewLedger(config)
		ledger.Apply(usage.Update{Process: "one", Through: 100, Tallies: []usage.Tally{{Window: 100, Counts: counts}}})
		do(usage.LoadReports{}, usage.Result{Outcome: usage.Done, Reports: []usage.Report{{Window: 99}}})
		p.CloseWindows(now, ledger, nil)
		do(usage.ConfirmTerm{}, done)
		do(usage.SendReport{Report: usage.Report{Window: 99}, Term: 7}, done)
	})

	It("stores a report before it sends it", func() {
		// If this process failed after it sent a report that is not stored, the next holder
		// could report the window with other counts.
		do(usage.StoreReport{Report: report(100), Term: 7}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, done)
		Expect(p.Next(now)).To(BeNil())
	})

	It("sends the stored report if its own write came too late", func() {
		// A write of an earlier holder was carried out seconds late, just before this one's.
		stored := usage.Report{Window: 100, Counts: usage.Counts{"desk": 1}}
		do(usage.StoreReport{Report: report(100), Term: 7}, notDone)
		do(usage.ReadReport{Window: 100}, usage.Result{Outcome: usage.Done, Reports: []usage.Report{stored}})
		do(usage.ConfirmTerm{}, done)
		do(usage.SendReport{Report: stored, Term: 7}, done)
	})

	It("reads its own write back if the answer was lost", func() {
		// The write may have taken effect, so that a second one would fail.
		do(usage.StoreReport{Report: report(100), Term: 7}, failed)
		Expect(p.Next(now)).To(BeNil())
		now := now.Add(time.Second)
		Expect(p.Next(now)).To(Equal(usage.ReadReport{Window: 100}))
	})

	It("resigns if no report is stored and another process holds the duty", func() {
		do(usage.StoreReport{Report: report(100), Term: 7}, notDone)
		do(usage.ReadReport{Window: 100}, notDone)
		do(usage.ConfirmTerm{}, notDone)
		Expect(p.ShouldResign()).To(BeTrue())
		Expect(p.Next(now)).To(BeNil())
	})

	It("confirms its term again before it sends a report again", func() {
		// Another process may have taken over the duty since the last confirmation.
		do(usage.StoreReport{Report: report(100), Term: 7}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, usage.Result{Outcome: usage.Failed, RetryAt: now})
		do(usage.ConfirmTerm{}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, done)
	})

	It("resigns if the platform knows a higher fencing token", func() {
		do(usage.StoreReport{Report: report(100), Term: 7}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, usage.Result{Outcome: usage.Outdated})
		Expect(p.ShouldResign()).To(BeTrue())
	})

	It("waits until the retry time after a failed call to the store", func() {
		p.SetTerm(8)
		do(usage.LoadReports{}, failed)
		Expect(p.Next(now)).To(BeNil())
		Expect(p.Next(now.Add(time.Second))).To(Equal(usage.LoadReports{}))
	})

	It("discards its state when the term changes", func() {
		p.SetTerm(0)
		Expect(p.Next(now)).To(BeNil())
		p.SetTerm(9)
		Expect(p.Next(now)).To(Equal(usage.LoadReports{}))
	})
})
