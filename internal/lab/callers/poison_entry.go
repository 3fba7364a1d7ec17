package callers

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	maxPoisonRetries  = 3
	poisonRetryDelay  = 20 * time.Millisecond // before a call that cannot run yet is tried again
	peerQueryTimeout  = 10 * time.Millisecond
	maxWaits          = 40    // waits for peers or endpoints after which a call is given up
	maxFollowWaits    = 25    // waits after which a copy need not follow another one
	placementLossRate = 0.001 // share of the messages about copies that are lost
)

// poisonEntry simulates an entry with its registry, as the runtime of an entry does.
type poisonEntry struct {
	world       *poisonWorld
	name        string
	registry    *poison.Registry
	lastArrival map[string]time.Time // arrival of the last placement message, by peer
}

// poisonCall is one submission of a request to one entry.
type poisonCall struct {
	fingerprint uint64
	runs        int       // copies that were sent to an endpoint
	waits       int       // waits for peers or for an endpoint
	arrivedAt   time.Time // zero for poison requests
}

func (c *poisonCall) id() poison.ID {
	return poison.ID{Service: poisonService, Fingerprint: c.fingerprint}
}

// tryRun runs the call as the registry allows. A quarantined request is not run.
func (e *poisonEntry) tryRun(c *poisonCall) {
	if e.world.scenario.disabled == suspicionAndQuarantine {
		e.startCopy(c, false)
		return
	}
	switch e.registry.Verdict(e.world.clock.now, c.id()) {
	case poison.Unrestricted:
		e.startCopy(c, false)
	case poison.Alone:
		e.queryPeers(c)
	}
}

// queryPeers asks all other entries before a suspect starts. If an entry does not
// answer after some attempts, the suspect starts without its answer.
func (e *poisonEntry) queryPeers(c *poisonCall) {
	if c.waits++; c.waits > maxWaits {
		e.giveUp(c)
		return
	}
	w := e.world
	if !e.registry.Reserve(c.id()) {
		w.clock.after(poisonRetryDelay, func() { e.tryRun(c) })
		return
	}
	busy := false
	for _, peer := range w.entries {
		if peer == e {
			continue
		}
		e.syncWith(peer, 3, c.id(), &busy)
	}
	w.clock.after(peerQueryTimeout, func() {
		verdict := e.registry.Verdict(w.clock.now, c.id())
		if busy || verdict == poison.Blocked {
			e.registry.CancelReservation(c.id())
			w.clock.after(poisonRetryDelay, func() { e.tryRun(c) })
			return
		}
		if !e.registry.Reserved(c.id()) {
			w.clock.after(poisonRetryDelay, func() { e.tryRun(c) })
			return
		}
		e.startCopy(c, true)
	})
}

// syncWith exchanges suspicions and quarantines with a peer, and sets busy if a copy of
// the request runs or is reserved there. A lost exchange is retried until no attempts
// are left.
func (e *poisonEntry) syncWith(peer *poisonEntry, attempts int, id poison.ID, busy *bool) {
	if attempts == 0 {
		return
	}
	w := e.world
	if w.clock.chance(0.06) {
		w.clock.after(3*time.Millisecond, func() { e.syncWith(peer, attempts-1, id, busy) })
		return
	}
	suspicions, quarantine := e.registry.Suspicions(), e.registry.List(w.clock.now)
	w.clock.after(w.clock.between(500*time.Microsecond, 1500*time.Microsecond), func() {
		peer.merge(suspicions, quarantine)
		if peer.registry.Busy(w.clock.now, id, e.name) {
			*busy = true
		}
		suspicions, quarantine := peer.registry.Suspicions(), peer.registry.List(w.clock.now)
		w.clock.after(w.clock.between(500*time.Microsecond, 1500*time.Microsecond), func() { e.merge(suspicions, quarantine) })
	})
}

// merge records the suspicions and quarantines of a peer.
func (e *poisonEntry) merge(suspicions []wire.Suspicion, quarantine []wire.QuarantineEntry) {
	e.registry.Merge(e.world.clock.now, quarantine)
	for _, s := range suspicions {
		e.registry.RecordCrash(e.world.clock.now, s)
	}
}

// startCopy starts a copy of the request at an endpoint where it may run.
func (e *poisonEntry) startCopy(c *poisonCall, alone bool) {
	w := e.world
	target := e.chooseEndpoint(c)
	if target == nil {
		e.registry.CancelReservation(c.id())
		e.waitForEndpoint(c)
		return
	}
	c.runs++
	if placement, changed := e.registry.StartCopy(w.clock.now, c.id(), endpointName(target.number)); changed {
		e.sendPlacement(placement)
	}
	r := &poisonRun{call: c, alone: alone}
	r.onEnd = func(crashed bool, batch int) { e.handleEnd(c, target, crashed, batch) }
	if !target.enqueue(r) {
		e.endCopy(c, target, false)
		w.clock.after(poisonRetryDelay, func() { e.retry(c) })
	}
}

