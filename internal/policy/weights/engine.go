package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// engine is what the owner knows of one engine.
type engine struct {
	Member
	downSince time.Time // zero while it serves
	tracks    map[Key]*track
	load      *loading // in progress or of open end; one at a time
	role      string   // as last reported
	wanted    string   // role that it is to have; empty: any
}

// loading is a load given, or about to be given, to an engine. From the moment it
// is chosen the engine does not count as serving.
type loading struct {
	key     Key
	version int64
	role    string // of a role order
	order   int64  // sequence; 0 while a target is being asked for
	open    bool   // its reply was lost or unknown: wait until the agent is settled
}

// track is an engine's way to the newest version of one key.
type track struct {
	key     Key
	known   bool  // the agent has told the version in force under this epoch
	version int64 // in force at the engine, if known

	asking   int64 // sequence of the status order in flight
	askedAt  time.Time
	askAt    time.Time // when to ask next
	target   wire.Target
	targetAt time.Time // when the order that brought target was sent

	preparing int64 // sequence of the prepare order in flight
	prepared  int64 // newest version that the agent holds
	prepareAt time.Time
	attempts  int // to prepare, in vain

	failures   int // loads in a row
	asideUntil time.Time
}

func newEngine() *engine { return &engine{tracks: map[Key]*track{}} }

func (e *engine) track(key Key) *track {
	t, ok := e.tracks[key]
	if !ok {
		t = &track{key: key}
		e.tracks[key] = t
	}
	return t
}

func (e *engine) update(m Member, now time.Time) {
	e.Member = m
	switch {
	case m.Serving:
		e.downSince = time.Time{}
	case e.downSince.IsZero():
		e.downSince = now
	}
}

// settled tells whether the state of every key is known under this epoch.
func (e *engine) settled(keys []Key) bool {
	for _, key := range keys {
		if !e.track(key).known {
			return false
		}
	}
	return true
}

// renew gives an engine that was set aside another chance with a newer version.
func (t *track) renew() {
	t.failures = 0
	t.asideUntil = time.Time{}
	t.attempts = 0
	t.prepareAt = time.Time{}
}

// lose notes that the version in force is no longer known.
func (t *track) lose(askAt time.Time) {
	t.known = false
	t.askAt = askAt
}

func (t *track) fail(c Config, now time.Time) {
	t.failures++
	t.asideUntil = now.Add(c.PollInterval)
	if t.failures >= c.MaxLoadFailures {
		t.failures = 0
		t.asideUntil = now.Add(c.FailureCooldown)
	}
}
