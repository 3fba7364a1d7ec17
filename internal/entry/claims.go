package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

// methodClaim is the net/rpc method of ClaimServer.Do.
const methodClaim = wire.ClaimService + ".Do"

const (
	// rerouteDelay is the delay before a call looks up its partition's owner again.
	rerouteDelay = 20 * time.Millisecond
	// minForwardTimeout is the shortest timeout of one forwarded call, unless the
	// call's deadline is earlier.
	minForwardTimeout = 200 * time.Millisecond
)

// ClaimPeers calls other entries. If newConn is set, the call is made over a new
// connection. ErrNotSent means that the call was certainly not sent.
type ClaimPeers interface {
	CallPeer(ctx context.Context, address string, newConn bool, method string, args, reply any) error
}

// ClaimsOptions configures Claims.
type ClaimsOptions struct {
	Store    kv.Store
	Duties   LeaseProver
	Peers    ClaimPeers
	Dispatch Dispatch // runs the calls that other entries forward to this one
	// Agents calls fn for each agent that may have run a claimed request. If it
	// is nil, no agent is queried after a takeover.
	Agents     func(fn func(Endpoint))
	Deployment string
	Instance   string
	Log        *logrus.Logger
	Metrics    metrics.Registry
	// AdjustConfig adjusts the configuration of each partition. Nil keeps the defaults.
	AdjustConfig func(*claims.Config)
}

// Claims runs non-idempotent requests at most once. It runs the partitions that
// this entry owns and forwards the calls of other partitions to their owners.
type Claims struct {
	options    ClaimsOptions
	partitions []*claimPartition
}

var _ Claimer = (*Claims)(nil)

// NewClaims returns claims that own no partition until a duty is acquired.
func NewClaims(o ClaimsOptions) *Claims {
	c := &Claims{options: o}
	for i := range claims.DefaultPartitions {
		c.partitions = append(c.partitions, newClaimPartition(o, wire.ClaimDuty(i)))
	}
	o.Duties.OnChange(wire.ClaimDutyPrefix, c.onDutyChange)
	return c
}

// ClaimDuties returns the names of the claim partitions' duties.
func ClaimDuties() []string {
	var names []string
	for i := range claims.DefaultPartitions {
		names = append(names, wire.ClaimDuty(i))
	}
	return names
}

// onDutyChange handles a new lease state of a partition's duty. A lapsed lease
// stops nothing: the next commit fails if a successor has raised the epoch.
func (c *Claims) onDutyChange(change duties.Change) {
	for _, p := range c.partitions {
		if p.duty != change.Duty {
			continue
		}
		switch change.LeaseState {
		case duties.Holder:
			p.step(claims.Acquired{Epoch: change.Epoch})
		case duties.NotHolder:
			p.step(claims.Lost{})
		}
	}
}

// Do runs dispatch at most once for the caller's call ID; see Claimer.
func (c *Claims) Do(ctx context.Context, call wire.Request, class decl.Class, dispatch Dispatch) wire.Answer {
	if !call.Keyed {
		return dispatch(ctx, call)
	}
	deadline, limited := ctx.Deadline()
	if !limited {
		deadline = time.Now().Add(class.Deadline)
	}
	r := &claimCall{
		claims:   c,
		call:     call,
		window:   class.RetryWindow,
		dispatch: dispatch,
		deadline: deadline,
	}
	answer := r.run(ctx)
	answer.ID = call.ID
	return answer
}

// partition returns the partition of a call and the call's key in the partition.
func (c *Claims) partition(call wire.Request) (*claimPartition, claims.Key) {
	key := claims.NewKey(call.Principal.Caller, call.CallID)
	return c.partitions[key.Partition(len(c.partitions))], key
}

// claimCall is the state of one call until the owner of its partition answers.
type claimCall struct {
	claims   *Claims
	call     wire.Request
	window   time.Duration // retry window of the call's class
	dispatch Dispatch
	deadline time.Time
	// unresolved is set once a forwarded call has an unknown outcome: it may still
	// reach an owner and run, whatever the answer to a later one is.
	unresolved bool
	newConn    bool // the next forwarded call uses a new connection
}

