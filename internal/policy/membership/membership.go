// Package membership merges the platform's lagging list of instances with what
// agents say of themselves on heartbeats, and decides which agents an entry
// keeps connections to.
//
// The list is a hint that an instance exists or leaves; only the instance's own
// word makes it live. So an old copy of the list cannot bring back an instance
// that left, and an instance back under its old address is told from its
// predecessor by its incarnation.
package membership

import (
	"sort"
	"time"
)

// Instance is one agent as the platform's list has it.
type Instance struct {
	ID      string
	Address string // ip:port
	Domain  string // failure domain
	Region  string
	Service string
	Leaving bool
}

// State is what an entry may do with an agent.
type State int

// The states.
const (
	Joining State = iota // listed, never heard
	Live
	Suspect // does not answer; its requests are being settled
	Leaving // gets no new requests; those in flight finish
	Gone    // gets nothing; only its own new word brings it back
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"joining", "live", "suspect", "leaving", "gone"}[s]
}

// SelfReport is what an agent says of itself.
type SelfReport struct {
	From        string // its instance id
	Incarnation string // of its process
	Uptime      time.Duration
	Leaving     bool
}

// Config holds the times of a table.
type Config struct {
	// GoneAfter is how long an agent that left, or that the list no longer
	// names, is silent before it is gone.
	GoneAfter time.Duration
	// TombstoneTTL is how long an agent that is gone is remembered, so that a list
	// that lags as much cannot resurrect it.
	TombstoneTTL time.Duration
	// ClearLeavingAfter is how long the list must name an agent as staying after it named
	// it as leaving, before it is believed; until then it may be an older copy.
	ClearLeavingAfter time.Duration
}

// DefaultConfig returns the times in use.
func DefaultConfig() Config {
	return Config{GoneAfter: 10 * time.Second, TombstoneTTL: 10 * time.Minute, ClearLeavingAfter: 30 * time.Second}
}

// Member is one agent.
type Member struct {
	Instance
	Incarnation string

	uptime        time.Duration // of its newest word; an older one that comes late is not heard
	listed        bool
	listedLeaving bool
	stayingSince  time.Time // since when the list again says it stays; zero: it does not
	ownLeaving    bool      // its own newest word
	silent        bool
	silentSince   time.Time
	replaced      bool // another instance answers at its address
	goneSince     time.Time
}

// State returns what the member may be given.
func (m *Member) State() State {
	switch {
	case !m.goneSince.IsZero():
		return Gone
	case m.ownLeaving || m.listedLeaving:
		return Leaving
	case m.Incarnation == "":
		return Joining
	case m.silent:
		return Suspect
	default:
		return Live
	}
}

// Change tells that a member's state is another than before.
type Change struct {
	ID   string
	From State
	To   State
	// Notify asks the runtime to tell the agent itself that the list says it
	// leaves. The agent then says so on every heartbeat and reply, so one
	// reader of the list is enough for all entries to know within one.
	Notify  bool
	Address string
}

// Table holds the agents that one entry knows of. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	members map[string]*Member
	changes []Change
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, members: map[string]*Member{}}
}

// ApplyList takes a fresh read of the list into account. The changes are valid
// until the next call.
func (t *Table) ApplyList(now time.Time, list []Instance) []Change {
	t.changes = t.changes[:0]
	named := make(map[string]bool, len(list))
	for _, in := range list {
		named[in.ID] = true
		t.list(now, in)
	}
	for id, m := range t.members {
		if m.listed && !named[id] {
			m.listed = false
		}
	}
	t.age(now)
	t.sortChanges()
	return t.changes
}

func (t *Table) list(now time.Time, in Instance) {
	m := t.members[in.ID]
	if m == nil {
		m = &Member{Instance: in}
		t.members[in.ID] = m
	}
	before := m.State()
	m.listed = true
	m.Domain, m.Region, m.Service = in.Domain, in.Region, in.Service
	if m.Address != in.Address {
		m.Address = in.Address
		m.replaced = false
	}
	notify := m.takeListedLeaving(now, in.Leaving, t.cfg.ClearLeavingAfter)
	t.note(m, before, notify)
}

