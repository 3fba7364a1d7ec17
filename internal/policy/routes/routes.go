// Package routes finds the route of a request and the service it goes to. It
// does no input or output.
package routes

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/keys"
)

// Table is the routes of one declaration. It is immutable and safe for
// concurrent use.
type Table struct {
	Declaration *deployment.Declaration
	byHost      map[string][]*deployment.Route // longest prefix first
	customers   *keys.Index[*deployment.Customer]
}

// NewTable indexes a declaration, which must not change afterwards.
func NewTable(d *deployment.Declaration) *Table {
	t := &Table{Declaration: d, byHost: map[string][]*deployment.Route{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	t.customers = ring(d.Customers)
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *deployment.Route {
	for _, r := range t.byHost[bareHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func bareHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// SelectService returns the service that a request goes to: the same one for the same
// key, in proportion to the backends' weights.
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
	at := int(xxhash.Sum64String(key) % uint64(total))
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
