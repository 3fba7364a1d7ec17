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

var config = usage.Config{WindowLength: 5 * time.Second, DueAfter: 10 * time.Second}

// at returns the time that is d after the start of window 100.
func at(d time.Duration) time.Time { return config.WindowEnd(99).Add(d) }

var _ = Describe("Window", func() {
	It("starts at a multiple of the window length since the Unix epoch", func() {
		Expect(config.WindowAt(time.Unix(500, 0))).To(Equal(usage.Window(100)))
		Expect(config.WindowAt(time.Unix(504, 999_999_999))).To(Equal(usage.Window(100)))
		Expect(config.WindowEnd(100)).To(Equal(time.Unix(505, 0)))
		Expect(config.WindowAt(time.Unix(-1, 0))).To(Equal(usage.Window(-1)))
	})
})

var _ = Describe("Meter", func() {
	var m *usage.Meter

	BeforeEach(func() { m = usage.NewMeter(config, at(0)) })

	It("counts a request in the window of its start, not of its arrival", func() {
		entered := m.Enter(at(4900 * time.Millisecond))
		m.CountStart("desk", at(5100*time.Millisecond))
		m.Leave(entered)
		Expect(m.Since(0)).To(Equal([]usage.Tally{{Window: 101, Counts: usage.Counts{"desk": 1}}}))
	})

	It("keeps a window open for a request that may have started in it", func() {
		// The request arrives in window 100 and is answered in 101. A report of window 100
		// that does not wait for the request may miss it.
		entered := m.Enter(at(4900 * time.Millisecond))
		Expect(m.FinalThrough(at(5100 * time.Millisecond))).To(Equal(usage.Window(99)))
		m.Leave(entered)
		Expect(m.FinalThrough(at(5200 * time.Millisecond))).To(Equal(usage.Window(100)))
	})

	It("keeps a window final when the clock is set back", func() {
		Expect(m.FinalThrough(at(6 * time.Second))).To(Equal(usage.Window(100)))
		Expect(m.FinalThrough(at(1 * time.Second))).To(Equal(usage.Window(100)))
	})

	It("returns the counts that changed since a version, and all of them since 0", func() {
		m.CountStart("desk", at(0))
		m.CountStart("desk", at(6*time.Second))
		m.CountStart("billing", at(6*time.Second))
		before := m.Version()
		m.CountStart("desk", at(6*time.Second))
		Expect(m.Since(before)).To(Equal([]usage.Tally{{Window: 101, Counts: usage.Counts{"desk": 2}}}))
		Expect(m.Since(0)).To(HaveLen(2))
	})

	It("increments the version when a window becomes final, so that idle processes send it", func() {
		before := m.Version()
		m.FinalThrough(at(6 * time.Second))
		Expect(m.Version()).To(BeNumerically(">", before))
	})

	It("drops windows beyond the retained ones", func() {
		m.CountStart("desk", at(0))
		m.FinalThrough(at(time.Hour))
		Expect(m.Since(0)).To(BeEmpty())
	})
})

var _ = Describe("Ledger", func() {
	one := usage.Source{Process: "one", Boot: at(0).UnixNano()}
	send := func(l *usage.Ledger, s usage.Source, through usage.Window, n int64) {
		u := usage.Update{Process: s.Process, Boot: s.Boot, Through: through}
		if n > 0 {
			u.Tallies = []usage.Tally{{Window: 100, Counts: usage.Counts{"desk": n}}}
		}
		l.Apply(u)
	}

	It("counts a cumulative sum once, however often and in whatever order it arrives", func() {
		l := usage.NewLedger(config)
		for _, n := range []int64{2, 3, 3, 1} {
			send(l, one, 99, n)
		}
		Expect(l.Sum(100)).To(Equal(usage.Counts{"desk": 3}))
	})

	It("adds up the runs of a process, including one that has ended", func() {
		// A process is killed after it sent a count of three requests, restarts and serves
		// two more: five have started in total.
		l := usage.NewLedger(config)
		send(l, one, 99, 3)
		send(l, usage.Source{Process: "one", Boot: at(2 * time.Second).UnixNano()}, 100, 2)
		Expect(l.Sum(100)).To(Equal(usage.Counts{"desk": 5}))
	})

	It("misses processes without final counts of a window, but none that started after it", func() {
		l := usage.NewLedger(config)
		silent := usage.Source{Process: "silent", Boot: at(0).UnixNano()}
		late := usage.Source{Process: "late", Boot: at(7 * time.Second).UnixNano()}
		send(l, one, 100, 1)
		Expect(l.Missing(100, []usage.Source{one, silent, late})).To(Equal([]string{"silent"}))
		Expect(l.Missing(101, []usage.Source{one, late})).To(Equal([]string{"one", "late"}))
	})

	It("prunes old windows", func() {
		l := usage.NewLedger(config)
		send(l, one, 100, 1)
		l.Prune(101, nil)
		Expect(l.Sum(100)).To(BeEmpty())
		Expect(l.Missing(100, []usage.Source{one})).To(Equal([]string{"one"}), "a process that has ended is removed")
	})
})

