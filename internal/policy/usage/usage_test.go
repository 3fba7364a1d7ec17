package usage_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Usage")
}

var rules = usage.Config{WindowLength: 5 * time.Second, DueAfter: 10 * time.Second}

// at returns a moment so long after the beginning of window 100.
func at(d time.Duration) time.Time { return rules.WindowEnd(99).Add(d) }

var _ = Describe("a window", func() {
	It("begins with its multiple of the length since 1970", func() {
		Expect(rules.WindowAt(time.Unix(500, 0))).To(Equal(usage.Window(100)))
		Expect(rules.WindowAt(time.Unix(504, 999_999_999))).To(Equal(usage.Window(100)))
		Expect(rules.WindowEnd(100)).To(Equal(time.Unix(505, 0)))
		Expect(rules.WindowAt(time.Unix(-1, 0))).To(Equal(usage.Window(-1)))
	})
})

var _ = Describe("a meter", func() {
	var m *usage.Meter

	BeforeEach(func() { m = usage.NewMeter(rules, at(0)) })

	It("counts a request in the window in which it began, not in that of its arrival", func() {
		entered := m.Enter(at(4900 * time.Millisecond))
		m.CountStart("desk", at(5100*time.Millisecond))
		m.Leave(entered)
		Expect(m.Since(0)).To(Equal([]usage.Tally{{Window: 101, Counts: usage.Counts{"desk": 1}}}))
	})

	It("holds a window open for a request that may have begun in it", func() {
		// The request is sent in window 100 and answered in 101: a report of 100 that does not
		// wait for it would lack it.
		entered := m.Enter(at(4900 * time.Millisecond))
		Expect(m.FinalThrough(at(5100 * time.Millisecond))).To(Equal(usage.Window(99)))
		m.Leave(entered)
		Expect(m.FinalThrough(at(5200 * time.Millisecond))).To(Equal(usage.Window(100)))
	})

	It("does not take back that a window is final when the clock is set back", func() {
		Expect(m.FinalThrough(at(6 * time.Second))).To(Equal(usage.Window(100)))
		Expect(m.FinalThrough(at(1 * time.Second))).To(Equal(usage.Window(100)))
	})

	It("tells the sums that changed, and all of them to one who knows nothing", func() {
		m.CountStart("desk", at(0))
		m.CountStart("desk", at(6*time.Second))
		m.CountStart("billing", at(6*time.Second))
		before := m.Version()
		m.CountStart("desk", at(6*time.Second))
		Expect(m.Since(before)).To(Equal([]usage.Tally{{Window: 101, Counts: usage.Counts{"desk": 2}}}))
		Expect(m.Since(0)).To(HaveLen(2))
	})

	It("grows a version when a window becomes final, so that idle processes tell it", func() {
		before := m.Version()
		m.FinalThrough(at(6 * time.Second))
		Expect(m.Version()).To(BeNumerically(">", before))
	})

	It("forgets windows that nobody may ask for any more", func() {
		m.CountStart("desk", at(0))
		m.FinalThrough(at(time.Hour))
		Expect(m.Since(0)).To(BeEmpty())
	})
})

var _ = Describe("a ledger", func() {
	one := usage.Source{Process: "one", Boot: at(0).UnixNano()}
	tell := func(l *usage.Ledger, s usage.Source, through usage.Window, n int64) {
		t := usage.Update{Process: s.Process, Boot: s.Boot, Through: through}
		if n > 0 {
			t.Tallies = []usage.Tally{{Window: 100, Counts: usage.Counts{"desk": n}}}
		}
		l.Apply(t)
	}

	It("takes a sum once, however often and in whatever order it is told", func() {
		l := usage.NewLedger(rules)
		for _, n := range []int64{2, 3, 3, 1} {
			tell(l, one, 99, n)
		}
		Expect(l.Sum(100)).To(Equal(usage.Counts{"desk": 3}))
	})

	It("adds up a process's starts, also of one that is gone", func() {
		// A process is killed after it told three requests, starts anew and serves two more:
		// five began.
		l := usage.NewLedger(rules)
		tell(l, one, 99, 3)
		tell(l, usage.Source{Process: "one", Boot: at(2 * time.Second).UnixNano()}, 100, 2)
		Expect(l.Sum(100)).To(Equal(usage.Counts{"desk": 5}))
	})

	It("misses who has not told a window as final, but nobody who started after it", func() {
		l := usage.NewLedger(rules)
		silent := usage.Source{Process: "silent", Boot: at(0).UnixNano()}
		late := usage.Source{Process: "late", Boot: at(7 * time.Second).UnixNano()}
		tell(l, one, 100, 1)
		Expect(l.Missing(100, []usage.Source{one, silent, late})).To(Equal([]string{"silent"}))
		Expect(l.Missing(101, []usage.Source{one, late})).To(Equal([]string{"one", "late"}))
	})

	It("forgets what is old", func() {
		l := usage.NewLedger(rules)
		tell(l, one, 100, 1)
		l.Prune(101, nil)
		Expect(l.Sum(100)).To(BeEmpty())
		Expect(l.Missing(100, []usage.Source{one})).To(Equal([]string{"one"}), "a process that is gone is forgotten whole")
	})
})

