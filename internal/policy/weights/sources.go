package weights

import "sort"

// plan is how one version spreads over the engines that served when it began.
type plan struct {
	version int64
	sources map[string][]string // by engine; addresses, one per stripe
}

// sources returns where an engine's agent fetches the newest version of a key.
// A late or a second attempt takes agents that hold it already: the tree's
// parents may be what failed.
func (r *Rollout) sources(e *engine, key Key, attempts int) []string {
	p := r.plans[key]
	if p.version != r.targets[key] {
		p = plan{version: r.targets[key], sources: r.spread()}
		r.plans[key] = p
	}
	planned, ok := p.sources[e.ID]
	if ok && attempts == 0 {
		return planned
	}
	return r.holders(e, key, attempts)
}

func (r *Rollout) spread() map[string][]string {
	members := r.interleaved()
	sources := make(map[string][]string, len(members))
	for i, parents := range r.config.Distribution.Parents(len(members)) {
		addresses := make([]string, len(parents))
		for stripe, parent := range parents {
			addresses[stripe] = StoreSource
			if parent >= 0 {
				addresses[stripe] = members[parent].Address
			}
		}
		sources[members[i].ID] = addresses
	}
	return sources
}

// interleaved returns the serving engines so that neighbours are in different
// failure domains.
func (r *Rollout) interleaved() []*engine {
	type ranked struct {
		rank   int // within its domain
		engine *engine
	}
	var all []ranked
	seen := map[string]int{}
	for _, id := range r.ids {
		e := r.engines[id]
		if e.Leaving || !e.Serving {
			continue
		}
		all = append(all, ranked{rank: seen[e.Domain], engine: e})
		seen[e.Domain]++
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].rank != all[j].rank {
			return all[i].rank < all[j].rank
		}
		return all[i].engine.Domain < all[j].engine.Domain
	})
	members := make([]*engine, len(all))
	for i, a := range all {
		members[i] = a.engine
	}
	return members
}

// holders returns up to one agent per stripe that holds the newest version,
// others with each attempt; the store if there is none.
func (r *Rollout) holders(e *engine, key Key, attempts int) []string {
	var held []string
	for _, id := range r.ids {
		other := r.engines[id]
		if other != e && other.Serving && other.track(key).prepared == r.targets[key] {
			held = append(held, other.Address)
		}
	}
	if len(held) == 0 {
		return []string{StoreSource}
	}
	count := min(len(held), r.config.Distribution.Stripes)
	out := make([]string, count)
	for i := range out {
		out[i] = held[(attempts*count+i)%len(held)]
	}
	return out
}
