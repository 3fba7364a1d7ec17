// Package deployment holds what a deployment consists of as this product sees
// it: the routes and services that its operator declared, and the endpoints
// that are up. Adapters decode a platform's own form into these types.
package deployment

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/keys"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes. The zero value is the strictest.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run more than once
	Streaming                 // events; at most once unless the route is resumable
	Rollout                   // batch jobs of samples; their items may be repeated
)

// Backend is one service that a route sends to, with its share.
type Backend struct {
	Service string
	Weight  int // relative to the other backends
}

// Route says where requests of a host and path prefix go and what they are
// allowed.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool // a broken stream may go on at another endpoint
	SingleVersion bool // one weight version for a sample's whole text
	Timeout       time.Duration
	Objective     time.Duration // answers within it are on time
	Due           time.Duration // batch jobs: results are due this long after submission
	ItemTTL       time.Duration // batch jobs: an item may be given up after it
	Priority      int           // 0 is the highest
	MaxAttempts   int           // endpoints that one request may be sent to
	Public        bool          // requests need no key
	Backends      []Backend
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	switch r.Kind {
	case Idempotent, Rollout:
		return true
	case Streaming:
		return r.Resumable
	default:
		return false
	}
}

// Service is a declared service.
type Service struct {
	Name   string
	Models []string // models its engines serve; empty for a plain service
}

// Customer is one of those on whose behalf requests come.
type Customer struct {
	Name     string
	Keys     []keys.Digest // any of them names the customer
	Priority *int          // goes before that of a route; nil: the route's
}

// Limits bound what a caller may send; zero means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Declaration is one version of what the operator declared, in full.
type Declaration struct {
	Version     int64
	Routes      []Route
	Services    map[string]Service
	Limits      Limits
	RequireKeys bool // requests need a customer's key, but for public routes
	Customers   []Customer
}

// Endpoint is one instance of a service as the platform lists it.
type Endpoint struct {
	ID              string
	Service         string
	Address         string // ip:port
	Domain          string // failure domain
	Slots           int
	Leaving         bool
	StartedAtMillis int64            // Unix milliseconds of its start; tells incarnations of one ID apart
	Versions        map[string]int64 // weight version by model
}

// SameIncarnation tells whether both are one incarnation of one endpoint.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	return e.ID == other.ID && e.StartedAtMillis == other.StartedAtMillis && e.Address == other.Address
}
