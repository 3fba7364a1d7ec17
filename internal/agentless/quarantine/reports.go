package quarantine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// reportTTL is the age after which reports are removed from the store. A quarantine ends
	// before.
	reportTTL = time.Hour
	// maxReports limits the reports in the store; the oldest are removed first.
	maxReports = 512
	// maxPathBytes limits the path in a report.
	maxPathBytes = 200
	// writeInterval is the least mean time between the writes of a process, so that the crash of
	// many endpoints costs few calls.
	writeInterval = 250 * time.Millisecond
	// writeBurst is how many writes a process may make at once after a pause. One request can end
	// two endpoints of a service of three within milliseconds; other processes must know of both
	// before they send a copy of it to the last one.
	writeBurst = 3
	// maxClockSkew is by how much the time in a report may be ahead without a log line.
	maxClockSkew = time.Second
	// maxRetryDelay bounds the delay before a failed write is repeated. In an outage every process
	// of a large fleet may have something to write.
	maxRetryDelay = 5 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
	// lateReport is the age from which the write of a report is logged. Others are written within
	// milliseconds, or some hundred of them after several writes in a row.
	lateReport = time.Second
	// learnedLineInterval and learnedLineBurst limit the log lines about reports of other processes.
	learnedLineInterval = time.Second
	learnedLineBurst    = 20
)

// Report says that an endpoint ended while it ran a request. encoding/gob stores it in the
// store.
type Report struct {
	Fingerprint uint64 // of the request's content
	Method      string
	Host        string
	Path        string // cut off after maxPathBytes
	Service     string
	Endpoint    string // ID
	// StartedAtMillis tells the incarnations of the endpoint apart.
	StartedAtMillis int64
	Reporter        string // process that lost the connection
	UnixMilli       int64  // when it lost the connection
}

func newReport(self string, lost lostRequest) Report {
	r := lost.request
	return Report{
		Fingerprint: r.Fingerprint, Method: r.Method, Host: r.Host, Path: r.Path[:min(len(r.Path), maxPathBytes)],
		Service: lost.endpoint.Service, Endpoint: lost.endpoint.ID, StartedAtMillis: lost.endpoint.StartedAtMillis, Reporter: self, UnixMilli: lost.at.UnixMilli(),
	}
}

// key returns the key of the report. Processes that ran the same content at the endpoint when it
// ended write the same key, so that the end counts once.
func (r *Report) key() string {
	return keyPrefix(r.Fingerprint) + poison.FormatFingerprint(xxhash.Sum64String(r.Endpoint+"/"+strconv.FormatInt(r.StartedAtMillis, 10)))
}

// keyPrefix returns the prefix of the keys of all reports about a request.
func keyPrefix(fingerprint uint64) string {
	return cluster.CrashPrefix + poison.FormatFingerprint(fingerprint) + "/"
}

// fingerprintOf returns the fingerprint of the request that a report with the key is about.
func fingerprintOf(key string) (uint64, error) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, cluster.CrashPrefix), "/")
	fingerprint, err := poison.ParseFingerprint(digits)
	return fingerprint, errors.Wrapf(err, "quarantine: key %q", key)
}

func (r *Report) at() time.Time { return time.UnixMilli(r.UnixMilli) }

// suspicion returns the report as the registry has it. Nobody knows what else ran at the end of
// an endpoint that many processes share.
func (r *Report) suspicion() wire.Suspicion {
	return wire.Suspicion{Fingerprint: r.Fingerprint, Endpoint: r.Endpoint, Crash: r.StartedAtMillis, UnixMilli: r.UnixMilli}
}

// encode returns the report as the store has it.
func (r *Report) encode() ([]byte, error) {
	var raw bytes.Buffer
	err := gob.NewEncoder(&raw).Encode(r)
	return raw.Bytes(), errors.Wrap(err, "quarantine: report")
}

func decodeReport(raw []byte) (Report, error) {
	var r Report
	err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&r)
	return r, errors.Wrap(err, "quarantine: report")
}

// Changed applies a report that the store has.
func (q *Quarantine) Changed(record kv.Record) {
	r, err := decodeReport(record.Value)
	if err != nil {
		events.FleetRecordUnreadable.Log(q.log, logrus.Fields{"key": record.Key, "error": err.Error()})
		return
	}
	q.limitTime(time.Now(), record.Key, &r)
	q.mu.Lock()
	defer q.mu.Unlock()
	if known := q.reports[r.Fingerprint][record.Key]; known != nil {
		known.state = max(known.state, stored)
		return
	}
	q.logLearned(&r, "store")
	q.add(record.Key, &knownReport{Report: r, state: stored})
}

// logLearned logs a report of another process, with its age and where it came from. Reports that a
// process finds at its start, or after many ends at once, are not all logged.
func (q *Quarantine) logLearned(r *Report, from string) {
	if !q.learnedLines.Allow() {
		return
	}
	events.EndLearned.Log(q.log, logrus.Fields{
		"fingerprint": poison.FormatFingerprint(r.Fingerprint), "endpoint": r.Endpoint, "reporter": r.Reporter,
		"from": from, "age_ms": time.Since(r.at()).Milliseconds(),
	})
}

// limitTime replaces a time in the future by now. A suspicion would last, and a caller would wait
// for further reports, until that time has passed.
func (q *Quarantine) limitTime(now time.Time, key string, r *Report) {
	ahead := r.at().Sub(now)
	if ahead <= 0 {
		return
	}
	if ahead > maxClockSkew {
		events.FleetRecordUnreadable.Log(q.log, logrus.Fields{"key": key, "error": fmt.Sprintf("quarantine: report of %s: UnixMilli is %v ahead", r.Reporter, ahead)})
	}
	r.UnixMilli = now.UnixMilli()
}

