package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	maxReadWait = 10 * time.Second
	// suspicionAge is how long a crash is told on heartbeats.
	suspicionAge = time.Minute
)

// rpcServer is the agent's side of the inner protocol.
type rpcServer struct{ a *Agent }

// Do runs a request to its end and replies with its answer.
func (s *rpcServer) Do(req wire.Request, reply *wire.Answer) error {
	*reply = s.a.do(req)
	reply.ID = req.ID
	reply.Load = s.a.load()
	return nil
}

// Start begins a stream, which Read then follows.
func (s *rpcServer) Start(req wire.Request, reply *wire.Started) error {
	if refusal, refused := s.a.refusal(req); refused {
		reply.Answer = refusal
		reply.Answer.Load = s.a.load()
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), req.Remaining)
	r, fresh := s.a.requests.accept(req.ID, s.a.uptime(), cancel)
	reply.Accepted = true
	if !fresh {
		cancel()
		return nil
	}
	go func() {
		defer cancel()
		s.a.runStream(ctx, req, r)
	}()
	return nil
}

// Read returns a stream's tokens from an offset on.
func (s *rpcServer) Read(req wire.ReadRequest, reply *wire.ReadReply) error {
	r := s.a.requests.find(req.ID)
	if r == nil {
		*reply = wire.ReadReply{Done: true, End: wire.Answer{ID: req.ID, Outcome: wire.Unknown, Reason: wire.ReasonConnection, Detail: "the agent does not know this stream"}}
	} else {
		*reply = r.read(req.Offset, min(req.Wait, maxReadWait), min(req.Gather, maxReadWait))
	}
	reply.ID = req.ID
	reply.End.Load = s.a.load()
	return nil
}

// Cancel ends a request whose answer nobody waits for.
func (s *rpcServer) Cancel(req wire.CancelRequest, _ *struct{}) error {
	if r := s.a.requests.find(req.ID); r != nil {
		r.cancel()
	}
	return nil
}

// Settle tells what became of a request. One that this run of the agent has
// never seen is refused from now on.
func (s *rpcServer) Settle(req wire.SettleRequest, reply *wire.Answer) error {
	*reply = s.a.settle(req)
	reply.ID = req.ID
	reply.Load = s.a.load()
	return nil
}

// Heartbeat answers an entry's sign of life.
func (s *rpcServer) Heartbeat(req wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	a := s.a
	a.fences.raise(req.Fences)
	a.orders.ObserveFences(req.Fences)
	if req.ListedLeaving {
		a.listedAt.Store(int64(a.uptime()))
	}
	a.conf.Heard(context.Background(), config.Peer{ID: req.From, Domain: req.Domain}, req.Revisions, time.Time{})
	reply.Revisions = a.conf.Revisions()
	a.queue.SetAgentCount(req.Peers)
	reply.From = a.settings.ID
	reply.Target = wire.Target{Incarnation: a.incarnation, Uptime: a.uptime()}
	reply.Domain = a.settings.FailureDomain
	reply.Service = a.settings.Service
	reply.Load = a.load()
	reply.EngineRole, _ = a.role.Load().(string)
	reply.Suspects = a.crashes.recent(time.Now())
	reply.Quarantine = a.crashes.learn(time.Now(), req.Quarantine)
	reply.Ready = a.Ready()
	return nil
}

// Configure takes in the configuration that an entry found this agent to lack.
func (s *rpcServer) Configure(reply wire.ConfigReply, _ *struct{}) error {
	return s.a.conf.Put(reply)
}

// Order carries out a weights owner's order at the endpoint.
func (s *rpcServer) Order(o wire.Order, reply *wire.OrderReply) error {
	if s.a.leaving.Load() {
		*reply = wire.OrderReply{Outcome: wire.NotRun, Reason: wire.ReasonLeaving}
		return nil
	}
	if o.Kind == wire.OrderStatus && s.a.down.Load() {
		s.a.orders.ObserveFences([]wire.Fence{o.Fence})
		*reply = wire.OrderReply{Outcome: wire.NotRun, Reason: wire.ReasonNoEndpoint}
		return nil
	}
	*reply = s.a.orders.Handle(context.Background(), o)
	if o.Kind == wire.OrderSwap && reply.Outcome == wire.Answered {
		s.a.version.Store(reply.Version)
	}
	return nil
}

