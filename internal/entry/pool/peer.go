package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/choose"
	"siskinloom.example/siskinloom/internal/policy/conn"
	"siskinloom.example/siskinloom/internal/policy/membership"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/rpcconn"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// freshConnReuse is how long further calls of CallFresh reuse a connection that
	// CallFresh opened, so that many requests in flight on a connection that went
	// silent are settled on one new connection instead of one each.
	freshConnReuse = time.Second
	// freshCallMargin is the time that a call on a fresh connection may take in
	// addition to the time for which the agent was asked to wait.
	// defaultFreshCallTimeout is the timeout of calls without such a wait.
	freshCallMargin         = time.Second
	defaultFreshCallTimeout = 5 * time.Second
	// maxCloseDelay is how long calls in flight may continue on the connections of a
	// removed peer and on a replaced fresh connection.
	maxCloseDelay = time.Minute
)

// errNoConnection is the cause of entry.ErrNotSent while an agent is not connected.
var errNoConnection = errors.New("pool: no connection to the agent")

// peer is one agent with its connections. It implements entry.Endpoint.
type peer struct {
	pool    *Pool
	shard   *shard
	id      string
	address string
	service string

	// Protected by shard.mu.
	candidate    choose.Candidate
	pendingCalls int                   // calls without a response
	streams      map[string]openStream // by request ID

	heartbeatInterval atomic.Int64 // on an idle connection, in nanoseconds

	mu            sync.Mutex
	monitor       *conn.Monitor
	activeConn    *agentConn  // carries the requests
	candidateConn *agentConn  // opened to replace activeConn, or while there is none
	openAttempt   int         // number of the last attempt to open candidateConn; the results of older ones are ignored
	freshConn     *agentConn  // opened by CallFresh
	freshConnAt   time.Time   // when freshConn was opened
	target        wire.Target // the agent process that answered last
	closed        bool
}

func newPeer(pool *Pool, s *shard, in membership.Instance, rng *rand.Rand) *peer {
	return &peer{
		pool:    pool,
		shard:   s,
		id:      in.ID,
		address: in.Address,
		service: in.Service,
		candidate: choose.Candidate{
			ID:      in.ID,
			Key:     rendezvous.Key(in.ID),
			Domain:  in.Domain,
			Suspect: true,
		},
		streams: map[string]openStream{},
		monitor: conn.New(conn.DefaultConfig(pool.opts.HeartbeatInterval), rng, time.Now()),
	}
}

// ID implements entry.Endpoint.
func (p *peer) ID() string { return p.id }

// Target implements entry.Endpoint.
func (p *peer) Target() wire.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Call implements entry.Endpoint. After an error the caller must not read reply,
// because the response may still arrive.
func (p *peer) Call(ctx context.Context, method string, args, reply any) error {
	p.mu.Lock()
	c := p.activeConn
	p.mu.Unlock()
	if c == nil {
		return errors.Wrap(entry.ErrNotSent, errNoConnection.Error())
	}
	p.shard.startCall(p, method, args)
	err := rpcconn.Call(ctx, c.client, method, args, reply)
	p.shard.endCall(p, method, args, reply, err)
	p.reportOutcome(c, ctx, err, reply)
	return err
}

// CallFresh implements entry.Endpoint.
func (p *peer) CallFresh(ctx context.Context, method string, args, reply any) error {
	c, err := p.getFreshConn(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(entry.ErrGone, err.Error())
	}
	if err != nil {
		return errors.Wrap(entry.ErrNotSent, err.Error())
	}
	callCtx, cancel := context.WithTimeout(ctx, freshCallTimeout(args))
	defer cancel()
	if err := rpcconn.Call(callCtx, c.client, method, args, reply); err != nil {
		if ctx.Err() == nil {
			p.closeFreshConn(c)
		}
		return err
	}
	p.updateLoad(reply)
	return nil
}

// freshCallTimeout returns the timeout of a call on a fresh connection. Without it, a
// fresh connection that goes silent too would block its calls until the deadlines of
// their requests, which would end as "unknown" although a third connection works.
func freshCallTimeout(args any) time.Duration {
	switch a := args.(type) {
	case wire.SettleRequest:
		return a.Wait + freshCallMargin
	case wire.ReadRequest:
		return a.Wait + freshCallMargin
	default:
		return defaultFreshCallTimeout
	}
}

// getFreshConn returns a connection that was opened within the last freshConnReuse,
// and opens one if there is none. Concurrent callers share it.
func (p *peer) getFreshConn(ctx context.Context) (*agentConn, error) {
	p.mu.Lock()
	if p.freshConn != nil && time.Since(p.freshConnAt) < freshConnReuse {
		defer p.mu.Unlock()
		return p.freshConn, nil
	}
	p.mu.Unlock()
	c, err := p.pool.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freshConn != nil && time.Since(p.freshConnAt) < freshConnReuse {
		go c.close()
		return p.freshConn, nil
	}
	if old := p.freshConn; old != nil {
		// Settle calls may still be in flight on it.
		time.AfterFunc(maxCloseDelay, old.close)
	}
	p.freshConn, p.freshConnAt = c, time.Now()
	return c, nil
}

// closeFreshConn closes a fresh connection.
func (p *peer) closeFreshConn(c *agentConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freshConn == c {
		p.freshConn = nil
	}
	go c.close()
}

