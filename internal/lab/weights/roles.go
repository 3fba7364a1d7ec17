package weights

import "siskinloom.example/siskinloom/internal/policy/weights"

// declareRoles declares roles with random shares of the engines, as an operator may.
func (w *world) declareRoles() {
	w.faults.RoleChanges++
	w.roles = []weights.Role{
		{Name: "prefill", Share: 1 + w.rng.IntN(2)},
		{Name: "decode", Share: 1 + w.rng.IntN(3)},
	}
}

// rolesAssigned reports whether the number of engines of each role differs by less
// than one from the role's share and, if roles are declared, no engine lacks a role.
func (w *world) rolesAssigned() bool {
	total := 0
	for _, r := range w.roles {
		total += r.Share
	}
	held := map[string]int{}
	for _, e := range w.engines {
		held[e.role]++
	}
	for _, r := range w.roles {
		exact := float64(len(w.engines)*r.Share) / float64(total)
		if d := float64(held[r.Name]) - exact; d >= 1 || d <= -1 {
			return false
		}
	}
	return len(w.roles) == 0 || held[""] == 0
}