func (r *claimCall) run(ctx context.Context) wire.Answer {
	for time.Now().Before(r.deadline) && ctx.Err() == nil {
		if answer, final := r.askOwner(ctx); final {
			return r.finalAnswer(answer)
		}
		sleep(ctx, rerouteDelay)
	}
	return wire.Answer{
		Outcome:    wire.Unknown,
		Reason:     wire.ReasonOwnerAbsent,
		RetryAfter: time.Second,
		Detail:     "the entry that keeps the request's claim was not reached in time. Repeat it with the same key",
	}
}

// finalAnswer turns "not run" into "unknown" where it may become false: an
// unresolved forwarded call may still run, and after the deadline a repeat may
// have run.
func (r *claimCall) finalAnswer(answer wire.Answer) wire.Answer {
	if answer.Outcome != wire.NotRun {
		return answer
	}
	if r.unresolved || !time.Now().Before(r.deadline) {
		return claims.RefusalAsUnknown(answer)
	}
	return answer
}

// askOwner submits the call to the partition's owner once. It returns false if
// the owner has to be looked up again.
func (r *claimCall) askOwner(ctx context.Context) (wire.Answer, bool) {
	p, key := r.claims.partition(r.call)
	if p.servedHere() {
		answer, moved := p.submit(ctx, key, submission{
			call:     r.call,
			window:   r.window,
			deadline: r.deadline,
			dispatch: r.dispatch,
		})
		return answer, !moved
	}
	address, _, _ := r.claims.options.Duties.KnownHolder(p.duty)
	if address == "" {
		return wire.Answer{}, false
	}
	return r.forward(ctx, address)
}

// forward sends the call to the entry that owns its partition. If that entry
// does not answer, the next call uses a new connection and joins the run that
// the first one started.
func (r *claimCall) forward(ctx context.Context, address string) (wire.Answer, bool) {
	remaining := time.Until(r.deadline)
	wait := min(remaining, max(remaining/2, minForwardTimeout))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request := wire.ClaimRequest{Call: r.call, RetryWindow: r.window}
	request.Call.Remaining = remaining
	var reply wire.ClaimReply
	err := r.claims.options.Peers.CallPeer(ctx, address, r.newConn, methodClaim, request, &reply)
	if err != nil {
		r.newConn = true
		r.unresolved = r.unresolved || !errors.Is(err, ErrNotSent)
		return wire.Answer{}, false
	}
	if !reply.Owner && reply.Holder.Address != "" {
		r.claims.options.Duties.HoldersReported([]wire.Holder{reply.Holder})
	}
	return reply.Answer, reply.Owner
}

// holder returns the last known holder of the partition's duty. The address is
// empty if that is this entry: callers use the holder when this entry did not accept
// their call, and must not be sent back to it.
func (c *Claims) holder(p *claimPartition) wire.Holder {
	address, epoch, mine := c.options.Duties.KnownHolder(p.duty)
	if mine {
		address = ""
	}
	return wire.Holder{Duty: p.duty, Address: address, Epoch: epoch}
}

// ClaimServer is the net/rpc service for forwarded calls and for results of
// former owners. It is registered under wire.ClaimService.
type ClaimServer struct{ claims *Claims }

// Server returns the net/rpc service of the claims.
func (c *Claims) Server() *ClaimServer { return &ClaimServer{claims: c} }

// Do serves a call that another entry forwarded.
func (s *ClaimServer) Do(request wire.ClaimRequest, reply *wire.ClaimReply) error {
	p, key := s.claims.partition(request.Call)
	if !p.servedHere() {
		reply.Holder = s.claims.holder(p)
		return nil
	}
	// The deadline counts from the arrival, so it is never earlier than that of
	// the entry that waits.
	deadline := time.Now().Add(request.Call.Remaining)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	answer, moved := p.submit(ctx, key, submission{
		call:     request.Call,
		window:   request.RetryWindow,
		deadline: deadline,
		dispatch: s.claims.options.Dispatch,
	})
	reply.Owner = !moved
	reply.Answer = answer
	if moved {
		reply.Holder = s.claims.holder(p)
	}
	return nil
}
