package fairshare

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxServices and maxProcesses bound the memory of a table.
	maxServices  = 1000
	maxProcesses = 5000
	// divisionsPerInterval is how often a division is repeated in one interval of a large fleet.
	// While at most processesPerInterval processes report, each report leads to a new one.
	divisionsPerInterval = 10
)

// ErrFull is returned for a report that the table has no room for.
var ErrFull = errors.New("fairshare: too many services or processes report")

// Table holds the reports of other processes in a worker. It is not safe for concurrent use.
type Table struct {
	services map[string]*serviceReports
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{services: map[string]*serviceReports{}} }

// serviceReports holds the reports about one service.
type serviceReports struct {
	byProcess  map[string]received
	capacity   int
	allotments map[string]Allotment
	dividedAt  time.Time
	expiredAt  time.Time // when reports were last checked for their age
}

// received is a report with the time at which it arrived.
type received struct {
	Report
	receivedAt time.Time
}

// Exchange records a report that was checked, and returns the allotment of its process.
func (t *Table) Exchange(now time.Time, r Report) (Allotment, error) {
	s := t.services[r.Service]
	if s == nil {
		t.expire(now)
		if len(t.services) >= maxServices {
			return Allotment{}, errors.Wrapf(ErrFull, "service %q", r.Service)
		}
		s = &serviceReports{byProcess: map[string]received{}}
		t.services[r.Service] = s
	}
	s.expire(now)
	if err := s.record(now, r); err != nil {
		return Allotment{}, err
	}
	if s.divisionDue(now) {
		s.divide(now)
	}
	return s.allotmentOf(&r), nil
}

// expire drops the services about which no process reports.
func (t *Table) expire(now time.Time) {
	for name, s := range t.services {
		s.expire(now)
		if len(s.byProcess) == 0 {
			delete(t.services, name)
		}
	}
}

// expire drops old reports, but checks them at most once per base interval.
func (s *serviceReports) expire(now time.Time) {
	if age := now.Sub(s.expiredAt); age >= 0 && age < baseInterval {
		return
	}
	s.expiredAt = now
	validity := Validity(len(s.byProcess))
	for process, r := range s.byProcess {
		if now.Sub(r.receivedAt) > validity {
			delete(s.byProcess, process)
		}
	}
}

// record replaces the report of a process, unless this one is older. A process without demand is
// dropped: it has no requests and no pressure.
func (s *serviceReports) record(now time.Time, r Report) error {
	last, known := s.byProcess[r.Process]
	switch {
	case known && r.At.Before(last.At):
		return nil
	case r.total() == 0:
		delete(s.byProcess, r.Process)
		return nil
	case !known && len(s.byProcess) >= maxProcesses:
		return errors.Wrapf(ErrFull, "process %q", r.Process)
	}
	s.byProcess[r.Process] = received{r, now}
	return nil
}

// divisionDue returns whether the slots are to be divided anew. In a large fleet one division
// serves several reports.
func (s *serviceReports) divisionDue(now time.Time) bool {
	processes := len(s.byProcess)
	if processes <= processesPerInterval {
		return true
	}
	age := now.Sub(s.dividedAt)
	return age < 0 || age >= Interval(processes)/divisionsPerInterval
}

// divide divides the slots. The capacity is the largest one that a process reports: a process
// that cannot reach some endpoints must not take them from all others.
func (s *serviceReports) divide(now time.Time) {
	reports := make([]Report, 0, len(s.byProcess))
	s.capacity = 0
	for _, r := range s.byProcess {
		reports = append(reports, r.Report)
		s.capacity = max(s.capacity, r.Slots)
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Process, b.Process) })
	s.allotments, s.dividedAt = divide(s.capacity, reports, phaseAt(now, len(reports))), now
}

// phaseAt returns the phase of the divisions at a time. It changes once per interval, in steps of the
// golden ratio, whose multiples are spread evenly whatever their number is.
func phaseAt(now time.Time, processes int) float64 {
	round := now.UnixNano() / int64(Interval(processes))
	_, fraction := math.Modf(float64(round%1_000_000) * (math.Phi - 1))
	return fraction
}

// allotmentOf returns the allotment of the process of a report. A process that the last division
// does not know, or that has no demand, gets an equal part.
func (s *serviceReports) allotmentOf(r *Report) Allotment {
	if a, found := s.allotments[r.Process]; found {
		return a
	}
	processes := max(1, len(s.byProcess))
	return Allotment{Slots: max(1, max(s.capacity, r.Slots)/processes), Processes: processes}
}
