package config

import "time"

const (
	// clockDrift is how far two clocks run apart, with room.
	clockDrift = 0.001
	// forgetSender is after how long without a word a sender's clock is forgotten.
	forgetSender = time.Minute
)

// lateness tells how long heartbeats were on their way, by the clocks that
// their senders put in: a sender's fastest message is taken to have come at
// once, and every other was late by what it exceeds that one. What is not seen
// is the fastest message's own time on the network, some milliseconds.
type lateness struct {
	origin  time.Time
	senders map[string]*senderClock
}

// senderClock is one run of a sender.
type senderClock struct {
	boot   uint64
	offset time.Duration // smallest seen between the own clock and the sender's
	at     time.Time     // of the last word
}

func newLateness(now time.Time) lateness {
	return lateness{origin: now, senders: map[string]*senderClock{}}
}

// sent returns when the news was sent. Zero: not known, as it is a run's first
// word, which nothing can be compared with.
func (l *lateness) sent(now time.Time, n PeerStatus) time.Time {
	offset := now.Sub(l.origin) - n.Clock
	s := l.senders[n.From.ID]
	if s == nil || s.boot != n.Boot {
		l.senders[n.From.ID] = &senderClock{boot: n.Boot, offset: offset, at: now}
		return time.Time{}
	}
	s.offset += time.Duration(clockDrift * float64(now.Sub(s.at)))
	s.offset = min(s.offset, offset)
	s.at = now
	return now.Add(s.offset - offset)
}

func (l *lateness) forget(now time.Time) {
	for id, s := range l.senders {
		if now.Sub(s.at) > forgetSender {
			delete(l.senders, id)
		}
	}
}
