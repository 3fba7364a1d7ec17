package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const methodExchange = wire.PoisonService + ".Exchange"

const (
	// exchangeTimeout bounds one exchange with a peer. A caller waits for it.
	exchangeTimeout = 100 * time.Millisecond
	// suspectRetryDelay is the delay before a copy that was not admitted tries again.
	suspectRetryDelay = 20 * time.Millisecond
	// followTimeout bounds how long a copy waits for the endpoint of an earlier copy
	// if that endpoint gets no requests: it is leaving, or the message that the
	// earlier copy ended was lost. By then a crash would be known.
	followTimeout = 500 * time.Millisecond
)

// PoisonPeers reaches the other entries.
type PoisonPeers interface {
	Others() []kv.Instance
	ClaimPeers
}

// PoisonQuarantine is the entry's Quarantine. It runs the registry of requests that
// crash their endpoints and exchanges it with the other entries. One lock protects
// the whole registry, since a crash is judged by all requests that ran.
type PoisonQuarantine struct {
	self  string
	peers PoisonPeers
	log   *logrus.Logger

	mu           sync.Mutex
	registry     *poison.Registry
	outboxes     map[string]*outbox // by address of the peer
	broadcasting map[poison.ID]bool // requests whose placements this entry, as coordinator, sends to every entry
}

var _ Quarantine = (*PoisonQuarantine)(nil)

// NewPoisonQuarantine returns a quarantine with an empty registry.
func NewPoisonQuarantine(self string, peers PoisonPeers, log *logrus.Logger) *PoisonQuarantine {
	return &PoisonQuarantine{
		self:         self,
		peers:        peers,
		log:          log,
		registry:     poison.New(poison.DefaultConfig(), self),
		outboxes:     map[string]*outbox{},
		broadcasting: map[poison.ID]bool{},
	}
}

// Blocked reports whether the request must not run at any endpoint.
func (g *PoisonQuarantine) Blocked(service string, fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict(poison.ID{Service: service, Fingerprint: fingerprint}) == poison.Blocked
}

func (g *PoisonQuarantine) verdict(id poison.ID) poison.Verdict {
	return g.registry.Verdict(time.Now(), id)
}

// StartCopy admits one copy of the request to an endpoint. If admitted is true,
// EndCopy must be called; otherwise refusal is the answer to the request. A suspect
// waits while any entry runs a copy of it, and a copy that may run only at certain
// endpoints waits while none of them is usable.
func (g *PoisonQuarantine) StartCopy(ctx context.Context, v RequestCopy) (a Admission, refusal wire.Answer, admitted bool) {
	since := time.Now()
	for {
		v.waited = time.Since(since)
		switch g.tryStart(v, &a) {
		case admittedCopy:
			return a, wire.Answer{}, true
		case blockedRequest:
			return a, quarantinedAnswer(), false
		case suspectRequest:
			if g.startSuspect(ctx, v, &a) {
				return a, wire.Answer{}, true
			}
		}
		sleep(ctx, suspectRetryDelay)
		if ctx.Err() != nil {
			return a, wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonDeadline, Detail: "another copy of the request is running, or no endpoint where it may run is usable"}, false
		}
	}
}

// admitResult is the result of one attempt to start a copy.
type admitResult int

const (
	admittedCopy admitResult = iota
	blockedRequest
	suspectRequest   // the peers must be asked first
	noUsableEndpoint // no endpoint where the copy may run is usable
)

// tryStart starts a copy unless the request is blocked or a suspect.
func (g *PoisonQuarantine) tryStart(v RequestCopy, a *Admission) admitResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.verdict(requestID(v)) {
	case poison.Blocked:
		return blockedRequest
	case poison.Alone:
		return suspectRequest
	}
	if !g.startAtAllowed(v, a) {
		return noUsableEndpoint
	}
	return admittedCopy
}

// startAtAllowed starts the copy at an endpoint where it may run and announces the
// placement. g.mu must be held.
func (g *PoisonQuarantine) startAtAllowed(v RequestCopy, a *Admission) bool {
	now := time.Now()
	endpoint, ok := g.chooseEndpoint(now, v)
	if !ok {
		return false
	}
	a.Endpoint = endpoint
	if placement, ok := g.registry.StartCopy(now, requestID(v), v.placementEndpoint(endpoint)); ok {
		g.announcePlacement(placement)
	}
	return true
}

// chooseEndpoint returns the preferred endpoint if the copy may run there, and
// otherwise another allowed one. A hedge may use a second endpoint, since at the
// slow endpoint of the first attempt it would be just as slow.
func (g *PoisonQuarantine) chooseEndpoint(now time.Time, v RequestCopy) (string, bool) {
	id := requestID(v)
	allowed, exclusive := g.registry.AllowedEndpoints(now, id)
	unrestricted := g.verdict(id) == poison.Unrestricted
	switch {
	case len(allowed) == 0 || slices.Contains(allowed, v.Endpoint):
		return v.Endpoint, true
	case unrestricted && (v.Rollout || v.Hedge && len(allowed) == 1):
		return v.Endpoint, true
	}
	for _, endpoint := range allowed {
		if v.Usable(endpoint) {
			return endpoint, true
		}
	}
	return v.Endpoint, !exclusive && v.waited > followTimeout
}

func requestID(v RequestCopy) poison.ID {
	return poison.ID{Service: v.Service, Fingerprint: v.Fingerprint}
}

