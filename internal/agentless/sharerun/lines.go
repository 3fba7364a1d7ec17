package sharerun

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
)

const (
	// lineInterval is the time between two lines of one event about one subject.
	lineInterval = 10 * time.Second
	// maxSubjects bounds the subjects in an interval. Lines about further ones are left out.
	maxSubjects = 200
)

// lineLimit bounds the log lines. Pressure may begin and end several times in a second, and a
// process whose values are not used sends them again with each report. It is safe for concurrent
// use.
type lineLimit struct {
	mu      sync.Mutex
	began   time.Time       // of the interval
	omitted map[subject]int // lines that were left out, by subjects with a line in the interval
}

// subject is what a line is about.
type subject struct {
	number int
	name   string
}

// log writes the line unless there was one about the subject in the interval. A line says how many
// were left out before it.
func (l *lineLimit) log(log *logrus.Logger, event events.Event, name string, fields logrus.Fields) {
	if l.allow(time.Now(), subject{event.Number, name}, fields) {
		event.Log(log, fields)
	}
}

func (l *lineLimit) allow(now time.Time, s subject, fields logrus.Fields) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.began); age < 0 || age >= lineInterval {
		l.began = now
		for known, n := range l.omitted {
			if n > 0 {
				l.omitted[known] = -n // to be told by the next line
			} else {
				delete(l.omitted, known)
			}
		}
	}
	n, known := l.omitted[s]
	switch {
	case !known && len(l.omitted) >= maxSubjects:
		return false
	case known && n >= 0:
		l.omitted[s]++
		return false
	case known:
		fields["omitted"] = -n
	}
	if l.omitted == nil {
		l.omitted = map[subject]int{}
	}
	l.omitted[s] = 0
	return true
}
