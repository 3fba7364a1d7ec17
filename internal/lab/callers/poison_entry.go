package callers

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	poisonTries    = 3
	poisonWait     = 20 * time.Millisecond // before a suspect asks the peers again
	poisonAskLimit = 10 * time.Millisecond // for one round of questions
	poisonAsks     = 40                    // rounds before a call is given up
	followAsks     = 25                    // waits for an endpoint to follow another copy to
	placementLoss  = 0.001                 // of the news of a copy
)

// poisonEntry hosts a registry as the runtime of an entry does.
type poisonEntry struct {
	world    *poisonWorld
	name     string
	registry *poison.Registry
	posted   map[string]time.Time // when the last news reaches a peer
}

// poisonCall is one call of a caller at one entry.
type poisonCall struct {
	fingerprint uint64
	tries       int
	asks        int
	since       time.Time // innocent requests only
}

func (c *poisonCall) id() poison.ID {
	return poison.ID{Service: poisonService, Fingerprint: c.fingerprint}
}

// take runs the call as the registry allows.
func (e *poisonEntry) take(c *poisonCall) {
	if e.world.scenario.variant == unguarded {
		e.run(c, false)
		return
	}
	switch e.registry.Verdict(e.world.clock.now, c.id()) {
	case poison.Unrestricted:
		e.run(c, false)
	case poison.Alone:
		e.ask(c)
	}
}

// ask looks at every other entry before a suspect starts. One that does not
// answer is asked again, and taken for gone after that.
func (e *poisonEntry) ask(c *poisonCall) {
	if c.asks++; c.asks > poisonAsks {
		e.giveUp(c)
		return
	}
	w := e.world
	if !e.registry.Reserve(c.id()) {
		w.clock.after(poisonWait, func() { e.take(c) })
		return
	}
	busy := false
	for _, peer := range w.entries {
		if peer == e {
			continue
		}
		e.exchange(peer, 3, c.id(), &busy)
	}
	w.clock.after(poisonAskLimit, func() {
		verdict := e.registry.Verdict(w.clock.now, c.id())
		if busy || verdict == poison.Blocked {
			e.registry.CancelReservation(c.id())
			w.clock.after(poisonWait, func() { e.take(c) })
			return
		}
		if !e.registry.Reserved(c.id()) {
			w.clock.after(poisonWait, func() { e.take(c) })
			return
		}
		e.run(c, true)
	})
}

// exchange tells a peer what is known here and takes in what it knows; either
// way may be lost and is then tried again.
func (e *poisonEntry) exchange(peer *poisonEntry, tries int, id poison.ID, busy *bool) {
	if tries == 0 {
		return
	}
	w := e.world
	if w.clock.chance(0.06) {
		w.clock.after(3*time.Millisecond, func() { e.exchange(peer, tries-1, id, busy) })
		return
	}
	suspicions, list := e.registry.Suspicions(), e.registry.List(w.clock.now)
	w.clock.after(w.clock.between(500*time.Microsecond, 1500*time.Microsecond), func() {
		peer.learn(suspicions, list)
		if peer.registry.Busy(id, e.name) {
			*busy = true
		}
		suspicions, list := peer.registry.Suspicions(), peer.registry.List(w.clock.now)
		w.clock.after(w.clock.between(500*time.Microsecond, 1500*time.Microsecond), func() { e.learn(suspicions, list) })
	})
}

func (e *poisonEntry) learn(suspicions []wire.Suspicion, list []wire.QuarantineEntry) {
	e.registry.Merge(e.world.clock.now, list)
	for _, s := range suspicions {
		e.registry.RecordCrash(e.world.clock.now, s)
	}
}

