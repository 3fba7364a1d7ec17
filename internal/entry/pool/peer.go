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
	// spareAge is how long a connection made by CallFresh serves further ones,
	// so that many requests in flight on a connection that went silent are
	// settled over one new connection and not one each.
	spareAge = time.Second
	// freshMargin is what a call on a fresh connection may take over what the
	// agent was asked to wait, freshDefault what any other may.
	freshMargin  = time.Second
	freshDefault = 5 * time.Second
	// retireLimit is how long a peer that is no longer kept may finish what is
	// in flight on it.
	retireLimit = time.Minute
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

	// Guarded by shard.mu.
	candidate choose.Candidate
	calls     int                   // not answered yet
	streams   map[string]openStream // by request id

	pace     atomic.Int64 // nanoseconds between heartbeats on an idle connection
	mu       sync.Mutex
	monitor  *conn.Monitor
	standing *link
	fresh    *link
	opening  int // counts attempts to connect; an older one's outcome is not heard
	spare    *link
	spareAt  time.Time
	target   wire.Target
	closed   bool
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

// Call implements entry.Endpoint. After an error the reply must not be read: the
// answer may still come.
func (p *peer) Call(ctx context.Context, method string, args, reply any) error {
	p.mu.Lock()
	l := p.standing
	p.mu.Unlock()
	if l == nil {
		return errors.Wrap(entry.ErrNotSent, errNoConnection.Error())
	}
	p.shard.begin(p, method, args)
	err := rpcconn.Call(ctx, l.client, method, args, reply)
	p.shard.end(p, method, args, reply, err)
	p.outcome(l, ctx, err, reply)
	return err
}

// CallFresh implements entry.Endpoint.
func (p *peer) CallFresh(ctx context.Context, method string, args, reply any) error {
	l, err := p.spareLink(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(entry.ErrGone, err.Error())
	}
	if err != nil {
		return errors.Wrap(entry.ErrNotSent, err.Error())
	}
	limited, cancel := context.WithTimeout(ctx, freshLimit(args))
	defer cancel()
	if err := rpcconn.Call(limited, l.client, method, args, reply); err != nil {
		if ctx.Err() == nil {
			p.dropSpare(l)
		}
		return err
	}
	p.reported(reply)
	return nil
}

// freshLimit returns how long a call on a fresh connection may take. Without it
// a second connection that goes silent too would hold its calls up to their
// requests' deadlines, and they would end "unknown" though a third one works.
func freshLimit(args any) time.Duration {
	switch a := args.(type) {
	case wire.SettleRequest:
		return a.Wait + freshMargin
	case wire.ReadRequest:
		return a.Wait + freshMargin
	default:
		return freshDefault
	}
}

// spareLink returns a connection that was made within spareAge. Requests that
// ask for one at the same moment share it.
func (p *peer) spareLink(ctx context.Context) (*link, error) {
	p.mu.Lock()
	if p.spare != nil && time.Since(p.spareAt) < spareAge {
		defer p.mu.Unlock()
		return p.spare, nil
	}
	p.mu.Unlock()
	l, err := p.pool.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spare != nil && time.Since(p.spareAt) < spareAge {
		go l.close()
		return p.spare, nil
	}
	if old := p.spare; old != nil {
		// Settle calls may still wait on it.
		time.AfterFunc(retireLimit, old.close)
	}
	p.spare, p.spareAt = l, time.Now()
	return l, nil
}

func (p *peer) dropSpare(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spare == l {
		p.spare = nil
	}
	go l.close()
}

