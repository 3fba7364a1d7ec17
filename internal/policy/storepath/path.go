// Package storepath decides by which way a process reaches the platform's store:
// directly, or through a peer while its direct path is cut. It does no
// input or output and keeps no time.
//
// A process that is cut off from the store, or that the store turns away, would
// lose its registration after a lease's time, then its batch jobs, whose texts
// begin anew elsewhere. The other processes of the system reach the store all
// the while, and any of them can relay a call.
package storepath

import "time"

const (
	// failuresToRelay is how many answers in a row have to stay out before calls
	// go through peers first. A store that loses answers loses some of them;
	// a cut loses all.
	failuresToRelay = 2
	// probeEvery is how often a process that goes through peers tries its direct
	// path: one call, refused or lost in silence, a second.
	probeEvery = time.Second
	// firstPause and mostPause keep an outage of the store itself from doubling the
	// calls to it: after others failed as well, none of them is asked for so long.
	// The direct path is tried all the while and finds out when the outage is over.
	firstPause = 500 * time.Millisecond
	mostPause  = 4 * time.Second
)

// Path is what one process believes of its way to the store. Calls are named by
// the moment at which they began: one that began before another that was
// answered may hang on a lost connection and says nothing of the way. It is not
// safe for concurrent use.
type Path struct {
	relaying bool      // others reached the store when this process did not
	failures int       // of the direct path, in a row
	cutOff   bool      // nor do those reach the store who follow it for others
	served   time.Time // beginning of the last call that was answered by the direct path
	probed   time.Time
	pause    time.Duration // last pause after others failed
	until    time.Time     // others are not asked before
}

// Relaying tells whether calls go through peers.
func (p *Path) Relaying() bool { return p.relaying }

// RelayFirst tells whether a call should go through peers before the direct
// path is tried.
func (p *Path) RelayFirst(now time.Time) bool {
	return (p.relaying || p.failures >= failuresToRelay) && p.MayRelay(now)
}

// MayRelay tells whether others may be asked at all.
func (p *Path) MayRelay(now time.Time) bool { return !now.Before(p.until) }

// Down tells whether the store seems to answer nobody, so that a write should
// be preceded by a probe: one that goes out into an outage has no outcome.
func (p *Path) Down(now time.Time) bool {
	return !p.relaying && p.failures >= failuresToRelay && !p.MayRelay(now)
}

// ProbeDue tells whether the direct path should be tried beside a call that
// goes through a peer, and counts it as tried.
func (p *Path) ProbeDue(now time.Time) bool {
	if !p.relaying || now.Sub(p.probed) < probeEvery {
		return false
	}
	p.probed = now
	return true
}

// DirectServed notes an answer of the store by the direct path, and tells
// whether that ends a doubt about it.
func (p *Path) DirectServed(began time.Time) (switched bool) {
	if began.After(p.served) {
		p.served = began
	}
	switched = p.relaying || p.failures >= failuresToRelay
	p.relaying, p.failures, p.cutOff = false, 0, false
	return switched
}

// Unreachable tells whether nobody seems to reach the store: neither this process nor
// those who follow it for others.
func (p *Path) Unreachable() bool { return p.cutOff && !p.relaying && p.failures > 0 }

// PeersServed notes that those who follow the store for others hear from it.
func (p *Path) PeersServed() { p.cutOff = false }

// DirectFailed notes that a call by the direct path brought no answer.
func (p *Path) DirectFailed(began time.Time) {
	if !began.Before(p.served) {
		p.failures++
	}
}

// RelayServed notes that another process reached the store for a call, and
// tells whether calls switch to peers.
func (p *Path) RelayServed(now, began time.Time) (switched bool) {
	p.pause, p.until, p.cutOff = 0, time.Time{}, false
	if p.relaying || began.Before(p.served) {
		return false
	}
	p.relaying, p.probed = true, now
	return true
}

// PeersCutOff notes that those who follow the store for others do not hear from
// it. They are who would be asked first, and every process learns it at the same
// moment: if each asked them too, an outage would begin with several times as many
// calls to the store as there are processes.
func (p *Path) PeersCutOff(now time.Time) {
	p.cutOff = true
	if until := now.Add(firstPause); !p.relaying && until.After(p.until) {
		p.until = until
	}
}

// RelaysFailed notes that no other process reached the store either.
func (p *Path) RelaysFailed(now time.Time) {
	p.relaying = false
	p.pause = min(max(2*p.pause, firstPause), mostPause)
	p.until = now.Add(p.pause)
}
