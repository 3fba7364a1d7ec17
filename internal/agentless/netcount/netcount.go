// Package netcount counts the bytes that a process exchanges with others, by use
// and by whether they leave its failure domain: those are what a deployment with
// several domains pays for. The side that opened a connection counts both ways.
package netcount

import (
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Use is what a connection is for.
type Use string

// The uses.
const (
	Inner    Use = "inner"    // calls between the system's own processes
	Endpoint Use = "endpoint" // requests to endpoints
)

// Meter counts for one process. It is safe for concurrent use.
type Meter struct {
	domain   string // of this process
	registry metrics.Registry

	mu       sync.RWMutex
	domainOf func(address string) (domain string, known bool)
}

// NewMeter returns a meter of a process in a failure domain.
func NewMeter(domain string, registry metrics.Registry) *Meter {
	return &Meter{domain: domain, registry: registry}
}

// SetDomainLookup has the meter ask for the failure domain of an ip:port. Until then, and
// where it is not known, bytes count as "elsewhere".
func (m *Meter) SetDomainLookup(domainOf func(address string) (domain string, known bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.domainOf = domainOf
}

func (m *Meter) where(address string) string {
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

// Wrap returns the connection with its bytes counted. A nil meter counts nothing.
func (m *Meter) Wrap(use Use, conn net.Conn, address string) net.Conn {
	if m == nil {
		return conn
	}
	prefix := "bytes." + string(use) + "."
	where := "." + m.where(address)
	return &counted{
		Conn: conn,
		in:   metrics.GetOrRegisterCounter(prefix+"in"+where, m.registry),
		out:  metrics.GetOrRegisterCounter(prefix+"out"+where, m.registry),
	}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}

// NetConn returns the connection that is counted.
func (c *counted) NetConn() net.Conn { return c.Conn }

// Unwrap returns the connection beneath one that is counted.
func Unwrap(conn net.Conn) net.Conn {
	if c, ok := conn.(*counted); ok {
		return c.NetConn()
	}
	return conn
}
