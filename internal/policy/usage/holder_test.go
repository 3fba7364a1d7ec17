package usage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

var _ = Describe("the holder of the duty", func() {
	now := at(6 * time.Second)
	done := usage.Answer{Outcome: usage.Done}
	notDone := usage.Answer{Outcome: usage.NotDone}
	failed := usage.Answer{Outcome: usage.Failed, Again: now.Add(time.Second)}
	desk := usage.Counts{"desk": 2}
	var h *usage.Holder

	// do expects a command and answers it.
	do := func(want usage.Command, a usage.Answer) {
		ExpectWithOffset(1, h.Next(now)).To(Equal(want))
		h.Take(now, a)
	}
	report := func(w usage.Window) usage.Report { return usage.Report{Window: w, Counts: desk} }

	BeforeEach(func() {
		h = usage.NewHolder(rules)
		h.Lead(7)
		ledger := usage.NewLedger(rules)
		ledger.Take(usage.Telling{Process: "one", Through: 100, Tallies: []usage.Tally{{Window: 100, Counts: desk}}})
		do(usage.Load{}, usage.Answer{Outcome: usage.Done, Reports: []usage.Report{{Window: 99}}})
		h.Close(now, ledger, nil)
		do(usage.Confirm{}, done)
		do(usage.Send{Report: usage.Report{Window: 99}, Term: 7}, done)
	})

	It("writes a report down before it sends it", func() {
		do(usage.Fix{Report: report(100), Term: 7}, done)
		do(usage.Send{Report: report(100), Term: 7}, done)
		Expect(h.Next(now)).To(BeNil())
	})

	It("sends what stands, when its own write came too late", func() {
		// A write of an earlier holder was carried out seconds late, just before this one.
		stands := usage.Report{Window: 100, Counts: usage.Counts{"desk": 1}}
		do(usage.Fix{Report: report(100), Term: 7}, notDone)
		do(usage.Look{Window: 100}, usage.Answer{Outcome: usage.Done, Reports: []usage.Report{stands}})
		do(usage.Confirm{}, done)
		do(usage.Send{Report: stands, Term: 7}, done)
	})

	It("looks for its own write when its answer was lost", func() {
		do(usage.Fix{Report: report(100), Term: 7}, failed)
		Expect(h.Next(now)).To(BeNil())
		now := now.Add(time.Second)
		Expect(h.Next(now)).To(Equal(usage.Look{Window: 100}))
	})

	It("resigns when nothing stands and another process has the duty", func() {
		do(usage.Fix{Report: report(100), Term: 7}, notDone)
		do(usage.Look{Window: 100}, notDone)
		do(usage.Confirm{}, notDone)
		Expect(h.Resigned()).To(BeTrue())
		Expect(h.Next(now)).To(BeNil())
	})

	It("asks the store again before it sends a report again", func() {
		do(usage.Fix{Report: report(100), Term: 7}, done)
		do(usage.Send{Report: report(100), Term: 7}, usage.Answer{Outcome: usage.Failed, Again: now})
		do(usage.Confirm{}, done)
		do(usage.Send{Report: report(100), Term: 7}, done)
	})

	It("stops when the platform knows a higher token", func() {
		do(usage.Fix{Report: report(100), Term: 7}, done)
		do(usage.Send{Report: report(100), Term: 7}, usage.Answer{Outcome: usage.Outdated})
		Expect(h.Resigned()).To(BeTrue())
	})

	It("asks a store that does not answer no more often than it may", func() {
		h.Lead(8)
		do(usage.Load{}, failed)
		Expect(h.Next(now)).To(BeNil())
		Expect(h.Next(now.Add(time.Second))).To(Equal(usage.Load{}))
	})

	It("forgets everything with its term", func() {
		h.Lead(0)
		Expect(h.Next(now)).To(BeNil())
		h.Lead(9)
		Expect(h.Next(now)).To(Equal(usage.Load{}))
	})
})
