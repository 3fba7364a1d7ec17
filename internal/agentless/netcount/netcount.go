// Package netcount counts the bytes that a process exchanges with others, by use and by
// whether they leave its failure domain: a deployment with several domains pays for those that
// do. The side that opened a connection counts both directions.
package netcount

import (
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Use is the purpose of a connection.
type Use string

// The uses of connections.
const (
	Inner    Use = "inner"    // calls between the system's own processes
	Endpoint Use = "endpoint" // requests to endpoints
)

// Meter counts the bytes of one process. It is safe for concurrent use.
type Meter struct {
	domain   string // of this process
	registry metrics.Registry

	mu       sync.RWMutex
	domainOf func(address string) (domain string, known bool)
}

// NewMeter returns a meter of a process in a failure domain, which counts in the registry.
func NewMeter(domain string, registry metrics.Registry) *Meter {
	return &Meter{domain: domain, registry: registry}
}

// SetDomainLookup sets the function that returns the failure domain of an ip:port. Until
// it is set, and for an unknown address, bytes count as "elsewhere".
func (m *Meter) SetDomainLookup(domainOf func(address string) (domain string, known bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.domainOf = domainOf
}

// locality returns whether an address is in the process's own failure domain ("near"), in
// another one ("far") or unknown ("elsewhere"), as used in names of metrics.
func (m *Meter) locality(address string) string {
	m.mu.RLock()
	domainOf := m.domainOf
	m.mu.RUnlock()
	if domainOf == nil {
		return "elsewhere"
	}
	switch domain, known := domainOf(address); {
	case !known:
		return "elsewhere"
	case domain == m.domain:
		return "near"
	default:
		return "far"
	}
}

// Wrap returns a connection whose bytes are counted. A nil meter returns conn itself.
func (m *Meter) Wrap(use Use, conn net.Conn, address string) net.Conn {
	if m == nil {
		return conn
	}
	prefix := "bytes." + string(use) + "."
	locality := "." + m.locality(address)
	return &meteredConn{
		Conn: conn,
		in:   metrics.GetOrRegisterCounter(prefix+"in"+locality, m.registry),
		out:  metrics.GetOrRegisterCounter(prefix+"out"+locality, m.registry),
	}
}

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}

// NetConn returns the underlying connection.
func (c *meteredConn) NetConn() net.Conn { return c.Conn }

// Unwrap returns the underlying connection of one that Wrap returned, and any other one itself.
func Unwrap(conn net.Conn) net.Conn {
	if c, ok := conn.(*meteredConn); ok {
		return c.NetConn()
	}
	return conn
}