// chooseEndpoint returns a random endpoint if the request may run there, otherwise one
// that is up and may run it, as the runtime's pool does. It returns nil if there is none.
// After maxFollowWaits it returns the random endpoint unless the restriction is
// exclusive.
func (e *poisonEntry) chooseEndpoint(c *poisonCall) *poisonEndpoint {
	w := e.world
	endpoint := w.randomEndpoint()
	allowed, exclusive := e.allowedEndpoints(c)
	if len(allowed) == 0 || slices.Contains(allowed, endpointName(endpoint.number)) {
		return endpoint
	}
	for _, p := range w.endpoints {
		if p.up && slices.Contains(allowed, endpointName(p.number)) {
			return p
		}
	}
	if !exclusive && c.waits > maxFollowWaits {
		return endpoint
	}
	return nil
}

// waitForEndpoint tries the call again after a delay. This does not count as a run, as
// in the runtime.
func (e *poisonEntry) waitForEndpoint(c *poisonCall) {
	if c.waits++; c.waits > maxWaits {
		e.giveUp(c)
		return
	}
	e.world.clock.after(poisonRetryDelay, func() { e.tryRun(c) })
}

// allowedEndpoints returns Registry.AllowedEndpoints, or no restriction if the safeguard
// is disabled.
func (e *poisonEntry) allowedEndpoints(c *poisonCall) (endpoints []string, exclusive bool) {
	now, disabled := e.world.clock.now, e.world.scenario.disabled
	suspect := e.registry.Verdict(now, c.id()) == poison.Alone
	if disabled == suspicionAndQuarantine || disabled == allPlacement || disabled == copyPlacement && !suspect {
		return nil, false
	}
	return e.registry.AllowedEndpoints(now, c.id())
}

// endCopy records the end of a copy.
func (e *poisonEntry) endCopy(c *poisonCall, p *poisonEndpoint, answered bool) {
	if placement, changed := e.registry.EndCopy(e.world.clock.now, c.id(), endpointName(p.number), answered); changed {
		e.sendPlacement(placement)
	}
}

// sendPlacement sends all peers a message that a copy started or ended. Some of the
// messages are lost. If a safeguard is disabled, none is sent.
func (e *poisonEntry) sendPlacement(placement wire.Placement) {
	w := e.world
	if w.scenario.disabled != noPoisonSafeguard {
		return
	}
	for _, peer := range w.entries {
		if peer == e || w.clock.chance(placementLossRate) {
			continue
		}
		e.sendInOrder(peer, func() { peer.registry.RecordPlacement(w.clock.now, placement) })
	}
}

// sendInOrder calls deliver after the time that a message takes, in the order of this
// entry's messages to the peer.
func (e *poisonEntry) sendInOrder(peer *poisonEntry, deliver func()) {
	w := e.world
	at := w.clock.now.Add(w.clock.between(500*time.Microsecond, 1500*time.Microsecond))
	if last := e.lastArrival[peer.name]; at.Before(last) {
		at = last
	}
	e.lastArrival[peer.name] = at
	w.clock.after(at.Sub(w.clock.now), deliver)
}

// retry tries the call again unless it has run too often.
func (e *poisonEntry) retry(c *poisonCall) {
	if c.runs > maxPoisonRetries {
		e.giveUp(c)
		return
	}
	e.tryRun(c)
}

func (e *poisonEntry) giveUp(c *poisonCall) {
	if !c.arrivedAt.IsZero() {
		e.world.givenUp++
	}
}

// handleEnd handles the end of a copy. After a crash the suspicion is sent to the peers
// before the call is retried or given up, so that no resend by the caller reaches a peer
// that does not know of the crash.
func (e *poisonEntry) handleEnd(c *poisonCall, p *poisonEndpoint, crashed bool, batch int) {
	w := e.world
	defer e.endCopy(c, p, !crashed)
	if !crashed {
		w.innocentDelays = append(w.innocentDelays, w.clock.now.Sub(c.arrivedAt).Seconds())
		return
	}
	if batch > 0 && w.scenario.disabled != suspicionAndQuarantine {
		e.registry.RecordCrash(w.clock.now, suspicionOf(c, p, batch, w.clock.now))
		ignored := false
		for _, peer := range w.entries {
			if peer != e {
				e.syncWith(peer, 3, c.id(), &ignored)
			}
		}
	}
	w.clock.after(peerQueryTimeout, func() { e.retry(c) })
}
