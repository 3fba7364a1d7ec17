// Package logout is the log output (not a sign-out): it writes log lines without
// ever blocking the process. Lines wait in a bounded queue; lines that do not fit
// are dropped, counted and reported in the log.
package logout

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the memory of queued lines: about 300 kB at 300 bytes a
	// line.
	maxQueuedLines = 1024
	// maxBurstLines and linesPerSecond limit the log volume under load: about 60 kB/s
	// at 300 bytes a line, which costs less than 1% of a small core.
	maxBurstLines  = 400
	linesPerSecond = 200
	refillInterval = time.Second
)

// Writer is an io.Writer whose Write never blocks on the output.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	budget  atomic.Int64
}

// New returns a writer to out. It starts a goroutine that runs until the process
// ends.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	w.budget.Store(maxBurstLines)
	go w.run(out)
	return w
}

// Write queues one line. If the rate limit or the queue's limit is reached, it drops
// the line and counts it.
func (w *Writer) Write(line []byte) (int, error) {
	if w.budget.Add(-1) < 0 {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that are not yet reported in the log.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	ticker := time.NewTicker(refillInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // a failed output cannot be reported anywhere
		case <-ticker.C:
			w.refill(out)
		}
	}
}

// refill adds a second's lines to the budget and reports dropped lines.
func (w *Writer) refill(out io.Writer) {
	w.budget.Store(min(max(w.budget.Load(), 0)+linesPerSecond, maxBurstLines))
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"event\":1006,\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
}

// Drain blocks until the queue is empty or timeout has passed.
func (w *Writer) Drain(timeout time.Duration) {
	const pollInterval = 5 * time.Millisecond
	for waited := time.Duration(0); waited < timeout && len(w.lines) > 0; waited += pollInterval {
		time.Sleep(pollInterval)
	}
}
