package quarantine

import (
	"time"

	"siskinloom.example/siskinloom/internal/deployment"
)

// SetRetryDelay sets the delay after a failed write; it must be called before Run.
func (q *Quarantine) SetRetryDelay(d time.Duration) { q.minRetryDelay, q.maxRetryDelay = d, d }

// AgeReports makes all reports older.
func (q *Quarantine) AgeReports(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, set := range q.reports {
		for _, r := range set {
			r.UnixMilli -= d.Milliseconds()
		}
	}
}

// NewWriteLimiter returns the limit of the writes of one process.
var NewWriteLimiter = newWriteLimiter

// Limits of the calls to the store, for specs.
const (
	WriteInterval = writeInterval
	WriteBurst    = writeBurst
)

// EncodeReport returns a report as the store has it.
func EncodeReport(r Report) ([]byte, error) { return r.encode() }

// NewEntry returns the entry of a report.
func NewEntry(fingerprint uint64, e *deployment.Endpoint, reporter string, unixMilli int64) Entry {
	r := Report{Fingerprint: fingerprint, Service: e.Service, Endpoint: e.ID, StartedAtMillis: e.StartedAtMillis, Reporter: reporter, UnixMilli: unixMilli}
	return Entry{Key: r.key(), At: unixMilli, Report: r}
}
