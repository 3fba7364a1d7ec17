// Package storepath decides by which way a process reaches the platform's store:
// directly, or by way of another process while its own way is cut. It does no
// input or output and keeps no time.
//
// A process that is cut off from the store, or that the store turns away, would
// lose its registration after a lease's time, then its batch jobs, whose texts
// begin anew elsewhere. The other processes of the system reach the store all
// the while, and any of them can pass a call on.
package storepath

import "time"

const (
	// failuresToLeave is how many answers in a row have to stay out before calls
	// go by way of others first. A store that loses answers loses some of them;
	// a cut loses all.
	failuresToLeave = 2
	// lookAgain is how often a process that goes by way of others tries its own
	// way: one call, refused or lost in silence, a second.
	lookAgain = time.Second
	// firstPause and mostPause keep an outage of the store itself from doubling the
	// calls to it: after others failed as well, none of them is asked for so long.
	// The own way is tried all the while and finds out when the outage is over.
	firstPause = 500 * time.Millisecond
	mostPause  = 4 * time.Second
)

// Path is what one process believes of its way to the store. Calls are named by
// the moment at which they began: one that began before another that was
// answered may hang on a lost connection and says nothing of the way. It is not
// safe for concurrent use.
type Path struct {
	away     bool      // others reached the store when this process did not
	failures int       // of the own way, in a row
	served   time.Time // beginning of the last call that was answered by the own way
	looked   time.Time
	pause    time.Duration // last pause after others failed
	until    time.Time     // others are not asked before
}

// Away tells whether calls go by way of others.
func (p *Path) Away() bool { return p.away }

// OthersFirst tells whether a call should go by way of others before the own
// way is tried.
func (p *Path) OthersFirst(now time.Time) bool {
	return (p.away || p.failures >= failuresToLeave) && p.MayAsk(now)
}

// MayAsk tells whether others may be asked at all.
func (p *Path) MayAsk(now time.Time) bool { return !now.Before(p.until) }

// Down tells whether the store seems to answer nobody, so that a write should
// be preceded by a look: one that goes out into an outage has no outcome.
func (p *Path) Down(now time.Time) bool {
	return !p.away && p.failures >= failuresToLeave && !p.MayAsk(now)
}

// Look tells whether the own way should be tried beside a call that goes by way
// of others, and counts it as tried.
func (p *Path) Look(now time.Time) bool {
	if !p.away || now.Sub(p.looked) < lookAgain {
		return false
	}
	p.looked = now
	return true
}

// Served notes an answer of the store by the own way, and tells whether that
// ends a doubt about it.
func (p *Path) Served(began time.Time) (turned bool) {
	if began.After(p.served) {
		p.served = began
	}
	turned = p.away || p.failures >= failuresToLeave
	p.away, p.failures = false, 0
	return turned
}

// Failed notes that a call by the own way brought no answer.
func (p *Path) Failed(began time.Time) {
	if !began.Before(p.served) {
		p.failures++
	}
}

// OthersServed notes that another process reached the store for a call, and
// tells whether calls leave the own way.
func (p *Path) OthersServed(now, began time.Time) (left bool) {
	p.pause, p.until = 0, time.Time{}
	if p.away || began.Before(p.served) {
		return false
	}
	p.away, p.looked = true, now
	return true
}

// OthersFailed notes that no other process reached the store either.
func (p *Path) OthersFailed(now time.Time) {
	p.away = false
	p.pause = min(max(2*p.pause, firstPause), mostPause)
	p.until = now.Add(p.pause)
}
