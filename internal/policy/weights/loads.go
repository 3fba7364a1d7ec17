package weights

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// capacity counts the engines of a service.
type capacity struct {
	total, serving int // engines that count for the floor, and those of them that serve
	domains        map[string]*domain
}

// domain counts the engines of a failure domain.
type domain struct {
	name           string
	total, serving int
	candidates     []candidate // engines that may load now; sorted by startLoads, oldest version first
}

// candidate is an engine and the state of the key that it may load.
type candidate struct {
	engine *engine
	state  *keyState
}

// countCapacity counts the engines and collects the candidates for loads. It leaves out
// engines that are leaving or down for longer than DownGracePeriod.
func (r *Rollout) countCapacity(now time.Time) capacity {
	c := capacity{domains: map[string]*domain{}}
	for _, id := range r.ids {
		e := r.engines[id]
		if e.Leaving || !e.Serving && now.Sub(e.downSince) > r.config.DownGracePeriod {
			continue
		}
		d, ok := c.domains[e.Domain]
		if !ok {
			d = &domain{name: e.Domain}
			c.domains[e.Domain] = d
		}
		c.total++
		d.total++
		if !e.Serving || e.load != nil || !e.allKnown(r.keys) {
			continue
		}
		c.serving++
		d.serving++
		if s := r.loadable(e, now); s != nil {
			d.candidates = append(d.candidates, candidate{engine: e, state: s})
		}
	}
	return c
}

// loadable returns the state of the first key that a serving engine may load now, or nil.
func (r *Rollout) loadable(e *engine, now time.Time) *keyState {
	for _, key := range r.keys {
		s := e.state(key)
		if s.prepared > s.version && !now.Before(s.nextLoadAt) {
			return s
		}
	}
	return nil
}

// canSpare reports whether one more engine of the domain may stop serving. The last serving
// engine of a domain may not, unless it is the only engine of the domain, which would
// otherwise never load new weights.
func (c *capacity) canSpare(d *domain, floor float64) bool {
	const rounding = 1e-9
	keep := int(math.Ceil(floor*float64(c.total) - rounding))
	if c.serving-1 < keep {
		return false
	}
	return d.total == 1 || d.serving > 1
}

// startLoads chooses the engines that load next, as many as the capacity floor allows, and
// adds their orders. It does not wait for a batch of loads to end: each engine that is done
// makes room for the next.
func (r *Rollout) startLoads(out []EngineOrder, now time.Time) []EngineOrder {
	c := r.countCapacity(now)
	domains := make([]*domain, 0, len(c.domains))
	for _, d := range c.domains {
		sort.SliceStable(d.candidates, func(i, j int) bool {
			return d.candidates[i].state.version < d.candidates[j].state.version
		})
		domains = append(domains, d)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].name < domains[j].name })
	for {
		d := c.chooseDomain(domains, r.config.CapacityFloor)
		if d == nil {
			break
		}
		next := d.candidates[0]
		d.candidates = d.candidates[1:]
		d.serving--
		c.serving--
		next.engine.load = &load{key: next.state.key, version: next.state.prepared, role: next.engine.desiredRole}
	}
	return r.sendLoads(out, now)
}

// chooseDomain returns the domain with the largest share of serving engines among those
// that can spare one, or nil. So the loading engines are spread evenly over the domains.
func (c *capacity) chooseDomain(domains []*domain, floor float64) *domain {
	var best *domain
	for _, d := range domains {
		if len(d.candidates) == 0 || !c.canSpare(d, floor) {
			continue
		}
		if best == nil || d.serving*best.total > best.serving*d.total {
			best = d
		}
	}
	return best
}

// sendLoads adds the orders of chosen loads whose agents have issued a fresh target, and
// status orders to get a target from the other agents.
func (r *Rollout) sendLoads(out []EngineOrder, now time.Time) []EngineOrder {
	for _, id := range r.ids {
		e := r.engines[id]
		if e.load == nil || e.load.sequence != 0 {
			continue
		}
		s := e.state(e.load.key)
		if !s.known {
			e.load = nil
			continue
		}
		if s.targetAt.IsZero() || now.Sub(s.targetAt) > r.config.MaxTargetAge {
			s.nextStatusAt = now
			out = r.requestStatus(out, e, s.key, now)
			continue
		}
		out = append(out, EngineOrder{Engine: id, Order: r.loadOrder(e.load, s.target)})
	}
	return out
}

// loadOrder returns the order for a load and records its sequence.
func (r *Rollout) loadOrder(l *load, target wire.Target) wire.Order {
	o := r.newOrder(l.key, l.key.LoadKind(), r.config.LoadTimeout)
	o.Version = l.version
	if l.key == RoleKey {
		o.Role = l.role
	}
	o.Target = target
	l.sequence = o.Sequence
	return o
}
