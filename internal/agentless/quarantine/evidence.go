package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/poison"
)

const (
	// probeTimeout bounds the probe of an endpoint whose connection broke. A retry waits for it,
	// so that a request that ends endpoints is recognized before it reaches the next one.
	probeTimeout = 50 * time.Millisecond
	// evidenceTTL is how long after a connection broke the end of its endpoint is attributed to
	// the request. The list of endpoints lags by some heartbeats.
	evidenceTTL = 10 * time.Second
	// maxLost limits the requests per endpoint whose end is not known yet.
	maxLost = 64
)

// Request describes a request for reports about it.
type Request struct {
	ID          string
	Fingerprint uint64
	Method      string
	Host        string
	Path        string
}

// incarnation identifies one run of an endpoint.
type incarnation struct {
	id              string
	startedAtMillis int64
}

// lostRequest is a request whose connection broke before its answer.
type lostRequest struct {
	request  Request
	endpoint deployment.Endpoint
	at       time.Time
}

// ConnectionLost records that the connection to an endpoint broke while the endpoint ran the
// request. A broken connection alone is no sign of a crash: endpoints also drop connections that
// were idle or are too many. The request counts as suspect once the endpoint is found to have
// ended: nothing listens at its address, it is listed as gone, or another instance has replaced
// it.
func (q *Quarantine) ConnectionLost(request Request, endpoint *deployment.Endpoint) {
	if q == nil {
		return
	}
	lost := lostRequest{request: request, endpoint: *endpoint, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ended := q.prober.RefusesConnections(ctx, endpoint.Address)
	q.mu.Lock()
	defer q.mu.Unlock()
	if ended {
		q.report(lost, "refuses connections")
		return
	}
	key := incarnation{endpoint.ID, endpoint.StartedAtMillis}
	if len(q.lost[key]) < maxLost {
		q.lost[key] = append(q.lost[key], lost)
	}
}

// EndpointLost records that a connection to an endpoint broke under an item or a scoring call. The
// endpoint may have ended; the request is not suspected.
func (q *Quarantine) EndpointLost(endpoint *deployment.Endpoint) {
	if q == nil || q.Directory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !q.prober.RefusesConnections(ctx, endpoint.Address) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet.ended(time.Now(), endpoint)
}

// EndpointGone records that an endpoint is no longer listed.
func (q *Quarantine) EndpointGone(id string) {
	if q != nil && q.Directory != nil {
		q.mu.Lock()
		q.fleet.gone(time.Now(), id, q.Directory.ServiceOf(id))
		q.mu.Unlock()
	}
	q.endpointsEnded("no longer listed", func(key incarnation, _ lostRequest) bool { return key.id == id })
}

// EndpointListed records a listed endpoint. Another incarnation with the ID or the address of a
// known endpoint has replaced it.
func (q *Quarantine) EndpointListed(e *deployment.Endpoint) {
	if q != nil {
		q.mu.Lock()
		q.fleet.listed(time.Now(), e)
		q.mu.Unlock()
	}
	q.endpointsEnded("replaced", func(key incarnation, lost lostRequest) bool {
		return key.id == e.ID && key.startedAtMillis != e.StartedAtMillis || key.id != e.ID && lost.endpoint.Address == e.Address
	})
}

// EndpointReplaced records that another instance answers at an endpoint's address.
func (q *Quarantine) EndpointReplaced(e *deployment.Endpoint) {
	if q != nil {
		q.mu.Lock()
		q.fleet.replaced(time.Now(), e)
		q.mu.Unlock()
	}
	q.endpointsEnded("replaced", func(key incarnation, _ lostRequest) bool { return key == incarnation{e.ID, e.StartedAtMillis} })
}

// endpointsEnded reports the requests that endpoints ran at their end. It drops those whose
// connection broke too long ago.
func (q *Quarantine) endpointsEnded(why string, ended func(incarnation, lostRequest) bool) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, all := range q.lost {
		kept := all[:0]
		for _, lost := range all {
			switch {
			case time.Since(lost.at) > evidenceTTL:
			case ended(key, lost):
				q.report(lost, why)
			default:
				kept = append(kept, lost)
			}
		}
		q.lost[key] = kept
		if len(kept) == 0 {
			delete(q.lost, key)
		}
	}
}

// report reports that an endpoint ended while it ran a request, unless the request was answered
// a moment ago. mu must be held.
func (q *Quarantine) report(lost lostRequest, why string) {
	q.fleet.ended(lost.at, &lost.endpoint)
	if q.registry.RecentlyAnswered(lost.at, requestID(lost.request.Fingerprint)) {
		events.EndNotCounted.Log(q.log, logrus.Fields{
			"request": lost.request.ID, "fingerprint": poison.FormatFingerprint(lost.request.Fingerprint), "endpoint": lost.endpoint.ID, "evidence": why,
		})
		return
	}
	r := newReport(q.self, lost)
	key := r.key()
	if q.reports[r.Fingerprint][key] != nil {
		return // another copy of the request ran there, too
	}
	events.EndpointEndedUnder.Log(q.log, logrus.Fields{
		"request": lost.request.ID, "fingerprint": poison.FormatFingerprint(r.Fingerprint), "endpoint": r.Endpoint, "started_at_ms": r.StartedAtMillis, "evidence": why,
	})
	q.reported.Inc(1)
	q.add(key, &knownReport{Report: r})
	q.announce(Entry{Key: key, At: r.UnixMilli, Report: r})
	q.notify()
}
