package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// closeTimeoutShare is the share of DueAfter after which a window is closed without
	// the counts of the processes that have not sent theirs. The rest is left for another
	// process to take over the duty, which takes the TTL of a lease.
	closeTimeoutShare = 0.6
	// abandonFactor is the multiple of DueAfter after which a report is abandoned.
	abandonFactor = 2
)

// ReportQueue holds the windows that the process with the reporting duty has to close
// and the reports that the platform has not accepted yet. It is not safe for concurrent
// use.
type ReportQueue struct {
	config  Config
	next    Window // the first window that is not closed
	reports map[Window]*report
	first   bool // the store holds no report, and no window was closed yet
}

type report struct {
	counts    Counts
	stored    bool // the report is in the store, so its counts never change again
	notBefore time.Time
}

// Report holds the counts of one window.
type Report struct {
	Window Window
	Counts Counts
}

// NewReportQueue returns the queue of a process that takes the duty. The reports in the
// store are passed in window order; those that the platform may not have accepted are
// sent again.
func NewReportQueue(config Config, now time.Time, stored []Report) *ReportQueue {
	q := &ReportQueue{config: config, next: config.WindowAt(now), reports: map[Window]*report{}, first: len(stored) == 0}
	for i, s := range stored {
		if i == 0 || s.Window >= q.next {
			q.next = s.Window + 1
		}
		if !q.abandoned(s.Window, now) {
			q.reports[s.Window] = &report{counts: s.Counts, stored: true}
		}
	}
	q.next = max(q.next, config.WindowAt(now)-config.RetainedWindows())
	return q
}

// abandoned reports whether it is too late to report a window.
func (q *ReportQueue) abandoned(w Window, now time.Time) bool {
	return now.Sub(q.config.WindowEnd(w)) > abandonFactor*q.config.DueAfter
}

// ClosedWindow is a window that has just been closed.
type ClosedWindow struct {
	Report
	Missing []string // processes that did not send their final counts
	Lost    bool     // it is too late to report the window
}

// CloseWindows closes and returns the windows for which all expected processes have sent
// their final counts or the wait for them has timed out.
func (q *ReportQueue) CloseWindows(now time.Time, l *Ledger, expected []Source) []ClosedWindow {
	if oldest, found := l.OldestWindow(); found && q.first {
		// This is the first holder of the duty ever: requests may have started before it took
		// the duty.
		q.next = max(min(q.next, oldest), q.config.WindowAt(now)-q.config.RetainedWindows())
	}
	var closed []ClosedWindow
	for ; !q.config.WindowEnd(q.next).After(now); q.next++ {
		missing := l.Missing(q.next, expected)
		canWait := now.Sub(q.config.WindowEnd(q.next)) < time.Duration(closeTimeoutShare*float64(q.config.DueAfter))
		if len(missing) > 0 && canWait {
			break
		}
		c := ClosedWindow{Report: Report{Window: q.next, Counts: l.Sum(q.next)}, Missing: missing, Lost: q.abandoned(q.next, now)}
		if !c.Lost {
			q.reports[q.next] = &report{counts: c.Counts}
		}
		closed = append(closed, c)
		q.first = false
	}
	return closed
}

// Due returns the reports to store or send now, oldest first, and removes and returns
// the windows whose reports are abandoned.
func (q *ReportQueue) Due(now time.Time) (due []Report, abandoned []Window) {
	for _, w := range slices.Sorted(maps.Keys(q.reports)) {
		r := q.reports[w]
		switch {
		case q.abandoned(w, now):
			delete(q.reports, w)
			abandoned = append(abandoned, w)
		case !now.Before(r.notBefore):
			due = append(due, Report{Window: w, Counts: r.counts})
		}
	}
	return due, abandoned
}

// Stored reports whether a window's report is in the store.
func (q *ReportQueue) Stored(w Window) bool { return q.reports[w] != nil && q.reports[w].stored }

// MarkStored records the report that the store holds for a window. Its counts replace
// the queued ones, since another process may have written it.
func (q *ReportQueue) MarkStored(s Report) {
	if r := q.reports[s.Window]; r != nil {
		r.counts, r.stored = s.Counts, true
	}
}

// MarkAccepted removes a window's report, which the platform accepted.
func (q *ReportQueue) MarkAccepted(w Window) { delete(q.reports, w) }

// Postpone delays a window's report until a time.
func (q *ReportQueue) Postpone(w Window, until time.Time) {
	if r := q.reports[w]; r != nil {
		r.notBefore = until
	}
}
