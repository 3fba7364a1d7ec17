package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// engine is the state of one engine as the rollout knows it.
type engine struct {
	Member
	downSince   time.Time // zero while the engine serves
	states      map[Key]*keyState
	load        *load  // chosen, in progress or of unknown outcome; at most one
	role        string // last reported role
	desiredRole string // role to assign; empty: any
}

// load is a load that was chosen for an engine. From the moment of the choice the engine
// does not count as serving, even before the order is sent.
type load struct {
	key            Key
	version        int64
	role           string // role to set; for RoleKey only
	sequence       int64  // of the order; 0 until it is sent, which requires a fresh target
	outcomeUnknown bool   // the reply was lost or did not tell the outcome; a status reply settles it
}

// keyState is the progress of an engine towards the newest version of one key.
type keyState struct {
	key     Key
	known   bool  // whether the version in force is known under this epoch
	version int64 // last known version in force at the engine

	statusSequence int64       // sequence of the status order in flight; 0 if none
	statusSentAt   time.Time   // when the latest status order was sent
	nextStatusAt   time.Time   // no status order is sent before
	target         wire.Target // from the latest status reply
	targetAt       time.Time   // when the status order that returned target was sent

	prepareSequence int64     // sequence of the prepare order in flight; 0 if none
	prepared        int64     // newest version that the agent has fetched; 0 after a load failed
	nextPrepareAt   time.Time // no prepare order is sent before
	prepareFailures int       // consecutive failed prepare orders

	loadFailures int       // consecutive failed loads
	nextLoadAt   time.Time // no load is chosen before
}

func newEngine() *engine { return &engine{states: map[Key]*keyState{}} }

// state returns the state of a key, and creates it if needed.
func (e *engine) state(key Key) *keyState {
	s, ok := e.states[key]
	if !ok {
		s = &keyState{key: key}
		e.states[key] = s
	}
	return s
}

// update replaces the member's data and records when the engine went down.
func (e *engine) update(m Member, now time.Time) {
	e.Member = m
	switch {
	case m.Serving:
		e.downSince = time.Time{}
	case e.downSince.IsZero():
		e.downSince = now
	}
}

// allKnown reports whether the version of every key is known under this epoch.
func (e *engine) allKnown(keys []Key) bool {
	for _, key := range keys {
		if !e.state(key).known {
			return false
		}
	}
	return true
}

// resetBackoff clears the backoff after failures, as a newer version may succeed.
func (s *keyState) resetBackoff() {
	s.loadFailures = 0
	s.nextLoadAt = time.Time{}
	s.prepareFailures = 0
	s.nextPrepareAt = time.Time{}
}

// markUnknown records that the version in force is no longer known. The next status order
// is sent at nextStatusAt.
func (s *keyState) markUnknown(nextStatusAt time.Time) {
	s.known = false
	s.nextStatusAt = nextStatusAt
}

// recordLoadFailure delays the next load, for longer after MaxLoadFailures consecutive
// failures.
func (s *keyState) recordLoadFailure(c Config, now time.Time) {
	s.loadFailures++
	s.nextLoadAt = now.Add(c.PollInterval)
	if s.loadFailures >= c.MaxLoadFailures {
		s.loadFailures = 0
		s.nextLoadAt = now.Add(c.FailureCooldown)
	}
}
