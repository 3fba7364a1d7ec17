package daemon

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodConfigure = wire.AgentService + ".Configure"
	pushTimeout     = 2 * time.Second
)

// fillAgentRequest fills in a heartbeat request to an agent. The epochs of the
// duties allow the agent to reject orders of a holder that was replaced.
func (e *entryProcess) fillAgentRequest(req *wire.HeartbeatRequest) {
	req.Revisions = e.configState.Revisions()
	req.Leaving = e.server.Leaving()
	req.Quarantine = e.poison.List()
	for _, h := range e.keeper.Holders() {
		req.Fences = append(req.Fences, wire.Fence{Duty: h.Duty, Epoch: h.Epoch})
	}
}

// handleAgentReply records an agent's reply to a heartbeat and sends the agent the
// configuration that it lacks.
func (e *entryProcess) handleAgentReply(reply wire.HeartbeatReply) {
	e.reports.record(reply)
	e.poison.ApplyHeartbeat(reply.Suspects, reply.Quarantine)
	missing, ok := e.configState.UpdateFor(reply.Revisions)
	if !ok || !e.beginPush(reply.From) {
		return
	}
	go func() {
		defer e.endPush(reply.From)
		agent, ok := e.pool.Agent(reply.From)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, pushTimeout)
		defer cancel()
		var none struct{}
		// A failed push is repeated after the next heartbeat.
		_ = agent.Call(ctx, methodConfigure, missing, &none)
	}()
}

// beginPush returns false if a push to the agent is already in progress.
func (e *entryProcess) beginPush(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pushing[id] {
		return false
	}
	e.pushing[id] = true
	return true
}

func (e *entryProcess) endPush(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pushing, id)
}
