// Package upstream sends HTTP/1.1 requests to endpoints over pooled connections. Unlike a
// general client it never retries by itself, and it reports whether any byte of a failed
// request may have been sent: only if none was is it certain that the request did not run.
package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/netcount"
	"siskinloom.example/siskinloom/internal/netdial"
)

const (
	// dialTimeout is the timeout for opening a connection. Endpoints of a region are
	// milliseconds away. A lost SYN packet is retransmitted after a second, by when
	// another endpoint has answered.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept idle if its endpoint declares no
	// timeout, and the longest that one is kept.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is subtracted from the timeout that an endpoint declares: if a request
	// crossed the endpoint's close in transit, it would be unknown whether it ran.
	idleMargin = 100 * time.Millisecond
	// unusedTimeout is how long a connection is kept that has carried no request yet. An
	// endpoint says only in an answer how long it keeps a connection.
	unusedTimeout = time.Second
	// maxIdlePerAddress is the limit of idle connections to one endpoint. An endpoint
	// accepts some hundred connections from all callers together.
	maxIdlePerAddress = 16
)

// Pool opens connections to endpoints and keeps idle ones by address. It is safe for
// concurrent use.
type Pool struct {
	dialer *net.Dialer
	onDial func() // called for each new connection, for metrics; may be nil
	meter  *netcount.Meter

	mu   sync.Mutex
	idle map[string][]*conn // by address; the most recently used one last
}

// NewPool returns an empty pool. onDial is called for each new connection, and meter counts
// the bytes of the connections; both may be nil.
func NewPool(onDial func(), meter *netcount.Meter) *Pool {
	return &Pool{dialer: netdial.Dialer(dialTimeout), onDial: onDial, meter: meter, idle: map[string][]*conn{}}
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.isIdle() {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.onDial != nil {
		p.onDial()
	}
	return newConn(p.meter.Wrap(netcount.Endpoint, raw, address), address), nil
}

// RefusesConnections opens a connection to an address and reports whether it was refused because
// nothing listens there. An opened connection is kept for the next request.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if p.onDial != nil {
		p.onDial()
	}
	c := newConn(p.meter.Wrap(netcount.Endpoint, raw, address), address)
	c.usableUntil = time.Now().Add(unusedTimeout)
	p.put(c)
	return false
}

// takeIdle removes the most recently used idle connection to an address from the pool and
// returns it, or nil if there is none.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// put adds an idle connection to the pool, or closes it if the address has enough of them.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	if len(idle) >= maxIdlePerAddress {
		c.close()
		return
	}
	p.idle[c.address] = append(idle, c)
}

// CloseIdle closes the idle connections to an address whose endpoint is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// isIdle returns whether the connection is open and has no unread bytes, so that it may carry
// another request.
func (c *conn) isIdle() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	tcp, ok := netcount.Unwrap(c.raw).(*net.TCPConn)
	return !ok || netdial.IsReusable(tcp)
}
