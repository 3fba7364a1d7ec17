package usagerun

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/periodic"
	"siskinloom.example/siskinloom/internal/policy/usage"
)

const (
	// prefixReports is the prefix of the reports that were fixed, each under its window.
	prefixReports = "usage/"
	// lookEvery is how often the holder looks for windows to close.
	lookEvery = 100 * time.Millisecond
	// againAfter and againSpread give the pause before a report is sent again.
	againAfter  = 250 * time.Millisecond
	againSpread = 250 * time.Millisecond
	// mostLogged is the most customers whose counts one log line names.
	mostLogged = 200
	// mostRemoved bounds the old reports that one transaction removes.
	mostRemoved = 16
)

// Verdict is the platform's answer to a report.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota
	Outdated         // the platform knows a higher fencing token
	Busy             // the call was not looked at
)

// Report is a window's report as it goes to the platform.
type Report struct {
	usage.Report
	Holder string
	Term   int64 // fencing token
}

// Biller takes reports, and bounds how long that may take. An error means that the report may have been accepted, or may be
// accepted later.
type Biller interface {
	Report(ctx context.Context, r Report) (Verdict, error)
}

// Reporter reports usage while this process holds the duty. It carries out what
// usage.Holder decides.
type Reporter struct {
	Config   usage.Config
	Self     string
	Ledger   *Ledger
	Members  *cluster.Members
	Leader   *cluster.Leader
	Store    kv.Shared
	Biller   Biller
	Log      *logrus.Logger
	Registry metrics.Registry

	holder *usage.Planner
	proved time.Time // when the call began that last proved the term
	stale  []string  // keys of reports in the store, the oldest first
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.holder = usage.NewPlanner(r.Config)
	periodic.Run(ctx, lookEvery, func(now time.Time) { r.look(ctx, now) })
	return nil
}

func (r *Reporter) look(ctx context.Context, now time.Time) {
	expected := r.expected()
	r.Ledger.with(func(l *usage.Ledger) { l.Prune(r.Config.WindowAt(now)-r.Config.RetainedWindows(), expected) })
	term, leads := r.Leader.Term(now)
	if !leads {
		term = 0
	}
	r.holder.SetTerm(term)
	var closed []usage.ClosedWindow
	r.Ledger.with(func(l *usage.Ledger) { closed = r.holder.CloseWindows(now, l, expected) })
	for _, c := range closed {
		r.noteClosed(c, now)
	}
	for ctx.Err() == nil {
		command := r.holder.Next(time.Now())
		if command == nil {
			break
		}
		answer := r.carryOut(ctx, command)
		answer.RetryAt = time.Now().Add(againAfter + rand.N(againSpread))
		r.holder.HandleResult(time.Now(), answer)
	}
	for _, w := range r.holder.TakeLost() {
		r.noteLost(w, "too late")
	}
	if r.holder.ShouldResign() {
		r.Leader.Resign()
	}
}

// expected returns the processes that count: those that serve callers.
func (r *Reporter) expected() []usage.Source {
	var sources []usage.Source
	for _, m := range r.Members.Live() {
		if !m.Worker {
			sources = append(sources, usage.Source{Process: m.Name, Boot: m.Boot})
		}
	}
	return sources
}

func (r *Reporter) carryOut(ctx context.Context, command usage.Command) usage.Result {
	switch c := command.(type) {
	case usage.LoadReports:
		return r.load(ctx)
	case usage.StoreReport:
		return r.fix(ctx, c)
	case usage.ReadReport:
		return r.read(ctx, c.Window)
	case usage.ConfirmTerm:
		return r.confirm(ctx)
	case usage.SendReport:
		return r.send(ctx, c)
	default:
		return usage.Result{}
	}
}

func (r *Reporter) load(ctx context.Context) usage.Result {
	page, err := kv.ReadAll(ctx, r.Store, prefixReports)
	if err != nil {
		return usage.Result{}
	}
	r.stale = nil
	answer := usage.Result{Outcome: usage.Done}
	for _, record := range page.Records {
		report, err := decodeReport(record)
		if err != nil {
			events.UsageUnreadable.Log(r.Log, logrus.Fields{"key": record.Key, "error": err.Error()})
			continue
		}
		r.stale = append(r.stale, record.Key)
		answer.Reports = append(answer.Reports, report)
	}
	return answer
}

