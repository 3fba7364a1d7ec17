// Package conn monitors the connection to one peer with heartbeats and
// distinguishes a dead connection from a peer that is down.
//
// TCP reports neither: when a device between the two ends has lost the state of
// a connection, writes succeed and nothing comes back, while new connections
// work. So when a heartbeat on the active connection stays unanswered, a
// candidate connection is opened beside it and a heartbeat is sent there too. If
// only the candidate answers, the active connection is closed, the candidate
// takes its place and the requests in flight must be settled. If neither
// answers, the peer is down.
package conn

import (
	"math/rand/v2"
	"time"
)

// Connection identifies one of the two connections to a peer.
type Connection int

// The connections to a peer.
const (
	Active    Connection = iota // the connection that carries the requests
	Candidate                   // a connection opened beside the active one or while there is none
)

// ActionKind says what the caller has to do.
type ActionKind int

// The kinds of action.
const (
	SendHeartbeat    ActionKind = iota // send a heartbeat on Action.Connection
	OpenCandidate                      // open a candidate connection; report Opened or Failed
	CloseCandidate                     // close the candidate connection
	PromoteCandidate                   // make the candidate connection the active one
	CloseActive                        // close the active connection and settle the requests in flight on it
	Suspend                            // send the peer no new requests for now
	Resume                             // send the peer requests again
	Unreachable                        // mark the peer as unreachable; it answers on no connection
)

// Verdict says why an active connection is closed.
type Verdict int

// The verdicts.
const (
	NoVerdict        Verdict = iota
	ConnectionSilent         // the active connection does not answer, the candidate does
	PeerDown                 // the peer answers on no connection
)

// Action is one step for the caller. Actions are carried out in the given order.
type Action struct {
	Kind       ActionKind
	Connection Connection // of SendHeartbeat
	Verdict    Verdict    // of CloseActive
}

// Config holds the intervals and timeouts of a monitor.
type Config struct {
	HeartbeatInterval time.Duration // between heartbeats on an idle connection
	BusyInterval      time.Duration // between heartbeats while requests wait and nothing is received
	SuspectTimeout    time.Duration // after this long without an answer to a heartbeat, a candidate is opened
	ConnectionTimeout time.Duration // after this long, with an answer on the candidate, the connection is dead
	PeerTimeout       time.Duration // after this long without an answer on either, the peer is down
	InitialBackoff    time.Duration // delay between connection attempts; doubles up to MaxBackoff
	MaxBackoff        time.Duration
}

// DefaultConfig returns the default configuration. A dead connection with a
// waiting request is detected within BusyInterval + ConnectionTimeout, 850 ms,
// plus a tick.
func DefaultConfig(interval time.Duration) Config {
	return Config{
		HeartbeatInterval: interval,
		BusyInterval:      250 * time.Millisecond,
		SuspectTimeout:    250 * time.Millisecond,
		ConnectionTimeout: 600 * time.Millisecond,
		PeerTimeout:       1500 * time.Millisecond,
		InitialBackoff:    200 * time.Millisecond,
		MaxBackoff:        5 * time.Second,
	}
}

type candidateState int

const (
	noCandidate candidateState = iota
	opening
	opened
	answered
)

// Monitor monitors one peer. It is not safe for concurrent use.
type Monitor struct {
	cfg Config
	rng *rand.Rand

	active       bool
	lastAnswer   time.Time // on the active connection, or when it became active
	pendingSince time.Time // when the oldest unanswered heartbeat was sent on the active connection; zero: none
	suspended    bool
	down         bool
	lostAt       time.Time // when the last active connection broke or was closed

	candidate      candidateState
	candidateSince time.Time
	backoff        time.Duration
	nextOpenAt     time.Time
	lastTick       time.Time
	actions        []Action
}

// New returns the monitor of a peer that has not been connected to yet.
func New(cfg Config, rng *rand.Rand, now time.Time) *Monitor {
	return &Monitor{cfg: cfg, rng: rng, suspended: true, lostAt: now}
}

// SetInterval sets the interval of heartbeats on an idle connection.
func (m *Monitor) SetInterval(interval time.Duration) { m.cfg.HeartbeatInterval = interval }

// Tick advances the clock. busy reports whether requests wait on the active
// connection. The returned actions are valid until the next call.
func (m *Monitor) Tick(now time.Time, busy bool) []Action {
	m.resetActions()
	m.excludePause(now)
	m.expireCandidate(now)
	if m.active {
		m.checkActive(now, busy)
	} else {
		m.connect(now)
	}
	return m.actions
}

// Opened records that the candidate connection has been established.
func (m *Monitor) Opened(now time.Time) []Action {
	m.resetActions()
	if m.candidate != opening {
		return m.actions
	}
	m.candidate = opened
	m.candidateSince = now
	m.emit(Action{Kind: SendHeartbeat, Connection: Candidate})
	return m.actions
}

// Answered records an answer to a heartbeat or a request on a connection.
func (m *Monitor) Answered(now time.Time, c Connection) []Action {
	m.resetActions()
	if c == Active {
		m.answeredOnActive(now)
	} else {
		m.answeredOnCandidate(now)
	}
	return m.actions
}

// Failed records that a connection broke or could not be opened.
func (m *Monitor) Failed(now time.Time, c Connection) []Action {
	m.resetActions()
	if c == Candidate {
		m.failCandidate(now)
		return m.actions
	}
	if m.active {
		m.closeActive(now, NoVerdict)
		m.suspend()
		m.nextOpenAt = now
		m.connect(now)
	}
	return m.actions
}

