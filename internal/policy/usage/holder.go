package usage

import "time"

// Command is what the holder of the duty does next: one of Load, Fix, Look, Confirm and
// Send. Its Answer is told to the Holder before the next one is asked for.
type Command interface{ command() }

// Load reads the reports that earlier holders fixed.
type LoadReports struct{}

// Fix writes a window's report to the store, if none stands there and the store still
// says that this process holds the duty.
type StoreReport struct {
	Report
	Term int64
}

// Look reads a window's report from the store: an earlier write whose answer was lost, or
// an earlier holder's, may have taken effect.
type ReadReport struct{ Window Window }

// Confirm asks the store whether this process still holds the duty.
type ConfirmTerm struct{}

// Send sends a report that stands in the store. It must not be carried out later than the
// word of the store that it follows allows.
type SendReport struct {
	Report
	Term int64 // fencing token
}

func (LoadReports) command() {}
func (StoreReport) command() {}
func (ReadReport) command()  {}
func (ConfirmTerm) command() {}
func (SendReport) command()  {}

// Outcome is how a command ended.
type Outcome int

// The outcomes.
const (
	Failed   Outcome = iota // nothing was done, or what was done is not known
	Done                    // done; with Look: a report stands; with Send: it was accepted
	NotDone                 // the condition did not hold; with Look: no report stands
	Outdated                // of Send: the platform knows a higher fencing token
)

// Answer is how a command ended, with what it read.
type Result struct {
	Outcome Outcome
	Reports []Report  // of Load and Look
	RetryAt time.Time // when what failed may be tried again
}

// Holder decides what the holder of the duty does, whichever calls fail or take effect
// late. A window's counts are sent only once they stand in the store, where they are
// written at most once, so that they are never told in two ways. It is not safe for
// concurrent use.
type Planner struct {
	rules  Config
	term   int64
	book   *ReportQueue // nil: not loaded
	asked  Command
	proved bool            // the store said just now that the term stands
	look   map[Window]bool // windows whose report may stand
	doubt  bool            // the term may not stand
	resign bool
	until  time.Time // nothing is done before
	lost   []Window
}

// NewHolder returns a holder without the duty.
func NewPlanner(rules Config) *Planner { return &Planner{rules: rules} }

// Lead notes under which term this process holds the duty; 0: it does not.
func (h *Planner) SetTerm(term int64) {
	if term == h.term {
		return
	}
	*h = Planner{rules: h.rules, term: term, look: map[Window]bool{}}
}

// Close returns the windows that are closed at a moment.
func (h *Planner) CloseWindows(now time.Time, l *Ledger, expected []Source) []ClosedWindow {
	if h.book == nil {
		return nil
	}
	return h.book.CloseWindows(now, l, expected)
}

// Next returns what is to be done at a moment, nil for nothing.
func (h *Planner) Next(now time.Time) Command {
	h.asked = h.next(now)
	return h.asked
}

func (h *Planner) next(now time.Time) Command {
	switch {
	case h.term == 0 || h.resign || now.Before(h.until):
		return nil
	case h.book == nil:
		return LoadReports{}
	case h.doubt:
		return ConfirmTerm{}
	}
	due, abandoned := h.book.Due(now)
	h.lost = append(h.lost, abandoned...)
	if len(due) == 0 {
		h.proved = false
		return nil
	}
	report := due[0]
	switch {
	case !h.book.Stored(report.Window) && h.look[report.Window]:
		return ReadReport{Window: report.Window}
	case !h.book.Stored(report.Window):
		return StoreReport{Report: report, Term: h.term}
	case !h.proved:
		return ConfirmTerm{}
	default:
		return SendReport{Report: report, Term: h.term}
	}
}

// Lost returns the windows that were given up since it was last asked.
func (h *Planner) TakeLost() []Window {
	lost := h.lost
	h.lost = nil
	return lost
}

// Resigned tells whether another process holds the duty.
func (h *Planner) ShouldResign() bool { return h.resign }

// Take takes in the answer to the last command.
func (h *Planner) HandleResult(now time.Time, a Result) {
	asked := h.asked
	h.asked = nil
	switch c := asked.(type) {
	case LoadReports:
		if a.Outcome == Done {
			h.book = NewReportQueue(h.rules, now, a.Reports)
			return
		}
		h.until = a.RetryAt
	case StoreReport:
		h.fixed(c, a)
	case ReadReport:
		h.looked(c, a)
	case ConfirmTerm:
		h.proved = a.Outcome == Done
		h.resign = a.Outcome == NotDone
		if a.Outcome == Failed {
			h.until = a.RetryAt
			return
		}
		h.doubt = false
	case SendReport:
		h.sent(c, a)
	}
}

func (h *Planner) fixed(c StoreReport, a Result) {
	h.proved = a.Outcome == Done
	if h.proved {
		h.book.MarkStored(c.Report)
		return
	}
	h.look[c.Window] = true
	if a.Outcome == Failed {
		h.book.Postpone(c.Window, a.RetryAt)
	}
}

func (h *Planner) looked(c ReadReport, a Result) {
	switch a.Outcome {
	case Done:
		h.book.MarkStored(a.Reports[0])
	case NotDone:
		// The write did not take effect, or the duty is another's.
		delete(h.look, c.Window)
		h.doubt = true
	default:
		h.book.Postpone(c.Window, a.RetryAt)
	}
}

func (h *Planner) sent(c SendReport, a Result) {
	h.proved = false
	switch a.Outcome {
	case Done:
		h.book.MarkAccepted(c.Window)
	case Outdated:
		h.resign = true
	default:
		h.book.Postpone(c.Window, a.RetryAt)
	}
}
