package callers

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	tellPause = 30 * time.Millisecond
	tellTime  = 2 * time.Second
)

// tell hands a result to the owner as last heard, again and again until one
// takes it. It may arrive late, twice or never.
func (e *claimEntry) tell(t claims.SendResult, end time.Time) {
	now := e.world.clock.now
	if now.After(end) {
		return
	}
	again := func() {
		e.world.clock.after(tellPause, e.deliver(func() { e.tell(t, end) }))
	}
	owner := e.world.entryOf(e.owner)
	if owner == nil {
		again()
		return
	}
	r := t.Result
	r.Hold = max(0, t.NotBefore.Sub(now))
	told := claims.ResultsReceived{Results: []wire.ClaimResult{r}, Running: e.part.Running()}
	heard := false
	arrive := func() {
		if !owner.part.Owned() {
			return
		}
		owner.step(told)
		if !e.world.lost() {
			heard = true
		}
	}
	if !e.world.lost() {
		e.world.clock.after(e.world.netDelay(), owner.deliver(arrive))
	}
	e.world.clock.after(tellPause, e.deliver(func() {
		if !heard {
			again()
		}
	}))
}

// tellNotRun is the broken variant that says of what still runs that it never
// ran, as if silence proved it.
func (e *claimEntry) tellNotRun() {
	for _, ref := range e.part.Running() {
		t := claims.SendResult{Result: wire.ClaimResult{Claim: ref, Outcome: wire.NotRun}}
		e.tell(t, e.world.clock.now.Add(tellTime))
	}
}

// askAgents asks each agent for the answers of claims. Questions and answers
// may be lost and late; an agent may restart in between.
func (e *claimEntry) askAgents(ask claims.QueryAgents) {
	e.world.asked++
	for _, agent := range e.world.agents {
		if e.world.lost() {
			continue
		}
		e.world.clock.after(e.world.netDelay()+ask.Wait/2, func() {
			if !agent.up || e.world.lost() {
				return
			}
			told := claims.ResultsReceived{Results: agent.answers(ask.Refs, ask.MaxBody)}
			e.world.adopted += len(told.Results)
			e.world.clock.after(e.world.netDelay(), e.deliver(func() { e.step(told) }))
		})
	}
}