// Chunk gives a piece of weights to another agent.
func (s *rpcServer) Chunk(id wire.ChunkRequest, reply *wire.ChunkReply) error {
	*reply = s.a.orders.Chunk(context.Background(), id)
	return nil
}

// refusal tells why a request may not start here, if it may not.
func (a *Agent) refusal(req wire.Request) (wire.Answer, bool) {
	refused := func(reason wire.Reason) (wire.Answer, bool) {
		return wire.Answer{ID: req.ID, Outcome: wire.NotRun, Reason: reason}, true
	}
	if a.isLeaving() {
		return refused(wire.ReasonLeaving)
	}
	if !a.holds(req.Target) {
		return refused(wire.ReasonNotReady)
	}
	if !a.fences.pass(req.Fence) {
		return refused(wire.ReasonStaleEpoch)
	}
	if a.crashes.blocked(time.Now(), req) {
		return refused(wire.ReasonQuarantined)
	}
	return wire.Answer{}, false
}

// holds tells whether this run of the agent remembers everything sent to the
// target. Past the horizon a refusal given in advance may be forgotten, and a
// request that comes that late could run after its caller was told "not run".
func (a *Agent) holds(target wire.Target) bool {
	if target.Incarnation != a.incarnation {
		return false
	}
	return target.Uptime >= horizon(a.uptime())
}

func (a *Agent) do(req wire.Request) wire.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), req.Remaining)
	defer cancel()
	if r := a.requests.find(req.ID); r != nil {
		return a.await(r, req.Remaining)
	}
	if refusal, refused := a.refusal(req); refused {
		return refusal
	}
	r, fresh := a.requests.accept(req.ID, a.uptime(), cancel)
	if !fresh {
		return a.await(r, req.Remaining)
	}
	a.claims.note(req.Claim, r)
	answer := a.queue.Run(ctx, req, func(ctx context.Context) wire.Answer {
		return a.watchCrash(req, func() wire.Answer { return a.endpoint.call(ctx, req) })
	})
	r.finish(a.uptime(), answer)
	return answer
}

func (a *Agent) runStream(ctx context.Context, req wire.Request, r *record) {
	had := req.Resume.Tokens
	answer := a.queue.Run(ctx, req, func(ctx context.Context) wire.Answer {
		// After a preemption the engine goes on behind what was already read.
		resumed := req
		resumed.Resume.Tokens = append(append([]string(nil), had...), r.allTokens()...)
		return a.watchCrash(req, func() wire.Answer { return a.endpoint.stream(ctx, resumed, r.add) })
	})
	answer.ID = req.ID
	r.finish(a.uptime(), answer)
}

func (a *Agent) await(r *record, wait time.Duration) wire.Answer {
	answer, done := r.waitDone(wait)
	if !done {
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonDeadline}
	}
	return answer
}

func (a *Agent) settle(req wire.SettleRequest) wire.Answer {
	if r := a.requests.find(req.ID); r != nil {
		answer, done := r.waitDone(req.Wait)
		if !done {
			return wire.Answer{Outcome: wire.Running}
		}
		return answer
	}
	if !a.holds(req.Target) {
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonConnection, Detail: "the agent that had the request is gone"}
	}
	answer, _ := a.requests.refuse(req.ID, a.uptime()).waitDone(req.Wait)
	return answer
}

// watchCrash runs a request at the endpoint and notes if that broke it off.
func (a *Agent) watchCrash(req wire.Request, run func() wire.Answer) wire.Answer {
	a.crashes.begin(req)
	defer a.crashes.end(req)
	begun := time.Now()
	answer := run()
	if answer.Reason != wire.ReasonCrashed {
		return answer
	}
	crash := a.crashes.note(time.Now(), begun, req, a.crashes.different())
	answer.Batch, answer.Crash = crash.Batch, crash.Crash
	events.EndpointBroke.Log(a.log, logrus.Fields{"request": req.ID, "batch": answer.Batch, "detail": answer.Detail})
	return answer
}
