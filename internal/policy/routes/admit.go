package routes

import (
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/keys"
)

// Admission says on whose behalf a request is served.
type Admission struct {
	Allowed  bool
	Customer string // empty: nobody's, as the route is public or no keys are needed
	Priority int    // 0 is the highest
}

// ring returns the customers' keys. A key that two of them have is the first one's;
// whoever decodes a declaration refuses such a one.
func ring(customers []deployment.Customer) *keys.Index[*deployment.Customer] {
	size := 0
	for i := range customers {
		size += len(customers[i].Keys)
	}
	r := keys.NewIndex[*deployment.Customer](size)
	for i := range customers {
		for _, key := range customers[i].Keys {
			r.Add(key, &customers[i])
		}
	}
	return r
}

// Admit decides about a request that bears a key, empty for none.
func (t *Table) Admit(r *deployment.Route, key string) Admission {
	return t.admit(key, r.Public, r.Priority)
}

// AdmitJobCall decides about a call on batch jobs that were submitted at a host. No
// route matches the paths of these calls. They need no key where nobody needed one
// to submit.
func (t *Table) AdmitJobCall(host, key string) Admission {
	submitted, public := 0, 0
	for _, r := range t.byHost[bareHost(host)] {
		if r.Kind != deployment.Rollout {
			continue
		}
		submitted++
		if r.Public {
			public++
		}
	}
	return t.admit(key, submitted > 0 && public == submitted, 0)
}

func (t *Table) admit(key string, public bool, priority int) Admission {
	if !t.Declaration.Keyed {
		return Admission{Allowed: true, Priority: priority}
	}
	customer, known := t.customers.Owner(key)
	if !known {
		return Admission{Allowed: public, Priority: priority}
	}
	if customer.Priority != nil {
		priority = *customer.Priority
	}
	return Admission{Allowed: true, Customer: customer.Name, Priority: priority}
}
