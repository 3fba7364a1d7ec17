package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// patienceShare of the time until a report is due passes before a window is closed
	// without the counts of a process that did not tell them. The rest is for another
	// holder, which needs a lease's time to take over.
	patienceShare = 0.6
	// abandonAfter times the time until a report is due passes before it is given up.
	abandonAfter = 2
)

// Book is what the holder of the duty has to report. It is not safe for concurrent use.
type ReportQueue struct {
	rules   Config
	next    Window // the first that is not closed
	reports map[Window]*report
	first   bool // no report stands, and none was closed yet
}

type report struct {
	counts  Counts
	fixed   bool // it stands in the store, and nothing else will ever be told
	notTill time.Time
}

// Report is a window's counts.
type Report struct {
	Window Window
	Counts Counts
}

// NewBook returns the book of a process that takes the duty. Fixed are the reports that
// stand: those that may not have been told are told again.
func NewReportQueue(rules Config, now time.Time, fixed []Report) *ReportQueue {
	b := &ReportQueue{rules: rules, next: rules.WindowAt(now), reports: map[Window]*report{}, first: len(fixed) == 0}
	for i, f := range fixed {
		if i == 0 || f.Window >= b.next {
			b.next = f.Window + 1
		}
		if !b.abandoned(f.Window, now) {
			b.reports[f.Window] = &report{counts: f.Counts, fixed: true}
		}
	}
	b.next = max(b.next, rules.WindowAt(now)-rules.RetainedWindows())
	return b
}

func (b *ReportQueue) abandoned(w Window, now time.Time) bool {
	return now.Sub(b.rules.WindowEnd(w)) > abandonAfter*b.rules.DueAfter
}

// Closing is a window that is closed now.
type ClosedWindow struct {
	Report
	Missing []string // processes whose counts are not final
	Lost    bool     // it is too late to report the window
}

// Close returns the windows that are closed at a moment: all processes have told them,
// or it cannot be waited for longer.
func (b *ReportQueue) CloseWindows(now time.Time, l *Ledger, expected []Source) []ClosedWindow {
	if oldest, found := l.OldestWindow(); found && b.first {
		// The first holder there ever was: requests may have begun before it took the duty.
		b.next = max(min(b.next, oldest), b.rules.WindowAt(now)-b.rules.RetainedWindows())
	}
	var closed []ClosedWindow
	for ; !b.rules.WindowEnd(b.next).After(now); b.next++ {
		missing := l.Missing(b.next, expected)
		patient := now.Sub(b.rules.WindowEnd(b.next)) < time.Duration(patienceShare*float64(b.rules.DueAfter))
		if len(missing) > 0 && patient {
			break
		}
		c := ClosedWindow{Report: Report{Window: b.next, Counts: l.Sum(b.next)}, Missing: missing, Lost: b.abandoned(b.next, now)}
		if !c.Lost {
			b.reports[b.next] = &report{counts: c.Counts}
		}
		closed = append(closed, c)
		b.first = false
	}
	return closed
}

// Due returns the reports to be fixed or told at a moment, the oldest first, and those
// that are given up.
func (b *ReportQueue) Due(now time.Time) (due []Report, abandoned []Window) {
	for _, w := range slices.Sorted(maps.Keys(b.reports)) {
		r := b.reports[w]
		switch {
		case b.abandoned(w, now):
			delete(b.reports, w)
			abandoned = append(abandoned, w)
		case !now.Before(r.notTill):
			due = append(due, Report{Window: w, Counts: r.counts})
		}
	}
	return due, abandoned
}

// Fixed tells whether a window's report stands in the store.
func (b *ReportQueue) Stored(w Window) bool { return b.reports[w] != nil && b.reports[w].fixed }

// Fix notes the report of a window that stands in the store, whoever wrote it.
func (b *ReportQueue) MarkStored(stands Report) {
	if r := b.reports[stands.Window]; r != nil {
		r.counts, r.fixed = stands.Counts, true
	}
}

// Told notes that a window's report was accepted.
func (b *ReportQueue) MarkAccepted(w Window) { delete(b.reports, w) }

// Postpone puts off a window's report.
func (b *ReportQueue) Postpone(w Window, until time.Time) {
	if r := b.reports[w]; r != nil {
		r.notTill = until
	}
}
