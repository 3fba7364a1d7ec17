package decl

import (
	"regexp"
	"strconv"

	"siskinloom.example/siskinloom/internal/inifile"
)

// rolesKey is the key of the roles of a service's engines, whose value has the
// form "prefill:1, decode:3".
const rolesKey = "roles"

var rolePattern = regexp.MustCompile(`^([a-z][a-z0-9_-]*):([1-9][0-9]{0,3})$`)

func parseRoles(s *inifile.Section) []string {
	texts := s.List(rolesKey)
	if len(texts) > 0 && s.String("kind", "") != string(KindModel) {
		s.AddFinding(rolesKey, "only engines of kind model have roles")
	}
	seen := map[string]bool{}
	for _, text := range texts {
		role, ok := parseRole(text)
		switch {
		case !ok:
			s.AddFinding(rolesKey, "%q is not a role with its share, such as decode:3", text)
		case seen[role.Name]:
			s.AddFinding(rolesKey, "role %q stands twice", role.Name)
		}
		seen[role.Name] = true
	}
	return texts
}

func parseRole(text string) (Role, bool) {
	parts := rolePattern.FindStringSubmatch(text)
	if parts == nil {
		return Role{}, false
	}
	share, err := strconv.Atoi(parts[2])
	return Role{Name: parts[1], Share: share}, err == nil
}

// EngineRoles returns the declared roles and their shares.
func (s Service) EngineRoles() []Role {
	var roles []Role
	for _, text := range s.Roles {
		if role, ok := parseRole(text); ok {
			roles = append(roles, role)
		}
	}
	return roles
}
