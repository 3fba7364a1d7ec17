// Package traffic counts the bytes and connections of a process by use, so that an
// operator sees what control traffic costs and which part of it grows.
package traffic

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Use is the purpose of a connection. It is part of the counters' names.
type Use string

// The uses.
const (
	Agents       Use = "agents"    // from an entry to agents: heartbeats and requests
	Peers        Use = "peers"     // from an entry to other entries
	Inner        Use = "inner"     // accepted from entries, at an entry or an agent
	KeyValue     Use = "key_value" // to the platform's key-value service
	InstanceList Use = "list"      // reads of the platform's list of instances
)

// Prefix is the prefix of the counters' names. It is followed by the use and
// ".sent_bytes", ".received_bytes" or ".connections". Bytes don't include packet
// headers and TLS.
const Prefix = "traffic."

// DialFunc opens a connection to ip:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Meter counts the traffic of one process. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
}

// NewMeter returns a meter with its counters in the registry.
func NewMeter(registry metrics.Registry) *Meter {
	return &Meter{registry: registry}
}

// Dial returns a dial function whose connections are counted.
func (m *Meter) Dial(use Use, dial DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return m.wrap(use, conn), nil
	}
}

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(use Use, l net.Listener) net.Listener {
	return &listener{Listener: l, meter: m, use: use}
}

func (m *Meter) wrap(use Use, conn net.Conn) net.Conn {
	m.counter(use, "connections").Inc(1)
	return &countedConn{Conn: conn, sent: m.counter(use, "sent_bytes"), received: m.counter(use, "received_bytes")}
}

func (m *Meter) counter(use Use, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(Prefix+string(use)+"."+name, m.registry)
}

type listener struct {
	net.Listener
	meter *Meter
	use   Use
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(l.use, conn), nil
}

type countedConn struct {
	net.Conn
	sent, received metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Inc(int64(n))
	return n, err
}
