package callers

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// run is one execution of a request at an endpoint.
type run struct {
	key          string
	body         string
	submissionID int64 // submission for which the request was dispatched
	answer       string
	finished     bool
}

// claimAgent simulates an agent with its endpoint. It runs each dispatch at most once
// and reports its result on a settle request. If it is fenced, it refuses dispatches
// with a lower epoch than the highest one that it has accepted since its last restart.
type claimAgent struct {
	world             *claimWorld
	incarnation       int
	up                bool
	fenced            bool // false for an endpoint without fencing whose agent has restarted
	epoch             int64
	runs              map[int64]*run // by dispatch
	refusedDispatches map[int64]bool
	runsByClaim       map[wire.ClaimRef]*run
}

func newClaimAgent(w *claimWorld) *claimAgent {
	a := &claimAgent{world: w, up: true, fenced: w.clock.chance(0.7)}
	a.reset()
	return a
}

func (a *claimAgent) reset() {
	a.runs = map[int64]*run{}
	a.refusedDispatches = map[int64]bool{}
	a.runsByClaim = map[wire.ClaimRef]*run{}
	a.epoch = 0
}

func (a *claimAgent) crash(downtime time.Duration) {
	a.up = false
	a.incarnation++
	a.reset()
	a.world.clock.after(downtime, func() { a.up = true })
}

// dispatch is a request in transit from an entry to an agent.
type dispatch struct {
	id           int64
	incarnation  int // of the agent; a restarted agent refuses the dispatch
	key, body    string
	submissionID int64
	fence        wire.Fence
	claim        wire.ClaimRef
}

// receive runs the request or refuses it. It calls reply when the outcome is known.
func (a *claimAgent) receive(d dispatch, reply func(wire.Answer)) {
	if !a.up {
		return
	}
	if refusal, refused := a.refuse(d); refused {
		a.refusedDispatches[d.id] = true
		reply(refusal)
		return
	}
	if a.runs[d.id] != nil {
		return
	}
	r := a.world.startRun(d)
	a.runs[d.id] = r
	a.runsByClaim[d.claim] = r
	incarnation := a.incarnation
	a.world.clock.after(a.world.clock.between(2*time.Millisecond, 60*time.Millisecond), func() {
		if a.incarnation != incarnation {
			return
		}
		r.finished = true
		reply(answerOf(r))
	})
}

// refuse returns the refusal and true if the agent does not run the dispatch.
// Otherwise it records the dispatch's epoch.
func (a *claimAgent) refuse(d dispatch) (wire.Answer, bool) {
	refusal := wire.Answer{Outcome: wire.NotRun}
	switch {
	case a.refusedDispatches[d.id] || d.incarnation != a.incarnation:
		refusal.Reason = wire.ReasonCancelled
	case a.fenced && d.fence.Epoch < a.epoch:
		refusal.Reason = wire.ReasonStaleEpoch
	case a.runs[d.id] == nil && a.world.clock.chance(0.05):
		refusal.Reason = wire.ReasonQueueFull
	default:
		a.epoch = max(a.epoch, d.fence.Epoch)
		return refusal, false
	}
	return refusal, true
}

// settle returns the outcome of a dispatch. The agent refuses the dispatch from then
// on if it has not received it yet.
func (a *claimAgent) settle(d dispatch) wire.Answer {
	r := a.runs[d.id]
	switch {
	case d.incarnation != a.incarnation:
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonCrashed}
	case r == nil:
		a.refusedDispatches[d.id] = true
		return wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonConnection}
	case r.finished:
		return answerOf(r)
	default:
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonDeadline}
	}
}

// results returns the results of those claims whose runs finished at this agent.
// Bodies that are longer than maxBody are left out.
func (a *claimAgent) results(refs []wire.ClaimRef, maxBody int) []wire.ClaimResult {
	var results []wire.ClaimResult
	for _, ref := range refs {
		r := a.runsByClaim[ref]
		if r == nil || !r.finished {
			continue
		}
		result := wire.ClaimResult{Claim: ref, Outcome: wire.Answered}
		if answer := answerOf(r); len(answer.Body) <= maxBody {
			result.Kept, result.Status, result.Body = true, answer.Status, answer.Body
		}
		results = append(results, result)
	}
	return results
}

func answerOf(r *run) wire.Answer {
	return wire.Answer{Outcome: wire.Answered, Status: 200, Body: []byte(r.answer)}
}

// startRun records an execution and gives it an answer that differs from all others.
func (w *claimWorld) startRun(d dispatch) *run {
	w.runCount++
	r := &run{key: d.key, body: d.body, submissionID: d.submissionID}
	r.answer = fmt.Sprintf("%s/%s/run-%d", d.key, d.body, w.runCount)
	if w.runCount%7 == 0 { // every seventh answer is too long to be stored
		r.answer += longAnswerSuffix
	}
	w.recorder.recordRun(r)
	return r
}
