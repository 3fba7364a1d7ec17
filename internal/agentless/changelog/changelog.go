// Package changelog bounds the log lines about changes of lists that every process follows. A
// restart of a thousand processes changes a thousand entries of the list in each of them, and a
// line for each change would displace the lines about requests.
package changelog

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
)

const (
	// window is the time after the first change for which changes are counted together.
	window = time.Second
	// linesPerWindow is the number of changes in a window that get a line of their own.
	linesPerWindow = 8
)

// Log admits a bounded number of lines per second and counts the other changes, which it logs in
// one line at the end of the window. It is safe for concurrent use.
type Log struct {
	log *logrus.Logger

	mu      sync.Mutex
	open    bool
	lines   int
	counted map[string]int // changes without a line, by kind
}

// New returns a Log that writes to log.
func New(log *logrus.Logger) *Log { return &Log{log: log, counted: map[string]int{}} }

// Allow reports whether a change may be logged in a line of its own. Otherwise it counts it as
// of a kind.
func (l *Log) Allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openWindow()
	if l.lines < linesPerWindow {
		l.lines++
		return true
	}
	l.counted[kind]++
	return false
}

// Count counts a change that needs no line of its own.
func (l *Log) Count(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openWindow()
	l.counted[kind]++
}

// openWindow schedules the end of the window unless one is open. mu must be held.
func (l *Log) openWindow() {
	if !l.open {
		l.open = true
		time.AfterFunc(window, l.closeWindow)
	}
}

// closeWindow logs the counted changes.
func (l *Log) closeWindow() {
	l.mu.Lock()
	counted := maps.Clone(l.counted)
	clear(l.counted)
	l.open, l.lines = false, 0
	l.mu.Unlock()
	if len(counted) > 0 {
		events.ListChangesCounted.Log(l.log, logrus.Fields{"changes": counted})
	}
}
