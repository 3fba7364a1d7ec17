// Package conn judges the connection to one peer by heartbeats, and tells a
// connection that went silent from a peer that does not answer at all.
//
// TCP reports neither: when something between the two ends has lost track of a
// connection, writes are taken and nothing comes back, while new connections
// work. So when a heartbeat on the standing connection stays unanswered, a new
// connection is opened beside it and a heartbeat is sent there too. Only the
// new one answers: the standing one is given up and the requests in flight on
// it must be settled. Neither answers: the peer is down.
package conn

import (
	"math/rand/v2"
	"time"
)

// Which names one of the two connections to a peer.
type Connection int

// The connections to a peer.
const (
	Active    Connection = iota // carries the requests
	Candidate                   // opened beside it, or before there is one
)

// ActionKind says what the runtime has to do.
type ActionKind int

// The kinds of action.
const (
	SendHeartbeat    ActionKind = iota // send a heartbeat on the connection Which
	OpenCandidate                      // open a fresh connection; report Opened or Failed
	CloseCandidate                     // close the fresh connection
	PromoteCandidate                   // the fresh connection becomes the standing one
	CloseActive                        // close the standing connection and settle what is in flight on it
	Suspend                            // give the peer no new requests for now
	Resume                             // the peer may have requests again
	Unreachable                        // the peer answers on no connection
)

// Verdict tells why a standing connection was given up.
type Verdict int

// The verdicts.
const (
	NoVerdict        Verdict = iota
	ConnectionSilent         // only the standing connection is silent
	PeerDown                 // the peer answers on no connection
)

// Action is one step for the runtime, in the order given.
type Action struct {
	Kind       ActionKind
	Connection Connection // of Beat
	Verdict    Verdict    // of GiveUp
}

// Config holds the times of a monitor.
type Config struct {
	HeartbeatInterval time.Duration // between heartbeats on an idle connection
	BusyInterval      time.Duration // between them while requests wait and nothing comes
	SuspectTimeout    time.Duration // a heartbeat unanswered this long opens a fresh connection
	ConnectionTimeout time.Duration // and this long, with an answer on the fresh one, is the connection's fault
	PeerTimeout       time.Duration // and this long, with no answer at all, is the peer's
	InitialBackoff    time.Duration // pause between attempts to connect; doubles up to RetryMax
	MaxBackoff        time.Duration
}

// DefaultConfig returns the times in use: a silent connection under a waiting
// request is found in at most Quiet + Silent, 850 ms, plus a tick.
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

type freshState int

const (
	noFresh freshState = iota
	opening
	opened
	answered
)

// Monitor watches one peer. It is not safe for concurrent use.
type Monitor struct {
	cfg Config
	rng *rand.Rand

	standing bool
	heard    time.Time // last sign of life on the standing connection
	asked    time.Time // the oldest heartbeat there without an answer; zero: none
	doubted  bool
	down     bool
	lost     time.Time // when the last standing connection broke or was given up

	fresh      freshState
	freshSince time.Time
	retry      time.Duration
	nextOpen   time.Time
	ticked     time.Time
	actions    []Action
}

// New returns the monitor of a peer that was not connected to yet.
func New(cfg Config, rng *rand.Rand, now time.Time) *Monitor {
	return &Monitor{cfg: cfg, rng: rng, doubted: true, lost: now}
}

// SetInterval changes how often an idle connection is asked.
func (m *Monitor) SetInterval(interval time.Duration) { m.cfg.HeartbeatInterval = interval }

// Tick moves time on. Busy tells whether requests wait on the standing
// connection. The actions are valid until the next call.
func (m *Monitor) Tick(now time.Time, busy bool) []Action {
	m.begin()
	m.forgivePause(now)
	m.expireFresh(now)
	if m.standing {
		m.watch(now, busy)
	} else {
		m.connect(now)
	}
	return m.actions
}

// Opened reports that the fresh connection stands.
func (m *Monitor) Opened(now time.Time) []Action {
	m.begin()
	if m.fresh != opening {
		return m.actions
	}
	m.fresh = opened
	m.freshSince = now
	m.act(Action{Kind: SendHeartbeat, Connection: Candidate})
	return m.actions
}

// Answered reports an answer on a connection, to a heartbeat or a request.
func (m *Monitor) Answered(now time.Time, which Connection) []Action {
	m.begin()
	if which == Active {
		m.answeredStanding(now)
	} else {
		m.answeredFresh(now)
	}
	return m.actions
}

// Failed reports that a connection broke or could not be opened.
func (m *Monitor) Failed(now time.Time, which Connection) []Action {
	m.begin()
	if which == Candidate {
		m.failFresh(now)
		return m.actions
	}
	if m.standing {
		m.loseStanding(now, NoVerdict)
		m.doubt()
		m.nextOpen = now
		m.connect(now)
	}
	return m.actions
}

// Doubted tells whether the peer should get no new requests.
func (m *Monitor) Suspended() bool { return m.doubted }

