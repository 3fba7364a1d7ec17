// Package membership merges the platform's lagging list of instances with the
// reports that agents give about themselves on heartbeats, and selects the agents
// that an entry keeps connections to.
//
// The list is only a hint that an instance exists or is leaving; an agent becomes
// live only by its own report. An outdated copy of the list therefore can't bring
// back an instance that has left. An instance that returns under its old address
// is distinguished from its predecessor by its incarnation.
package membership

import (
	"sort"
	"time"
)

// Instance is an agent as the platform's list describes it.
type Instance struct {
	ID      string
	Address string // ip:port
	Domain  string // failure domain
	Region  string
	Service string
	Leaving bool
}

// State is the state of an agent, which determines what an entry may send it.
type State int

// The states of an agent.
const (
	Joining State = iota // listed, but no report received yet
	Live
	Suspect // not responding; its requests are being settled
	Leaving // gets no new requests; those in flight finish
	Gone    // gets nothing; only a new report of its own makes it live again
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"joining", "live", "suspect", "leaving", "gone"}[s]
}

// SelfReport is the state that an agent reports about itself.
type SelfReport struct {
	From        string // instance ID
	Incarnation string // identifies the agent's process; a restart gets a new one
	Uptime      time.Duration
	Leaving     bool
}

// Config holds the timeouts of a Table.
type Config struct {
	// GoneAfter is the time after which an unresponsive agent is gone if it
	// reported that it leaves or if the list no longer names it.
	GoneAfter time.Duration
	// TombstoneTTL is how long an agent that is gone and unlisted is remembered.
	// A copy of the list that is outdated by less than that can't resurrect it.
	TombstoneTTL time.Duration
	// ClearLeavingAfter is how long the list must name an agent as staying, after
	// it has named it as leaving, before the agent counts as staying. Until then
	// the newer read may have returned an older copy of the list.
	ClearLeavingAfter time.Duration
}

// DefaultConfig returns the timeouts used in production.
func DefaultConfig() Config {
	return Config{GoneAfter: 10 * time.Second, TombstoneTTL: 10 * time.Minute, ClearLeavingAfter: 30 * time.Second}
}

// Member is the state of one agent.
type Member struct {
	Instance
	Incarnation string

	uptime             time.Duration // uptime in the newest report; late reports with a lower one are ignored
	listed             bool
	listedLeaving      bool
	listedStayingSince time.Time // when the list began to name it as staying again; zero if it doesn't
	reportedLeaving    bool      // as in its newest report
	unresponsive       bool
	unresponsiveSince  time.Time
	replaced           bool      // another instance answers at its address
	goneSince          time.Time // zero if it is not gone
}

// State returns the state of the agent.
func (m *Member) State() State {
	switch {
	case !m.goneSince.IsZero():
		return Gone
	case m.reportedLeaving || m.listedLeaving:
		return Leaving
	case m.Incarnation == "":
		return Joining
	case m.unresponsive:
		return Suspect
	default:
		return Live
	}
}

// Change reports that the state of a member has changed or that the member has to
// be notified.
type Change struct {
	ID   string
	From State
	To   State
	// Notify asks the runtime to tell the agent that the list names it as
	// leaving. The agent then reports this on every heartbeat and reply, so it
	// is enough that one entry has read the list: the other entries learn it
	// within one heartbeat.
	Notify  bool
	Address string
}

// Table holds the agents known to one entry. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	members map[string]*Member
	changes []Change
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, members: map[string]*Member{}}
}

// ApplyList updates the table with a new read of the list. The returned changes
// are valid until the next call.
func (t *Table) ApplyList(now time.Time, list []Instance) []Change {
	t.changes = t.changes[:0]
	inList := make(map[string]bool, len(list))
	for _, in := range list {
		inList[in.ID] = true
		t.list(now, in)
	}
	for id, m := range t.members {
		if m.listed && !inList[id] {
			m.listed = false
		}
	}
	t.expire(now)
	t.sortChanges()
	return t.changes
}

// list updates or adds the member for one instance of the list.
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
	notify := m.updateListedLeaving(now, in.Leaving, t.cfg.ClearLeavingAfter)
	t.recordChange(m, before, notify)
}

