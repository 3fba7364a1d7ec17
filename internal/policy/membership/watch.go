package membership

import (
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// Fanout bounds how many agents an entry keeps.
type Fanout struct {
	Watchers   int // entries that keep each agent at least
	PerService int // agents of each service that an entry keeps at least, if there are as many
	MaxUnwatched       int // agents an entry keeps beyond those it watches; lowers PerService for many services
}

// DefaultFanout returns the bounds in use.
func DefaultFanout() Fanout { return Fanout{Watchers: 3, PerService: 16, MaxUnwatched: 32} }

const (
	leastPerService = 3
	// heartbeatBytes is about what a heartbeat and its answer take on the
	// wire. The budgets are in bytes a second: an entry's for the agents it
	// watches and for the others it keeps, and an agent's for entries that keep
	// it without watching it.
	heartbeatBytes = 480
	watchedBudget  = 4500
	keptBudget     = 1200
	agentBudget    = 6400
	// largeFleet is how many entries it takes to have every entry ask its
	// watched agents as rarely as the one with the most has to, which has about
	// twice the mean. Otherwise each of them would spend the whole budget, and
	// those that are called by many entries or hold duties would be over what
	// control work may take.
	largeFleet = 100
)

// Connection is one agent that an entry keeps a connection to.
type Connection struct {
	ID string
	// Watched tells that the entry is one of those the agent can count on: it
	// is heard often whatever callers send.
	Watched  bool
	Interval time.Duration // between heartbeats on an idle connection
}

// SelectConnections returns the agents that the entry self keeps connections to, ordered
// by id: those for which it is among the entries that the agent draws most, so
// that each agent is watched by Watchers entries; and enough of each service,
// over its failure domains, to choose from. Heartbeats to the latter become
// rarer where there are many, at either end. Replies to requests tell load and
// leaving as well, so only idle agents are then heard of later.
func SelectConnections(self string, entries []string, agents []Instance, f Fanout, shortest time.Duration) []Connection {
	chosen := map[string]bool{}
	watched := map[string]bool{}
	own, others := rendezvous.Key(self), keysExcept(self, entries)
	for _, in := range agents {
		if watches(own, others, rendezvous.Key(in.ID), f.Watchers) {
			chosen[in.ID] = true
			watched[in.ID] = true
		}
	}
	services := byService(agents)
	quota := f.PerService
	if n := len(services); n > 0 {
		quota = max(min(quota, f.MaxUnwatched/n), leastPerService)
	}
	for _, members := range services {
		fill(self, members, quota, chosen)
	}
	pace := pace{shortest: shortest, watched: len(watched), kept: len(chosen) - len(watched), entries: len(others) + 1, quota: quota}
	if pace.entries >= largeFleet {
		pace.evenly = 2 * f.Watchers * len(agents) / pace.entries
	}
	sizes := domainSizes(services)
	kept := make([]Connection, 0, len(chosen))
	for _, in := range agents {
		if chosen[in.ID] {
			interval := pace.interval(watched[in.ID], len(sizes[in.Service]), sizes[in.Service][in.Domain])
			kept = append(kept, Connection{ID: in.ID, Watched: watched[in.ID], Interval: interval})
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
	return kept
}

// pace holds what the heartbeat intervals depend on.
type pace struct {
	shortest      time.Duration
	watched, kept int // agents of this entry
	entries       int
	quota         int // of each service
	evenly        int // agents that an entry of a large fleet paces itself for at least
}

// interval returns how often an agent is heard whose service has instances in so
// many failure domains and so many in the agent's own. Entries spread their
// quota over failure domains, so an agent that is alone in its own has more
// keepers than others of its service.
func (p pace) interval(watched bool, domains, sameDomain int) time.Duration {
	if watched {
		return max(p.shortest, within(max(p.watched, p.evenly), watchedBudget))
	}
	keepers := min(p.entries, p.entries*p.quota/(domains*sameDomain))
	return max(p.shortest, within(p.kept, keptBudget), within(keepers, agentBudget))
}

// within returns the interval at which n heartbeats take budget bytes a second.
func within(n, budget int) time.Duration {
	return time.Duration(n) * heartbeatBytes * time.Second / time.Duration(budget)
}

func keysExcept(self string, entries []string) []uint64 {
	keys := make([]uint64, 0, len(entries))
	for _, e := range entries {
		if e != self {
			keys = append(keys, rendezvous.Key(e))
		}
	}
	return keys
}

// watches tells whether own is among the n entries that the agent draws most.
// It counts the entries that are drawn more instead of ranking them all.
func watches(own uint64, others []uint64, agent uint64, n int) bool {
	weight := rendezvous.Weight(agent, own)
	ahead := 0
	for _, e := range others {
		if rendezvous.Weight(agent, e) <= weight {
			continue
		}
		ahead++
		if ahead >= n {
			return false
		}
	}
	return true
}

func byService(agents []Instance) map[string][]Instance {
	services := map[string][]Instance{}
	for _, in := range agents {
		services[in.Service] = append(services[in.Service], in)
	}
	return services
}

// domainSizes counts the agents by service and failure domain.
func domainSizes(services map[string][]Instance) map[string]map[string]int {
	sizes := map[string]map[string]int{}
	for service, members := range services {
		sizes[service] = map[string]int{}
		for _, in := range members {
			sizes[service][in.Domain]++
		}
	}
	return sizes
}

// fill adds agents of one service until quota are chosen and as many failure
// domains as quota allows are among them, each time from the domain with the
// fewest, the one that draws self most first. With every failure domain among
// them, at eight, all entries would keep nearly all agents of a small service.
func fill(self string, members []Instance, quota int, chosen map[string]bool) {
	have := map[string]int{}
	total := 0
	rest := map[string][]Instance{}
	for _, in := range members {
		if chosen[in.ID] {
			have[in.Domain]++
			total++
		} else {
			rest[in.Domain] = append(rest[in.Domain], in)
		}
	}
	for domain := range rest {
		byDraw(self, rest[domain])
	}
	domains := domainsByDraw(self, rest)
	for {
		domain, some := fewest(domains, have, rest)
		if !some || (total >= quota && (have[domain] > 0 || len(have) >= quota)) {
			return
		}
		chosen[rest[domain][0].ID] = true
		rest[domain] = rest[domain][1:]
		have[domain]++
		total++
	}
}

func byDraw(self string, members []Instance) {
	key := rendezvous.Key(self)
	sort.Slice(members, func(i, j int) bool {
		return rendezvous.Weight(key, rendezvous.Key(members[i].ID)) > rendezvous.Weight(key, rendezvous.Key(members[j].ID))
	})
}

func domainsByDraw(self string, rest map[string][]Instance) []string {
	key := rendezvous.Key(self)
	domains := make([]string, 0, len(rest))
	for domain := range rest {
		domains = append(domains, domain)
	}
	sort.Slice(domains, func(i, j int) bool {
		return rendezvous.Weight(key, rendezvous.Key(domains[i])) > rendezvous.Weight(key, rendezvous.Key(domains[j]))
	})
	return domains
}

func fewest(domains []string, have map[string]int, rest map[string][]Instance) (string, bool) {
	best, some := "", false
	for _, domain := range domains {
		if len(rest[domain]) == 0 {
			continue
		}
		if !some || have[domain] < have[best] {
			best, some = domain, true
		}
	}
	return best, some
}
