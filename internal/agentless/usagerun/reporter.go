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
	// prefixReports is the prefix of the keys of stored reports. Each key ends with the
	// number of the report's window.
	prefixReports = "usage/"
	// checkInterval is how often the holder of the duty checks for windows to close and
	// calls to make.
	checkInterval = 100 * time.Millisecond
	// retryDelay and retryJitter determine the delay before a failed call is repeated.
	retryDelay  = 250 * time.Millisecond
	retryJitter = 250 * time.Millisecond
	// maxLoggedCustomers is the largest number of customers whose counts one log line
	// contains. The line of a window with more customers contains only their sum.
	maxLoggedCustomers = 200
	// maxRemovals limits the old reports that one transaction removes.
	maxRemovals = 16
)

// Verdict is the platform's answer to a report.
type Verdict int

// Possible answers to a report.
const (
	Accepted Verdict = iota
	Outdated         // the platform knows a higher fencing token
	Busy             // the platform did not process the call
)

// Report is a window's report as it is sent to the platform.
type Report struct {
	usage.Report
	Holder string
	Term   int64 // fencing token
}

// Biller sends reports to the platform with a timeout. An error means that the report
// may have been accepted or may still be accepted.
type Biller interface {
	Report(ctx context.Context, r Report) (Verdict, error)
}

// Reporter reports usage while this process holds the duty. It executes the commands of
// a usage.Planner.
type Reporter struct {
	Config   usage.Config
	Self     string
	Ledger   *Ledger
	Members  *cluster.Members
	Leader   *cluster.Leader
	Store    kv.TransactionalStore
	Biller   Biller
	Log      *logrus.Logger
	Registry metrics.Registry

	planner     *usage.Planner
	confirmedAt time.Time // start of the last call that confirmed the term
	storedKeys  []string  // keys of the stored reports, oldest first
}

// Run reports usage until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	r.planner = usage.NewPlanner(r.Config)
	periodic.Run(ctx, checkInterval, func(now time.Time) { r.check(ctx, now) })
	return nil
}

// check closes windows and executes the planner's commands until none is due.
func (r *Reporter) check(ctx context.Context, now time.Time) {
	expected := r.expected()
	r.Ledger.withLock(func(l *usage.Ledger) { l.Prune(r.Config.WindowAt(now)-r.Config.RetainedWindows(), expected) })
	term, leads := r.Leader.Term(now)
	if !leads {
		term = 0
	}
	r.planner.SetTerm(term)
	var closed []usage.ClosedWindow
	r.Ledger.withLock(func(l *usage.Ledger) { closed = r.planner.CloseWindows(now, l, expected) })
	for _, c := range closed {
		r.logClosed(c, now)
	}
	for ctx.Err() == nil {
		command := r.planner.Next(time.Now())
		if command == nil {
			break
		}
		result := r.execute(ctx, command)
		result.RetryAt = time.Now().Add(retryDelay + rand.N(retryJitter))
		r.planner.HandleResult(time.Now(), result)
	}
	for _, w := range r.planner.TakeLost() {
		r.logLost(w, "too late")
	}
	if r.planner.ShouldResign() {
		r.Leader.Resign()
	}
}

// expected returns the processes whose counts a window needs: those that serve callers.
func (r *Reporter) expected() []usage.Source {
	var sources []usage.Source
	for _, m := range r.Members.Live() {
		if !m.Worker {
			sources = append(sources, usage.Source{Process: m.Name, Boot: m.Boot})
		}
	}
	return sources
}

// execute executes one command of the planner.
func (r *Reporter) execute(ctx context.Context, command usage.Command) usage.Result {
	switch c := command.(type) {
	case usage.LoadReports:
		return r.loadReports(ctx)
	case usage.StoreReport:
		return r.storeReport(ctx, c)
	case usage.ReadReport:
		return r.readReport(ctx, c.Window)
	case usage.ConfirmTerm:
		return r.confirmTerm(ctx)
	case usage.SendReport:
		return r.sendReport(ctx, c)
	default:
		return usage.Result{}
	}
}

// loadReports reads the stored reports.
func (r *Reporter) loadReports(ctx context.Context) usage.Result {
	page, err := kv.ReadAll(ctx, r.Store, prefixReports)
	if err != nil {
		return usage.Result{}
	}
	r.storedKeys = nil
	result := usage.Result{Outcome: usage.Done}
	for _, record := range page.Records {
		report, err := decodeReport(record)
		if err != nil {
			events.UsageUnreadable.Log(r.Log, logrus.Fields{"key": record.Key, "error": err.Error()})
			continue
		}
		r.storedKeys = append(r.storedKeys, record.Key)
		result.Reports = append(result.Reports, report)
	}
	return result
}

