package pool

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/membership"
	"siskinloom.example/siskinloom/internal/rpcconn"
	"siskinloom.example/siskinloom/internal/wire"
)

// pollList reads the list of instances whenever it is this entry's turn.
func (p *Pool) pollList(ctx context.Context) error {
	for {
		p.readList(ctx)
		p.mu.Lock()
		next := membership.NextPoll(time.Now(), p.opts.ID, p.entries, p.listLen)
		if p.listLen == 0 {
			next = time.Now().Add(time.Second)
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(next)):
		}
	}
}

// readList reads and applies the list. If it cannot be read, the previous one stays
// in use: the agents' heartbeats show which of them are alive.
func (p *Pool) readList(ctx context.Context) {
	all, err := p.opts.Lister.Instances(ctx, p.opts.Deployment)
	if err != nil {
		events.ListUnreadable.Log(p.opts.Log, logrus.Fields{"error": err.Error()})
		return
	}
	agents, entries := splitByRole(all)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLen = len(all)
	p.entries = entries
	p.applyChanges(p.table.ApplyList(time.Now(), agents))
	p.updateConnections()
}

// splitByRole returns the agents and the IDs of the entries that are not leaving.
func splitByRole(all []kv.Instance) (agents []membership.Instance, entries []string) {
	for _, in := range all {
		switch {
		case in.Role == roleAgent:
			agents = append(agents, membership.Instance{
				ID:      in.ID,
				Address: in.Address,
				Domain:  in.FailureDomain,
				Region:  in.Region,
				Service: in.Service,
				Leaving: in.Leaving,
			})
		case in.Role == roleEntry && !in.Leaving:
			entries = append(entries, in.ID)
		}
	}
	return agents, entries
}

// updateConnections connects to the agents that this entry has to stay connected to
// and closes the connections to the others. p.mu must be held.
func (p *Pool) updateConnections() {
	reachable := p.table.ConnectionCandidates()
	intervals := map[string]time.Duration{} // by ID of the agents to stay connected to
	for _, c := range membership.SelectConnections(p.opts.ID, p.entries, reachable, membership.DefaultFanout(), p.opts.HeartbeatInterval) {
		intervals[c.ID] = c.Interval
	}
	for id, peer := range p.peers {
		if intervals[id] == 0 || p.table.Get(id).Address != peer.address {
			delete(p.peers, id)
			peer.shard.remove(peer)
			go peer.closeWhenIdle()
		}
	}
	for _, in := range reachable {
		if intervals[in.ID] > 0 && p.peers[in.ID] == nil {
			p.peers[in.ID] = p.newPeer(in)
		}
		if peer := p.peers[in.ID]; peer != nil {
			peer.heartbeatInterval.Store(int64(intervals[in.ID]))
		}
	}
}

// newPeer adds a peer for an agent. p.mu must be held.
func (p *Pool) newPeer(in membership.Instance) *peer {
	s := p.shards[in.Service]
	if s == nil {
		s = newShard(rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64())))
		p.shards[in.Service] = s
	}
	peer := newPeer(p, s, in, rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64())))
	s.add(peer)
	p.updateLeaving(peer)
	return peer
}

// applyChanges applies changes of the membership table to the peers. p.mu must be
// held.
func (p *Pool) applyChanges(changes []membership.Change) {
	for _, c := range changes {
		if c.From != c.To {
			events.AgentState.Log(p.opts.Log, logrus.Fields{"agent": c.ID, "from": c.From.String(), "to": c.To.String()})
		}
		if peer := p.peers[c.ID]; peer != nil {
			p.updateLeaving(peer)
		}
		if c.Notify {
			go p.notifyLeaving(p.ctx, c.Address)
		}
	}
}

// notifyLeaving tells an agent that the list marks it as leaving. Otherwise an entry
// that reads the list later would continue to send it requests.
func (p *Pool) notifyLeaving(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	conn, err := p.opts.Dial(ctx, address)
	if err != nil {
		return
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	req := wire.HeartbeatRequest{From: p.opts.ID, Domain: p.opts.Domain, ListedLeaving: true}
	var reply wire.HeartbeatReply
	_ = rpcconn.Call(ctx, client, methodHeartbeat, req, &reply)
}
