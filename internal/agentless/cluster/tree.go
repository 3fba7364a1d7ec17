package cluster

import (
	"siskinloom.example/siskinloom/internal/policy/fanout"
)

// Tree holds the processes that pass the store's changes on to the others: the roots follow the
// store, the relays follow the roots, and all other processes follow the relays. encoding/gob
// stores it in the store.
type Tree struct {
	Roots  []Member
	Relays []Member // empty if the roots serve all processes
}

// planTree computes the tree of a fleet. All processes that know the same members compute the
// same one. Without twoLevels the roots serve all processes of a large fleet, too.
func planTree(live []Member, twoLevels bool) *Tree {
	var members []Member
	var workers []fanout.Worker
	for _, m := range live {
		if m.Worker && !m.Leaving {
			members = append(members, m)
			workers = append(workers, fanout.Worker{Name: m.Name, Domain: m.Domain})
		}
	}
	plan := fanout.Plan(workers)
	tree := &Tree{Roots: membersAt(members, plan.Roots)}
	if twoLevels {
		tree.Relays = membersAt(members, plan.Relays)
	}
	return tree
}

// membersAt returns the members at the given indices.
func membersAt(members []Member, indices []int) []Member {
	picked := make([]Member, len(indices))
	for i, at := range indices {
		picked[i] = members[at]
	}
	return picked
}

// IsEmpty reports whether no process passes changes on.
func (t *Tree) IsEmpty() bool { return len(t.Roots) == 0 }

// HasRelays reports whether the fleet is so large that relays stand between the roots and the
// other processes.
func (t *Tree) HasRelays() bool { return len(t.Relays) > 0 }

// RoleOf returns the part of a process.
func (t *Tree) RoleOf(name string) fanout.Role {
	switch {
	case contains(t.Roots, name):
		return fanout.Root
	case contains(t.Relays, name):
		return fanout.Relay
	default:
		return fanout.Leaf
	}
}

func contains(members []Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// sourcesOf returns the processes from which a process of a role gets changes, in the order in
// which it should ask them.
func (t *Tree) sourcesOf(self Member, role fanout.Role) []Member {
	if !t.HasRelays() || role == fanout.Relay {
		roots := append([]Member(nil), t.Roots...)
		SortNearest(self, roots)
		return roots
	}
	sources := make([]fanout.Source, len(t.Relays))
	for i, m := range t.Relays {
		sources[i] = fanout.Source{Name: m.Name, Domain: m.Domain}
	}
	return membersAt(t.Relays, fanout.Order(fanout.Source{Name: self.Name, Domain: self.Domain}, sources))
}

// MaxUpstream is the largest number of processes that Upstream returns.
const MaxUpstream = 2

// Upstream returns the processes that a process exchanges reports with which must not wait for the
// store, at most two: relays or roots, in two failure domains if possible. That of a root is the
// other root.
func (t *Tree) Upstream(self Member) []Member {
	sources := t.Roots
	if role := t.RoleOf(self.Name); role != fanout.Root {
		sources = t.sourcesOf(self, role)
	}
	var upstream []Member
	for _, m := range sources {
		switch {
		case m.Name == self.Name:
		case len(upstream) < MaxUpstream:
			upstream = append(upstream, m)
		case upstream[0].Domain == upstream[1].Domain && m.Domain != upstream[0].Domain:
			upstream[1] = m
		}
	}
	return upstream
}
