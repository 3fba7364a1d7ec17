package weights

import (
	"cmp"
	"slices"

	"siskinloom.example/siskinloom/internal/wire"
)

// Role is a declared role and the share of a service's engines that should have it.
type Role struct {
	Name  string
	Share int // relative to the sum of all shares
}

// RoleKey represents the role of an engine among the keys of a rollout. So a change of
// role follows the same rules as a load: one at a time per engine, within the capacity
// floor, and checked by the same OrderFilter. No adapter has this name.
var RoleKey = Key{Adapter: "\x00role"}

// The version of RoleKey says whether an engine has its desired role.
const (
	roleDiffers = 0
	roleMatches = 1
)

// SetRoles replaces the declared roles. Without declared roles, engines keep theirs.
func (r *Rollout) SetRoles(roles []Role) {
	if slices.Equal(r.roles, roles) {
		return
	}
	r.roles = slices.Clone(roles)
	r.keys = slices.DeleteFunc(r.keys, func(k Key) bool { return k == RoleKey })
	if len(roles) > 0 {
		r.keys = append(r.keys, RoleKey)
	}
	for _, e := range r.engines {
		e.state(RoleKey).resetBackoff()
	}
}

// assignRoles chooses the role of each engine. An engine keeps its role unless too many
// engines have it, so that the loss or addition of an engine changes few others. No roles
// are chosen until every serving engine has reported its role or has a load. A successor
// that knew only some roles would assign roles that other engines already have.
func (r *Rollout) assignRoles() {
	if len(r.roles) == 0 {
		return
	}
	var all []*engine
	for _, id := range r.ids {
		e := r.engines[id]
		if e.Leaving || !e.Serving {
			continue
		}
		if !e.state(RoleKey).known && e.load == nil {
			return
		}
		all = append(all, e)
	}
	remaining := quotas(r.roles, len(all))
	var unassigned []*engine
	for _, e := range all {
		role := e.role
		if e.load != nil && e.load.key == RoleKey {
			role = e.load.role
		}
		if remaining[role] > 0 {
			remaining[role]--
			e.setDesiredRole(role)
			continue
		}
		unassigned = append(unassigned, e)
	}
	for _, role := range r.roles {
		for range remaining[role.Name] {
			unassigned[0].setDesiredRole(role.Name)
			unassigned = unassigned[1:]
		}
	}
}

// quotas divides n engines among the roles by the largest remainder method. Among equal
// remainders the role declared first gets more.
func quotas(roles []Role, n int) map[string]int {
	total := 0
	for _, role := range roles {
		total += role.Share
	}
	quota := map[string]int{}
	assigned := 0
	order := slices.Clone(roles)
	for _, role := range roles {
		quota[role.Name] = n * role.Share / total
		assigned += quota[role.Name]
	}
	slices.SortStableFunc(order, func(a, b Role) int {
		return cmp.Compare(n*b.Share%total, n*a.Share%total)
	})
	for _, role := range order[:n-assigned] {
		quota[role.Name]++
	}
	return quota
}

// setDesiredRole sets the role that the engine should have. A role needs no prepare order.
func (e *engine) setDesiredRole(role string) {
	s := e.state(RoleKey)
	e.desiredRole = role
	s.prepared = roleMatches
	s.version = e.roleVersion()
}

// roleVersion returns the engine's version of RoleKey.
func (e *engine) roleVersion() int64 {
	if e.role == e.desiredRole && e.desiredRole != "" {
		return roleMatches
	}
	return roleDiffers
}

// applyRoleReply records the role in a reply, and returns the reply with the engine's
// version of RoleKey.
func (e *engine) applyRoleReply(o wire.Order, reply wire.OrderReply, delivered bool) wire.OrderReply {
	if delivered && reply.Outcome == wire.Answered {
		e.role = reply.Role
	}
	reply.Version = e.roleVersion()
	if o.Kind == wire.OrderStatus && e.load != nil && e.load.key == RoleKey && e.role == e.load.role {
		reply.Version = roleMatches // the load of unknown outcome has ended as ordered
	}
	return reply
}
