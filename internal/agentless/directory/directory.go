// Package directory holds what one process knows of the deployment: the
// declaration in force and the endpoints that are up, each service's in a shard
// under its own lock.
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

// Directory is safe for concurrent use.
type Directory struct {
	Switches *mechanism.Switches // set before first use; may be nil

	self   string
	domain string
	table  atomic.Pointer[routes.Table]
	gone   func(address string) // an endpoint's address is no longer its own

	mu       sync.RWMutex
	services map[string]*shard
	homes    map[string]string // service by endpoint ID
}

type shard struct {
	mu  sync.Mutex
	set *endpoints.Set
}

// New returns an empty directory of the process self in a failure domain. gone is
// called with the address of each endpoint that goes; it may be nil.
func New(self, domain string, gone func(address string)) *Directory {
	return &Directory{self: self, domain: domain, gone: gone, services: map[string]*shard{}, homes: map[string]string{}}
}

// Table returns the routes in force, or nil while none are known.
func (d *Directory) Table() *routes.Table { return d.table.Load() }

// Declare puts a declaration in force unless a newer one is, tells whether it did, and
// returns the one before it, nil for none. Versions never go back.
func (d *Directory) Declare(declaration *deployment.Declaration) (before *routes.Table, inForce bool) {
	fresh := routes.NewTable(declaration)
	for {
		old := d.table.Load()
		if old != nil && old.Declaration.Version >= declaration.Version {
			return old, false
		}
		if d.table.CompareAndSwap(old, fresh) {
			return old, true
		}
	}
}

// Models returns the models that declared services serve, sorted.
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

// Put takes in an endpoint as listed.
func (d *Directory) Put(e deployment.Endpoint) {
	d.mu.Lock()
	home, found := d.homes[e.ID]
	d.homes[e.ID] = e.Service
	d.mu.Unlock()
	if found && home != e.Service {
		d.drop(home, e.ID)
	}
	s := d.shard(e.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Put(e)
}

// Remove takes out an endpoint.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	home, found := d.homes[id]
	delete(d.homes, id)
	d.mu.Unlock()
	if found {
		d.drop(home, id)
	}
}

// MarkLoading notes that an endpoint was ordered to load weights.
func (d *Directory) MarkLoading(now time.Time, id, model string, version int64) {
	d.mu.RLock()
	home, found := d.homes[id]
	d.mu.RUnlock()
	if !found {
		return
	}
	s := d.shard(home)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.set.Get(id); e != nil {
		e.MarkLoading(now, model, version)
	}
}

func (d *Directory) drop(service, id string) {
	s := d.shard(service)
	s.mu.Lock()
	address := ""
	if e := s.set.Get(id); e != nil {
		address = e.Address
	}
	s.set.Remove(id)
	s.mu.Unlock()
	if address != "" && d.gone != nil {
		d.gone(address)
	}
}

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

func (d *Directory) options() endpoints.Options {
	return endpoints.Options{
		DisableEjection:  !d.Switches.On(mechanism.SetAside),
		SharedPreference: !d.Switches.On(mechanism.OwnPreference),
		IgnoreDomain:     !d.Switches.On(mechanism.NearFirst),
	}
}

// Pick is an endpoint that was chosen for a request. End must be called once.
type Pick struct {
	deployment.Endpoint
	domain string
	shard  *shard
	state  *endpoints.State
	placed endpoints.Placement
}

// Pick chooses an endpoint of the service, or returns nil.
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
	return &Pick{Endpoint: state.Endpoint, domain: d.domain, shard: s, state: state, placed: r.Placement}
}

// End tells how the request ended; see endpoints.State.End.
func (p *Pick) End(now time.Time, outcome endpoints.Outcome, took time.Duration, work float64) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.state.ReleasePlacement(&p.placed)
	p.state.End(now, outcome, took, work)
}

// ObservePace notes the seconds that a unit of work took, without the wait before it.
func (p *Pick) ObservePace(seconds float64) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.state.ObservePace(seconds)
}

// HasFaster tells whether another endpoint would serve the request markedly faster
// than the one that was picked, where it has taken pace seconds per unit of work.
func (p *Pick) HasFaster(r endpoints.Request, pace float64) bool {
	r.Domain = p.domain
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	return p.shard.set.HasFaster(r, p.state, pace)
}

// HasLessLoaded tells whether the request would save at least gain units of work's time
// at another endpoint that runs fewer requests.
func (p *Pick) HasLessLoaded(r endpoints.Request, gain float64) bool {
	r.Domain = p.domain
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	return p.shard.set.HasLessLoaded(r, p.state, gain)
}

// TypicalPace returns the usual seconds per unit of work at a service's endpoints, 0 if
// they are not known, and how many endpoints it has.
func (d *Directory) TypicalPace(service string) (seconds float64, endpoints int) {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.TypicalPace(), len(s.set.All())
}

// SetReport takes in what another process has at a service's endpoints.
func (d *Directory) SetReport(now time.Time, service, from string, shares map[string]endpoints.ProcessLoad) {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.SetReport(now, from, shares)
}

// ProcessLoads returns what this process has at a service's endpoints.
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
		if e := s.at(address); e != nil {
			return e.Domain, true
		}
	}
	return "", false
}

func (s *shard) at(address string) *endpoints.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.set.All() {
		if e.Address == address {
			return e
		}
	}
	return nil
}

// EndpointStatus is an endpoint with its requests in flight.
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

// ServiceOf returns the service of an endpoint, empty if it is not listed.
func (d *Directory) ServiceOf(id string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.homes[id]
}

// Counts returns how many endpoints each service has.
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

// TimeUntilAvailable returns how long until an endpoint of the service may be tried again;
// 0 if one may now or none is known.
func (d *Directory) TimeUntilAvailable(service string, now time.Time) time.Duration {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	soonest := time.Duration(0)
	for _, e := range s.set.All() {
		until, aside := e.UnavailableUntil(now)
		if !aside {
			return 0
		}
		if wait := until.Sub(now); soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}
