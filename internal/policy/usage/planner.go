package usage

import "time"

// Command is the next call that the process with the reporting duty makes: LoadReports,
// StoreReport, ReadReport, ConfirmTerm or SendReport. The caller passes the Result to
// Planner.HandleResult before it asks for the next command.
type Command interface{ command() }

// LoadReports reads the reports that earlier holders of the duty stored.
type LoadReports struct{}

// StoreReport writes a window's report to the store, on condition that the store has
// none for the window and that this process still holds the duty there.
type StoreReport struct {
	Report
	Term int64
}

// ReadReport reads a window's report from the store. An earlier write whose answer was
// lost, or one by an earlier holder of the duty, may have taken effect.
type ReadReport struct{ Window Window }

// ConfirmTerm asks the store whether this process still holds the duty.
type ConfirmTerm struct{}

// SendReport sends a report that is in the store to the platform. The caller must drop
// it once the store's last confirmation of the term is too old.
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
	Failed   Outcome = iota // the call had no effect, or its effect is unknown
	Done                    // success; ReadReport: there is a report; SendReport: it was accepted
	NotDone                 // the condition did not hold; ReadReport: there is no report
	Outdated                // SendReport only: the platform knows a higher fencing token
)

// Result is the outcome of a command, with the reports that it read.
type Result struct {
	Outcome Outcome
	Reports []Report  // of LoadReports and ReadReport
	RetryAt time.Time // when a failed call may be retried
}

// Planner decides which calls the process with the reporting duty makes, given that any
// call may fail or take effect late. A window's counts are sent only after they have been
// stored, and they are stored at most once, so that no window is ever reported
// with two different counts. It is not safe for concurrent use.
type Planner struct {
	config        Config
	term          int64
	queue         *ReportQueue    // nil: the stored reports have not been loaded
	pending       Command         // the command that Next returned last
	termConfirmed bool            // the result of the last command confirmed the term
	maybeStored   map[Window]bool // windows whose report may be in the store
	termInDoubt   bool            // this process may have lost the duty
	resign        bool
	backoffUntil  time.Time // no command is due before
	lost          []Window  // windows abandoned since TakeLost was called
}

// NewPlanner returns the planner of a process that does not hold the duty.
func NewPlanner(config Config) *Planner { return &Planner{config: config} }

// SetTerm sets the term in which this process holds the duty, 0 if it does not. A new
// term discards all state of the one before.
func (p *Planner) SetTerm(term int64) {
	if term == p.term {
		return
	}
	*p = Planner{config: p.config, term: term, maybeStored: map[Window]bool{}}
}

// CloseWindows closes and returns the windows that can be closed now. It closes none
// before the stored reports have been loaded.
func (p *Planner) CloseWindows(now time.Time, l *Ledger, expected []Source) []ClosedWindow {
	if p.queue == nil {
		return nil
	}
	return p.queue.CloseWindows(now, l, expected)
}

// Next returns the command to carry out now, or nil if there is none.
func (p *Planner) Next(now time.Time) Command {
	p.pending = p.next(now)
	return p.pending
}

func (p *Planner) next(now time.Time) Command {
	switch {
	case p.term == 0 || p.resign || now.Before(p.backoffUntil):
		return nil
	case p.queue == nil:
		return LoadReports{}
	case p.termInDoubt:
		return ConfirmTerm{}
	}
	due, abandoned := p.queue.Due(now)
	p.lost = append(p.lost, abandoned...)
	if len(due) == 0 {
		p.termConfirmed = false
		return nil
	}
	report := due[0]
	switch {
	case !p.queue.Stored(report.Window) && p.maybeStored[report.Window]:
		return ReadReport{Window: report.Window}
	case !p.queue.Stored(report.Window):
		return StoreReport{Report: report, Term: p.term}
	case !p.termConfirmed:
		return ConfirmTerm{}
	default:
		return SendReport{Report: report, Term: p.term}
	}
}

// TakeLost returns the windows that were abandoned since its last call.
func (p *Planner) TakeLost() []Window {
	lost := p.lost
	p.lost = nil
	return lost
}

// ShouldResign reports whether this process must give up the duty because another one
// holds it.
func (p *Planner) ShouldResign() bool { return p.resign }

// HandleResult processes the result of the last command.
func (p *Planner) HandleResult(now time.Time, r Result) {
	pending := p.pending
	p.pending = nil
	switch c := pending.(type) {
	case LoadReports:
		if r.Outcome == Done {
			p.queue = NewReportQueue(p.config, now, r.Reports)
			return
		}
		p.backoffUntil = r.RetryAt
	case StoreReport:
		p.handleStored(c, r)
	case ReadReport:
		p.handleRead(c, r)
	case ConfirmTerm:
		p.termConfirmed = r.Outcome == Done
		p.resign = r.Outcome == NotDone
		if r.Outcome == Failed {
			p.backoffUntil = r.RetryAt
			return
		}
		p.termInDoubt = false
	case SendReport:
		p.handleSent(c, r)
	}
}

func (p *Planner) handleStored(c StoreReport, r Result) {
	p.termConfirmed = r.Outcome == Done
	if p.termConfirmed {
		p.queue.MarkStored(c.Report)
		return
	}
	p.maybeStored[c.Window] = true
	if r.Outcome == Failed {
		p.queue.Postpone(c.Window, r.RetryAt)
	}
}

func (p *Planner) handleRead(c ReadReport, r Result) {
	switch r.Outcome {
	case Done:
		p.queue.MarkStored(r.Reports[0])
	case NotDone:
		// The write did not take effect, or another process holds the duty.
		delete(p.maybeStored, c.Window)
		p.termInDoubt = true
	default:
		p.queue.Postpone(c.Window, r.RetryAt)
	}
}

func (p *Planner) handleSent(c SendReport, r Result) {
	p.termConfirmed = false
	switch r.Outcome {
	case Done:
		p.queue.MarkAccepted(c.Window)
	case Outdated:
		p.resign = true
	default:
		p.queue.Postpone(c.Window, r.RetryAt)
	}
}
