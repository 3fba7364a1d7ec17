package membership

import (
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// Fanout bounds the number of agents that an entry keeps connections to.
type Fanout struct {
	Watchers     int // minimum number of entries that keep a connection to each agent
	PerService   int // minimum number of agents of each service that an entry keeps, if it has as many
	MaxUnwatched int // approximate limit of agents that an entry keeps without watching them; lowers PerService if there are many services
}

// DefaultFanout returns the bounds used in production.
func DefaultFanout() Fanout { return Fanout{Watchers: 3, PerService: 16, MaxUnwatched: 32} }

const (
	// minPerService is the lower limit of PerService with many services.
	minPerService = 3
	// heartbeatBytes is the approximate size of a heartbeat and its reply on the
	// wire.
	heartbeatBytes = 480
	// The budgets limit the traffic of heartbeats, in bytes per second: that of an
	// entry with the agents it watches and with the others it keeps, and that of
	// an agent with the entries that keep it without watching it.
	watchedBytesPerSecond = 4500
	keptBytesPerSecond    = 1200
	agentBytesPerSecond   = 6400
	// largeFleetEntries is the number of entries of a large fleet. In it every entry
	// uses the heartbeat interval of the entry that watches the most agents, about
	// twice the mean. Otherwise each entry would spend the whole budget, and those
	// that are called by many entries or hold duties would exceed the traffic allowed
	// for control work.
	largeFleetEntries = 100
)

// Connection is an agent that an entry keeps a connection to.
type Connection struct {
	ID string
	// Watched is true if the entry is one of the agent's watchers, which exchange
	// frequent heartbeats with it regardless of the traffic of callers.
	Watched  bool
	Interval time.Duration // between heartbeats on an idle connection
}

// SelectConnections returns the agents that the entry self keeps connections to,
// ordered by ID. It watches the agents for which self is among the f.Watchers
// entries of the highest rendezvous weight, so that each agent has that many
// watchers. It adds agents of each service, spread over its failure domains, so that
// requests have a choice. Heartbeats to these are less frequent if the entry has many
// of them or the agent is kept by many entries. This delays only the reports of idle
// agents, since replies to requests report load and leaving as well.
func SelectConnections(self string, entries []string, agents []Instance, f Fanout, minInterval time.Duration) []Connection {
	chosen := map[string]bool{}
	watched := map[string]bool{}
	own, others := rendezvous.Key(self), keysExcept(self, entries)
	for _, in := range agents {
		if isWatcher(own, others, rendezvous.Key(in.ID), f.Watchers) {
			chosen[in.ID] = true
			watched[in.ID] = true
		}
	}
	services := groupByService(agents)
	quota := f.PerService
	if n := len(services); n > 0 {
		quota = max(min(quota, f.MaxUnwatched/n), minPerService)
	}
	for _, members := range services {
		addToQuota(self, members, quota, chosen)
	}
	pacing := pacing{minInterval: minInterval, watched: len(watched), kept: len(chosen) - len(watched), entries: len(others) + 1, quota: quota}
	if pacing.entries >= largeFleetEntries {
		pacing.assumedWatched = 2 * f.Watchers * len(agents) / pacing.entries
	}
	sizes := countByDomain(services)
	kept := make([]Connection, 0, len(chosen))
	for _, in := range agents {
		if chosen[in.ID] {
			interval := pacing.interval(watched[in.ID], len(sizes[in.Service]), sizes[in.Service][in.Domain])
			kept = append(kept, Connection{ID: in.ID, Watched: watched[in.ID], Interval: interval})
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
	return kept
}

// pacing holds the values that determine the heartbeat intervals of an entry.
type pacing struct {
	minInterval    time.Duration
	watched, kept  int // agents that this entry watches, and others that it keeps
	entries        int // including this one
	quota          int // agents to keep of each service
	assumedWatched int // lower limit of watched for the interval in a large fleet; see largeFleetEntries
}

// interval returns the heartbeat interval for an agent whose service has instances
// in the given number of failure domains, sameDomain of them in the agent's own.
// Entries spread their quota over failure domains, so an agent that is alone in
// its failure domain is kept by more entries than others of its service.
func (p pacing) interval(watched bool, domains, sameDomain int) time.Duration {
	if watched {
		return max(p.minInterval, intervalForBudget(max(p.watched, p.assumedWatched), watchedBytesPerSecond))
	}
	keepers := min(p.entries, p.entries*p.quota/(domains*sameDomain))
	return max(p.minInterval, intervalForBudget(p.kept, keptBytesPerSecond), intervalForBudget(keepers, agentBytesPerSecond))
}

// intervalForBudget returns the interval at which n heartbeats per interval take
// budget bytes per second.
func intervalForBudget(n, budget int) time.Duration {
	return time.Duration(n) * heartbeatBytes * time.Second / time.Duration(budget)
}

// keysExcept returns the rendezvous keys of the entries other than self.
func keysExcept(self string, entries []string) []uint64 {
	keys := make([]uint64, 0, len(entries))
	for _, e := range entries {
		if e != self {
			keys = append(keys, rendezvous.Key(e))
		}
	}
	return keys
}

// isWatcher reports whether the entry with the key own is among the n entries of
// the highest rendezvous weight for the agent. It counts the entries of a higher
// weight instead of sorting all of them.
func isWatcher(own uint64, others []uint64, agent uint64, n int) bool {
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

func groupByService(agents []Instance) map[string][]Instance {
	services := map[string][]Instance{}
	for _, in := range agents {
		services[in.Service] = append(services[in.Service], in)
	}
	return services
}

// countByDomain counts the agents by service and failure domain.
func countByDomain(services map[string][]Instance) map[string]map[string]int {
	sizes := map[string]map[string]int{}
	for service, members := range services {
		sizes[service] = map[string]int{}
		for _, in := range members {
			sizes[service][in.Domain]++
		}
	}
	return sizes
}

// addToQuota adds agents of one service to chosen until quota are chosen, from as
// many failure domains as quota allows. Each time it adds the agent of the highest
// rendezvous weight for self from the failure domain with the fewest chosen agents;
// ties go to the failure domain of the higher weight. If agents of every failure
// domain were required, with eight of them all entries would keep nearly all
// agents of a small service.
func addToQuota(self string, members []Instance, quota int, chosen map[string]bool) {
	count := map[string]int{}
	total := 0
	remaining := map[string][]Instance{}
	for _, in := range members {
		if chosen[in.ID] {
			count[in.Domain]++
			total++
		} else {
			remaining[in.Domain] = append(remaining[in.Domain], in)
		}
	}
	for domain := range remaining {
		sortByWeight(self, remaining[domain])
	}
	domains := domainsByWeight(self, remaining)
	for {
		domain, found := domainWithFewest(domains, count, remaining)
		if !found || (total >= quota && (count[domain] > 0 || len(count) >= quota)) {
			return
		}
		chosen[remaining[domain][0].ID] = true
		remaining[domain] = remaining[domain][1:]
		count[domain]++
		total++
	}
}

// sortByWeight sorts the members by rendezvous weight for self, highest first.
func sortByWeight(self string, members []Instance) {
	key := rendezvous.Key(self)
	sort.Slice(members, func(i, j int) bool {
		return rendezvous.Weight(key, rendezvous.Key(members[i].ID)) > rendezvous.Weight(key, rendezvous.Key(members[j].ID))
	})
}

// domainsByWeight returns the failure domains by rendezvous weight for self,
// highest first.
func domainsByWeight(self string, remaining map[string][]Instance) []string {
	key := rendezvous.Key(self)
	domains := make([]string, 0, len(remaining))
	for domain := range remaining {
		domains = append(domains, domain)
	}
	sort.Slice(domains, func(i, j int) bool {
		return rendezvous.Weight(key, rendezvous.Key(domains[i])) > rendezvous.Weight(key, rendezvous.Key(domains[j]))
	})
	return domains
}

// domainWithFewest returns the first failure domain with the fewest chosen agents
// among those with remaining ones; false if no agents remain.
func domainWithFewest(domains []string, count map[string]int, remaining map[string][]Instance) (string, bool) {
	best, found := "", false
	for _, domain := range domains {
		if len(remaining[domain]) == 0 {
			continue
		}
		if !found || count[domain] < count[best] {
			best, found = domain, true
		}
	}
	return best, found
}