// takeListedLeaving follows the list's word on leaving; it tells whether it is
// news.
func (m *Member) takeListedLeaving(now time.Time, leaving bool, settle time.Duration) bool {
	if leaving {
		news := !m.listedLeaving
		m.listedLeaving = true
		m.stayingSince = time.Time{}
		return news
	}
	if !m.listedLeaving {
		return false
	}
	if m.stayingSince.IsZero() {
		m.stayingSince = now
	}
	if now.Sub(m.stayingSince) >= settle {
		m.listedLeaving = false
	}
	return false
}

// ApplyReport takes an agent's own word, given at the address of the member id.
func (t *Table) ApplyReport(now time.Time, id string, w SelfReport) []Change {
	t.changes = t.changes[:0]
	m := t.members[id]
	if m == nil {
		return t.changes
	}
	if w.From != id {
		t.replace(now, m, w)
		return t.changes
	}
	before := m.State()
	if w.Incarnation != m.Incarnation {
		m.begin(w.Incarnation)
	}
	m.silent = false
	if w.Uptime >= m.uptime {
		m.uptime = w.Uptime
		m.ownLeaving = w.Leaving
	}
	if !m.ownLeaving {
		m.goneSince = time.Time{}
	}
	t.note(m, before, false)
	return t.changes
}

// begin resets what was known of the former process at the address. The
// list's word on leaving was about the former one if there was one.
func (m *Member) begin(incarnation string) {
	if m.Incarnation != "" {
		m.listedLeaving = false
		m.stayingSince = time.Time{}
	}
	m.Incarnation = incarnation
	m.uptime = 0
	m.ownLeaving = false
	m.goneSince = time.Time{}
}

// replace notes that another instance answers at m's address: the list still
// names the one that was there before.
func (t *Table) replace(now time.Time, m *Member, w SelfReport) {
	before := m.State()
	m.replaced = true
	m.goneSince = now
	t.note(m, before, false)
	successor := t.members[w.From]
	if successor == nil {
		in := m.Instance
		in.ID = w.From
		successor = &Member{Instance: in}
		t.members[w.From] = successor
	}
	t.note(successor, successor.State(), false)
}

// MarkUnresponsive takes the verdict that an agent does not answer.
func (t *Table) MarkUnresponsive(now time.Time, id string) []Change {
	t.changes = t.changes[:0]
	m := t.members[id]
	if m == nil || m.silent {
		return t.changes
	}
	before := m.State()
	m.silent = true
	m.silentSince = now
	t.note(m, before, false)
	return t.changes
}

// Tick moves time on.
func (t *Table) Tick(now time.Time) []Change {
	t.changes = t.changes[:0]
	t.age(now)
	t.sortChanges()
	return t.changes
}

// age turns silent agents that left or that the list no longer names into
// gone ones, and forgets those that are gone and unlisted long enough. A silent
// agent that the list still names is never gone: a region that is cut off stays
// suspect, its place is kept, and it serves again with its first heartbeat.
func (t *Table) age(now time.Time) {
	for id, m := range t.members {
		before := m.State()
		left := m.ownLeaving || !m.listed
		if before != Gone && m.silent && left && now.Sub(m.silentSince) >= t.cfg.GoneAfter {
			m.goneSince = now
			t.note(m, before, false)
		}
		if m.State() == Gone && !m.listed && now.Sub(m.goneSince) >= t.cfg.TombstoneTTL {
			delete(t.members, id)
		}
	}
}

func (t *Table) note(m *Member, before State, notify bool) {
	after := m.State()
	if before != after || notify {
		t.changes = append(t.changes, Change{ID: m.ID, From: before, To: after, Notify: notify, Address: m.Address})
	}
}

func (t *Table) sortChanges() {
	sort.Slice(t.changes, func(i, j int) bool { return t.changes[i].ID < t.changes[j].ID })
}

// ListedLeaving tells whether the list says that the member leaves.
func (t *Table) ListedLeaving(id string) bool {
	m := t.members[id]
	return m != nil && m.listedLeaving
}

// Get returns the member, or nil.
func (t *Table) Get(id string) *Member { return t.members[id] }

// ConnectionCandidates lists the agents worth a connection, ordered by id: all that the
// list names or that are not gone, but for those whose address is another's.
func (t *Table) ConnectionCandidates() []Instance {
	all := make([]Instance, 0, len(t.members))
	for _, m := range t.members {
		if m.replaced || (m.State() == Gone && !m.listed) {
			continue
		}
		all = append(all, m.Instance)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