// placementEndpoint returns the endpoint to register as the copy's placement, which
// later copies have to use, or "" for a rollout. A sample that the scheduler moves
// starts at its new engine before the old copy has ended, so that a registered
// placement would prevent the move.
func (v RequestCopy) placementEndpoint(endpoint string) string {
	if v.Rollout {
		return ""
	}
	return endpoint
}

// startSuspect starts a copy of a suspect unless any entry runs one already.
func (g *PoisonQuarantine) startSuspect(ctx context.Context, v RequestCopy, a *Admission) bool {
	id := requestID(v)
	g.mu.Lock()
	reserved := g.registry.Reserve(id)
	g.mu.Unlock()
	if !reserved {
		return false
	}
	busy := g.exchangeWithAll(ctx, id)
	g.mu.Lock()
	defer g.mu.Unlock()
	if busy || g.verdict(id) != poison.Alone || !g.registry.Reserved(id) || !g.startAtAllowed(v, a) {
		g.registry.CancelReservation(id)
		return false
	}
	a.Alone = true
	return true
}

// EndCopy ends a copy that StartCopy admitted. After a crash ReportCrash must be
// called first, so that no peer finds the request neither running nor suspect.
func (g *PoisonQuarantine) EndCopy(v RequestCopy, endpoint string, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if placement, ok := g.registry.EndCopy(time.Now(), requestID(v), v.placementEndpoint(endpoint), answered); ok {
		g.announcePlacement(placement)
	}
}

// ReportCrash records a crash while the request ran. It returns once every
// reachable peer knows of the crash. The caller gets its answer only after that, so
// that a resend through another entry does not arrive there before the suspicion.
func (g *PoisonQuarantine) ReportCrash(s wire.Suspicion) {
	g.merge([]wire.Suspicion{s}, nil)
	g.exchangeWithAll(context.Background(), poison.ID{})
}

// ApplyHeartbeat merges the suspicions and quarantine entries of a heartbeat.
func (g *PoisonQuarantine) ApplyHeartbeat(suspicions []wire.Suspicion, entries []wire.QuarantineEntry) {
	if len(suspicions) > 0 || len(entries) > 0 {
		g.merge(suspicions, entries)
	}
}

func (g *PoisonQuarantine) merge(suspicions []wire.Suspicion, entries []wire.QuarantineEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.registry.Merge(now, entries)
	for _, s := range suspicions {
		if g.registry.RecordCrash(now, s) {
			events.RequestQuarantined.Log(g.log, logrus.Fields{
				"service":     s.Service,
				"fingerprint": fmt.Sprintf("%016x", s.Fingerprint),
				"endpoint":    s.Endpoint,
			})
		}
	}
}

// List returns the quarantine entries, for heartbeats and operators. Released
// entries are included until they expire.
func (g *PoisonQuarantine) List() []wire.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.List(time.Now())
}

// Release lets a request run again through every entry and reports whether it was
// in quarantine.
func (g *PoisonQuarantine) Release(fingerprint uint64) bool {
	g.mu.Lock()
	released := g.registry.Release(time.Now(), fingerprint)
	g.mu.Unlock()
	if released {
		g.exchangeWithAll(context.Background(), poison.ID{})
	}
	return released
}

// exchangeWithAll exchanges suspicions and quarantine entries with every other
// entry and reports whether one of them runs the request. A peer that cannot be
// reached is assumed to be gone.
func (g *PoisonQuarantine) exchangeWithAll(ctx context.Context, id poison.ID) bool {
	request := g.newExchange(id)
	busy := make(chan bool, 1)
	var group errgroup.Group
	for _, peer := range g.peers.Others() {
		group.Go(func() error {
			if g.exchangeWith(ctx, peer.Address, request) {
				select {
				case busy <- true:
				default:
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(busy) > 0
}

func (g *PoisonQuarantine) newExchange(id poison.ID) wire.PoisonExchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.PoisonExchange{
		From:        g.self,
		Service:     id.Service,
		Fingerprint: id.Fingerprint,
		Suspects:    g.registry.Suspicions(),
		Quarantine:  g.registry.List(time.Now()),
	}
}

// exchangeWith calls one peer, and once more over a new connection if the first call
// fails. It reports whether the peer runs the request.
func (g *PoisonQuarantine) exchangeWith(ctx context.Context, address string, request wire.PoisonExchange) bool {
	for _, fresh := range []bool{false, true} {
		limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
		var reply wire.PoisonExchange
		err := g.peers.CallPeer(limited, address, fresh, methodExchange, request, &reply)
		cancel()
		if err == nil {
			g.merge(reply.Suspects, reply.Quarantine)
			return reply.Busy
		}
		if errors.Is(err, ErrNotSent) {
			return false
		}
	}
	return false
}

// PoisonServer is the net/rpc service for other entries. It is registered under
// wire.PoisonService.
type PoisonServer struct{ quarantine *PoisonQuarantine }

// Server returns the net/rpc service of the quarantine.
func (g *PoisonQuarantine) Server() *PoisonServer { return &PoisonServer{quarantine: g} }

// Exchange merges the suspicions and quarantine entries of another entry and returns
// those of this one.
func (s *PoisonServer) Exchange(request wire.PoisonExchange, reply *wire.PoisonExchange) error {
	g := s.quarantine
	g.merge(request.Suspects, request.Quarantine)
	id := poison.ID{Service: request.Service, Fingerprint: request.Fingerprint}
	*reply = g.newExchange(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	reply.Busy = id != poison.ID{} && g.registry.Busy(id, request.From)
	return nil
}
