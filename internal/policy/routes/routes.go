// Package routes finds the route of a request and the service that it is sent to. It
// does no I/O.
package routes

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/keys"
)

// Table holds the routes and the customers' keys of one declaration. It is immutable
// and safe for concurrent use.
type Table struct {
	Declaration *deployment.Declaration
	byHost      map[string][]*deployment.Route // longest prefix first
	customers   *keys.Index[*deployment.Customer]
}

// NewTable returns the Table of a declaration, which must not change afterwards.
func NewTable(d *deployment.Declaration) *Table {
	t := &Table{Declaration: d, byHost: map[string][]*deployment.Route{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	t.customers = newKeyIndex(d.Customers)
	return t
}

// Match returns the route of the host with the longest prefix that path starts with,
// or nil if there is none.
func (t *Table) Match(host, path string) *deployment.Route {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns the host in lower case and without its port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// SelectService returns the service of the backend that a request is sent to. Requests
// are distributed in proportion to the backends' weights, and the same key always selects
// the same backend. If no backend has a weight, the first one is selected. If there are
// no backends, the result is empty.
func SelectService(r *deployment.Route, key string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
