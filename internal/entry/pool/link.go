package pool

import (
	"context"
	"hash/fnv"
	"net"
	"net/rpc"
	"strconv"
	"sync/atomic"

	"siskinloom.example/siskinloom/internal/rpcconn"
	"siskinloom.example/siskinloom/internal/wire"
)

// link is one connection to an agent.
type link struct {
	conn   net.Conn
	client *rpc.Client
	fences atomic.Uint64 // hash of the fences that the agent has answered; 0: none
}

func (p *Pool) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	c, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	limited := rpcconn.WithWriteTimeout(c)
	return &link{conn: limited, client: rpc.NewClient(limited)}, nil
}

// close ends every call in flight with an error.
func (l *link) close() {
	_ = l.conn.Close()
	_ = l.client.Close()
}

// beat exchanges a heartbeat. Fences are sent when they have changed: with many
// duties they would be most of every heartbeat. A connection ends at one process
// of the agent, which keeps the highest epochs it was told, so what it answered
// once on this connection it knows for good; a new process has a new connection.
func (l *link) beat(ctx context.Context, req wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	hash := hashFences(req.Fences)
	if hash == l.fences.Load() {
		req.Fences = nil
	}
	if err := rpcconn.Call(ctx, l.client, methodHeartbeat, req, reply); err != nil {
		return err
	}
	l.fences.Store(hash)
	return nil
}

// hashFences is equal for equal fences in the same order, and never 0.
func hashFences(fences []wire.Fence) uint64 {
	h := fnv.New64a()
	for _, f := range fences {
		_, _ = h.Write([]byte(f.Duty + "\x00" + strconv.FormatInt(f.Epoch, 10) + "\x00"))
	}
	return max(h.Sum64(), 1)
}
