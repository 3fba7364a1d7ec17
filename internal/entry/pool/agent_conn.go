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

// agentConn is one connection to an agent.
type agentConn struct {
	conn        net.Conn
	client      *rpc.Client
	ackedFences atomic.Uint64 // hash of the fences that the agent has acknowledged; 0: none
}

// dial opens a connection to an agent.
func (p *Pool) dial(ctx context.Context, address string) (*agentConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	guarded := rpcconn.WithWriteTimeout(c)
	return &agentConn{conn: guarded, client: rpc.NewClient(guarded)}, nil
}

// close closes the connection. Calls in flight on it return an error.
func (c *agentConn) close() {
	_ = c.conn.Close()
	_ = c.client.Close()
}

// heartbeat sends a heartbeat and reads the reply. It sends the fences only when they
// have changed, because with many duties they would make up most of every
// heartbeat. A connection leads to a single process of the agent, which stores the
// highest epochs it has received, so fences that were acknowledged on this
// connection need not be sent on it again. A new process has a new connection.
func (c *agentConn) heartbeat(ctx context.Context, req wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	hash := hashFences(req.Fences)
	if hash == c.ackedFences.Load() {
		req.Fences = nil
	}
	if err := rpcconn.Call(ctx, c.client, methodHeartbeat, req, reply); err != nil {
		return err
	}
	c.ackedFences.Store(hash)
	return nil
}

// hashFences returns a hash of the fences in their order. It is never 0.
func hashFences(fences []wire.Fence) uint64 {
	h := fnv.New64a()
	for _, f := range fences {
		_, _ = h.Write([]byte(f.Duty + "\x00" + strconv.FormatInt(f.Epoch, 10) + "\x00"))
	}
	return max(h.Sum64(), 1)
}
