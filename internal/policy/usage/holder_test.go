package usage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

var _ = Describe("the holder of the duty", func() {
	now := at(6 * time.Second)
	done := usage.Result{Outcome: usage.Done}
	notDone := usage.Result{Outcome: usage.NotDone}
	failed := usage.Result{Outcome: usage.Failed, RetryAt: now.Add(time.Second)}
	desk := usage.Counts{"desk": 2}
	var h *usage.Planner

	// do expects a command and answers it.
	do := func(want usage.Command, a usage.Result) {
		ExpectWithOffset(1, h.Next(now)).To(Equal(want))
		h.HandleResult(now, a)
	}
	report := func(w usage.Window) usage.Report { return usage.Report{Window: w, Counts: desk} }

	BeforeEach(func() {
		h = usage.NewPlanner(rules)
		h.SetTerm(7)
		ledger := usage.NewLedger(rules)
		ledger.Apply(usage.Update{Process: "one", Through: 100, Tallies: []usage.Tally{{Window: 100, Counts: desk}}})
		do(usage.LoadReports{}, usage.Result{Outcome: usage.Done, Reports: []usage.Report{{Window: 99}}})
		h.CloseWindows(now, ledger, nil)
		do(usage.ConfirmTerm{}, done)
		do(usage.SendReport{Report: usage.Report{Window: 99}, Term: 7}, done)
	})

	It("writes a report down before it sends it", func() {
		do(usage.StoreReport{Report: report(100), Term: 7}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, done)
		Expect(h.Next(now)).To(BeNil())
	})

	It("sends what stands, when its own write came too late", func() {
		// A write of an earlier holder was carried out seconds late, just before this one.
		stands := usage.Report{Window: 100, Counts: usage.Counts{"desk": 1}}
		do(usage.StoreReport{Report: report(100), Term: 7}, notDone)
		do(usage.ReadReport{Window: 100}, usage.Result{Outcome: usage.Done, Reports: []usage.Report{stands}})
		do(usage.ConfirmTerm{}, done)
		do(usage.SendReport{Report: stands, Term: 7}, done)
	})

	It("looks for its own write when its answer was lost", func() {
		do(usage.StoreReport{Report: report(100), Term: 7}, failed)
		Expect(h.Next(now)).To(BeNil())
		now := now.Add(time.Second)
		Expect(h.Next(now)).To(Equal(usage.ReadReport{Window: 100}))
	})

	It("resigns when nothing stands and another process has the duty", func() {
		do(usage.StoreReport{Report: report(100), Term: 7}, notDone)
		do(usage.ReadReport{Window: 100}, notDone)
		do(usage.ConfirmTerm{}, notDone)
		Expect(h.ShouldResign()).To(BeTrue())
		Expect(h.Next(now)).To(BeNil())
	})

	It("asks the store again before it sends a report again", func() {
		do(usage.StoreReport{Report: report(100), Term: 7}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, usage.Result{Outcome: usage.Failed, RetryAt: now})
		do(usage.ConfirmTerm{}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, done)
	})

	It("stops when the platform knows a higher token", func() {
		do(usage.StoreReport{Report: report(100), Term: 7}, done)
		do(usage.SendReport{Report: report(100), Term: 7}, usage.Result{Outcome: usage.Outdated})
		Expect(h.ShouldResign()).To(BeTrue())
	})

	It("asks a store that does not answer no more often than it may", func() {
		h.SetTerm(8)
		do(usage.LoadReports{}, failed)
		Expect(h.Next(now)).To(BeNil())
		Expect(h.Next(now.Add(time.Second))).To(Equal(usage.LoadReports{}))
	})

	It("forgets everything with its term", func() {
		h.SetTerm(0)
		Expect(h.Next(now)).To(BeNil())
		h.SetTerm(9)
		Expect(h.Next(now)).To(Equal(usage.LoadReports{}))
	})
})
