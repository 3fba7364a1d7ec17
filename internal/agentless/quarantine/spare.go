package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/poison"
)

const (
	// minHoldDelay is the least Retry-After of a copy that is held back.
	minHoldDelay = 50 * time.Millisecond
	// maxTurnJitter bounds the jitter of a Retry-After that names the start of a turn, so that the
	// caller returns before the turn's last start.
	maxTurnJitter = 300 * time.Millisecond
	// settleInterval is how often a decision that may change is looked at again.
	settleInterval = 10 * time.Millisecond
	// holdLogInterval is the least time between two log lines about one held-back request.
	holdLogInterval = 5 * time.Second
	// maxHoldLogs limits the requests for which the time of the last line is kept.
	maxHoldLogs = 1024
)

// Copy is one copy of a request as it may be sent: its content, and what its endpoint needs.
type Copy struct {
	Fingerprint uint64
	Service     string
	Model       string   // empty: no model is needed
	MinVersion  int64    // oldest weight version that may serve it
	Version     int64    // only weight version that may serve it; 0: any from MinVersion
	Tried       []string // IDs of endpoints to which the request was sent before
	InFlight    int      // other copies that the same request has in flight
}

// Admission is the answer to Admit. If the copy is admitted, Started must be called when it is sent,
// and Ended when it has ended or is not sent.
type Admission struct {
	Admitted bool
	Only     []string // IDs of the endpoints that may run the copy; nil: any
	// If the copy is not admitted:
	RetryAfter  time.Duration // when the request may be sent again
	Quarantined bool          // no copy may be sent before; otherwise one may once an endpoint is back

	quarantine  *Quarantine
	fingerprint uint64
	endpoint    string // that runs the copy; empty: not chosen yet
	reserved    bool   // the copy is counted as one that runs
}

// AdmitSettled is Admit for a caller that waits: just after an end, a refusal may depend on reports of
// other processes that are on their way, or on copies that are about to end. It waits for these, if
// the request has no other copy in flight.
func (q *Quarantine) AdmitSettled(ctx context.Context, c Copy) *Admission {
	if q == nil || !q.sparesEndpoints() || c.InFlight > 0 {
		return q.Admit(c)
	}
	decision := q.decideTried(c)
	for settled := decision.Settled; !decision.Admitted && time.Now().Before(settled); decision = q.decideTried(c) {
		select {
		case <-ctx.Done():
			return q.admission(c, decision)
		case <-time.After(settleInterval):
		}
	}
	return q.admission(c, decision)
}

// Admit decides whether one more copy of a request may be sent now, and where. It may take
// probeTimeout for each endpoint that didn't run a suspect when it was sent there.
func (q *Quarantine) Admit(c Copy) *Admission {
	if q == nil {
		return &Admission{Admitted: true}
	}
	if !q.sparesEndpoints() {
		return q.admitByLimit(c)
	}
	if c.InFlight >= poison.SharedConfig().UnattributedCrashes {
		return &Admission{} // as many copies run as may end endpoints
	}
	return q.admission(c, q.decideTried(c))
}

