package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// maxReadTimeout limits how long a read waits for tokens, and how long it
	// collects further ones.
	maxReadTimeout = 10 * time.Second
	// suspicionTTL is how long a crash is reported on heartbeats.
	suspicionTTL = time.Minute
)

// rpcServer implements the agent's side of the inner protocol.
type rpcServer struct{ a *Agent }

// Do runs a unary request and returns its answer.
func (s *rpcServer) Do(req wire.Request, reply *wire.Answer) error {
	*reply = s.a.do(req)
	reply.ID = req.ID
	reply.Load = s.a.load()
	return nil
}

// Start starts a stream, whose tokens are then fetched with Read.
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
		*reply = r.read(req.Offset, min(req.Wait, maxReadTimeout), min(req.Gather, maxReadTimeout))
	}
	reply.ID = req.ID
	reply.End.Load = s.a.load()
	return nil
}

// Cancel cancels a request whose answer nobody waits for.
func (s *rpcServer) Cancel(req wire.CancelRequest, _ *struct{}) error {
	if r := s.a.requests.find(req.ID); r != nil {
		r.cancel()
	}
	return nil
}

// Settle returns the outcome of a request. If this incarnation of the agent has
// never seen the request, it is refused from now on.
func (s *rpcServer) Settle(req wire.SettleRequest, reply *wire.Answer) error {
	*reply = s.a.settle(req)
	reply.ID = req.ID
	reply.Load = s.a.load()
	return nil
}

// Heartbeat answers an entry's heartbeat.
func (s *rpcServer) Heartbeat(req wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	a := s.a
	a.fences.observe(req.Fences)
	a.orders.ObserveFences(req.Fences)
	if req.ListedLeaving {
		a.listedLeavingAt.Store(int64(a.uptime()))
	}
	a.conf.StatusReceived(context.Background(), config.Peer{ID: req.From, Domain: req.Domain}, req.Revisions, time.Time{})
	reply.Revisions = a.conf.Revisions()
	a.queue.SetAgentCount(req.Peers)
	reply.From = a.settings.ID
	reply.Target = wire.Target{Incarnation: a.incarnation, Uptime: a.uptime()}
	reply.Domain = a.settings.FailureDomain
	reply.Service = a.settings.Service
	reply.Load = a.load()
	reply.EngineRole, _ = a.role.Load().(string)
	reply.Suspects = a.crashes.recent(time.Now())
	reply.Quarantine = a.crashes.mergeQuarantine(time.Now(), req.Quarantine)
	reply.Ready = a.Ready()
	return nil
}

// Configure applies the configuration that an entry sent because this agent
// lacks it.
func (s *rpcServer) Configure(reply wire.ConfigReply, _ *struct{}) error {
	return s.a.conf.ApplyReply(reply)
}

// Order executes a weights owner's order at the endpoint.
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

// Chunk returns a chunk of weights to another agent.
func (s *rpcServer) Chunk(id wire.ChunkRequest, reply *wire.ChunkReply) error {
	*reply = s.a.orders.Chunk(context.Background(), id)
	return nil
}

// refusal returns why a request may not start here, and false if it may.
func (a *Agent) refusal(req wire.Request) (wire.Answer, bool) {
	refused := func(reason wire.Reason) (wire.Answer, bool) {
		return wire.Answer{ID: req.ID, Outcome: wire.NotRun, Reason: reason}, true
	}
	if a.isLeaving() {
		return refused(wire.ReasonLeaving)
	}
	if !a.remembers(req.Target) {
		return refused(wire.ReasonNotReady)
	}
	if !a.fences.accept(req.Fence) {
		return refused(wire.ReasonStaleEpoch)
	}
	if a.crashes.isQuarantined(time.Now(), req) {
		return refused(wire.ReasonQuarantined)
	}
	return wire.Answer{}, false
}

// remembers reports whether this incarnation of the agent remembers everything
// that was sent to the target. Past the horizon, a refusal recorded in advance
// may be evicted, and a request that arrives that late could run after its
// caller was told "not run".
func (a *Agent) remembers(target wire.Target) bool {
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
	a.claims.add(req.Claim, r)
	answer := a.queue.Run(ctx, req, func(ctx context.Context) wire.Answer {
		return a.detectCrash(req, func() wire.Answer { return a.endpoint.call(ctx, req) })
	})
	r.finish(a.uptime(), answer)
	return answer
}

func (a *Agent) runStream(ctx context.Context, req wire.Request, r *record) {
	resumeTokens := req.Resume.Tokens
	answer := a.queue.Run(ctx, req, func(ctx context.Context) wire.Answer {
		// After a preemption, the engine resumes after the tokens already read.
		resumed := req
		resumed.Resume.Tokens = append(append([]string(nil), resumeTokens...), r.allTokens()...)
		return a.detectCrash(req, func() wire.Answer { return a.endpoint.stream(ctx, resumed, r.appendToken) })
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
	if !a.remembers(req.Target) {
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonConnection, Detail: "the agent that had the request is gone"}
	}
	answer, _ := a.requests.refuseInAdvance(req.ID, a.uptime()).waitDone(req.Wait)
	return answer
}

// detectCrash runs a request at the endpoint and records a crash if the
// endpoint broke the request off.
func (a *Agent) detectCrash(req wire.Request, run func() wire.Answer) wire.Answer {
	a.crashes.begin(req)
	defer a.crashes.end(req)
	startedAt := time.Now()
	answer := run()
	if answer.Reason != wire.ReasonCrashed {
		return answer
	}
	crash := a.crashes.recordCrash(time.Now(), startedAt, req, a.crashes.distinctRunning())
	answer.Batch, answer.Crash = crash.Batch, crash.Crash
	events.EndpointCrashed.Log(a.log, logrus.Fields{"request": req.ID, "fingerprint": poison.FormatFingerprint(req.Fingerprint), "suspect": req.Suspect, "batch": answer.Batch, "detail": answer.Detail})
	return answer
}
