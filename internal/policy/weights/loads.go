package weights

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// capacity counts a service's engines: how many there are to keep serving, and
// how many serve.
type capacity struct {
	total, serving int
	domains        map[string]*domain
}

type domain struct {
	name           string
	total, serving int
	candidates     []candidate // stalest first
}

type candidate struct {
	engine *engine
	track  *track
}

func (r *Rollout) capacity(now time.Time) capacity {
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
		if !e.Serving || e.load != nil || !e.settled(r.keys) {
			continue
		}
		c.serving++
		d.serving++
		if t := r.ready(e, now); t != nil {
			d.candidates = append(d.candidates, candidate{engine: e, track: t})
		}
	}
	return c
}

// ready returns the track on which a serving engine may load now.
func (r *Rollout) ready(e *engine, now time.Time) *track {
	for _, key := range r.keys {
		t := e.track(key)
		if t.prepared > t.version && !now.Before(t.asideUntil) {
			return t
		}
	}
	return nil
}

// spare tells whether one engine of the domain may stop serving. Of a domain
// with a single engine that is the whole domain; it is allowed, as such an
// engine would never get new weights otherwise.
func (c *capacity) spare(d *domain, floor float64) bool {
	const rounding = 1e-9
	keep := int(math.Ceil(floor*float64(c.total) - rounding))
	if c.serving-1 < keep {
		return false
	}
	return d.total == 1 || d.serving > 1
}

// wave chooses the engines that load next, as many as the floor leaves. There is
// no barrier between waves: an engine that is done makes room for the next.
func (r *Rollout) wave(out []EngineOrder, now time.Time) []EngineOrder {
	c := r.capacity(now)
	domains := make([]*domain, 0, len(c.domains))
	for _, d := range c.domains {
		sort.SliceStable(d.candidates, func(i, j int) bool {
			return d.candidates[i].track.version < d.candidates[j].track.version
		})
		domains = append(domains, d)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].name < domains[j].name })
	for {
		d := c.choose(domains, r.config.CapacityFloor)
		if d == nil {
			break
		}
		next := d.candidates[0]
		d.candidates = d.candidates[1:]
		d.serving--
		c.serving--
		next.engine.load = &loading{key: next.track.key, version: next.track.prepared, role: next.engine.wanted}
	}
	return r.give(out, now)
}

// choose returns the domain with the largest share serving that can spare an
// engine, so that the engines out are spread evenly.
func (c *capacity) choose(domains []*domain, floor float64) *domain {
	var best *domain
	for _, d := range domains {
		if len(d.candidates) == 0 || !c.spare(d, floor) {
			continue
		}
		if best == nil || d.serving*best.total > best.serving*d.total {
			best = d
		}
	}
	return best
}

// give sends the loads chosen whose agents have issued a fresh target, and asks
// the others for one.
func (r *Rollout) give(out []EngineOrder, now time.Time) []EngineOrder {
	for _, id := range r.ids {
		e := r.engines[id]
		if e.load == nil || e.load.order != 0 {
			continue
		}
		t := e.track(e.load.key)
		if !t.known {
			e.load = nil
			continue
		}
		if t.targetAt.IsZero() || now.Sub(t.targetAt) > r.config.MaxTargetAge {
			t.askAt = now
			out = r.ask(out, e, t.key, now)
			continue
		}
		out = append(out, EngineOrder{Engine: id, Order: r.loadOrder(e.load, t.target)})
	}
	return out
}

func (r *Rollout) loadOrder(l *loading, target wire.Target) wire.Order {
	o := r.order(l.key, l.key.LoadKind(), r.config.LoadTimeout)
	o.Version = l.version
	if l.key == RoleKey {
		o.Role = l.role
	}
	o.Target = target
	l.order = o.Sequence
	return o
}