// AdmitOwed returns the admission of a copy of an item or a scoring call, which is owed whatever ends
// under it: it is always admitted, at any endpoint, and counts as a copy that runs.
func (q *Quarantine) AdmitOwed(fingerprint uint64) *Admission {
	if q == nil || !q.sparesEndpoints() {
		return &Admission{Admitted: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.copies.Add(fingerprint, "")
	return &Admission{Admitted: true, quarantine: q, fingerprint: fingerprint, reserved: true}
}

// decideTried asks the registry. If the decision depends on an endpoint that didn't run the request
// when it was sent there, it finds out whether that one has ended.
func (q *Quarantine) decideTried(c Copy) poison.Decision {
	decision, view := q.decide(c)
	ended := false
	for _, id := range view.Tried {
		ended = q.probe(c.Service, id) || ended
	}
	if ended {
		if decision.Admitted {
			q.release(c.Fingerprint, "")
		}
		decision, _ = q.decide(c)
	}
	return decision
}

// admission returns the admission by a decision.
func (q *Quarantine) admission(c Copy, decision poison.Decision) *Admission {
	if !decision.Admitted {
		return &Admission{RetryAfter: q.holdBack(c, decision), Quarantined: decision.Quarantined}
	}
	return &Admission{Admitted: true, Only: decision.Only, quarantine: q, fingerprint: c.Fingerprint, reserved: true}
}

// sparesEndpoints reports whether the mechanism is in force.
func (q *Quarantine) sparesEndpoints() bool {
	return q.Directory != nil && q.Switches.On(mechanism.SpareEndpoints)
}

// admitByLimit decides by the number of ended endpoints alone.
func (q *Quarantine) admitByLimit(c Copy) *Admission {
	if q.Admits(c.Fingerprint, c.InFlight) {
		return &Admission{Admitted: true}
	}
	a := &Admission{}
	if until := q.BlockedUntil(c.Fingerprint); !until.IsZero() {
		a.RetryAfter, a.Quarantined = time.Until(until), true
	}
	return a
}

// decide asks the registry, and counts an admitted copy as one that runs. view is empty if the
// decision doesn't depend on the service's endpoints.
func (q *Quarantine) decide(c Copy) (decision poison.Decision, view poison.Service) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applySwitch()
	look := func() poison.Service {
		if c.Model != "" && !q.registry.Suspected(requestID(c.Fingerprint)) {
			return poison.Service{Engines: true} // only this matters, and listing many engines takes a millisecond
		}
		view = q.view(now, &c)
		return view
	}
	decision = q.registry.Decide(now, requestID(c.Fingerprint), look, q.copies)
	if decision.Admitted {
		q.copies.Add(c.Fingerprint, "")
	}
	if quarantined := q.registry.TakeQuarantined(); len(quarantined) > 0 {
		q.countBlocked()
		events.RequestQuarantined.Log(q.log, logrus.Fields{"fingerprint": poison.FormatFingerprint(c.Fingerprint), "service": c.Service, "endpoints": q.endpointsOf(c.Fingerprint)})
	}
	return decision, view
}

// applySwitch passes the state of the mechanism to the registry. mu must be held.
func (q *Quarantine) applySwitch() {
	q.registry.SetAttribution(q.Switches.On(mechanism.SpareEndpoints))
}

// probe reports whether a listed endpoint is found to have ended.
func (q *Quarantine) probe(service, id string) bool {
	for _, e := range q.Directory.List(service) {
		if e.ID != id {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !q.prober.RefusesConnections(ctx, e.Address) {
			return false
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		q.fleet.ended(time.Now(), &e.Endpoint)
		return true
	}
	return false
}

// holdBack counts and logs a copy that is not sent, and returns when the request may be sent again.
func (q *Quarantine) holdBack(c Copy, d poison.Decision) time.Duration {
	now := time.Now()
	if d.Quarantined {
		return d.Until.Sub(now)
	}
	q.held.Inc(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := d.Until.Sub(now)
	jitter := maxTurnJitter
	if d.Until.IsZero() {
		wait = max(minHoldDelay, q.fleet.untilBack(now, c.Service))
		jitter = wait / 2
	}
	wait += rand.N(max(minHoldDelay, min(jitter, wait/2)))
	if !d.Suspect || now.Sub(q.heldLogs[c.Fingerprint]) < holdLogInterval {
		return wait
	}
	if len(q.heldLogs) >= maxHoldLogs {
		clear(q.heldLogs)
	}
	q.heldLogs[c.Fingerprint] = now
	events.SuspectHeldBack.Log(q.log, logrus.Fields{
		"fingerprint": poison.FormatFingerprint(c.Fingerprint), "service": c.Service, "reason": d.Reason, "retry_after_ms": wait.Milliseconds(),
	})
	return wait
}

// Started records the endpoint that a copy is sent to.
func (a *Admission) Started(endpoint string) {
	if !a.reserved {
		return
	}
	q := a.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.copies.Remove(a.fingerprint, a.endpoint)
	a.endpoint = endpoint
	q.copies.Add(a.fingerprint, a.endpoint)
}

// Ended records that a copy ended or was not sent.
func (a *Admission) Ended() {
	if !a.reserved {
		return
	}
	a.reserved = false
	a.quarantine.release(a.fingerprint, a.endpoint)
}

// release removes a copy.
func (q *Quarantine) release(fingerprint uint64, endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.copies.Remove(fingerprint, endpoint)
}

// view returns the endpoints of a service that may serve a copy. mu must be held.
func (q *Quarantine) view(now time.Time, c *Copy) poison.Service {
	view := poison.Service{Engines: c.Model != ""}
	listed := map[string]bool{}
	for _, e := range q.Directory.List(c.Service) {
		if !c.serves(&e.Endpoint) {
			view.Others++
			continue
		}
		listed[e.ID] = true
		if e.Leaving || q.fleet.isDown(now, &e.Endpoint) {
			continue
		}
		if q.fleet.mayBeDown(&e.Endpoint) {
			view.Unsure = append(view.Unsure, e.ID)
		} else {
			view.Healthy = append(view.Healthy, e.ID)
		}
		if slices.Contains(c.Tried, e.ID) {
			view.Tried = append(view.Tried, e.ID)
		}
	}
	view.Size = len(listed) + q.fleet.absent(now, c.Service, listed)
	return view
}

// serves reports whether the endpoint has the weights that the copy needs.
func (c *Copy) serves(e *deployment.Endpoint) bool {
	if c.Model == "" {
		return true
	}
	version, has := e.Versions[c.Model]
	return has && version >= c.MinVersion && (c.Version == 0 || version == c.Version)
}
