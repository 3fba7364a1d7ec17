// Package intake keeps the account of what callers hold of a process, connections and the memory of
// requests that arrive on them, and decides who yields when all of it is taken. It performs no I/O
// and reads no clock: the host reports what happens on each connection and carries the decisions out.
//
// It answers crowds of clients that keep what they hold: connections on which nothing arrives, and
// bodies that never end. A caller that sends its request at once is not affected by them, as it has
// held little, for a short time.
package intake

import "time"

// stallTime is the time without a byte after which a connection counts as stalled. Callers send a
// request within milliseconds.
const stallTime = time.Second

// Limits bound what all callers together hold.
type Limits struct {
	Connections int   // open at a time
	Memory      int64 // bytes of requests
}

// ID identifies a connection. The zero value identifies none.
type ID uint64

// phase is what happens on a connection.
type phase int

const (
	receiving phase = iota // a request is expected or is arriving
	idle                   // a request was answered, and no byte of the next one has arrived
	serving                // a request has arrived and is being served
	sending                // its answer is being written
)

// connection is what a caller holds.
type connection struct {
	phase  phase
	began  time.Time // when the current request began to arrive, or the connection was opened
	active time.Time // when the last byte was received or sent
	memory int64
	given  bool // its memory was given to another request while this one was arriving
}

// Ledger is the account of a process. It is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	connections map[ID]*connection
	memory      int64
	last        ID
}

// NewLedger returns an empty account.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, connections: map[ID]*connection{}}
}

// Usage returns the number of connections and the bytes that callers hold.
func (l *Ledger) Usage() (connections int, memory int64) { return len(l.connections), l.memory }

// Open admits a new connection. If all are taken, another one, victim, is removed from the account
// and must be closed. ok is false if none can yield, as a request is being served on each; then the
// new connection must be closed.
func (l *Ledger) Open(now time.Time) (id, victim ID, ok bool) {
	if len(l.connections) >= l.limits.Connections {
		if victim = l.longestUnused(now); victim == 0 {
			return 0, 0, false
		}
		l.Close(victim)
	}
	l.last++
	l.connections[l.last] = &connection{began: now, active: now}
	return l.last, victim, true
}

// CloseStalled removes the connection whose answer has not been read for the longest time, which must be
// closed, and returns it; 0: there is none that stalled.
func (l *Ledger) CloseStalled(now time.Time) ID {
	victim, since := ID(0), now.Add(-stallTime)
	for id, c := range l.connections {
		if c.phase == sending && !c.active.After(since) {
			victim, since = id, c.active
		}
	}
	l.Close(victim)
	return victim
}

// Close removes a connection and what it holds. Other methods ignore a connection that was removed.
func (l *Ledger) Close(id ID) {
	l.releaseAll(l.connections[id])
	delete(l.connections, id)
}

// Received records that bytes of a request have arrived.
func (l *Ledger) Received(id ID, now time.Time) {
	c := l.connections[id]
	if c == nil {
		return
	}
	if c.phase == idle {
		c.phase, c.began = receiving, now
	}
	c.active = now
}

// Arrived records that a request has arrived as a whole. It returns false if the request has yielded its
// memory, or its connection, and must not be served.
func (l *Ledger) Arrived(id ID) bool {
	c := l.connections[id]
	if c == nil || c.given {
		return false
	}
	c.phase = serving
	return true
}

// Sending records that an answer, or a part of it, is being written, or has been.
func (l *Ledger) Sending(id ID, now time.Time, begins bool) {
	c := l.connections[id]
	switch {
	case c == nil:
		return
	case begins && c.phase == serving:
		c.phase = sending
	case !begins && c.phase == sending:
		c.phase = serving
	}
	c.active = now
}

// Answered records the end of a request and releases its memory. The connection waits for the next
// one.
func (l *Ledger) Answered(id ID, now time.Time) {
	c := l.connections[id]
	if c == nil {
		return
	}
	l.releaseAll(c)
	c.phase, c.active = idle, now
}

// Receiving records that a connection on which a request was served receives another one.
func (l *Ledger) Receiving(id ID, now time.Time) {
	if c := l.connections[id]; c != nil && c.phase != receiving {
		c.phase, c.began, c.active = receiving, now, now
	}
}

// Reserve takes n bytes for the request on a connection. If there are too few, requests that are
// still arriving yield: their memory is released, and the host must end those in victims. ok is false
// if the requests that would have to yield have held less than this one; then nothing changes.
func (l *Ledger) Reserve(id ID, n int64, now time.Time) (victims []ID, ok bool) {
	c := l.connections[id]
	if c == nil {
		return nil, false
	}
	missing := l.memory + n - l.limits.Memory
	chosen := map[ID]bool{}
	for missing > 0 {
		victim := l.largestArriving(id, l.held(c, n, now), chosen, now)
		if victim == 0 {
			return nil, false
		}
		chosen[victim] = true
		victims = append(victims, victim)
		missing -= l.connections[victim].memory
	}
	for _, victim := range victims {
		l.releaseAll(l.connections[victim])
		l.connections[victim].given = true
	}
	c.memory += n
	l.memory += n
	return victims, true
}

// Release returns n bytes of a connection.
func (l *Ledger) Release(id ID, n int64) {
	if c := l.connections[id]; c != nil {
		n = min(n, c.memory)
		c.memory -= n
		l.memory -= n
	}
}

func (l *Ledger) releaseAll(c *connection) {
	if c != nil {
		l.memory -= c.memory
		c.memory = 0
	}
}

// held returns the byte seconds that a request with n further bytes has taken. They grow with its
// size and with the time that its sender takes.
func (l *Ledger) held(c *connection, n int64, now time.Time) float64 {
	return float64(c.memory+n) * now.Sub(c.began).Seconds()
}

// largestArriving returns the request that is still arriving and has taken the most byte seconds,
// more than those given, or 0 if there is none.
func (l *Ledger) largestArriving(except ID, above float64, chosen map[ID]bool, now time.Time) ID {
	victim := ID(0)
	for id, c := range l.connections {
		if id == except || chosen[id] || c.phase != receiving || c.memory == 0 {
			continue
		}
		if held := l.held(c, 0, now); held > above {
			victim, above = id, held
		}
	}
	return victim
}

// longestUnused returns the connection that can best be closed, or 0 if a request is being served on
// each: a stalled one, else one between two requests, else one on which a request arrives; of these
// the one on which nothing was exchanged for the longest time.
func (l *Ledger) longestUnused(now time.Time) ID {
	victim, best, since := ID(0), useServing, time.Time{}
	for id, c := range l.connections {
		u := useOf(c, now)
		if u < best || u == best && u != useServing && c.active.Before(since) {
			victim, best, since = id, u, c.active
		}
	}
	return victim
}

// use is how much a connection is needed.
type use int

const (
	useStalled use = iota
	useIdle
	useArriving
	useServing
)

func useOf(c *connection, now time.Time) use {
	stalled := now.Sub(c.active) >= stallTime
	switch {
	case stalled && (c.phase == receiving || c.phase == sending):
		return useStalled
	case c.phase == idle:
		return useIdle
	case c.phase == receiving:
		return useArriving
	default:
		return useServing
	}
}
