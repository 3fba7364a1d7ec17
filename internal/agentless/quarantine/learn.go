package quarantine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/crashfeed"
)

// Entry is the state of a report as processes send it to each other.
type Entry = crashfeed.Entry[Report]

// Feed passes reports to other processes without the store. Its methods must not block.
type Feed interface {
	// Announce passes on a report of this process, or that one no longer counts.
	Announce(Entry)
	// Forget records that a report was removed from the store, from which all processes learn it.
	Forget(now time.Time, key string)
}

// Limits of the fields of a report that another process sends.
const (
	maxNameBytes = 255 // of a host, service, endpoint or process
	maxMethod    = 32
)

// maxTimeAhead is by how much the clock of the reporter may be ahead. Reports of earlier ends make room
// for those of later ones, so that a time far ahead would displace others for long.
const maxTimeAhead = time.Minute

// Errors of Learn.
var (
	errUnlisted   = errors.New("quarantine: the process that withdraws a report is not listed")
	errUnproven   = errors.New("quarantine: the process is not listed, and the endpoint is not found to have ended")
	errReportKey  = errors.New("quarantine: the key is not that of the report")
	errReportSize = errors.New("quarantine: a field of the report is too long")
	errReportTime = errors.New("quarantine: the time of the report is too long ago, too far ahead or not that of its entry")
	errIncomplete = errors.New("quarantine: the report lacks its endpoint, service or reporter")
)

// Learn applies an entry that the process from sent. listed says whether that process is registered.
// The report of another one counts only if the endpoint is found to have ended: a wrong report would
// keep a harmless request from running. An error says why the entry is not used.
func (q *Quarantine) Learn(from string, listed bool, e Entry) error {
	now := time.Now()
	switch at := time.UnixMilli(e.At); {
	case at.Sub(now) > maxTimeAhead || now.Sub(at) > reportTTL:
		return errReportTime
	case e.Withdrawn && !listed:
		return errUnlisted
	case e.Withdrawn:
		return q.learnWithdrawal(e.Key)
	}
	r := e.Report
	if err := r.check(e); err != nil {
		return err
	}
	q.limitTime(now, e.Key, &r)
	if !listed && !q.isKnown(e.Key, &r) && !q.foundEnded(&r) {
		return errUnproven
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reports[r.Fingerprint][e.Key] != nil {
		return nil
	}
	q.logLearned(&r, from)
	q.add(e.Key, &knownReport{Report: r, state: learned})
	return nil
}

// check returns an error if the report in an entry can't be used.
func (r *Report) check(e Entry) error {
	switch {
	case r.Endpoint == "" || r.Service == "" || r.Reporter == "":
		return errIncomplete
	case max(len(r.Endpoint), len(r.Service), len(r.Reporter), len(r.Host)) > maxNameBytes, len(r.Method) > maxMethod, len(r.Path) > maxPathBytes:
		return errReportSize
	case e.Key != r.key():
		return errReportKey
	case e.At != r.UnixMilli:
		return errReportTime
	}
	return nil
}

// learnWithdrawal withdraws a report, as the process that got the request answered does. That one
// removes it from the store; its reporter does so, too, since its write may be under way.
func (q *Quarantine) learnWithdrawal(key string) error {
	fingerprint, err := fingerprintOf(key)
	if err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.reports[fingerprint][key]
	if r == nil || r.state >= withdrawn {
		return nil
	}
	q.withdraw(r, "answered through another process")
	if r.Reporter == q.self {
		q.notify()
	} else {
		r.state = removed
	}
	return nil
}

// isKnown reports whether this process has the report.
func (q *Quarantine) isKnown(key string, r *Report) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reports[r.Fingerprint][key] != nil
}

// foundEnded reports whether the endpoint of a report is listed here with the same start, and known
// or found to have ended.
func (q *Quarantine) foundEnded(r *Report) bool {
	if q.Directory == nil {
		return false
	}
	for _, e := range q.Directory.List(r.Service) {
		if e.ID != r.Endpoint || e.StartedAtMillis != r.StartedAtMillis {
			continue
		}
		q.mu.Lock()
		down := q.fleet.isDown(time.Now(), &e.Endpoint)
		q.mu.Unlock()
		if down {
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return q.prober.RefusesConnections(ctx, e.Address)
	}
	return false
}

// announce passes a report of this process on, or that a report no longer counts. mu must be held.
func (q *Quarantine) announce(e Entry) {
	if q.Feed != nil {
		q.Feed.Announce(e)
	}
}
