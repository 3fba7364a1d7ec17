package usage

import "time"

// Command is what the holder of the duty does next: one of Load, Fix, Look, Confirm and
// Send. Its Answer is told to the Holder before the next one is asked for.
type Command interface{ command() }

// Load reads the reports that earlier holders fixed.
type Load struct{}

// Fix writes a window's report to the store, if none stands there and the store still
// says that this process holds the duty.
type Fix struct {
	Report
	Term int64
}

// Look reads a window's report from the store: an earlier write whose answer was lost, or
// an earlier holder's, may have taken effect.
type Look struct{ Window Window }

// Confirm asks the store whether this process still holds the duty.
type Confirm struct{}

// Send sends a report that stands in the store. It must not be carried out later than the
// word of the store that it follows allows.
type Send struct {
	Report
	Term int64 // fencing token
}

func (Load) command()    {}
func (Fix) command()     {}
func (Look) command()    {}
func (Confirm) command() {}
func (Send) command()    {}

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
type Answer struct {
	Outcome Outcome
	Reports []Report  // of Load and Look
	Again   time.Time // when what failed may be tried again
}

// Holder decides what the holder of the duty does, whichever calls fail or take effect
// late. A window's counts are sent only once they stand in the store, where they are
// written at most once, so that they are never told in two ways. It is not safe for
// concurrent use.
type Holder struct {
	rules  Rules
	term   int64
	book   *Book // nil: not loaded
	asked  Command
	proved bool            // the store said just now that the term stands
	look   map[Window]bool // windows whose report may stand
	doubt  bool            // the term may not stand
	resign bool
	until  time.Time // nothing is done before
	lost   []Window
}

// NewHolder returns a holder without the duty.
func NewHolder(rules Rules) *Holder { return &Holder{rules: rules} }

// Lead notes under which term this process holds the duty; 0: it does not.
func (h *Holder) Lead(term int64) {
	if term == h.term {
		return
	}
	*h = Holder{rules: h.rules, term: term, look: map[Window]bool{}}
}

// Close returns the windows that are closed at a moment.
func (h *Holder) Close(now time.Time, l *Ledger, expected []Source) []Closing {
	if h.book == nil {
		return nil
	}
	return h.book.Close(now, l, expected)
}

// Next returns what is to be done at a moment, nil for nothing.
func (h *Holder) Next(now time.Time) Command {
	h.asked = h.next(now)
	return h.asked
}

func (h *Holder) next(now time.Time) Command {
	switch {
	case h.term == 0 || h.resign || now.Before(h.until):
		return nil
	case h.book == nil:
		return Load{}
	case h.doubt:
		return Confirm{}
	}
	due, abandoned := h.book.Due(now)
	h.lost = append(h.lost, abandoned...)
	if len(due) == 0 {
		h.proved = false
		return nil
	}
	report := due[0]
	switch {
	case !h.book.Fixed(report.Window) && h.look[report.Window]:
		return Look{Window: report.Window}
	case !h.book.Fixed(report.Window):
		return Fix{Report: report, Term: h.term}
	case !h.proved:
		return Confirm{}
	default:
		return Send{Report: report, Term: h.term}
	}
}

// Lost returns the windows that were given up since it was last asked.
func (h *Holder) Lost() []Window {
	lost := h.lost
	h.lost = nil
	return lost
}

// Resigned tells whether another process holds the duty.
func (h *Holder) Resigned() bool { return h.resign }

// Take takes in the answer to the last command.
func (h *Holder) Take(now time.Time, a Answer) {
	asked := h.asked
	h.asked = nil
	switch c := asked.(type) {
	case Load:
		if a.Outcome == Done {
			h.book = NewBook(h.rules, now, a.Reports)
			return
		}
		h.until = a.Again
	case Fix:
		h.fixed(c, a)
	case Look:
		h.looked(c, a)
	case Confirm:
		h.proved = a.Outcome == Done
		h.resign = a.Outcome == NotDone
		if a.Outcome == Failed {
			h.until = a.Again
			return
		}
		h.doubt = false
	case Send:
		h.sent(c, a)
	}
}

func (h *Holder) fixed(c Fix, a Answer) {
	h.proved = a.Outcome == Done
	if h.proved {
		h.book.Fix(c.Report)
		return
	}
	h.look[c.Window] = true
	if a.Outcome == Failed {
		h.book.Postpone(c.Window, a.Again)
	}
}

func (h *Holder) looked(c Look, a Answer) {
	switch a.Outcome {
	case Done:
		h.book.Fix(a.Reports[0])
	case NotDone:
		// The write did not take effect, or the duty is another's.
		delete(h.look, c.Window)
		h.doubt = true
	default:
		h.book.Postpone(c.Window, a.Again)
	}
}

func (h *Holder) sent(c Send, a Answer) {
	h.proved = false
	switch a.Outcome {
	case Done:
		h.book.Told(c.Window)
	case Outdated:
		h.resign = true
	default:
		h.book.Postpone(c.Window, a.Again)
	}
}