// outcome tells the monitor what a call says about its connection.
func (p *peer) outcome(l *link, ctx context.Context, err error, reply any) {
	if err == nil {
		p.reported(reply)
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	which, current := p.which(l)
	switch {
	case !current:
	case err == nil || rpcconn.IsServerError(err):
		p.apply(p.monitor.Answered(now, which))
	case ctx.Err() == nil:
		p.broke(now, l, which)
	}
}

// broke forgets a connection that ended by itself. The caller holds the lock.
func (p *peer) broke(now time.Time, l *link, which conn.Connection) {
	go l.close()
	if which == conn.Candidate {
		p.fresh = nil
	}
	p.apply(p.monitor.Failed(now, which))
}

func (p *peer) which(l *link) (conn.Connection, bool) {
	switch l {
	case p.standing:
		return conn.Active, true
	case p.fresh:
		return conn.Candidate, true
	default:
		return 0, false
	}
}

// reported takes the load that rides on a reply into account.
func (p *peer) reported(reply any) {
	if load, some := loadOf(reply); some {
		p.shard.report(p, time.Now(), load)
	}
}

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

func (p *peer) tick(now time.Time) {
	busy := p.shard.waiting(p, now) > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.monitor.SetInterval(time.Duration(p.pace.Load()))
	p.apply(p.monitor.Tick(now, busy))
}

// apply carries out the monitor's actions. The caller holds the lock.
func (p *peer) apply(actions []conn.Action) {
	for _, a := range actions {
		switch a.Kind {
		case conn.SendHeartbeat:
			go p.beat(p.linkOf(a.Connection))
		case conn.OpenCandidate:
			p.opening++
			go p.open(p.opening)
		case conn.CloseCandidate:
			p.opening++
			p.closeLink(&p.fresh)
		case conn.PromoteCandidate:
			p.standing, p.fresh = p.fresh, nil
		case conn.CloseActive:
			p.giveUp(a.Verdict)
		case conn.Suspend:
			p.shard.setSuspect(p, true)
		case conn.Resume:
			p.shard.setSuspect(p, false)
		case conn.Unreachable:
			go p.pool.silent(p.id)
		}
	}
}

// giveUp closes the standing connection. The calls in flight on it end with an
// error, and their requests are settled on a new connection.
func (p *peer) giveUp(verdict conn.Verdict) {
	p.closeLink(&p.standing)
	switch verdict {
	case conn.ConnectionSilent:
		p.pool.count("connection_silent")
		events.ConnectionSilent.Log(p.pool.opts.Log, logrus.Fields{"agent": p.id})
	case conn.PeerDown:
		p.pool.count("agent_unreachable")
		events.AgentUnreachable.Log(p.pool.opts.Log, logrus.Fields{"agent": p.id})
	}
}

func (p *peer) linkOf(which conn.Connection) *link {
	if which == conn.Active {
		return p.standing
	}
	return p.fresh
}

func (p *peer) closeLink(l **link) {
	if *l != nil {
		go (*l).close()
		*l = nil
	}
}

// open makes a fresh connection.
func (p *peer) open(attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	l, err := p.pool.dial(ctx, p.address)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || attempt != p.opening:
		if l != nil {
			go l.close()
		}
	case err != nil:
		p.apply(p.monitor.Failed(now, conn.Candidate))
	default:
		p.fresh = l
		p.apply(p.monitor.Opened(now))
	}
}

// beat sends a heartbeat. Its answer may come after the connection was given
// up; then it counts for nothing but the agent's word.
func (p *peer) beat(l *link) {
	if l == nil {
		return
	}
	var reply wire.HeartbeatReply
	err := l.beat(context.Background(), p.pool.heartbeat(p), &reply)
	if err == nil && reply.From == p.id {
		p.heard(reply)
	}
	if err == nil {
		p.pool.heard(p, reply)
	}
	p.outcome(l, context.Background(), err, &reply)
}

// heard keeps the process that the next requests are pinned to.
func (p *peer) heard(reply wire.HeartbeatReply) {
	p.mu.Lock()
	sameRun := p.target.Incarnation == reply.Target.Incarnation
	if !sameRun || reply.Target.Uptime > p.target.Uptime {
		p.target = reply.Target
	}
	p.mu.Unlock()
	p.shard.setReady(p, reply.Ready)
}

// retire lets what is in flight finish and closes the connections.
func (p *peer) retire() {
	end := time.Now().Add(retireLimit)
	for p.shard.waiting(p, time.Now()) > 0 && time.Now().Before(end) {
		time.Sleep(tickEvery)
	}
	p.close()
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeLink(&p.standing)
	p.closeLink(&p.fresh)
	p.closeLink(&p.spare)
}
