package callers

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	resultRetryInterval = 30 * time.Millisecond
	resultSendTimeout   = 2 * time.Second
)

// sendResult sends a result to the last known owner and retries until an owner accepts
// it or the deadline is over. The result may arrive late, twice or never.
func (e *claimEntry) sendResult(message claims.SendResult, deadline time.Time) {
	now := e.world.clock.now
	if now.After(deadline) {
		return
	}
	retry := func() {
		e.world.clock.after(resultRetryInterval, e.bind(func() { e.sendResult(message, deadline) }))
	}
	owner := e.world.entryByIdentity(e.owner)
	if owner == nil {
		retry()
		return
	}
	result := message.Result
	result.Hold = max(0, message.NotBefore.Sub(now))
	received := claims.ResultsReceived{Results: []wire.ClaimResult{result}, Running: e.partition.Running()}
	delivered := false
	deliver := func() {
		if !owner.partition.Owned() {
			return
		}
		owner.step(received)
		if !e.world.messageLost() {
			delivered = true
		}
	}
	if !e.world.messageLost() {
		e.world.clock.after(e.world.messageDelay(), owner.bind(deliver))
	}
	e.world.clock.after(resultRetryInterval, e.bind(func() {
		if !delivered {
			retry()
		}
	}))
}

// sendFalseNotRun reports requests that still run as "not run". It runs only if the
// safeguard resultAfterRun is disabled.
func (e *claimEntry) sendFalseNotRun() {
	for _, ref := range e.partition.Running() {
		message := claims.SendResult{Result: wire.ClaimResult{Claim: ref, Outcome: wire.NotRun}}
		e.sendResult(message, e.world.clock.now.Add(resultSendTimeout))
	}
}

// queryAgents queries each agent for the results of claims. Queries and replies may be
// lost or late, and an agent may restart in between.
func (e *claimEntry) queryAgents(query claims.QueryAgents) {
	e.world.agentQueries++
	for _, agent := range e.world.agents {
		if e.world.messageLost() {
			continue
		}
		e.world.clock.after(e.world.messageDelay()+query.Wait/2, func() {
			if !agent.up || e.world.messageLost() {
				return
			}
			received := claims.ResultsReceived{Results: agent.results(query.Refs, query.MaxBody)}
			e.world.agentResults += len(received.Results)
			e.world.clock.after(e.world.messageDelay(), e.bind(func() { e.step(received) }))
		})
	}
}