// storeReport writes a report to the store, unless there is one for the window or this
// process lost the duty. It also removes old reports.
func (r *Reporter) storeReport(ctx context.Context, c usage.StoreReport) usage.Result {
	raw, err := encodeCounts(c.Counts)
	if err != nil {
		events.UsageUnreadable.Log(r.Log, logrus.Fields{"window": c.Window, "error": err.Error()})
		return usage.Result{}
	}
	key, removed := reportKey(c.Window), r.removable(c.Window)
	start := time.Now()
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
	r.confirmedAt = start
	r.storedKeys = append(r.storedKeys[len(removed):], key)
	return usage.Result{Outcome: usage.Done}
}

// removable returns the oldest keys that no process needs once the report of a window
// is stored, at most maxRemovals.
func (r *Reporter) removable(w usage.Window) []string {
	oldest := reportKey(w - r.Config.RetainedWindows())
	n := 0
	for n < min(len(r.storedKeys), maxRemovals) && r.storedKeys[n] < oldest {
		n++
	}
	return r.storedKeys[:n:n]
}

// readReport reads the stored report of a window.
func (r *Reporter) readReport(ctx context.Context, w usage.Window) usage.Result {
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

// confirmTerm asks the store whether this process still holds the duty.
func (r *Reporter) confirmTerm(ctx context.Context) usage.Result {
	start := time.Now()
	_, confirmed := r.Leader.Confirm(ctx)
	_, holds := r.Leader.Term(time.Now())
	switch {
	case confirmed:
		r.confirmedAt = start
		return usage.Result{Outcome: usage.Done}
	case holds:
		return usage.Result{} // the store did not answer, or too late
	default:
		return usage.Result{Outcome: usage.NotDone}
	}
}

// sendReport sends a report to the platform, unless the last confirmation of the term
// is too old.
func (r *Reporter) sendReport(ctx context.Context, c usage.SendReport) usage.Result {
	if !cluster.ConfirmationValid(r.confirmedAt) {
		return usage.Result{}
	}
	verdict, err := r.Biller.Report(ctx, Report{Report: c.Report, Holder: r.Self, Term: c.Term})
	switch {
	case err != nil:
		r.logFailed(c, err.Error())
	case verdict == Accepted:
		r.count("accepted")
		events.UsageReported.Log(r.Log, logrus.Fields{"window": c.Window, "requests": c.Counts.Sum(), "customers": len(c.Counts), "term": c.Term})
		return usage.Result{Outcome: usage.Done}
	case verdict == Outdated:
		r.logFailed(c, "a higher fencing token was seen")
		return usage.Result{Outcome: usage.Outdated}
	default:
		r.logFailed(c, "the platform is busy")
	}
	return usage.Result{}
}

// logFailed logs and counts a report that was not accepted.
func (r *Reporter) logFailed(c usage.SendReport, why string) {
	r.count("failed")
	events.UsageNotReported.Log(r.Log, logrus.Fields{"window": c.Window, "term": c.Term, "error": why})
}

// logLost logs and counts a window that is not reported any more.
func (r *Reporter) logLost(w usage.Window, why string) {
	r.count("lost")
	events.UsageLost.Log(r.Log, logrus.Fields{"window": w, "error": why})
}

// logClosed logs the counts of a closed window.
func (r *Reporter) logClosed(c usage.ClosedWindow, now time.Time) {
	if c.Lost {
		r.logLost(c.Window, "closed too late")
		return
	}
	fields := logrus.Fields{
		"window": c.Window, "requests": c.Counts.Sum(), "customers": len(c.Counts),
		"age_ms": now.Sub(r.Config.WindowEnd(c.Window)).Milliseconds(), "missing": c.Missing,
	}
	if len(c.Counts) <= maxLoggedCustomers {
		fields["counts"] = c.Counts
	}
	events.UsageClosed.Log(r.Log, fields)
}

// count increments the counter of an outcome of reports.
func (r *Reporter) count(what string) {
	metrics.GetOrRegisterCounter("usage.reports."+what, r.Registry).Inc(1)
}

// reportKey returns the key under which a window's report is stored.
func reportKey(w usage.Window) string { return fmt.Sprintf("%s%016d", prefixReports, int64(w)) }

// decodeReport decodes a stored report.
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

// encodeCounts encodes the counts of a report for the store.
func encodeCounts(c usage.Counts) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(c)
	return b.Bytes(), errors.Wrap(err, "usagerun: counts")
}
