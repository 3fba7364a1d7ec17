// Package logout writes log lines without ever blocking the process: lines wait
// in a bounded queue, and what does not fit is counted and said.
package logout

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the memory of lines that wait; at 300 bytes a line some
	// 300 kB.
	queueLines = 1024
	// burstLines and linesPerSecond bound the volume under load: at 300 bytes a
	// line some 60 kB/s, which costs under a hundredth of a small core.
	burstLines     = 400
	linesPerSecond = 200
	reportEvery    = time.Second
)

// Writer is an io.Writer whose Write never waits for the output.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	budget  atomic.Int64
}

// New returns a writer to out. It has one goroutine, which lives as long as
// the process.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines)}
	w.budget.Store(burstLines)
	go w.run(out)
	return w
}

// Write queues one line, or counts it as dropped.
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

// Dropped returns how many lines were dropped so far and not yet said.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere left to report a broken output
		case <-ticker.C:
			w.refill(out)
		}
	}
}

func (w *Writer) refill(out io.Writer) {
	w.budget.Store(min(max(w.budget.Load(), 0)+linesPerSecond, burstLines))
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"event\":1006,\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
}

// Drain waits until the queue is empty, at most for limit.
func (w *Writer) Drain(limit time.Duration) {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); waited < limit && len(w.lines) > 0; waited += step {
		time.Sleep(step)
	}
}