func (m *Monitor) begin()       { m.actions = m.actions[:0] }
func (m *Monitor) act(a Action) { m.actions = append(m.actions, a) }

// forgivePause takes a gap between ticks out of the measured silences. A
// process that was itself stopped for seconds finds every heartbeat unanswered
// when it wakes; without this it would give up all its connections at once,
// although the answers lie unread in its own buffers.
func (m *Monitor) forgivePause(now time.Time) {
	gap := now.Sub(m.ticked)
	if !m.ticked.IsZero() && gap >= m.cfg.SuspectTimeout {
		if !m.asked.IsZero() {
			m.asked = m.asked.Add(gap)
		}
		m.freshSince = m.freshSince.Add(gap)
		m.lost = m.lost.Add(gap)
	}
	m.ticked = now
}

// watch asks for signs of life on the standing connection and draws the
// verdict when they stay away.
func (m *Monitor) watch(now time.Time, busy bool) {
	if m.asked.IsZero() {
		interval := m.cfg.HeartbeatInterval
		if busy {
			interval = min(m.cfg.BusyInterval, interval)
		}
		if now.Sub(m.heard) >= interval {
			m.asked = now
			m.act(Action{Kind: SendHeartbeat, Connection: Active})
		}
		return
	}
	silence := now.Sub(m.asked)
	if silence < m.cfg.SuspectTimeout {
		return
	}
	m.doubt()
	switch {
	case m.fresh == answered && silence >= m.cfg.ConnectionTimeout:
		m.replace(now)
	case m.fresh != answered && silence >= m.cfg.PeerTimeout:
		m.loseStanding(now, PeerDown)
		m.unreachable()
	default:
		m.open(now)
	}
}

// connect opens a first or next connection while there is none.
func (m *Monitor) connect(now time.Time) {
	if now.Sub(m.lost) >= m.cfg.PeerTimeout {
		m.unreachable()
	}
	m.open(now)
}

func (m *Monitor) open(now time.Time) {
	if m.fresh != noFresh || now.Before(m.nextOpen) {
		return
	}
	m.fresh = opening
	m.freshSince = now
	m.act(Action{Kind: OpenCandidate})
}

func (m *Monitor) answeredStanding(now time.Time) {
	if !m.standing {
		return
	}
	m.heard = now
	m.asked = time.Time{}
	if m.fresh != noFresh {
		m.fresh = noFresh
		m.act(Action{Kind: CloseCandidate})
	}
	m.trust()
}

func (m *Monitor) answeredFresh(now time.Time) {
	if m.fresh != opened {
		return
	}
	m.fresh = answered
	switch {
	case !m.standing:
		m.promote(now)
	case !m.asked.IsZero() && now.Sub(m.asked) >= m.cfg.ConnectionTimeout:
		m.replace(now)
	}
}

// replace gives the standing connection up for the fresh one. The order
// matters: requests that fail by the closing are settled on the new one.
func (m *Monitor) replace(now time.Time) {
	m.act(Action{Kind: CloseActive, Verdict: ConnectionSilent})
	m.promote(now)
}

func (m *Monitor) promote(now time.Time) {
	m.standing = true
	m.heard = now
	m.asked = time.Time{}
	m.fresh = noFresh
	m.retry = 0
	m.down = false
	m.act(Action{Kind: PromoteCandidate})
	m.trust()
}

func (m *Monitor) loseStanding(now time.Time, verdict Verdict) {
	m.standing = false
	m.asked = time.Time{}
	m.lost = now
	m.act(Action{Kind: CloseActive, Verdict: verdict})
}

// expireFresh gives up a fresh connection that does not open or answer.
func (m *Monitor) expireFresh(now time.Time) {
	if m.fresh != opening && m.fresh != opened {
		return
	}
	if now.Sub(m.freshSince) >= m.cfg.PeerTimeout {
		m.act(Action{Kind: CloseCandidate})
		m.failFresh(now)
	}
}

// failFresh pauses before the next attempt. The pause is drawn at random, so
// that a failure domain that comes back is not met by all its peers at once.
func (m *Monitor) failFresh(now time.Time) {
	if m.fresh == noFresh {
		return
	}
	m.fresh = noFresh
	m.retry = min(max(m.retry*2, m.cfg.InitialBackoff), m.cfg.MaxBackoff)
	pause := m.retry/2 + time.Duration(m.rng.Int64N(int64(m.retry/2)+1))
	m.nextOpen = now.Add(pause)
}

func (m *Monitor) doubt() {
	if m.doubted {
		return
	}
	m.doubted = true
	m.act(Action{Kind: Suspend})
}

func (m *Monitor) trust() {
	if !m.doubted {
		return
	}
	m.doubted = false
	m.act(Action{Kind: Resume})
}

func (m *Monitor) unreachable() {
	if m.down {
		return
	}
	m.down = true
	m.act(Action{Kind: Unreachable})
}
