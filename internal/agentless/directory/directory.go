// Package directory holds what one process knows of the deployment: the declaration in
// force and the endpoints that are up. The endpoints of each service are in a shard with a
// lock of its own.
package directory

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

// Directory holds the routes in force and the listed endpoints. It is safe for concurrent use.
type Directory struct {
	Switches *mechanism.Switches // set before first use; may be nil

	self      string
	domain    string
	table     atomic.Pointer[routes.Table]
	onRemoved func(address string) // called with the address of a removed endpoint; may be nil

	mu                sync.RWMutex
	services          map[string]*shard
	serviceByEndpoint map[string]string // service name by endpoint ID
}

// shard holds the endpoints of one service.
type shard struct {
	mu     sync.Mutex
	set    *endpoints.Set
	fullAt time.Time // when an endpoint last refused a request because it was full; zero: never
}

// New returns an empty directory of the process self in a failure domain. onRemoved is called
// with the address of each endpoint that is removed; it may be nil.
func New(self, domain string, onRemoved func(address string)) *Directory {
	return &Directory{self: self, domain: domain, onRemoved: onRemoved, services: map[string]*shard{}, serviceByEndpoint: map[string]string{}}
}

// Table returns the routes in force, or nil while none are known.
func (d *Directory) Table() *routes.Table { return d.table.Load() }

// Declare puts a declaration in force unless the current one has the same or a higher version.
// It returns the routes that were in force before, nil for none, and whether the declaration
// is now in force. Versions never decrease.
func (d *Directory) Declare(declaration *deployment.Declaration) (before *routes.Table, inForce bool) {
	table := routes.NewTable(declaration)
	for {
		old := d.table.Load()
		if old != nil && old.Declaration.Version >= declaration.Version {
			return old, false
		}
		if d.table.CompareAndSwap(old, table) {
			return old, true
		}
	}
}

// Models returns the models that the declared services serve, sorted.
func (d *Directory) Models() []string {
	table := d.table.Load()
	if table == nil {
		return nil
	}
	var models []string
	for _, service := range table.Declaration.Services {
		models = append(models, service.Models...)
	}
	sort.Strings(models)
	return slices.Compact(models)
}

// Put adds or updates a listed endpoint.
func (d *Directory) Put(e deployment.Endpoint) {
	d.mu.Lock()
	service, found := d.serviceByEndpoint[e.ID]
	d.serviceByEndpoint[e.ID] = e.Service
	d.mu.Unlock()
	if found && service != e.Service {
		d.drop(service, e.ID)
	}
	s := d.shard(e.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Put(e)
}

// Remove removes an endpoint.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	service, found := d.serviceByEndpoint[id]
	delete(d.serviceByEndpoint, id)
	d.mu.Unlock()
	if found {
		d.drop(service, id)
	}
}

// MarkLoading records that an endpoint was ordered to load weights.
func (d *Directory) MarkLoading(now time.Time, id, model string, version int64) {
	d.mu.RLock()
	service, found := d.serviceByEndpoint[id]
	d.mu.RUnlock()
	if !found {
		return
	}
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.set.Get(id); e != nil {
		e.MarkLoading(now, model, version)
	}
}

// drop removes an endpoint from a service's shard.
func (d *Directory) drop(service, id string) {
	s := d.shard(service)
	s.mu.Lock()
	address := ""
	if e := s.set.Get(id); e != nil {
		address = e.Address
	}
	s.set.Remove(id)
	s.mu.Unlock()
	if address != "" && d.onRemoved != nil {
		d.onRemoved(address)
	}
}

