package speed

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// ReportBytes is the approximate size of an encoded report.
	ReportBytes = 60
	// MaxReports is the largest accepted number of reports in a message, and maxMessageBytes
	// the largest accepted size.
	MaxReports, maxMessageBytes = 256, 64 << 10
	// maxIDLength is the length of the longest accepted endpoint ID.
	maxIDLength = 256
	// reportInterval is how often an unchanged speed is reported: three times until the
	// receivers drop it.
	reportInterval = 3 * time.Second
	// purgeInterval is how often reports that are too old are looked for.
	purgeInterval = time.Second
	// reportFactor is the change of a speed that is reported at once.
	reportFactor = 1.3
)

// Report is a speed that a process measured itself. Processes send it to each other with
// encoding/gob, which writes the field names, so these must not change.
type Report struct {
	Key     Key
	Seconds float64       // per unit of a request alone
	Units   int           // number of units it is based on
	Age     time.Duration // time since the last observation; independent of the processes' clocks
}

// FieldError is a report with a value that is not used.
type FieldError struct {
	From  string // process that sent it
	Field string
	Value string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("speed: report of %s: %s is %s", e.From, e.Field, e.Value)
}

// Reports returns at most limit speeds for other processes: those that changed since they were
// last returned first, then those that have not been returned for the longest time. A speed is
// returned if it is free of noise and was measured within the last 10 s, and at most every 3 s
// unless it has changed.
func (m *Model) Reports(now time.Time, limit int) []Report {
	m.purge(now)
	m.refresh()
	var due []*Endpoint
	for _, e := range m.endpoints {
		if e.own > 0 && e.window.units >= ownUnits && e.window.trusted() && now.Sub(e.last) < maxAge && (e.hasChanged() || now.Sub(e.sent) >= reportInterval) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, compareUsefulness)
	due = due[:max(0, min(limit, len(due)))]
	reports := make([]Report, len(due))
	for i, e := range due {
		e.sent, e.sentSeconds = now, e.own
		reports[i] = Report{Key: e.key, Seconds: e.own, Units: e.window.units, Age: max(0, now.Sub(e.last))}
	}
	return reports
}

// hasChanged reports whether the speed differs noticeably from the one last returned.
func (e *Endpoint) hasChanged() bool {
	return e.own > reportFactor*e.sentSeconds || e.own*reportFactor < e.sentSeconds
}

func compareUsefulness(a, b *Endpoint) int {
	if a.hasChanged() != b.hasChanged() {
		if a.hasChanged() {
			return -1
		}
		return 1
	}
	if order := a.sent.Compare(b.sent); order != 0 {
		return order
	}
	return compareKeys(a.key, b.key)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.StartedAtMillis, b.StartedAtMillis))
}

// Merge records the reports of another process. It returns an error of type *FieldError for
// each report with a value out of range, which is not used. Reports older than 10 s are
// dropped without an error.
func (m *Model) Merge(now time.Time, from string, reports []Report) []error {
	var faults []error
	for i := range reports {
		if i == MaxReports {
			faults = append(faults, &FieldError{From: from, Field: "Speeds", Value: fmt.Sprintf("%d reports", len(reports))})
			break
		}
		if fault := reports[i].fault(from); fault != nil {
			faults = append(faults, fault)
		} else if reports[i].Age <= maxAge {
			m.merge(now, &reports[i])
		}
	}
	m.purge(now)
	return faults
}

func (r *Report) fault(from string) error {
	fault := func(field string, value any) error {
		return &FieldError{From: from, Field: field, Value: fmt.Sprint(value)}
	}
	switch {
	case r.Key.Endpoint == "" || len(r.Key.Endpoint) > maxIDLength:
		return fault("Key.Endpoint", fmt.Sprintf("of length %d", len(r.Key.Endpoint)))
	case r.Key.StartedAtMillis < 0:
		return fault("Key.StartedAtMillis", r.Key.StartedAtMillis)
	case math.IsNaN(r.Seconds) || !validSeconds(r.Seconds):
		return fault("Seconds", r.Seconds)
	case r.Units <= 0 || r.Units > MaxUnits:
		return fault("Units", r.Units)
	case r.Age < 0:
		return fault("Age", r.Age)
	}
	return nil
}

// merge records a valid report unless a newer one is known.
func (m *Model) merge(now time.Time, r *Report) {
	e := m.endpoints[r.Key]
	if e == nil {
		if len(m.endpoints) >= maxEndpoints {
			return
		}
		e = &Endpoint{model: m, key: r.Key}
		m.endpoints[r.Key] = e
	}
	measured := now.Add(-r.Age)
	if measured.Before(e.heard) {
		return
	}
	e.report, e.heard = *r, measured
	if r.Units >= lastingReportUnits && (e.lasting == 0 || e.window.count < minSamples && r.Seconds < e.lasting) {
		e.lasting = r.Seconds
	}
	e.update(now)
	m.stale++
}

// purge drops reports that are too old, and endpoints known only from these.
func (m *Model) purge(now time.Time) {
	if now.Sub(m.purgedAt) < purgeInterval {
		return
	}
	m.purgedAt = now
	for key, e := range m.endpoints {
		if now.Sub(e.heard) <= maxAge {
			continue
		}
		switch {
		case !e.tracked:
			delete(m.endpoints, key)
		case e.report.Units > 0:
			e.report = Report{}
			e.update(now)
		default:
			continue
		}
		m.invalidate()
	}
}

// EncodeReports encodes reports for a message. They are encoded apart from the rest of the
// message: a receiver that cannot decode them can still use the rest.
func EncodeReports(reports []Report) ([]byte, error) {
	if len(reports) == 0 {
		return nil, nil
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(reports); err != nil {
		return nil, errors.Wrap(err, "encode speeds")
	}
	return buffer.Bytes(), nil
}

// DecodeReports decodes reports from another process. Their values must be checked by Merge.
func DecodeReports(raw []byte) ([]Report, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	if len(raw) > maxMessageBytes {
		return nil, errors.Errorf("speeds of %d bytes", len(raw))
	}
	var reports []Report
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&reports); err != nil {
		return nil, errors.Wrap(err, "decode speeds")
	}
	return reports, nil
}
