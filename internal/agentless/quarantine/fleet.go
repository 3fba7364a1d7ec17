package quarantine

import (
	"time"

	"siskinloom.example/siskinloom/internal/deployment"
)

const (
	// unhealthyTTL is how long an endpoint that has ended counts as down while it is still listed
	// with the same start, and another instance was not found at its address. Its entry lapses before,
	// unless the store is away. From then on it may be down: the evidence may have been wrong, as an
	// endpoint that is cut off may refuse connections.
	unhealthyTTL = 10 * time.Second
	// absenceTTL is how long an endpoint that ended or is no longer listed counts as one that is
	// expected back. Restarts take 2 to 5 s.
	absenceTTL = 30 * time.Second
	// defaultRestart is the time that an endpoint is assumed to be down until restarts were observed.
	defaultRestart = 3 * time.Second
	// restartWeight is the weight of a new observation in the moving average of restart times.
	restartWeight = 0.3
	// maxAbsences limits the endpoints of which ends are remembered, those of a whole fleet.
	maxAbsences = 4096
)

// absence is the end of an endpoint.
type absence struct {
	service         string
	startedAtMillis int64 // 0: only its removal from the list is known
	at              time.Time
	replaced        bool // another instance answers at its address
}

// fleet holds which endpoints have ended and are expected back. It is not safe for concurrent use.
type fleet struct {
	absences map[string]absence // by endpoint ID
	restart  time.Duration      // moving average of the time from an end to the next start
}

func newFleet() *fleet {
	return &fleet{absences: map[string]absence{}, restart: defaultRestart}
}

// ended records that an endpoint has ended. The time in a report of a process whose clock is ahead
// may lie in the future.
func (f *fleet) ended(at time.Time, e *deployment.Endpoint) {
	if now := time.Now(); at.After(now) {
		at = now
	}
	known, found := f.absences[e.ID]
	if found && (known.startedAtMillis > e.StartedAtMillis || known.startedAtMillis == e.StartedAtMillis && at.Sub(known.at) < unhealthyTTL) {
		return
	}
	f.add(e.ID, absence{service: e.Service, startedAtMillis: e.StartedAtMillis, at: at, replaced: known.replaced && known.startedAtMillis == e.StartedAtMillis})
}

// replaced records that another instance answers at the address of an endpoint.
func (f *fleet) replaced(at time.Time, e *deployment.Endpoint) {
	f.ended(at, e)
	if a, found := f.absences[e.ID]; found && a.startedAtMillis == e.StartedAtMillis {
		a.replaced = true
		f.absences[e.ID] = a
	}
}

// gone records that an endpoint of a service is no longer listed.
func (f *fleet) gone(at time.Time, id, service string) {
	if _, found := f.absences[id]; !found && service != "" {
		f.add(id, absence{service: service, at: at})
	}
}

func (f *fleet) add(id string, a absence) {
	if len(f.absences) >= maxAbsences {
		for old, known := range f.absences {
			if a.at.Sub(known.at) > absenceTTL {
				delete(f.absences, old)
			}
		}
	}
	if len(f.absences) < maxAbsences {
		f.absences[id] = a
	}
}

// listed records a listed endpoint. A restart is observed if it is another incarnation than one that
// is known to have ended; one that merely left the list may have been stopped on purpose.
func (f *fleet) listed(now time.Time, e *deployment.Endpoint) {
	known, found := f.absences[e.ID]
	if !found || known.startedAtMillis == e.StartedAtMillis {
		return
	}
	delete(f.absences, e.ID)
	if took := now.Sub(known.at); known.startedAtMillis != 0 && took > 0 && took < absenceTTL {
		f.restart += time.Duration(restartWeight * float64(took-f.restart))
	}
}

// isDown reports whether a listed endpoint is known to have ended.
func (f *fleet) isDown(now time.Time, e *deployment.Endpoint) bool {
	a, found := f.absences[e.ID]
	return found && a.startedAtMillis == e.StartedAtMillis && (a.replaced || now.Sub(a.at) <= unhealthyTTL)
}

// mayBeDown reports whether a listed endpoint has ended, however long ago.
func (f *fleet) mayBeDown(e *deployment.Endpoint) bool {
	a, found := f.absences[e.ID]
	return found && a.startedAtMillis == e.StartedAtMillis
}

// absent returns how many endpoints of a service that are not listed are expected back.
func (f *fleet) absent(now time.Time, service string, listed map[string]bool) int {
	n := 0
	for id, a := range f.absences {
		if a.service == service && !listed[id] && now.Sub(a.at) <= absenceTTL {
			n++
		}
	}
	return n
}

// untilBack returns the time until the first ended endpoint of a service is expected back, 0 if
// none is known.
func (f *fleet) untilBack(now time.Time, service string) time.Duration {
	soonest := time.Duration(0)
	for _, a := range f.absences {
		if a.service != service || now.Sub(a.at) > absenceTTL {
			continue
		}
		// One that takes longer than usual may be back any moment.
		wait := max(minHoldDelay, f.restart-now.Sub(a.at))
		if soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}
