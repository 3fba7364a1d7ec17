package rollout

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/handover"
)

// store is the key-value service reduced to one key: compare-and-swap whose
// answers may be lost before or after the write took effect.
type store struct {
	w        *world
	value    []byte
	revision int64
	outage   bool
}

// faults of one call, chosen at random while faults are on.
type callFault int

const (
	callFine callFault = iota
	callNotSent
	callAnswerLost // took effect
	callRequestLost
	callLands // takes effect after the caller was told that it is unknown
)

func (s *store) fault() callFault {
	if s.outage {
		if s.w.rng.IntN(2) == 0 {
			return callNotSent
		}
		return callRequestLost
	}
	if !s.w.faulty || s.w.rng.IntN(100) >= 25 {
		return callFine
	}
	return callFault(1 + s.w.rng.IntN(4))
}

func (s *store) read(n *node) {
	fault := s.fault()
	s.w.time.After(s.w.delay(), func() {
		if fault != callFine {
			n.deliver(handover.ReadFailed{})
			return
		}
		loaded := handover.ReadDone{Value: s.value, Revision: s.revision}
		s.w.time.After(s.w.delay(), func() { n.deliver(loaded) })
	})
}

func (s *store) write(n *node, w handover.Write) {
	answer := func(result handover.WriteDone) {
		s.w.time.After(s.w.delay(), func() { n.deliver(result) })
	}
	unknown := handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteIndeterminate}
	switch s.fault() {
	case callFine:
		s.w.time.After(s.w.delay(), func() { answer(s.swap(w)) })
	case callNotSent:
		answer(handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteNotApplied})
	case callAnswerLost:
		s.w.time.After(s.w.delay(), func() { s.swap(w); answer(unknown) })
	case callRequestLost:
		answer(unknown)
	case callLands:
		answer(unknown)
		s.w.time.After(time.Duration(s.w.rng.IntN(400))*time.Millisecond, func() { s.swap(w) })
	}
}

func (s *store) swap(w handover.Write) handover.WriteDone {
	if s.revision != w.Expected {
		return handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteConflict, Value: s.value, Revision: s.revision}
	}
	s.value = w.Value
	s.revision++
	return handover.WriteDone{Nonce: w.Nonce, Result: handover.WriteApplied, Revision: s.revision}
}
