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

func (p *Pool) pollList(ctx context.Context) error {
	for {
		p.readList(ctx)
		p.mu.Lock()
		next := membership.NextPoll(time.Now(), p.opts.ID, p.entries, p.listed)
		if p.listed == 0 {
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

// readList takes the list in. When it cannot be read the last one stands: the
// agents' own heartbeats tell who lives.
func (p *Pool) readList(ctx context.Context) {
	all, err := p.opts.Lister.Instances(ctx, p.opts.Deployment)
	if err != nil {
		events.ListUnreadable.Log(p.opts.Log, logrus.Fields{"error": err.Error()})
		return
	}
	agents, entries := split(all)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = len(all)
	p.entries = entries
	p.apply(p.table.ApplyList(time.Now(), agents))
	p.rewatch()
}

func split(all []kv.Instance) (agents []membership.Instance, entries []string) {
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

// rewatch connects to the agents that this entry has to keep and lets go of
// the others. The caller holds the lock.
func (p *Pool) rewatch() {
	reachable := p.table.ConnectionCandidates()
	keep := map[string]time.Duration{}
	for _, k := range membership.SelectConnections(p.opts.ID, p.entries, reachable, membership.DefaultFanout(), p.opts.HeartbeatInterval) {
		keep[k.ID] = k.Interval
	}
	for id, peer := range p.peers {
		if keep[id] == 0 || p.table.Get(id).Address != peer.address {
			delete(p.peers, id)
			peer.shard.remove(peer)
			go peer.retire()
		}
	}
	for _, in := range reachable {
		if keep[in.ID] > 0 && p.peers[in.ID] == nil {
			p.peers[in.ID] = p.newPeer(in)
		}
		if peer := p.peers[in.ID]; peer != nil {
			peer.pace.Store(int64(keep[in.ID]))
		}
	}
}

func (p *Pool) newPeer(in membership.Instance) *peer {
	s := p.shards[in.Service]
	if s == nil {
		s = newShard(rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64())))
		p.shards[in.Service] = s
	}
	peer := newPeer(p, s, in, rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64())))
	s.add(peer)
	p.place(peer)
	return peer
}

// apply carries changes of the table over to the choice. The caller holds the
// lock.
func (p *Pool) apply(changes []membership.Change) {
	for _, c := range changes {
		if c.From != c.To {
			events.AgentState.Log(p.opts.Log, logrus.Fields{"agent": c.ID, "from": c.From.String(), "to": c.To.String()})
		}
		if peer := p.peers[c.ID]; peer != nil {
			p.place(peer)
		}
		if c.Notify {
			go p.tellLeaving(p.ctx, c.Address)
		}
	}
}

// tellLeaving tells an agent that the list says it leaves. Without it an entry
// whose turn to read the list comes later would go on sending it work.
func (p *Pool) tellLeaving(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, notifyLimit)
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