// Deleted applies the removal of a report from the store.
func (q *Quarantine) Deleted(key string) {
	fingerprint, err := fingerprintOf(key)
	if err != nil {
		return // Changed has logged the record
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.Feed != nil {
		q.Feed.Forget(time.Now(), key)
	}
	r := q.reports[fingerprint][key]
	if r == nil {
		return
	}
	q.remove(fingerprint, key)
	if r.state < withdrawn {
		q.withdraw(r, "reports removed from the store")
	}
}

// newWriteLimiter returns the limit of the writes of one process.
func newWriteLimiter() *rate.Limiter { return rate.NewLimiter(rate.Every(writeInterval), writeBurst) }

// Run writes this process's reports and removals to the store until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	limiter := newWriteLimiter()
	delay := q.minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.wake:
		}
		if limiter.Wait(ctx) != nil {
			return nil // ctx has ended
		}
		more, err := q.write(ctx)
		if more {
			q.notify()
		}
		q.writeFailed.Store(err != nil)
		if err == nil {
			delay = q.minRetryDelay
			continue
		}
		delay = min(2*delay, q.maxRetryDelay)
		q.awaitRetry(ctx, delay/2+rand.N(delay/2))
	}
}

// awaitRetry pauses after a failed write, until the store answers again or the delay has passed.
func (q *Quarantine) awaitRetry(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-q.storeAnswers:
	case <-timer.C:
	}
}

// StoreAnswers records that the store answers again. A write that failed is repeated at once: other
// processes would send a request to further endpoints until they have the reports.
func (q *Quarantine) StoreAnswers() {
	if !q.writeFailed.Load() {
		return
	}
	select {
	case q.storeAnswers <- struct{}{}:
	default:
	}
}

// HasUnwritten reports whether reports wait for the store.
func (q *Quarantine) HasUnwritten() bool { return q.writeFailed.Load() }

// write makes one call with what is to be written, and reports whether something is left. A call
// that failed may be repeated: the key of a report is used for nothing else.
func (q *Quarantine) write(ctx context.Context) (more bool, err error) {
	puts, removals, more := q.batch(time.Now())
	if len(puts)+len(removals) == 0 {
		return false, nil
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := q.store.Commit(limited, kv.Transaction{Puts: puts, Remove: removals}); err != nil {
		events.CrashNotReported.Log(q.log, logrus.Fields{"reports": len(puts), "removals": len(removals), "error": err.Error()})
		return true, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	oldest := time.Duration(0)
	for _, put := range puts {
		if r := q.byKey(put.Key); r != nil {
			r.state = max(r.state, stored)
			oldest = max(oldest, time.Since(r.at()))
		}
	}
	if oldest > lateReport {
		events.CrashReported.Log(q.log, logrus.Fields{"reports": len(puts), "oldest_ms": oldest.Milliseconds()})
	}
	for _, key := range removals {
		if r := q.byKey(key); r != nil {
			r.state = removed
		}
	}
	return more, nil
}

// byKey returns the report with a key, or nil. mu must be held.
func (q *Quarantine) byKey(key string) *knownReport {
	fingerprint, err := fingerprintOf(key)
	if err != nil {
		return nil
	}
	return q.reports[fingerprint][key]
}

// batch returns the reports and the removals of the next call, and whether others remain.
func (q *Quarantine) batch(now time.Time) (puts []kv.Put, removals []string, more bool) {
	const half = kv.MaxTransactionEntries / 2
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forgetUnstored(now)
	var kept []*knownReport
	for _, set := range q.reports {
		for key, r := range set {
			switch {
			case r.state == withdrawn:
				removals = append(removals, key)
			case r.state == stored:
				kept = append(kept, r)
			case r.state == unsent && len(puts) == half:
				more = true
			case r.state == unsent:
				puts = q.appendPut(puts, key, r)
			}
		}
	}
	if len(puts) > 0 {
		for _, r := range outdated(now, kept, maxReports-len(puts)) {
			q.withdraw(r, "report is too old, or there are too many")
			removals = append(removals, r.key())
		}
	}
	if len(removals) > half {
		removals, more = removals[:half], true
	}
	return puts, removals, more
}

// forgetUnstored forgets old reports whose removal from the store won't be heard of, as the store
// may never have had them. mu must be held.
func (q *Quarantine) forgetUnstored(now time.Time) {
	for fingerprint, set := range q.reports {
		for key, r := range set {
			if r.state != learned && r.state != removed || now.Sub(r.at()) <= reportTTL {
				continue
			}
			if r.state == learned {
				q.withdraw(r, "report is too old")
			}
			q.remove(fingerprint, key)
		}
	}
}

// appendPut appends the put of a report. mu must be held.
func (q *Quarantine) appendPut(puts []kv.Put, key string, r *knownReport) []kv.Put {
	raw, err := r.encode()
	if err != nil {
		r.state = stored // another try would fail as well
		events.CrashNotReported.Log(q.log, logrus.Fields{"endpoint": r.Endpoint, "error": err.Error()})
		return puts
	}
	return append(puts, kv.Put{Key: key, Value: raw})
}

// outdated returns the reports that are older than reportTTL, and the oldest ones beyond limit.
func outdated(now time.Time, reports []*knownReport, limit int) []*knownReport {
	slices.SortFunc(reports, func(a, b *knownReport) int { return cmp.Compare(a.UnixMilli, b.UnixMilli) })
	n := max(0, len(reports)-limit)
	for n < len(reports) && now.Sub(reports[n].at()) > reportTTL {
		n++
	}
	return reports[:n]
}
