package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener tracks its connections, so that a crash can close them all and a fault
// can discard what is written to them while new connections work.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

type conn struct {
	net.Conn
	owner      *listener
	blackholed atomic.Bool
}

func listen(address string) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, conns: map[*conn]struct{}{}}, nil
}

func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, owner: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*conn
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

// closeAll closes the listener and every connection. It closes the write side first,
// because Close waits until a reader releases the connection, and a crash doesn't.
func (l *listener) closeAll() {
	_ = l.Close()
	for _, c := range l.connections() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_ = c.Conn.Close()
	}
}

func (l *listener) blackhole() {
	for _, c := range l.connections() {
		c.blackholed.Store(true)
	}
}

// Write discards p if the connection is blackholed.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from its listener.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
