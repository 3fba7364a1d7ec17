package directory

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

// UnevenSpeeds returns the speeds of a service's endpoints, and whether they are uneven and long
// requests are therefore placed by time.
func (d *Directory) UnevenSpeeds(service string, now time.Time) (endpoints.SpeedLevels, bool) {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Options = d.options()
	return s.set.UnevenSpeeds(now)
}

// SlowestFree returns the seconds per unit of work at the slowest endpoint of a service that could
// serve the request now, or 0 if there is none.
func (d *Directory) SlowestFree(service string, r endpoints.Request) float64 {
	r.Domain = d.domain
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.SlowestFree(r)
}

// RunSeconds returns the expected seconds per unit of work of the request at the picked endpoint,
// the speeds of the service, and whether the request may be moved by time.
func (p *Pick) RunSeconds(now time.Time, measured endpoints.Measured) (seconds float64, speeds endpoints.SpeedLevels, byTime bool) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	speeds, byTime = p.shard.set.UnevenSpeeds(now)
	return p.shard.set.RunSeconds(p.state, measured), speeds, byTime
}

// PickFaster picks the endpoint to which the request should move, and returns the decision. It
// returns nil if the request should stay; see endpoints.Set.PickFaster.
func (p *Pick) PickFaster(r endpoints.Request, run endpoints.Run) (*Pick, endpoints.Move) {
	r.Domain = p.domain
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	move, found := p.shard.set.PickFaster(r, p.state, run)
	if !found {
		return nil, endpoints.Move{}
	}
	return &Pick{Endpoint: move.To.Endpoint, domain: p.domain, shard: p.shard, state: move.To, placement: r.Placement}, move
}

// FastEngines returns the IDs of the endpoints that are faster than typical, of the services that
// serve the model and whose speeds are uneven.
func (d *Directory) FastEngines(model string, now time.Time) []string {
	table := d.table.Load()
	if table == nil {
		return nil
	}
	var fast []string
	for name, service := range table.Declaration.Services {
		if slices.Contains(service.Models, model) {
			fast = append(fast, d.fastEndpoints(name, now)...)
		}
	}
	return fast
}

func (d *Directory) fastEndpoints(service string, now time.Time) []string {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Options = d.options()
	return s.set.FastEndpoints(now)
}