func (r *Reporter) fix(ctx context.Context, c usage.StoreReport) usage.Result {
	raw, err := encodeCounts(c.Counts)
	if err != nil {
		events.UsageUnreadable.Log(r.Log, logrus.Fields{"window": c.Window, "error": err.Error()})
		return usage.Result{}
	}
	key, removed := reportKey(c.Window), r.removable(c.Window)
	began := time.Now()
	committed, err := r.Store.Commit(ctx, kv.Transaction{
		Expect: []kv.Expectation{{Key: key}, {Key: r.Leader.Key, Revision: c.Term}},
		Puts:   []kv.Put{{Key: key, Value: raw}},
		Remove: removed,
	})
	switch {
	case err != nil:
		return usage.Result{}
	case !committed.Done:
		return usage.Result{Outcome: usage.NotDone}
	}
	r.proved = began
	r.stale = append(r.stale[len(removed):], key)
	return usage.Result{Outcome: usage.Done}
}

// removable returns the oldest keys that nobody needs once a window is fixed.
func (r *Reporter) removable(w usage.Window) []string {
	oldest := reportKey(w - r.Config.RetainedWindows())
	n := 0
	for n < min(len(r.stale), mostRemoved) && r.stale[n] < oldest {
		n++
	}
	return r.stale[:n:n]
}

func (r *Reporter) read(ctx context.Context, w usage.Window) usage.Result {
	record, err := r.Store.Read(ctx, reportKey(w))
	switch {
	case err != nil:
		return usage.Result{}
	case record.Revision == 0:
		return usage.Result{Outcome: usage.NotDone}
	}
	report, err := decodeReport(record)
	if err != nil {
		events.UsageUnreadable.Log(r.Log, logrus.Fields{"key": record.Key, "error": err.Error()})
		return usage.Result{}
	}
	return usage.Result{Outcome: usage.Done, Reports: []usage.Report{report}}
}

func (r *Reporter) confirm(ctx context.Context) usage.Result {
	began := time.Now()
	_, confirmed := r.Leader.Confirm(ctx)
	_, holds := r.Leader.Term(time.Now())
	switch {
	case confirmed:
		r.proved = began
		return usage.Result{Outcome: usage.Done}
	case holds:
		return usage.Result{} // the store did not answer, or too late
	default:
		return usage.Result{Outcome: usage.NotDone}
	}
}

func (r *Reporter) send(ctx context.Context, c usage.SendReport) usage.Result {
	if !cluster.ConfirmationValid(r.proved) {
		return usage.Result{}
	}
	verdict, err := r.Biller.Report(ctx, Report{Report: c.Report, Holder: r.Self, Term: c.Term})
	switch {
	case err != nil:
		r.failed(c, err.Error())
	case verdict == Accepted:
		r.count("accepted")
		events.UsageReported.Log(r.Log, logrus.Fields{"window": c.Window, "requests": c.Counts.Sum(), "customers": len(c.Counts), "term": c.Term})
		return usage.Result{Outcome: usage.Done}
	case verdict == Outdated:
		r.failed(c, "a higher fencing token was seen")
		return usage.Result{Outcome: usage.Outdated}
	default:
		r.failed(c, "the platform is busy")
	}
	return usage.Result{}
}

func (r *Reporter) failed(c usage.SendReport, why string) {
	r.count("failed")
	events.UsageNotReported.Log(r.Log, logrus.Fields{"window": c.Window, "term": c.Term, "error": why})
}

func (r *Reporter) noteLost(w usage.Window, why string) {
	r.count("lost")
	events.UsageLost.Log(r.Log, logrus.Fields{"window": w, "error": why})
}

// noteClosed says what a window's counts consist of.
func (r *Reporter) noteClosed(c usage.ClosedWindow, now time.Time) {
	if c.Lost {
		r.noteLost(c.Window, "closed too late")
		return
	}
	fields := logrus.Fields{
		"window": c.Window, "requests": c.Counts.Sum(), "customers": len(c.Counts),
		"age_ms": now.Sub(r.Config.WindowEnd(c.Window)).Milliseconds(), "missing": c.Missing,
	}
	if len(c.Counts) <= mostLogged {
		fields["counts"] = c.Counts
	}
	events.UsageClosed.Log(r.Log, fields)
}

func (r *Reporter) count(what string) {
	metrics.GetOrRegisterCounter("usage.reports."+what, r.Registry).Inc(1)
}

func reportKey(w usage.Window) string { return fmt.Sprintf("%s%016d", prefixReports, int64(w)) }

func decodeReport(record kv.Record) (usage.Report, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(record.Key, prefixReports), 10, 64)
	if err != nil {
		return usage.Report{}, errors.Wrap(err, "usagerun: key")
	}
	counts := usage.Counts{}
	if err := gob.NewDecoder(bytes.NewReader(record.Value)).Decode(&counts); err != nil {
		return usage.Report{}, errors.Wrap(err, "usagerun: counts")
	}
	return usage.Report{Window: usage.Window(number), Counts: counts}, nil
}

func encodeCounts(c usage.Counts) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(c)
	return b.Bytes(), errors.Wrap(err, "usagerun: counts")
}
