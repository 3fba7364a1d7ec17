package daemon

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodConfigure = wire.AgentService + ".Configure"
	pushLimit       = 2 * time.Second
)

// toAgent adds what an agent is told: the epochs of the duties, so that it
// refuses a holder that was replaced.
func (e *entryProcess) toAgent(req *wire.HeartbeatRequest) {
	req.Revisions = e.holder.Revisions()
	req.Leaving = e.server.Leaving()
	req.Quarantine = e.poison.List()
	for _, h := range e.keeper.Holders() {
		req.Fences = append(req.Fences, wire.Fence{Duty: h.Duty, Epoch: h.Epoch})
	}
}

// agentReplied brings an agent the configuration that it lacks.
func (e *entryProcess) agentReplied(reply wire.HeartbeatReply) {
	e.heard.note(reply)
	e.poison.ApplyHeartbeat(reply.Suspects, reply.Quarantine)
	lacking, ok := e.holder.UpdateFor(reply.Revisions)
	if !ok || !e.beginPush(reply.From) {
		return
	}
	go func() {
		defer e.endPush(reply.From)
		agent, ok := e.pool.Agent(reply.From)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, pushLimit)
		defer cancel()
		var none struct{}
		// A push that is lost is made again after the next heartbeat.
		_ = agent.Call(ctx, methodConfigure, lacking, &none)
	}()
}

// beginPush allows one push at a time to an agent.
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
