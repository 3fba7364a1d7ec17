package weights

import "sort"

// plan holds the sources of a version for the engines that served when its distribution
// began.
type plan struct {
	version int64
	sources map[string][]string // by engine ID; one address per stripe
}

// sources returns the addresses from which an engine's agent fetches the newest version of
// a key. An engine that joined later, or whose first attempt failed, gets agents that have
// already fetched the version, because its parents in the trees may have failed.
func (r *Rollout) sources(e *engine, key Key, attempts int) []string {
	p := r.plans[key]
	if p.version != r.targets[key] {
		p = plan{version: r.targets[key], sources: r.planSources()}
		r.plans[key] = p
	}
	planned, ok := p.sources[e.ID]
	if ok && attempts == 0 {
		return planned
	}
	return r.holderAddresses(e, key, attempts)
}

// planSources returns the sources of each serving engine according to the distribution
// trees.
func (r *Rollout) planSources() map[string][]string {
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

// interleaved returns the serving engines in an order in which neighbours are in different
// failure domains, as far as possible.
func (r *Rollout) interleaved() []*engine {
	type ranked struct {
		rank   int // within its domain
		engine *engine
	}
	var all []ranked
	countByDomain := map[string]int{}
	for _, id := range r.ids {
		e := r.engines[id]
		if e.Leaving || !e.Serving {
			continue
		}
		all = append(all, ranked{rank: countByDomain[e.Domain], engine: e})
		countByDomain[e.Domain]++
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

// holderAddresses returns the addresses of agents that have fetched the newest version, at
// most one per stripe, and of other agents with each attempt. It returns the store if there
// is no such agent.
func (r *Rollout) holderAddresses(e *engine, key Key, attempts int) []string {
	var holders []string
	for _, id := range r.ids {
		other := r.engines[id]
		if other != e && other.Serving && other.state(key).prepared == r.targets[key] {
			holders = append(holders, other.Address)
		}
	}
	if len(holders) == 0 {
		return []string{StoreSource}
	}
	count := min(len(holders), r.config.Distribution.Stripes)
	out := make([]string, count)
	for i := range out {
		out[i] = holders[(attempts*count+i)%len(holders)]
	}
	return out
}