var _ = Describe("a book", func() {
	process := usage.Source{Process: "one", Boot: at(0).UnixNano()}
	var ledger *usage.Ledger

	BeforeEach(func() { ledger = usage.NewLedger(rules) })

	through := func(w usage.Window) {
		ledger.Apply(usage.Update{Process: process.Process, Boot: process.Boot, Through: w, Tallies: []usage.Tally{{Window: 100, Counts: usage.Counts{"desk": 2}}}})
	}
	windows := func(due []usage.Report) []usage.Window {
		var list []usage.Window
		for _, r := range due {
			list = append(list, r.Window)
		}
		return list
	}

	It("closes a window once all have told it", func() {
		b := usage.NewReportQueue(rules, at(0), nil)
		through(99)
		Expect(b.CloseWindows(at(5100*time.Millisecond), ledger, []usage.Source{process})).To(BeEmpty())
		through(100)
		closed := b.CloseWindows(at(5200*time.Millisecond), ledger, []usage.Source{process})
		Expect(closed).To(Equal([]usage.ClosedWindow{{Report: usage.Report{Window: 100, Counts: usage.Counts{"desk": 2}}}}))
	})

	It("begins with the first counts that were told, where no report stands", func() {
		// Requests are served before the first holder there ever was has opened its book, a
		// moment after the window ended.
		through(100)
		b := usage.NewReportQueue(rules, at(5100*time.Millisecond), nil)
		closed := b.CloseWindows(at(5100*time.Millisecond), ledger, []usage.Source{process})
		Expect(closed).To(Equal([]usage.ClosedWindow{{Report: usage.Report{Window: 100, Counts: usage.Counts{"desk": 2}}}}))
	})

	It("closes it without one that stays silent while another holder still has time", func() {
		// A process is cut off. To wait for it until the report is due would leave nothing for
		// a next holder, should this one be lost then: a lease of three seconds.
		b := usage.NewReportQueue(rules, at(0), nil)
		Expect(b.CloseWindows(at(10*time.Second), ledger, []usage.Source{process})).To(BeEmpty())
		closed := b.CloseWindows(at(11*time.Second+time.Millisecond), ledger, []usage.Source{process})
		Expect(closed).To(HaveLen(1))
		Expect(closed[0].Missing).To(Equal([]string{"one"}))
		Expect(at(11 * time.Second)).To(BeTemporally("<=", rules.WindowEnd(100).Add(rules.DueAfter-3*time.Second)))
	})

	It("has an earlier holder's report sent again as it stands, and goes on after it", func() {
		b := usage.NewReportQueue(rules, at(7*time.Second), []usage.Report{{Window: 99, Counts: usage.Counts{"desk": 7}}})
		through(100)
		b.CloseWindows(at(7*time.Second), ledger, []usage.Source{process})
		due, _ := b.Due(at(7 * time.Second))
		Expect(windows(due)).To(Equal([]usage.Window{99, 100}))
		Expect(due[0].Counts).To(Equal(usage.Counts{"desk": 7}))
		Expect(b.Stored(99)).To(BeTrue())
		Expect(b.Stored(100)).To(BeFalse())
	})

	It("takes the counts that stand for a window's, whoever wrote them", func() {
		// The write's answer was lost, and an earlier holder's write took effect instead.
		b := usage.NewReportQueue(rules, at(0), nil)
		through(100)
		b.CloseWindows(at(6*time.Second), ledger, []usage.Source{process})
		b.MarkStored(usage.Report{Window: 100, Counts: usage.Counts{"desk": 1}})
		due, _ := b.Due(at(6 * time.Second))
		Expect(due).To(Equal([]usage.Report{{Window: 100, Counts: usage.Counts{"desk": 1}}}))
	})

	It("puts a report off, sends none that was accepted, and gives up what is too late", func() {
		b := usage.NewReportQueue(rules, at(0), nil)
		through(101)
		b.CloseWindows(at(11*time.Second), ledger, []usage.Source{process})
		b.MarkAccepted(101)
		b.Postpone(100, at(12*time.Second))
		due, _ := b.Due(at(11 * time.Second))
		Expect(due).To(BeEmpty())
		due, _ = b.Due(at(12 * time.Second))
		Expect(windows(due)).To(Equal([]usage.Window{100}))
		due, abandoned := b.Due(at(26 * time.Second))
		Expect(due).To(BeEmpty())
		Expect(abandoned).To(Equal([]usage.Window{100}))
	})

	It("says of windows that it cannot report any more, after a long outage, that they are lost", func() {
		b := usage.NewReportQueue(rules, at(60*time.Second), []usage.Report{{Window: 100, Counts: usage.Counts{}}})
		closed := b.CloseWindows(at(60*time.Second), ledger, nil)
		lost := 0
		for _, c := range closed {
			if c.Lost {
				lost++
			}
		}
		Expect(lost).To(BeNumerically(">", 0))
		Expect(lost).To(BeNumerically("<", len(closed)))
	})
})
