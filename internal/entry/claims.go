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
	// rerouteDelay is the pause before a call looks for its owner again.
	rerouteDelay = 20 * time.Millisecond
	// minForwardTimeout is the shortest time that one forward is waited for, unless
	// the call's deadline is sooner.
	minForwardTimeout = 200 * time.Millisecond
)

// ClaimPeers reaches the entry that owns a partition. With fresh set, the call
// goes over a new connection. ErrNotSent means that it was certainly not sent.
type ClaimPeers interface {
	CallPeer(ctx context.Context, address string, fresh bool, method string, args, reply any) error
}

// ClaimsOptions sets up Claims.
type ClaimsOptions struct {
	Store    kv.Store
	Duties   LeaseProver
	Peers    ClaimPeers
	Dispatch Dispatch // runs calls that other entries forward here
	// Agents calls fn for each agent that may have run a claimed request; nil:
	// none is asked after a take-over.
	Agents     func(fn func(Endpoint))
	Deployment string
	Instance   string
	Log        *logrus.Logger
	Metrics    metrics.Registry
	// Config changes the parameters of the partitions; nil keeps the defaults.
	Config func(*claims.Config)
}

// Claims runs non-idempotent requests at most once. It hosts the partitions
// that this entry owns and forwards calls to the owners of the others.
type Claims struct {
	options    ClaimsOptions
	partitions []*claimPartition
}

var _ Claimer = (*Claims)(nil)

// NewClaims returns claims that own no partition until the duties say so.
func NewClaims(o ClaimsOptions) *Claims {
	c := &Claims{options: o}
	for i := range claims.DefaultPartitions {
		c.partitions = append(c.partitions, newClaimPartition(o, wire.ClaimDuty(i)))
	}
	o.Duties.OnChange(wire.ClaimDutyPrefix, c.onDutyChange)
	return c
}

// ClaimDuties lists the duties that exist for claims.
func ClaimDuties() []string {
	var names []string
	for i := range claims.DefaultPartitions {
		names = append(names, wire.ClaimDuty(i))
	}
	return names
}

// changed takes in a new standing to a partition's duty. A lapsed lease ends
// nothing: the next commit tells whether a successor has raised the epoch.
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

// Do runs dispatch at most once for the caller's call id; see Claimer.
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

// partition returns the partition of a call and the call's key in it.
func (c *Claims) partition(call wire.Request) (*claimPartition, claims.Key) {
	key := claims.NewKey(call.Principal.Caller, call.CallID)
	return c.partitions[key.Partition(len(c.partitions))], key
}

// claimCall is one call on its way to the owner of its partition.
type claimCall struct {
	claims   *Claims
	call     wire.Request
	window   time.Duration
	dispatch Dispatch
	deadline time.Time
	// open is set once a forward is left unresolved: it may still reach an
	// owner and run, whatever a later one is told.
	unresolved    bool
	newConnection bool // the next forward goes over a new connection
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

// finalAnswer keeps a "not run" from being said where it may turn false: an
// unresolved forward may yet run, and after the deadline a repeat may have run.
func (r *claimCall) finalAnswer(answer wire.Answer) wire.Answer {
	if answer.Outcome != wire.NotRun {
		return answer
	}
	if r.unresolved || !time.Now().Before(r.deadline) {
		return claims.RefusalAsUnknown(answer)
	}
	return answer
}

// try asks the owner once; false if the call has to look for it again.
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

// forward hands the call to its owner. One that stays silent is asked again
// over a new connection; it joins what the first one began.
func (r *claimCall) forward(ctx context.Context, address string) (wire.Answer, bool) {
	remaining := time.Until(r.deadline)
	wait := min(remaining, max(remaining/2, minForwardTimeout))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request := wire.ClaimRequest{Call: r.call, RetryWindow: r.window}
	request.Call.Remaining = remaining
	var reply wire.ClaimReply
	err := r.claims.options.Peers.CallPeer(ctx, address, r.newConnection, methodClaim, request, &reply)
	if err != nil {
		r.newConnection = true
		r.unresolved = r.unresolved || !errors.Is(err, ErrNotSent)
		return wire.Answer{}, false
	}
	if !reply.Owner && reply.Holder.Address != "" {
		r.claims.options.Duties.Heard([]wire.Holder{reply.Holder})
	}
	return reply.Answer, reply.Owner
}

// holder returns the holder of the partition's duty as known here; without an
// address if that is this entry, which does not serve.
func (c *Claims) holder(p *claimPartition) wire.Holder {
	address, epoch, mine := c.options.Duties.KnownHolder(p.duty)
	if mine {
		address = ""
	}
	return wire.Holder{Duty: p.duty, Address: address, Epoch: epoch}
}

// ClaimServer serves forwarded calls; register it under wire.ClaimService.
type ClaimServer struct{ claims *Claims }

// Server returns the net/rpc service of the claims.
func (c *Claims) Server() *ClaimServer { return &ClaimServer{claims: c} }

// Do serves a call that another entry forwards.
func (s *ClaimServer) Do(request wire.ClaimRequest, reply *wire.ClaimReply) error {
	p, key := s.claims.partition(request.Call)
	if !p.servedHere() {
		reply.Holder = s.claims.holder(p)
		return nil
	}
	// Counted from the arrival, so that it is not before the deadline of the
	// entry that waits.
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