// Suspended reports whether the peer should get no new requests.
func (m *Monitor) Suspended() bool { return m.suspended }

func (m *Monitor) resetActions() { m.actions = m.actions[:0] }
func (m *Monitor) emit(a Action) { m.actions = append(m.actions, a) }

// excludePause excludes a gap between ticks from all measured waiting times. A
// process that was itself stopped for seconds finds every heartbeat unanswered
// when it resumes. Without this it would close all its connections at once, although
// the answers are unread in its own receive buffers.
func (m *Monitor) excludePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap >= m.cfg.SuspectTimeout {
		if !m.pendingSince.IsZero() {
			m.pendingSince = m.pendingSince.Add(gap)
		}
		m.candidateSince = m.candidateSince.Add(gap)
		m.lostAt = m.lostAt.Add(gap)
	}
	m.lastTick = now
}

// checkActive sends heartbeats on the active connection. If one stays unanswered, it
// opens a candidate, and closes the active connection once it is known to be dead or the
// peer to be down.
func (m *Monitor) checkActive(now time.Time, busy bool) {
	if m.pendingSince.IsZero() {
		interval := m.cfg.HeartbeatInterval
		if busy {
			interval = min(m.cfg.BusyInterval, interval)
		}
		if now.Sub(m.lastAnswer) >= interval {
			m.pendingSince = now
			m.emit(Action{Kind: SendHeartbeat, Connection: Active})
		}
		return
	}
	waited := now.Sub(m.pendingSince)
	if waited < m.cfg.SuspectTimeout {
		return
	}
	m.suspend()
	switch {
	case m.candidate == answered && waited >= m.cfg.ConnectionTimeout:
		m.replaceActive(now)
	case m.candidate != answered && waited >= m.cfg.PeerTimeout:
		m.closeActive(now, PeerDown)
		m.markDown()
	default:
		m.openCandidate(now)
	}
}

// connect opens a candidate connection while there is no active one.
func (m *Monitor) connect(now time.Time) {
	if now.Sub(m.lostAt) >= m.cfg.PeerTimeout {
		m.markDown()
	}
	m.openCandidate(now)
}

func (m *Monitor) openCandidate(now time.Time) {
	if m.candidate != noCandidate || now.Before(m.nextOpenAt) {
		return
	}
	m.candidate = opening
	m.candidateSince = now
	m.emit(Action{Kind: OpenCandidate})
}

func (m *Monitor) answeredOnActive(now time.Time) {
	if !m.active {
		return
	}
	m.lastAnswer = now
	m.pendingSince = time.Time{}
	if m.candidate != noCandidate {
		m.candidate = noCandidate
		m.emit(Action{Kind: CloseCandidate})
	}
	m.resume()
}

func (m *Monitor) answeredOnCandidate(now time.Time) {
	if m.candidate != opened {
		return
	}
	m.candidate = answered
	switch {
	case !m.active:
		m.promote(now)
	case !m.pendingSince.IsZero() && now.Sub(m.pendingSince) >= m.cfg.ConnectionTimeout:
		m.replaceActive(now)
	}
}

// replaceActive replaces the active connection by the candidate. The order of
// the actions matters: requests that fail because the old connection is closed
// are settled on the new one.
func (m *Monitor) replaceActive(now time.Time) {
	m.emit(Action{Kind: CloseActive, Verdict: ConnectionSilent})
	m.promote(now)
}

func (m *Monitor) promote(now time.Time) {
	m.active = true
	m.lastAnswer = now
	m.pendingSince = time.Time{}
	m.candidate = noCandidate
	m.backoff = 0
	m.down = false
	m.emit(Action{Kind: PromoteCandidate})
	m.resume()
}

func (m *Monitor) closeActive(now time.Time, verdict Verdict) {
	m.active = false
	m.pendingSince = time.Time{}
	m.lostAt = now
	m.emit(Action{Kind: CloseActive, Verdict: verdict})
}

// expireCandidate closes a candidate connection that does not open within PeerTimeout or
// then does not answer within it.
func (m *Monitor) expireCandidate(now time.Time) {
	if m.candidate != opening && m.candidate != opened {
		return
	}
	if now.Sub(m.candidateSince) >= m.cfg.PeerTimeout {
		m.emit(Action{Kind: CloseCandidate})
		m.failCandidate(now)
	}
}

// failCandidate backs off before the next attempt. The delay is random, so that
// not all peers of a failure domain reconnect at once when it recovers.
func (m *Monitor) failCandidate(now time.Time) {
	if m.candidate == noCandidate {
		return
	}
	m.candidate = noCandidate
	m.backoff = min(max(m.backoff*2, m.cfg.InitialBackoff), m.cfg.MaxBackoff)
	delay := m.backoff/2 + time.Duration(m.rng.Int64N(int64(m.backoff/2)+1))
	m.nextOpenAt = now.Add(delay)
}

func (m *Monitor) suspend() {
	if m.suspended {
		return
	}
	m.suspended = true
	m.emit(Action{Kind: Suspend})
}

func (m *Monitor) resume() {
	if !m.suspended {
		return
	}
	m.suspended = false
	m.emit(Action{Kind: Resume})
}

func (m *Monitor) markDown() {
	if m.down {
		return
	}
	m.down = true
	m.emit(Action{Kind: Unreachable})
}