var _ = Describe("ReportQueue", func() {
	process := usage.Source{Process: "one", Boot: at(0).UnixNano()}
	var ledger *usage.Ledger

	BeforeEach(func() { ledger = usage.NewLedger(config) })

	sendThrough := func(w usage.Window) {
		ledger.Apply(usage.Update{Process: process.Process, Boot: process.Boot, Through: w, Tallies: []usage.Tally{{Window: 100, Counts: usage.Counts{"desk": 2}}}})
	}
	windows := func(due []usage.Report) []usage.Window {
		var list []usage.Window
		for _, r := range due {
			list = append(list, r.Window)
		}
		return list
	}

	It("closes a window once all processes have sent their counts", func() {
		q := usage.NewReportQueue(config, at(0), nil)
		sendThrough(99)
		Expect(q.CloseWindows(at(5100*time.Millisecond), ledger, []usage.Source{process})).To(BeEmpty())
		sendThrough(100)
		closed := q.CloseWindows(at(5200*time.Millisecond), ledger, []usage.Source{process})
		Expect(closed).To(Equal([]usage.ClosedWindow{{Report: usage.Report{Window: 100, Counts: usage.Counts{"desk": 2}}}}))
	})

	It("starts at the first window with counts if the store holds no report", func() {
		// Requests are served before the first holder ever creates its queue, just after the
		// window ended.
		sendThrough(100)
		q := usage.NewReportQueue(config, at(5100*time.Millisecond), nil)
		closed := q.CloseWindows(at(5100*time.Millisecond), ledger, []usage.Source{process})
		Expect(closed).To(Equal([]usage.ClosedWindow{{Report: usage.Report{Window: 100, Counts: usage.Counts{"desk": 2}}}}))
	})

	It("closes a window without a silent process while another holder still has time to report", func() {
		// A process is partitioned. If the holder waited for it until the report is due and
		// were lost then, the next holder would have no time left: it needs a lease of three
		// seconds to take over.
		q := usage.NewReportQueue(config, at(0), nil)
		Expect(q.CloseWindows(at(10*time.Second), ledger, []usage.Source{process})).To(BeEmpty())
		closed := q.CloseWindows(at(11*time.Second+time.Millisecond), ledger, []usage.Source{process})
		Expect(closed).To(HaveLen(1))
		Expect(closed[0].Missing).To(Equal([]string{"one"}))
		Expect(at(11 * time.Second)).To(BeTemporally("<=", config.WindowEnd(100).Add(config.DueAfter-3*time.Second)))
	})

	It("sends an earlier holder's report again unchanged and continues after it", func() {
		q := usage.NewReportQueue(config, at(7*time.Second), []usage.Report{{Window: 99, Counts: usage.Counts{"desk": 7}}})
		sendThrough(100)
		q.CloseWindows(at(7*time.Second), ledger, []usage.Source{process})
		due, _ := q.Due(at(7 * time.Second))
		Expect(windows(due)).To(Equal([]usage.Window{99, 100}))
		Expect(due[0].Counts).To(Equal(usage.Counts{"desk": 7}))
		Expect(q.Stored(99)).To(BeTrue())
		Expect(q.Stored(100)).To(BeFalse())
	})

	It("adopts the stored counts of a window, whoever wrote them", func() {
		// The answer to the write was lost, and an earlier holder's write took effect instead.
		q := usage.NewReportQueue(config, at(0), nil)
		sendThrough(100)
		q.CloseWindows(at(6*time.Second), ledger, []usage.Source{process})
		q.MarkStored(usage.Report{Window: 100, Counts: usage.Counts{"desk": 1}})
		due, _ := q.Due(at(6 * time.Second))
		Expect(due).To(Equal([]usage.Report{{Window: 100, Counts: usage.Counts{"desk": 1}}}))
	})

	It("postpones reports, drops accepted ones and abandons those that are too late", func() {
		q := usage.NewReportQueue(config, at(0), nil)
		sendThrough(101)
		q.CloseWindows(at(11*time.Second), ledger, []usage.Source{process})
		q.MarkAccepted(101)
		q.Postpone(100, at(12*time.Second))
		due, _ := q.Due(at(11 * time.Second))
		Expect(due).To(BeEmpty())
		due, _ = q.Due(at(12 * time.Second))
		Expect(windows(due)).To(Equal([]usage.Window{100}))
		due, abandoned := q.Due(at(26 * time.Second))
		Expect(due).To(BeEmpty())
		Expect(abandoned).To(Equal([]usage.Window{100}))
	})

	It("marks windows that are too old to report after a long outage as lost", func() {
		q := usage.NewReportQueue(config, at(60*time.Second), []usage.Report{{Window: 100, Counts: usage.Counts{}}})
		closed := q.CloseWindows(at(60*time.Second), ledger, nil)
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
