// Package storepath decides how a process reaches the platform's store: directly, or
// through a peer that relays its calls while the direct path is broken. It performs no
// I/O, and callers pass in the current time.
//
// A process that is cut off from the store, or that the store refuses to serve, would
// lose its registration when the lease expires. It would then lose its batch jobs, whose
// texts start again from the beginning elsewhere. As long as other processes of the
// system reach the store, any of them can relay a call.
package storepath

import "time"

const (
	// failuresToRelay is the number of consecutive calls without an answer after which
	// calls go through peers first. A store that loses answers loses only some of them,
	// a broken path loses all.
	failuresToRelay = 2
	// probeInterval is the interval at which a process that relays its calls tries its
	// direct path. This costs one refused or lost call per second.
	probeInterval = time.Second
	// minRelayBackoff and maxRelayBackoff bound how long no call is relayed after the
	// peers failed as well. Without this backoff an outage of the store itself would
	// double the calls to it. The direct path is still tried meanwhile and detects the
	// end of the outage.
	minRelayBackoff = 500 * time.Millisecond
	maxRelayBackoff = 4 * time.Second
)

// Path tracks how one process reaches the store. The result of a call is reported with
// the time at which the call began. A failure of a call that began before an answered
// call is ignored, since that call may have used a connection that was lost earlier. The
// zero value is ready to use. Path is not safe for concurrent use.
type Path struct {
	relaying     bool          // calls go through peers, since a peer reached the store when this process did not
	failures     int           // consecutive failures of the direct path
	peersCutOff  bool          // the peers that watch the store for others do not reach it
	served       time.Time     // start of the latest call that was answered on the direct path
	probed       time.Time     // when the direct path was last probed
	relayBackoff time.Duration // latest backoff after the peers failed
	relayAt      time.Time     // no call is relayed before
}

// Relaying reports whether calls go through peers.
func (p *Path) Relaying() bool { return p.relaying }

// RelayFirst reports whether a call should be sent through peers before the direct path
// is tried.
func (p *Path) RelayFirst(now time.Time) bool {
	return (p.relaying || p.failures >= failuresToRelay) && p.MayRelay(now)
}

// MayRelay reports whether peers may be asked to relay a call now.
func (p *Path) MayRelay(now time.Time) bool { return !now.Before(p.relayAt) }

// Down reports whether neither this process nor the peers that it asked got an answer of
// the store. A write should then be preceded by a probe, because the outcome of a write
// that is sent during an outage is unknown.
func (p *Path) Down(now time.Time) bool {
	return !p.relaying && p.failures >= failuresToRelay && !p.MayRelay(now)
}

// ProbeDue reports whether the direct path should be probed in addition to a call that is
// relayed. If so, it records the probe as sent.
func (p *Path) ProbeDue(now time.Time) bool {
	if !p.relaying || now.Sub(p.probed) < probeInterval {
		return false
	}
	p.probed = now
	return true
}

// DirectServed records that a call was answered on the direct path. It reports whether
// the direct path was regarded as broken until then.
func (p *Path) DirectServed(began time.Time) (switched bool) {
	if began.After(p.served) {
		p.served = began
	}
	switched = p.relaying || p.failures >= failuresToRelay
	p.relaying, p.failures, p.peersCutOff = false, 0, false
	return switched
}

// Unreachable reports whether no process seems to reach the store: neither this process
// nor the peers that watch the store for others.
func (p *Path) Unreachable() bool { return p.peersCutOff && !p.relaying && p.failures > 0 }

// PeersServed records that the peers that watch the store for others reach it.
func (p *Path) PeersServed() { p.peersCutOff = false }

// DirectFailed records that a call on the direct path was not answered.
func (p *Path) DirectFailed(began time.Time) {
	if !began.Before(p.served) {
		p.failures++
	}
}

// RelayServed records that a peer reached the store for a call. It reports whether calls
// now switch to peers.
func (p *Path) RelayServed(now, began time.Time) (switched bool) {
	p.relayBackoff, p.relayAt, p.peersCutOff = 0, time.Time{}, false
	if p.relaying || began.Before(p.served) {
		return false
	}
	p.relaying, p.probed = true, now
	return true
}

// PeersCutOff records that the peers that watch the store for others do not reach it. No
// call is relayed for minRelayBackoff unless calls already go through peers. These peers
// are the first to be asked for a relay, and all processes learn of their state at the
// same time. If each process asked them, an outage would begin with several times as
// many calls to the store as there are processes.
func (p *Path) PeersCutOff(now time.Time) {
	p.peersCutOff = true
	if until := now.Add(minRelayBackoff); !p.relaying && until.After(p.relayAt) {
		p.relayAt = until
	}
}

// RelaysFailed records that no peer reached the store either.
func (p *Path) RelaysFailed(now time.Time) {
	p.relaying = false
	p.relayBackoff = min(max(2*p.relayBackoff, minRelayBackoff), maxRelayBackoff)
	p.relayAt = now.Add(p.relayBackoff)
}
