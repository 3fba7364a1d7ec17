package daemon

import (
	"time"

	"siskinloom.example/siskinloom/internal/decl"
)

// endpointWaitTimeout limits how long a starting entry waits for endpoints. A
// service whose endpoints are all down must not prevent the entry from serving the
// other services.
const endpointWaitTimeout = 10 * time.Second

// endpointReadiness determines whether a starting entry has a usable endpoint of every
// declared service. An entry that listened before its first heartbeats were
// answered would refuse requests for lack of an endpoint, although every other
// entry could serve them. A caller whose connection is not accepted tries another
// entry. Once true, the result stays true: if a service is lost later, the entry
// answers each request for it with an error.
type endpointReadiness struct {
	hasEngine    func(service string) bool
	configuredAt time.Time // when the first configuration was known; zero: none yet
	done         bool
}

// ready returns the result for the configuration in force, which may be nil.
func (r *endpointReadiness) ready(now time.Time, d *decl.Deployment) bool {
	if r.done || d == nil {
		return r.done
	}
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
	r.done = now.Sub(r.configuredAt) >= endpointWaitTimeout || r.haveEngines(d.Services)
	return r.done
}

func (r *endpointReadiness) haveEngines(services []decl.Service) bool {
	for _, s := range services {
		if !r.hasEngine(s.Name) {
			return false
		}
	}
	return true
}
