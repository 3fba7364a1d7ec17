package rollout

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/handover"
)

// store models the key-value service with a single key. Requests and answers may be
// lost or delayed.
type store struct {
	world    *world
	value    []byte
	revision int64
	outage   bool
}

// storeFault is the fault of one call. It is drawn at random while faults are active.
type storeFault int

const (
	noFault     storeFault = iota
	notSent                // the caller knows that the call did not take effect
	answerLost             // the write takes effect, but its result is indeterminate to the caller
	requestLost            // the write does not take effect, and its result is indeterminate
	lateWrite              // the write takes effect after the caller got an indeterminate result
)

func (s *store) drawFault() storeFault {
	if s.outage {
		if s.world.rng.IntN(2) == 0 {
			return notSent
		}
		return requestLost
	}
	if !s.world.faultsActive || s.world.rng.IntN(100) >= 25 {
		return noFault
	}
	return storeFault(1 + s.world.rng.IntN(4))
}

func (s *store) read(owner *ownerProcess) {
	fault := s.drawFault()
	s.world.clock.After(s.world.delay(), func() {
		if fault != noFault {
			owner.deliver(handover.ReadFailed{})
			return
		}
		result := handover.ReadDone{Value: s.value, Revision: s.revision}
		s.world.clock.After(s.world.delay(), func() { owner.deliver(result) })
	})
}

func (s *store) write(owner *ownerProcess, write handover.Write) {
	reply := func(result handover.WriteDone) {
		s.world.clock.After(s.world.delay(), func() { owner.deliver(result) })
	}
	indeterminate := handover.WriteDone{Nonce: write.Nonce, Result: handover.WriteIndeterminate}
	switch s.drawFault() {
	case noFault:
		s.world.clock.After(s.world.delay(), func() { reply(s.compareAndSwap(write)) })
	case notSent:
		reply(handover.WriteDone{Nonce: write.Nonce, Result: handover.WriteNotApplied})
	case answerLost:
		s.world.clock.After(s.world.delay(), func() { s.compareAndSwap(write); reply(indeterminate) })
	case requestLost:
		reply(indeterminate)
	case lateWrite:
		reply(indeterminate)
		s.world.clock.After(time.Duration(s.world.rng.IntN(400))*time.Millisecond, func() { s.compareAndSwap(write) })
	}
}

func (s *store) compareAndSwap(write handover.Write) handover.WriteDone {
	if s.revision != write.Expected {
		return handover.WriteDone{Nonce: write.Nonce, Result: handover.WriteConflict, Value: s.value, Revision: s.revision}
	}
	s.value = write.Value
	s.revision++
	return handover.WriteDone{Nonce: write.Nonce, Result: handover.WriteApplied, Revision: s.revision}
}