// updateListedLeaving updates listedLeaving from the list and reports whether the
// list newly names the member as leaving.
func (m *Member) updateListedLeaving(now time.Time, leaving bool, clearAfter time.Duration) bool {
	if leaving {
		isNew := !m.listedLeaving
		m.listedLeaving = true
		m.listedStayingSince = time.Time{}
		return isNew
	}
	if !m.listedLeaving {
		return false
	}
	if m.listedStayingSince.IsZero() {
		m.listedStayingSince = now
	}
	if now.Sub(m.listedStayingSince) >= clearAfter {
		m.listedLeaving = false
	}
	return false
}

// ApplyReport updates the table with a report that was received at the address of
// the member id.
func (t *Table) ApplyReport(now time.Time, id string, report SelfReport) []Change {
	t.changes = t.changes[:0]
	m := t.members[id]
	if m == nil {
		return t.changes
	}
	if report.From != id {
		t.markReplaced(now, m, report)
		return t.changes
	}
	before := m.State()
	if report.Incarnation != m.Incarnation {
		m.resetProcess(report.Incarnation)
	}
	m.unresponsive = false
	if report.Uptime >= m.uptime {
		m.uptime = report.Uptime
		m.reportedLeaving = report.Leaving
	}
	if !m.reportedLeaving {
		m.goneSince = time.Time{}
	}
	t.recordChange(m, before, false)
	return t.changes
}

// resetProcess replaces the state of the member's previous process by that of a new
// one. If there was a previous one, the list may have named that one as leaving, so
// listedLeaving is reset too.
func (m *Member) resetProcess(incarnation string) {
	if m.Incarnation != "" {
		m.listedLeaving = false
		m.listedStayingSince = time.Time{}
	}
	m.Incarnation = incarnation
	m.uptime = 0
	m.reportedLeaving = false
	m.goneSince = time.Time{}
}

// markReplaced marks m as replaced by the instance that answers at its address,
// and adds that instance. The list still names the previous one there.
func (t *Table) markReplaced(now time.Time, m *Member, report SelfReport) {
	before := m.State()
	m.replaced = true
	m.goneSince = now
	t.recordChange(m, before, false)
	successor := t.members[report.From]
	if successor == nil {
		in := m.Instance
		in.ID = report.From
		successor = &Member{Instance: in}
		t.members[report.From] = successor
	}
	t.recordChange(successor, successor.State(), false)
}

// MarkUnresponsive records that an agent doesn't answer.
func (t *Table) MarkUnresponsive(now time.Time, id string) []Change {
	t.changes = t.changes[:0]
	m := t.members[id]
	if m == nil || m.unresponsive {
		return t.changes
	}
	before := m.State()
	m.unresponsive = true
	m.unresponsiveSince = now
	t.recordChange(m, before, false)
	return t.changes
}

// Tick applies the timeouts that have expired by now.
func (t *Table) Tick(now time.Time) []Change {
	t.changes = t.changes[:0]
	t.expire(now)
	t.sortChanges()
	return t.changes
}

// expire marks unresponsive agents as gone if they reported that they leave or if
// the list no longer names them, and removes agents that have been gone for
// TombstoneTTL and are unlisted. An unresponsive agent that is still listed and
// has not reported that it leaves never becomes gone: the agents of a region that
// is cut off stay suspect, keep their places, and serve again with their first
// heartbeat.
func (t *Table) expire(now time.Time) {
	for id, m := range t.members {
		before := m.State()
		left := m.reportedLeaving || !m.listed
		if before != Gone && m.unresponsive && left && now.Sub(m.unresponsiveSince) >= t.cfg.GoneAfter {
			m.goneSince = now
			t.recordChange(m, before, false)
		}
		if m.State() == Gone && !m.listed && now.Sub(m.goneSince) >= t.cfg.TombstoneTTL {
			delete(t.members, id)
		}
	}
}

// recordChange appends a change if the state of m is no longer before or if m has
// to be notified.
func (t *Table) recordChange(m *Member, before State, notify bool) {
	after := m.State()
	if before != after || notify {
		t.changes = append(t.changes, Change{ID: m.ID, From: before, To: after, Notify: notify, Address: m.Address})
	}
}

func (t *Table) sortChanges() {
	sort.Slice(t.changes, func(i, j int) bool { return t.changes[i].ID < t.changes[j].ID })
}

// ListedLeaving reports whether the list names the member as leaving.
func (t *Table) ListedLeaving(id string) bool {
	m := t.members[id]
	return m != nil && m.listedLeaving
}

// Get returns the member, or nil if it is unknown.
func (t *Table) Get(id string) *Member { return t.members[id] }

// ConnectionCandidates returns the agents that a connection may be kept to,
// ordered by ID: those that are listed or not gone, except those whose address
// now belongs to another instance.
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
