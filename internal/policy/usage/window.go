// Package usage counts what customers' requests endpoints began to run, in windows of
// the wall clock, and decides when a window's counts are reported. It does no input or
// output and keeps no time.
//
// The load that it answers: many processes serve a few requests of each of many
// customers in a window, so that one request that is missed or counted twice makes a
// customer's count wrong; any process may die, be paused or be cut off at any moment;
// and the report of a window must never be told with two different counts. So each
// process tells its own counts as sums, which may be told again; a window is closed
// once all have told it, or after a wait that leaves time for another process to
// report it; and what is reported is written down first.
package usage

import "time"

// Window is the number of a span of the wall clock. Window 0 begins with 1970.
type Window int64

// Rules say how usage is reported.
type Config struct {
	WindowLength time.Duration // of a window
	DueAfter     time.Duration // a report is due this long after its window's end
}

// On tells whether usage is reported at all.
func (r Config) Enabled() bool { return r.WindowLength > 0 }

// Kept returns how many windows are kept: a report may be sent until it is too late, and
// looked up once more by the next holder.
func (r Config) RetainedWindows() Window { return 2 + Window(abandonAfter*r.DueAfter/r.WindowLength) }

// At returns the window of a moment.
func (r Config) WindowAt(t time.Time) Window {
	ns, length := t.UnixNano(), int64(r.WindowLength)
	w := ns / length
	if ns < 0 && ns%length != 0 {
		w--
	}
	return Window(w)
}

// End returns when a window ends.
func (r Config) WindowEnd(w Window) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(r.WindowLength))
}

// Counts are begun requests by customer.
type Counts map[string]int64

// Sum returns the requests of all customers.
func (c Counts) Sum() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// add adds other counts.
func (c Counts) add(other Counts) {
	for customer, n := range other {
		c[customer] += n
	}
}

// raise sets each count to the other's where that is higher.
func (c Counts) raise(other Counts) {
	for customer, n := range other {
		c[customer] = max(c[customer], n)
	}
}
