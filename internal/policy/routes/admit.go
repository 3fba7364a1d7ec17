package routes

import (
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/keys"
)

// Admission is the decision whether a request is served, and for which customer.
type Admission struct {
	Allowed  bool
	Customer string // empty if no keys are required, or if the key belongs to no customer
	Priority int    // 0 is the highest
}

// newKeyIndex returns the index of the customers' keys. A key of two customers belongs
// to the first; the decoder of declarations rejects such keys.
func newKeyIndex(customers []deployment.Customer) *keys.Index[*deployment.Customer] {
	size := 0
	for i := range customers {
		size += len(customers[i].Keys)
	}
	index := keys.NewIndex[*deployment.Customer](size)
	for i := range customers {
		for _, key := range customers[i].Keys {
			index.Add(key, &customers[i])
		}
	}
	return index
}

// Admit decides whether a request with the key is served on the route. The key is
// empty if the request has none.
func (t *Table) Admit(r *deployment.Route, key string) Admission {
	return t.admit(key, r.Public, r.Priority)
}

// AdmitJobCall decides whether a call on a batch job is served. The job was submitted
// at the host, and no route matches the path of the call. The call needs no key if no
// job of the host needed one to be submitted, that is, if all rollout routes of the
// host are public.
func (t *Table) AdmitJobCall(host, key string) Admission {
	rollouts, public := 0, 0
	for _, r := range t.byHost[normalizeHost(host)] {
		if r.Kind != deployment.Rollout {
			continue
		}
		rollouts++
		if r.Public {
			public++
		}
	}
	return t.admit(key, rollouts > 0 && public == rollouts, 0)
}

func (t *Table) admit(key string, public bool, priority int) Admission {
	if !t.Declaration.RequireKeys {
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
