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

// PoisonPeers lists and calls the other entries.
type PoisonPeers interface {
	// Others returns the known entries except this one.
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
func (q *PoisonQuarantine) Blocked(service string, fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdict(poison.ID{Service: service, Fingerprint: fingerprint}) == poison.Blocked
}

// verdict returns how the request may run. Time alone may quarantine it. q.mu must be held.
func (q *PoisonQuarantine) verdict(id poison.ID) poison.Verdict {
	verdict := q.registry.Verdict(time.Now(), id)
	q.logQuarantined()
	return verdict
}

// StartCopy admits one copy of the request to an endpoint. If admitted is true,
// EndCopy must be called; otherwise refusal is the answer to the request. A suspect
// waits while any entry runs a copy of it, and a copy that may run only at certain
// endpoints waits while none of them is usable.
func (q *PoisonQuarantine) StartCopy(ctx context.Context, c RequestCopy) (a Admission, refusal wire.Answer, admitted bool) {
	since := time.Now()
	for {
		c.waited = time.Since(since)
		switch q.tryStart(c, &a) {
		case admittedCopy:
			return a, wire.Answer{}, true
		case blockedRequest:
			return a, quarantinedAnswer(), false
		case suspectRequest:
			if q.startSuspect(ctx, c, &a) {
				return a, wire.Answer{}, true
			}
		}
		sleep(ctx, suspectRetryDelay)
		if ctx.Err() != nil {
			q.logNotAdmitted(c)
			return a, wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonDeadline, Detail: "another copy of this request runs, or where it may run is down"}, false
		}
	}
}

// logNotAdmitted logs what a copy has waited for until its deadline.
func (q *PoisonQuarantine) logNotAdmitted(c RequestCopy) {
	q.mu.Lock()
	defer q.mu.Unlock()
	id := requestID(c)
	endpoints, exclusive := q.registry.AllowedEndpoints(time.Now(), id)
	events.CopyNotAdmitted.Log(q.log, logrus.Fields{
		"service": c.Service, "fingerprint": poison.FormatFingerprint(c.Fingerprint), "rollout": c.Rollout, "allowed": endpoints, "exclusive": exclusive,
		"doubts": doubtTexts(q.registry.Doubts(id)),
	})
}

// doubtTexts returns a line for each crash at which a suspect ran.
func doubtTexts(doubts []poison.Doubt) []string {
	var texts []string
	for _, d := range doubts {
		text := fmt.Sprintf("%s batch %d others", d.Endpoint, d.Batch)
		for _, other := range d.Others {
			text += " " + poison.FormatFingerprint(other.Fingerprint)
		}
		texts = append(texts, text)
	}
	return texts
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
func (q *PoisonQuarantine) tryStart(c RequestCopy, a *Admission) admitResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch q.verdict(requestID(c)) {
	case poison.Blocked:
		return blockedRequest
	case poison.Alone:
		return suspectRequest
	}
	if !q.startAtAllowed(c, a) {
		return noUsableEndpoint
	}
	return admittedCopy
}

// startAtAllowed starts the copy at an endpoint where it may run and announces the
// placement. q.mu must be held.
func (q *PoisonQuarantine) startAtAllowed(c RequestCopy, a *Admission) bool {
	now := time.Now()
	endpoint, ok := q.chooseEndpoint(now, c)
	if !ok {
		return false
	}
	a.Endpoint = endpoint
	if placement, ok := q.registry.StartCopy(now, requestID(c), c.placementEndpoint(endpoint)); ok {
		q.announcePlacement(placement)
	}
	return true
}

// chooseEndpoint returns the preferred endpoint if the copy may run there, and
// otherwise a usable one of the allowed endpoints. If none is usable, it returns the
// preferred endpoint after followTimeout, unless the allowed ones are exclusive. A
// hedge may use a second endpoint, since at the slow endpoint of the first attempt it
// would be just as slow.
func (q *PoisonQuarantine) chooseEndpoint(now time.Time, c RequestCopy) (string, bool) {
	id := requestID(c)
	allowed, exclusive := q.registry.AllowedEndpoints(now, id)
	unrestricted := q.verdict(id) == poison.Unrestricted
	switch {
	case len(allowed) == 0 || slices.Contains(allowed, c.Endpoint):
		return c.Endpoint, true
	case unrestricted && (c.Rollout || c.Hedge && len(allowed) == 1):
		return c.Endpoint, true
	}
	for _, endpoint := range allowed {
		if c.Usable(endpoint) {
			return endpoint, true
		}
	}
	return c.Endpoint, !exclusive && c.waited > followTimeout
}

// requestID returns the key of the request in the registry.
func requestID(c RequestCopy) poison.ID {
	return poison.ID{Service: c.Service, Fingerprint: c.Fingerprint}
}

// placementEndpoint returns the endpoint to register as the copy's placement, which
// later copies have to use, or "" for a rollout. A sample that the scheduler moves
// starts at its new engine before the old copy has ended, so that a registered
// placement would prevent the move.
func (c RequestCopy) placementEndpoint(endpoint string) string {
	if c.Rollout {
		return ""
	}
	return endpoint
}