// run begins a copy where it may run.
func (e *poisonEntry) run(c *poisonCall, alone bool) {
	w := e.world
	target := e.choose(c)
	if target == nil {
		e.registry.CancelReservation(c.id())
		e.retake(c)
		return
	}
	c.tries++
	if news, some := e.registry.StartCopy(w.clock.now, c.id(), endpointName(target.number)); some {
		e.tell(news)
	}
	r := &poisonRun{call: c, alone: alone}
	r.end = func(crashed bool, batch int) { e.ended(c, target, crashed, batch) }
	if !target.offer(r) {
		e.leave(c, target, false)
		w.clock.after(poisonWait, func() { e.again(c) })
	}
}

// choose takes any endpoint, or of those where the request may run one that is
// up, as the runtime's pool does; nil if none is.
func (e *poisonEntry) choose(c *poisonCall) *poisonEndpoint {
	w := e.world
	wanted := w.anyEndpoint()
	allowed, firm := e.allowed(c)
	if len(allowed) == 0 || slices.Contains(allowed, endpointName(wanted.number)) {
		return wanted
	}
	for _, p := range w.endpoints {
		if p.up && slices.Contains(allowed, endpointName(p.number)) {
			return p
		}
	}
	if !firm && c.asks > followAsks {
		return wanted
	}
	return nil
}

// retake looks again after a while, as the runtime does without a new attempt.
func (e *poisonEntry) retake(c *poisonCall) {
	if c.asks++; c.asks > poisonAsks {
		e.giveUp(c)
		return
	}
	e.world.clock.after(poisonWait, func() { e.take(c) })
}

func (e *poisonEntry) allowed(c *poisonCall) (endpoints []string, firm bool) {
	now, variant := e.world.clock.now, e.world.scenario.variant
	suspect := e.registry.Verdict(now, c.id()) == poison.Alone
	if variant == unguarded || variant == anywhere || variant == unfollowed && !suspect {
		return nil, false
	}
	return e.registry.AllowedEndpoints(now, c.id())
}

// leave ends a copy, as its answer says.
func (e *poisonEntry) leave(c *poisonCall, p *poisonEndpoint, answered bool) {
	if news, some := e.registry.EndCopy(e.world.clock.now, c.id(), endpointName(p.number), answered); some {
		e.tell(news)
	}
}

// tell sends every peer where a copy runs or ended; some of it is lost.
func (e *poisonEntry) tell(news wire.Placement) {
	w := e.world
	if w.scenario.variant != whole {
		return
	}
	for _, peer := range w.entries {
		if peer == e || w.clock.chance(placementLoss) {
			continue
		}
		e.post(peer, func() { peer.registry.RecordPlacement(w.clock.now, news) })
	}
}

// post keeps the order of one entry's news to a peer.
func (e *poisonEntry) post(peer *poisonEntry, arrive func()) {
	w := e.world
	at := w.clock.now.Add(w.clock.between(500*time.Microsecond, 1500*time.Microsecond))
	if last := e.posted[peer.name]; at.Before(last) {
		at = last
	}
	e.posted[peer.name] = at
	w.clock.after(at.Sub(w.clock.now), arrive)
}

func (e *poisonEntry) again(c *poisonCall) {
	if c.tries > poisonTries {
		e.giveUp(c)
		return
	}
	e.take(c)
}

func (e *poisonEntry) giveUp(c *poisonCall) {
	if !c.since.IsZero() {
		e.world.refused++
	}
}

// ended takes in an outcome. What is known of a crash goes to the peers before
// the caller hears of it, so that no resend overtakes it.
func (e *poisonEntry) ended(c *poisonCall, p *poisonEndpoint, crashed bool, batch int) {
	w := e.world
	defer e.leave(c, p, !crashed)
	if !crashed {
		w.waits = append(w.waits, w.clock.now.Sub(c.since).Seconds())
		return
	}
	if batch > 0 && w.scenario.variant != unguarded {
		e.registry.RecordCrash(w.clock.now, suspicionOf(c, p, batch, w.clock.now))
		ignored := false
		for _, peer := range w.entries {
			if peer != e {
				e.exchange(peer, 3, c.id(), &ignored)
			}
		}
	}
	w.clock.after(poisonAskLimit, func() { e.again(c) })
}
