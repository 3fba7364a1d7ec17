// Package usage counts the requests of each customer that endpoints started to run, in
// windows of the wall clock, and decides when the counts of a window are reported. It
// does no I/O and reads no clock.
//
// Many processes serve a few requests of each of many customers in a window, so that one
// request missed or counted twice makes a customer's count wrong. Any process may die, be
// paused or be partitioned at any moment. A window must never be reported with two
// different counts. Therefore each process sends its own counts as cumulative sums, which
// are safe to send again. A window is closed once all processes have sent their counts,
// or after a timeout that leaves another process time to take over the reporting duty and
// report it. A report is stored before it is sent.
package usage

import "time"

// Window is the number of a window of the wall clock. Window 0 starts at the Unix epoch.
type Window int64

// Config says how usage is reported.
type Config struct {
	WindowLength time.Duration // 0: usage is not reported
	DueAfter     time.Duration // a report is due this long after its window's end
}

// Enabled reports whether usage is reported at all.
func (c Config) Enabled() bool { return c.WindowLength > 0 }

// RetainedWindows returns how many windows are retained: a report may be sent until it is
// abandoned, and the next holder of the duty may read it once more after that.
func (c Config) RetainedWindows() Window { return 2 + Window(abandonFactor*c.DueAfter/c.WindowLength) }

// WindowAt returns the window that contains a time.
func (c Config) WindowAt(t time.Time) Window {
	ns, length := t.UnixNano(), int64(c.WindowLength)
	w := ns / length
	if ns < 0 && ns%length != 0 {
		w--
	}
	return Window(w)
}

// WindowEnd returns the end of a window.
func (c Config) WindowEnd(w Window) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(c.WindowLength))
}

// Counts holds the number of started requests by customer.
type Counts map[string]int64

// Sum returns the number of requests of all customers.
func (c Counts) Sum() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// add adds the other counts to these.
func (c Counts) add(other Counts) {
	for customer, n := range other {
		c[customer] += n
	}
}

// mergeMax sets each count to the higher of the two.
func (c Counts) mergeMax(other Counts) {
	for customer, n := range other {
		c[customer] = max(c[customer], n)
	}
}