// startSuspect starts a copy of a suspect unless any entry runs one already.
func (q *PoisonQuarantine) startSuspect(ctx context.Context, c RequestCopy, a *Admission) bool {
	id := requestID(c)
	q.mu.Lock()
	reserved := q.registry.Reserve(id)
	q.mu.Unlock()
	if !reserved {
		return false
	}
	busy := q.exchangeWithAll(ctx, id)
	q.mu.Lock()
	defer q.mu.Unlock()
	if busy || q.verdict(id) != poison.Alone || !q.registry.Reserved(id) || !q.startAtAllowed(c, a) {
		q.registry.CancelReservation(id)
		return false
	}
	a.Alone = true
	return true
}

// EndCopy ends a copy that StartCopy admitted. After a crash ReportCrash must be
// called first, so that no peer finds the request neither running nor suspect.
func (q *PoisonQuarantine) EndCopy(c RequestCopy, endpoint string, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answered && q.registry.Doubts(requestID(c)) != nil {
		events.SuspectCleared.Log(q.log, logrus.Fields{"service": c.Service, "fingerprint": poison.FormatFingerprint(c.Fingerprint), "endpoint": endpoint})
	}
	if placement, ok := q.registry.EndCopy(time.Now(), requestID(c), c.placementEndpoint(endpoint), answered); ok {
		q.announcePlacement(placement)
	}
	q.logQuarantined()
}

// ReportCrash records a crash while the request ran. It returns once every
// reachable peer knows of the crash. The caller gets its answer only after that, so
// that a resend through another entry does not arrive there before the suspicion.
func (q *PoisonQuarantine) ReportCrash(s wire.Suspicion) {
	q.merge([]wire.Suspicion{s}, nil)
	q.exchangeWithAll(context.Background(), poison.ID{})
}

// ApplyHeartbeat merges the suspicions and quarantine entries of a heartbeat.
func (q *PoisonQuarantine) ApplyHeartbeat(suspicions []wire.Suspicion, entries []wire.QuarantineEntry) {
	if len(suspicions) > 0 || len(entries) > 0 {
		q.merge(suspicions, entries)
	}
}

// merge adds suspicions and quarantine entries to the registry and logs requests
// that this puts in quarantine.
func (q *PoisonQuarantine) merge(suspicions []wire.Suspicion, entries []wire.QuarantineEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.registry.Merge(now, entries)
	for _, s := range suspicions {
		q.registry.RecordCrash(now, s)
	}
	q.logQuarantined()
}

// logQuarantined logs the requests that this entry has quarantined. q.mu must be held.
func (q *PoisonQuarantine) logQuarantined() {
	for _, id := range q.registry.TakeQuarantined() {
		events.RequestQuarantined.Log(q.log, logrus.Fields{"service": id.Service, "fingerprint": poison.FormatFingerprint(id.Fingerprint), "endpoints": q.registry.Endpoints(id)})
	}
}

// List returns the quarantine entries, for heartbeats and operators. Released
// entries are included until they expire.
func (q *PoisonQuarantine) List() []wire.QuarantineEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.List(time.Now())
}

// Release lets a request run again through every entry and reports whether it was
// in quarantine.
func (q *PoisonQuarantine) Release(fingerprint uint64) bool {
	q.mu.Lock()
	released := q.registry.Release(time.Now(), fingerprint)
	q.mu.Unlock()
	if released {
		q.exchangeWithAll(context.Background(), poison.ID{})
	}
	return released
}

// exchangeWithAll exchanges suspicions and quarantine entries with every other
// entry and reports whether one of them runs the request. A peer that cannot be
// reached is assumed to be gone.
func (q *PoisonQuarantine) exchangeWithAll(ctx context.Context, id poison.ID) bool {
	request := q.newExchange(id)
	busy := make(chan bool, 1)
	var group errgroup.Group
	for _, peer := range q.peers.Others() {
		group.Go(func() error {
			if q.exchangeWith(ctx, peer.Address, request) {
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

func (q *PoisonQuarantine) newExchange(id poison.ID) wire.PoisonExchange {
	q.mu.Lock()
	defer q.mu.Unlock()
	return wire.PoisonExchange{
		From:        q.self,
		Service:     id.Service,
		Fingerprint: id.Fingerprint,
		Suspects:    q.registry.Suspicions(),
		Quarantine:  q.registry.List(time.Now()),
	}
}

// exchangeWith calls one peer, and once more over a new connection if the first call
// fails. It reports whether the peer runs the request.
func (q *PoisonQuarantine) exchangeWith(ctx context.Context, address string, request wire.PoisonExchange) bool {
	for _, newConn := range []bool{false, true} {
		limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
		var reply wire.PoisonExchange
		err := q.peers.CallPeer(limited, address, newConn, methodExchange, request, &reply)
		cancel()
		if err == nil {
			q.merge(reply.Suspects, reply.Quarantine)
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
func (q *PoisonQuarantine) Server() *PoisonServer { return &PoisonServer{quarantine: q} }

// Exchange merges the suspicions and quarantine entries of another entry and returns
// those of this one.
func (s *PoisonServer) Exchange(request wire.PoisonExchange, reply *wire.PoisonExchange) error {
	q := s.quarantine
	q.merge(request.Suspects, request.Quarantine)
	id := poison.ID{Service: request.Service, Fingerprint: request.Fingerprint}
	*reply = q.newExchange(id)
	q.mu.Lock()
	defer q.mu.Unlock()
	reply.Busy = id != poison.ID{} && q.registry.Busy(time.Now(), id, request.From)
	return nil
}
