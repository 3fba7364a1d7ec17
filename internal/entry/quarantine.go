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
	// exchangeTimeout bounds one exchange with a peer; a caller waits for it.
	exchangeTimeout = 100 * time.Millisecond
	// suspectRetryDelay is the pause before a suspect looks at the peers again.
	suspectRetryDelay = 20 * time.Millisecond
	// followTimeout bounds the wait for an endpoint that a copy should follow
	// another to and that takes no work: it leaves, or the news of the other
	// copy's end was lost. A crash is known by then.
	followTimeout = 500 * time.Millisecond
)

// PoisonPeers reaches the other entries.
type PoisonPeers interface {
	Others() []kv.Instance
	ClaimPeers
}

// PoisonQuarantine is the entry's Quarantine: it hosts the registry of requests
// that crash their endpoints and keeps it level with the other entries'. One
// lock guards the whole registry, since a crash is judged over all that ran.
type PoisonQuarantine struct {
	self  string
	peers PoisonPeers
	log   *logrus.Logger

	mu           sync.Mutex
	registry     *poison.Registry
	outboxes     map[string]*outbox // by address of the peer
	broadcasting map[poison.ID]bool // told to every entry by this one, a home
}

var _ Quarantine = (*PoisonQuarantine)(nil)

// NewPoisonQuarantine returns a guard that suspects nothing.
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

// Blocked tells whether no endpoint may run the request.
func (g *PoisonQuarantine) Blocked(service string, fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict(poison.ID{Service: service, Fingerprint: fingerprint}) == poison.Blocked
}

func (g *PoisonQuarantine) verdict(id poison.ID) poison.Verdict {
	return g.registry.Verdict(time.Now(), id)
}

// StartCopy admits one copy of the request to an endpoint; Leave must follow. With
// admitted false, refusal tells why. A suspect waits while a copy of it runs
// through any entry, and a copy that may run at certain endpoints only waits
// while none of them is usable.
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
			return a, wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonDeadline, Detail: "another copy of this request runs, or where it may run is down"}, false
		}
	}
}

// entering is how an attempt to enter ended.
type admitResult int

const (
	admittedCopy admitResult = iota
	blockedRequest
	suspectRequest   // ask the peers first
	noUsableEndpoint // none of the endpoints where it may run is usable
)

// begin counts a copy that may run freely.
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

// admit begins the copy at an endpoint where it may run. The caller holds the
// lock.
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

// choose keeps the endpoint that the copy wants if it may run there. A hedge may
// open a second endpoint: one beside the slow one would be as slow.
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

// place names the endpoint for others to follow. A sample that the scheduler
// moves begins on its new engine before its old copy has ended; bound to that, it
// could not move.
func (v RequestCopy) placementEndpoint(endpoint string) string {
	if v.Rollout {
		return ""
	}
	return endpoint
}

// startSuspect begins a suspect unless any entry runs a copy of it.
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

// EndCopy ends a copy. Report comes before it, so that no peer finds the request
// neither running nor suspect.
func (g *PoisonQuarantine) EndCopy(v RequestCopy, endpoint string, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if placement, ok := g.registry.EndCopy(time.Now(), requestID(v), v.placementEndpoint(endpoint), answered); ok {
		g.announcePlacement(placement)
	}
}

// ReportCrash notes a crash while the request ran. It returns once the peers know
// it, as far as they can be reached: the caller hears of the crash after that,
// so that its resend through another entry does not overtake the suspicion.
func (g *PoisonQuarantine) ReportCrash(s wire.Suspicion) {
	g.merge([]wire.Suspicion{s}, nil)
	g.exchangeWithAll(context.Background(), poison.ID{})
}

// ApplyHeartbeat takes in what a heartbeat tells.
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

// List returns the quarantine, for heartbeats and operators. Released entries
// are in it until they expire.
func (g *PoisonQuarantine) List() []wire.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.List(time.Now())
}

// Release lets a request run again on every entry and tells whether it was in
// quarantine.
func (g *PoisonQuarantine) Release(fingerprint uint64) bool {
	g.mu.Lock()
	released := g.registry.Release(time.Now(), fingerprint)
	g.mu.Unlock()
	if released {
		g.exchangeWithAll(context.Background(), poison.ID{})
	}
	return released
}

// ask exchanges knowledge with every other entry and tells whether one of them
// runs the request. A peer that cannot be reached is taken for gone.
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

// exchangeWith asks twice, the second time over a new connection.
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

// PoisonServer answers exchanges; register it under wire.PoisonService.
type PoisonServer struct{ quarantine *PoisonQuarantine }

// Server returns the net/rpc service of the guard.
func (g *PoisonQuarantine) Server() *PoisonServer { return &PoisonServer{quarantine: g} }

// Exchange takes in what another entry knows and returns what this one does.
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
