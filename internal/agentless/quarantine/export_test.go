package quarantine

import "time"

// SetRetryDelay sets the delay after a failed write; it must be called before Run.
func (q *Quarantine) SetRetryDelay(d time.Duration) { q.minRetryDelay, q.maxRetryDelay = d, d }

// NewWriteLimiter returns the limit of the writes of one process.
var NewWriteLimiter = newWriteLimiter

// Limits of the calls to the store, for specs.
const (
	WriteInterval = writeInterval
	WriteBurst    = writeBurst
)

// EncodeReport returns a report as the store has it.
func EncodeReport(r Report) ([]byte, error) { return r.encode() }