// reportOutcome reports to the monitor what the end of a call shows about the
// connection.
func (p *peer) reportOutcome(c *agentConn, ctx context.Context, err error, reply any) {
	if err == nil {
		p.updateLoad(reply)
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	which, monitored := p.connectionOf(c)
	switch {
	case !monitored:
	case err == nil || rpcconn.IsServerError(err):
		p.applyActions(p.monitor.Answered(now, which))
	case ctx.Err() == nil:
		p.connectionFailed(now, c, which)
	}
}

// connectionFailed closes a connection that failed and reports it to the monitor.
// p.mu must be held.
func (p *peer) connectionFailed(now time.Time, c *agentConn, which conn.Connection) {
	go c.close()
	if which == conn.Candidate {
		p.candidateConn = nil
	}
	p.applyActions(p.monitor.Failed(now, which))
}

// connectionOf returns which of the monitored connections c is. It returns false if
// c is neither of them any more. p.mu must be held.
func (p *peer) connectionOf(c *agentConn) (conn.Connection, bool) {
	switch c {
	case p.activeConn:
		return conn.Active, true
	case p.candidateConn:
		return conn.Candidate, true
	default:
		return 0, false
	}
}

// updateLoad sets the endpoint's load if the reply contains it.
func (p *peer) updateLoad(reply any) {
	if load, ok := loadOf(reply); ok {
		p.shard.setLoad(p, time.Now(), load)
	}
}

// loadOf returns the load that a reply contains, if any.
func loadOf(reply any) (wire.Load, bool) {
	switch r := reply.(type) {
	case *wire.Answer:
		return r.Load, true
	case *wire.ReadReply:
		return r.End.Load, true
	case *wire.HeartbeatReply:
		return r.Load, true
	case *wire.Started:
		return r.Answer.Load, !r.Accepted
	default:
		return wire.Load{}, false
	}
}

// tick advances the monitor.
func (p *peer) tick(now time.Time) {
	busy := p.shard.countPendingCalls(p, now) > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.monitor.SetInterval(time.Duration(p.heartbeatInterval.Load()))
	p.applyActions(p.monitor.Tick(now, busy))
}

// applyActions executes the monitor's actions. p.mu must be held.
func (p *peer) applyActions(actions []conn.Action) {
	for _, a := range actions {
		switch a.Kind {
		case conn.SendHeartbeat:
			go p.sendHeartbeat(p.connFor(a.Connection))
		case conn.OpenCandidate:
			p.openAttempt++
			go p.openCandidate(p.openAttempt)
		case conn.CloseCandidate:
			p.openAttempt++
			p.closeConn(&p.candidateConn)
		case conn.PromoteCandidate:
			p.activeConn, p.candidateConn = p.candidateConn, nil
		case conn.CloseActive:
			p.closeActive(a.Verdict)
		case conn.Suspend:
			p.shard.setSuspect(p, true)
		case conn.Resume:
			p.shard.setSuspect(p, false)
		case conn.Unreachable:
			go p.pool.markUnresponsive(p.id)
		}
	}
}

// closeActive closes the active connection. The calls in flight on it return an
// error, and their requests are settled on a new connection. p.mu must be held.
func (p *peer) closeActive(verdict conn.Verdict) {
	p.closeConn(&p.activeConn)
	switch verdict {
	case conn.ConnectionSilent:
		p.pool.incCounter("connection_silent")
		events.ConnectionSilent.Log(p.pool.opts.Log, logrus.Fields{"agent": p.id})
	case conn.PeerDown:
		p.pool.incCounter("agent_unreachable")
		events.AgentUnreachable.Log(p.pool.opts.Log, logrus.Fields{"agent": p.id})
	}
}

// connFor returns the given connection, or nil if there is none. p.mu must be held.
func (p *peer) connFor(which conn.Connection) *agentConn {
	if which == conn.Active {
		return p.activeConn
	}
	return p.candidateConn
}

// closeConn closes a connection, if there is one, and clears its field.
func (p *peer) closeConn(c **agentConn) {
	if *c != nil {
		go (*c).close()
		*c = nil
	}
}

// openCandidate opens the candidate connection.
func (p *peer) openCandidate(attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.pool.dial(ctx, p.address)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || attempt != p.openAttempt:
		if c != nil {
			go c.close()
		}
	case err != nil:
		p.applyActions(p.monitor.Failed(now, conn.Candidate))
	default:
		p.candidateConn = c
		p.applyActions(p.monitor.Opened(now))
	}
}

// sendHeartbeat sends a heartbeat and handles the reply. If the reply arrives after
// the connection was closed, the monitor ignores it, but its content is still used.
func (p *peer) sendHeartbeat(c *agentConn) {
	if c == nil {
		return
	}
	var reply wire.HeartbeatReply
	err := c.heartbeat(context.Background(), p.pool.heartbeat(p), &reply)
	if err == nil && reply.From == p.id {
		p.updateFromHeartbeat(reply)
	}
	if err == nil {
		p.pool.handleHeartbeatReply(p, reply)
	}
	p.reportOutcome(c, context.Background(), err, &reply)
}

// updateFromHeartbeat updates the process to which the next requests are pinned, and
// whether the endpoint is ready.
func (p *peer) updateFromHeartbeat(reply wire.HeartbeatReply) {
	p.mu.Lock()
	sameProcess := p.target.Incarnation == reply.Target.Incarnation
	if !sameProcess || reply.Target.Uptime > p.target.Uptime {
		p.target = reply.Target
	}
	p.mu.Unlock()
	p.shard.setReady(p, reply.Ready)
}

// closeWhenIdle waits until no calls are in flight, at most for maxCloseDelay, and
// closes the connections.
func (p *peer) closeWhenIdle() {
	deadline := time.Now().Add(maxCloseDelay)
	for p.shard.countPendingCalls(p, time.Now()) > 0 && time.Now().Before(deadline) {
		time.Sleep(tickInterval)
	}
	p.close()
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeConn(&p.activeConn)
	p.closeConn(&p.candidateConn)
	p.closeConn(&p.freshConn)
}
