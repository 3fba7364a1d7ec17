package callers

import (
	"strings"
	"time"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

// longAnswerSuffix makes an answer too long to be stored for a retry.
var longAnswerSuffix = strings.Repeat("x", 64)

// submission is a request as its caller sends it once, to one entry.
type submission struct {
	id                    int64
	key, body             string
	deadline              time.Time
	answered              bool // the entry has answered it
	unresolvedForward     bool // a forward of it had no answer and may still arrive
	dispatchedUncommitted bool // dispatched before its claim was committed
	onAnswer              func(wire.Answer)
}

func fingerprint(body string) uint64 { return uint64(len(body)) }

// receive handles a submission that arrives from its caller.
func (e *claimEntry) receive(s *submission) {
	s.deadline = e.world.clock.now.Add(submissionTimeout)
	e.world.recorder.submissions++
	e.world.clock.after(submissionTimeout, e.bind(func() {
		e.answer(s, wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonOwnerAbsent})
	}))
	e.route(s)
}

// answer answers the submission unless it has been answered. "Not run" becomes
// "unknown" after the deadline, and if a forward is unresolved, because it may still
// reach an owner and run there.
func (e *claimEntry) answer(s *submission, answer wire.Answer) {
	if s.answered {
		return
	}
	late := !e.world.clock.now.Before(s.deadline)
	if answer.Outcome == wire.NotRun && (s.unresolvedForward && e.world.disabled != unresolvedForwards || late) {
		answer.Outcome = wire.Unknown
	}
	s.answered = true
	e.world.recorder.recordAnswer(s, answer)
	if !e.world.clock.chance(0.1) {
		e.world.clock.after(e.world.messageDelay(), func() { s.onAnswer(answer) })
	}
}

// route passes the submission to this entry's partition or forwards it to the last known
// owner.
func (e *claimEntry) route(s *submission) {
	if s.answered || !e.world.clock.now.Before(s.deadline) {
		return
	}
	retry := e.bind(func() { e.route(s) })
	owner := e.world.entryByIdentity(e.owner)
	switch {
	case e.world.disabled == allClaims:
		e.dispatchUnclaimed(s)
	case owner == nil:
		e.world.clock.after(rerouteDelay, retry)
	case owner == e:
		e.submit(s, s.deadline, func(moved bool, answer wire.Answer) { e.handleReply(s, moved, answer) })
	default:
		e.forward(s, owner)
	}
}

// handleReply routes the submission again if the owner has moved, and answers it
// otherwise.
func (e *claimEntry) handleReply(s *submission, moved bool, answer wire.Answer) {
	if moved {
		e.world.clock.after(rerouteDelay, e.bind(func() { e.route(s) }))
		return
	}
	e.answer(s, answer)
}

// forward sends the submission to the owner over a network that may lose or delay it.
// If it is not answered in time, it is routed again.
func (e *claimEntry) forward(s *submission, owner *claimEntry) {
	resolved := false
	reply := func(moved bool, answer wire.Answer) {
		if e.world.messageLost() {
			return
		}
		e.world.clock.after(e.world.messageDelay(), e.bind(func() {
			if !resolved {
				resolved = true
				e.handleReply(s, moved, answer)
			}
		}))
	}
	remaining := s.deadline.Sub(e.world.clock.now)
	submit := owner.bind(func() { owner.submit(s, e.world.clock.now.Add(remaining), reply) })
	if !e.world.messageLost() {
		e.world.clock.after(e.world.messageDelay(), submit)
	}
	e.world.clock.after(forwardTimeout, e.bind(func() {
		if !resolved {
			resolved = true
			s.unresolvedForward = true
			e.route(s)
		}
	}))
}

// submit passes the submission to this entry's partition.
func (e *claimEntry) submit(s *submission, deadline time.Time, reply func(bool, wire.Answer)) {
	id := e.world.nextID()
	e.calls[id] = &waitingCall{submission: s, reply: reply}
	e.step(claims.Submitted{
		Waiter:      id,
		Key:         claims.NewKey("caller", s.key),
		Fingerprint: fingerprint(s.body),
		Deadline:    deadline,
		Window:      retryWindow,
	})
}

// dispatchClaimed dispatches a claimed request to an agent and reports its result to
// the partition.
func (e *claimEntry) dispatchClaimed(r claims.Run) {
	call := e.calls[r.Waiter]
	onSettled := func(answer wire.Answer) { e.step(claims.Settled{Key: r.Key, Answer: answer}) }
	// The process may be paused between the decision and the dispatch.
	e.world.clock.after(e.world.clock.between(0, time.Millisecond), e.bind(func() {
		if !e.world.clock.now.Before(r.Deadline) {
			onSettled(wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonDeadline})
			return
		}
		e.dispatchToAgent(call.submission, r, onSettled)
	}))
}

// dispatchToAgent sends a dispatch to a random agent. It asks the agent for the outcome
// halfway to the deadline, and gives up with "unknown" at the deadline.
func (e *claimEntry) dispatchToAgent(s *submission, r claims.Run, onSettled func(wire.Answer)) {
	deadline := r.Deadline
	agent := e.world.randomAgent()
	d := dispatch{id: e.world.nextID(), incarnation: agent.incarnation, key: s.key, body: s.body, submissionID: s.id, fence: r.Fence, claim: r.Claim}
	settled := false
	settleOnce := func(answer wire.Answer) {
		if !settled {
			settled = true
			onSettled(answer)
		}
	}
	reply := func(answer wire.Answer) {
		if !e.world.messageLost() {
			e.world.clock.after(e.world.messageDelay(), e.bind(func() { settleOnce(answer) }))
		}
	}
	if !e.world.messageLost() {
		e.world.clock.after(e.world.messageDelay(), func() { agent.receive(d, reply) })
	}
	e.world.clock.after(deadline.Sub(e.world.clock.now)/2, e.bind(func() { e.settle(agent, d, reply) }))
	e.world.clock.after(deadline.Sub(e.world.clock.now), e.bind(func() {
		settleOnce(wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonDeadline})
	}))
}

// settle asks an agent on a new connection for the outcome of a dispatch.
func (e *claimEntry) settle(agent *claimAgent, d dispatch, reply func(wire.Answer)) {
	e.world.clock.after(e.world.messageDelay(), func() {
		if agent.up {
			reply(agent.settle(d))
		}
	})
}

// dispatchUnclaimed dispatches the submission without a claim, as the baseline does.
func (e *claimEntry) dispatchUnclaimed(s *submission) {
	e.dispatchToAgent(s, claims.Run{Deadline: s.deadline}, func(answer wire.Answer) { e.answer(s, answer) })
}