// shard returns the shard of a service, which it creates if there is none.
func (d *Directory) shard(service string) *shard {
	d.mu.RLock()
	s := d.services[service]
	d.mu.RUnlock()
	if s != nil {
		return s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services[service] == nil {
		d.services[service] = &shard{set: endpoints.NewSet(d.self)}
	}
	return d.services[service]
}

// options returns the options of a pick, by the mechanisms that are enabled.
func (d *Directory) options() endpoints.Options {
	return endpoints.Options{
		DisableEjection:  !d.Switches.On(mechanism.SetAside),
		SharedPreference: !d.Switches.On(mechanism.OwnPreference),
		IgnoreDomain:     !d.Switches.On(mechanism.NearFirst),
		IgnoreSpeeds:     !d.Switches.On(mechanism.LearnSpeeds),
		PlaceByLoad:      !d.Switches.On(mechanism.PlaceByTime),
	}
}

// Pick is an endpoint that was picked for a request. End must be called once.
type Pick struct {
	deployment.Endpoint
	domain    string
	shard     *shard
	state     *endpoints.State
	placement endpoints.Placement
}

// Pick picks an endpoint of the service for a request. It returns nil if none is available.
func (d *Directory) Pick(service string, r endpoints.Request) *Pick {
	r.Domain = d.domain
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Options = d.options()
	state := s.set.Pick(r)
	if state == nil {
		return nil
	}
	return &Pick{Endpoint: state.Endpoint, domain: d.domain, shard: s, state: state, placement: r.Placement}
}

// End records how the request ended; see endpoints.State.End.
func (p *Pick) End(now time.Time, outcome endpoints.Outcome, latency time.Duration, work float64) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.state.ReleasePlacement(&p.placement)
	p.state.End(now, outcome, latency, work)
	if outcome == endpoints.Refused {
		p.shard.fullAt = now
	}
}

// ObservePace records the seconds that a unit of work took, without the wait before it.
func (p *Pick) ObservePace(seconds float64) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.state.ObservePace(seconds)
}

// HasFaster returns whether another endpoint would serve the request markedly faster than the
// picked one, which has taken pace seconds per unit of work so far.
func (p *Pick) HasFaster(r endpoints.Request, pace float64) bool {
	r.Domain = p.domain
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	return p.shard.set.HasFaster(r, p.state, pace)
}

// HasLessLoaded returns whether the request would save at least the time of gain units of work
// at another endpoint that runs fewer requests.
func (p *Pick) HasLessLoaded(r endpoints.Request, gain float64) bool {
	r.Domain = p.domain
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	return p.shard.set.HasLessLoaded(r, p.state, gain)
}

// TypicalPace returns the typical seconds per unit of work at a service's endpoints, 0 if
// they are unknown, and the number of its endpoints.
func (d *Directory) TypicalPace(service string) (seconds float64, endpoints int) {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.TypicalPace(), len(s.set.All())
}

// SetReport replaces the load that another process reports at a service's endpoints.
func (d *Directory) SetReport(now time.Time, service, from string, loads map[string]endpoints.ProcessLoad) {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.SetReport(now, from, loads)
}

// ProcessLoads returns the load of this process at a service's endpoints, by endpoint ID.
func (d *Directory) ProcessLoads(service string) map[string]endpoints.ProcessLoad {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.ProcessLoads()
}

// DomainOf returns the failure domain of the endpoint at an address.
func (d *Directory) DomainOf(address string) (domain string, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, s := range d.services {
		if e := s.byAddress(address); e != nil {
			return e.Domain, true
		}
	}
	return "", false
}

// byAddress returns the endpoint at an address, or nil.
func (s *shard) byAddress(address string) *endpoints.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.set.All() {
		if e.Address == address {
			return e
		}
	}
	return nil
}

// EndpointStatus is an endpoint with the number of this process's requests in flight to it.
type EndpointStatus struct {
	deployment.Endpoint
	InFlight int
}

// List returns the endpoints of a service.
func (d *Directory) List(service string) []EndpointStatus {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]EndpointStatus, 0, len(s.set.All()))
	for _, e := range s.set.All() {
		list = append(list, EndpointStatus{Endpoint: e.Endpoint, InFlight: e.InFlight})
	}
	return list
}

// ServiceOf returns the service of an endpoint, or an empty string if it is not listed.
func (d *Directory) ServiceOf(id string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serviceByEndpoint[id]
}

// Counts returns the number of endpoints by service.
func (d *Directory) Counts() map[string]int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	counts := make(map[string]int, len(d.services))
	for name, s := range d.services {
		s.mu.Lock()
		counts[name] = len(s.set.All())
		s.mu.Unlock()
	}
	return counts
}

// TimeUntilAvailable returns the time until the first endpoint of the service may be tried
// again, 0 if one may be tried now or none is known.
func (d *Directory) TimeUntilAvailable(service string, now time.Time) time.Duration {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest := time.Duration(0)
	for _, e := range s.set.All() {
		until, unavailable := e.UnavailableUntil(now)
		if !unavailable {
			return 0
		}
		if wait := until.Sub(now); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
