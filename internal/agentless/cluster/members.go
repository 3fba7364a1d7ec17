package cluster

import (
	"sort"
	"sync"
	"time"
)

const (
	// prefixLive is the prefix of the keys that every process follows besides those of others:
	// registrations and duties, which exist as long as a process's lease, and reports of
	// crashes. One watch covers them.
	prefixLive    = "live/"
	prefixMembers = prefixLive + "members/"
	// DutyPrefix is the prefix of the keys of duties.
	DutyPrefix = prefixLive + "duty/"
	// CrashPrefix is the prefix of the keys of reports about endpoints that ended while they ran
	// a request.
	CrashPrefix = prefixLive + "crashes/"
)

// Member is one process of the system.
type Member struct {
	Name    string
	Address string // ip:port of the internal protocol
	Domain  string // failure domain
	Worker  bool   // whether it owns batch jobs; other processes do only if there is no worker
	Leaving bool   // whether it is stopping and gets no new work
	Boot    int64  // start of the process in Unix nanoseconds
}

// Members is the list of the system's live processes and of the holders of duties. It
// is safe for concurrent use.
type Members struct {
	mu      sync.RWMutex
	list    map[string]Member
	expired map[string]bool // listed members whose registration expired

	holders map[string]string // of duties, by key
	domains map[string]string // failure domains, by address

	// live and tree are computed from list when they are first needed after a change. Others
	// read them without a copy and must not modify them.
	live []Member
	tree *Tree
	// twoLevels says whether a large fleet may have relays.
	twoLevels bool
	// published is the tree that a process read at its start; nil if there is none.
	published *Tree
}

// NewMembers returns an empty list.
func NewMembers() *Members {
	return &Members{twoLevels: true, list: map[string]Member{}, expired: map[string]bool{}, holders: map[string]string{}, domains: map[string]string{}}
}

// Get returns the member of the given name, if it is listed.
func (m *Members) Get(name string) (Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, found := m.list[name]
	return member, found
}

// DomainOf returns the failure domain of the member at an address.
func (m *Members) DomainOf(address string) (domain string, known bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	domain, known = m.domains[address]
	return domain, known
}

// mayOwnJobs reports whether a process may own jobs: it is a worker, there is no worker, or the
// process is not known.
func (m *Members) mayOwnJobs(name string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if member, known := m.list[name]; !known || member.Worker {
		return true
	}
	for _, member := range m.list {
		if member.Worker {
			return false
		}
	}
	return true
}

// EntriesIn returns the number of members in a failure domain that are no workers.
func (m *Members) EntriesIn(domain string) int {
	n := 0
	for _, member := range m.Live() {
		if !member.Worker && member.Domain == domain {
			n++
		}
	}
	return n
}

// Count returns the number of members.
func (m *Members) Count() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.list)
}

// Holder returns the name of the last known holder of a duty, or "" if none is known.
func (m *Members) Holder(duty string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holders[duty]
}

func (m *Members) setHolder(duty, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holders[duty] = name
}

// Registered reports whether a member is listed and its registration has not expired.
func (m *Members) Registered(name string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, found := m.list[name]
	return found && !m.expired[name]
}

// Live returns all members, sorted by name. The caller must not modify the result.
func (m *Members) Live() []Member {
	m.mu.RLock()
	live := m.live
	m.mu.RUnlock()
	if live != nil {
		return live
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveLocked()
}

// liveLocked is Live with mu held.
func (m *Members) liveLocked() []Member {
	if m.live == nil {
		m.live = make([]Member, 0, len(m.list))
		for _, member := range m.list {
			m.live = append(m.live, member)
		}
		sort.Slice(m.live, func(i, j int) bool { return m.live[i].Name < m.live[j].Name })
	}
	return m.live
}

// Tree returns the processes that pass the store's changes on to the others. The caller must
// not modify the result.
func (m *Members) Tree() *Tree {
	m.mu.RLock()
	tree := m.tree
	m.mu.RUnlock()
	if tree != nil {
		return tree
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tree == nil {
		m.tree = planTree(m.liveLocked(), m.twoLevels)
	}
	if m.tree.IsEmpty() && m.published != nil {
		m.tree = m.published
	}
	return m.tree
}

// SetTwoLevels sets whether a large fleet may have relays, which is the default.
func (m *Members) SetTwoLevels(allowed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.twoLevels = allowed
	m.listChanged()
}

// SetPublished sets the tree that counts until a worker is listed.
func (m *Members) SetPublished(tree *Tree) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published = tree
	m.listChanged()
}

// listChanged discards what was computed from the list. mu must be held.
func (m *Members) listChanged() { m.live, m.tree = nil, nil }

// Owners returns the members that may own batch jobs: the workers that are not leaving
// or, if there are none, all members that are not leaving.
func (m *Members) Owners() []Member {
	var workers, others []Member
	for _, member := range m.Live() {
		switch {
		case member.Leaving:
		case member.Worker:
			workers = append(workers, member)
		default:
			others = append(others, member)
		}
	}
	if len(workers) > 0 {
		return workers
	}
	return others
}

func (m *Members) put(member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list[member.Name] = member
	m.domains[member.Address] = member.Domain
	delete(m.expired, member.Name)
	m.listChanged()
}

// lingerDuration is how long a member stays listed whose registration expired during an
// outage of the store. Live processes register again within two seconds. Without this
// delay all registrations would expire at once, and no process would be left to watch
// the store or to give weight orders.
const lingerDuration = 2 * time.Second

// linger keeps a member whose registration expired listed for lingerDuration.
func (m *Members) linger(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, found := m.list[name]
	if !found {
		return
	}
	time.AfterFunc(lingerDuration, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.list[name] == member && m.expired[name] {
			m.drop(name)
		}
	})
	m.expired[name] = true
}

func (m *Members) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(name)
}

// drop removes a member with mu held.
func (m *Members) drop(name string) {
	delete(m.domains, m.list[name].Address)
	delete(m.list, name)
	m.listChanged()
}
