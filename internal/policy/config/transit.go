package config

import "time"

const (
	// clockDrift is the assumed rate at which two clocks drift apart, with a margin.
	clockDrift = 0.001
	// senderTTL is how long the clock of a sender without heartbeats is remembered.
	senderTTL = time.Minute
)

// transitEstimator estimates how long heartbeats were in transit, from the clock
// values that they contain. The fastest heartbeat of a sender is assumed to have taken
// no time, and every other one the time by which it was slower. The estimate is
// therefore too low by the transit time of the fastest heartbeat, some milliseconds.
type transitEstimator struct {
	origin  time.Time
	senders map[string]*senderClock
}

// senderClock relates the clock of one run of a sender to that of this process.
type senderClock struct {
	boot   uint64
	offset time.Duration // smallest difference seen between this process's clock and the sender's
	at     time.Time     // of the last heartbeat
}

func newTransitEstimator(now time.Time) transitEstimator {
	return transitEstimator{origin: now, senders: map[string]*senderClock{}}
}

// sentAt returns when a status was sent. It returns zero if that is unknown, because
// the status is the first of the sender's run and nothing can be compared with it.
func (e *transitEstimator) sentAt(now time.Time, p PeerStatus) time.Time {
	offset := now.Sub(e.origin) - p.Clock
	s := e.senders[p.From.ID]
	if s == nil || s.boot != p.Boot {
		e.senders[p.From.ID] = &senderClock{boot: p.Boot, offset: offset, at: now}
		return time.Time{}
	}
	s.offset += time.Duration(clockDrift * float64(now.Sub(s.at)))
	s.offset = min(s.offset, offset)
	s.at = now
	return now.Add(s.offset - offset)
}

// forget drops the clocks of senders without recent heartbeats.
func (e *transitEstimator) forget(now time.Time) {
	for id, s := range e.senders {
		if now.Sub(s.at) > senderTTL {
			delete(e.senders, id)
		}
	}
}
