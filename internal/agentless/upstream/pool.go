// Package upstream sends HTTP/1.1 requests to endpoints over kept connections.
// Unlike a general client it repeats nothing by itself and tells whether any
// byte of a failed request was sent: only then is "not run" certain.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/agentless/netcount"
	"siskinloom.example/siskinloom/internal/netdial"
)

const (
	// dialLimit bounds opening a connection. Endpoints of a region are
	// milliseconds away; a lost opening packet is sent again after a second, by
	// when another endpoint has answered.
	dialLimit = 400 * time.Millisecond
	// idleLimit is how long a connection is kept without a request if its
	// endpoint names no limit of its own.
	idleLimit = 10 * time.Second
	// idleMargin is taken off the endpoint's own limit: a request must not cross
	// the endpoint's close on the way, after which nobody knows if it ran.
	idleMargin = 100 * time.Millisecond
	// idlePerEndpoint bounds kept connections to one endpoint; endpoints accept
	// some hundred from all callers together.
	idlePerEndpoint = 16
)

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	opened func() // called for each new connection, for the metrics; may be nil
	meter  *netcount.Meter

	mu   sync.Mutex
	idle map[string][]*conn // last used last
}

// NewPool returns an empty pool. opened is called for each new connection, and
// meter counts their bytes; both may be nil.
func NewPool(opened func(), meter *netcount.Meter) *Pool {
	return &Pool{dialer: netdial.Dialer(dialLimit), opened: opened, meter: meter, idle: map[string][]*conn{}}
}

// get returns a kept connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.quiet() {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.opened != nil {
		p.opened()
	}
	return newConn(p.meter.Wrap(netcount.Endpoint, raw, address), address), nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[c.address]
	if len(kept) >= idlePerEndpoint {
		c.close()
		return
	}
	p.idle[c.address] = append(kept, c)
}

// CloseIdle closes the kept connections to an address, whose endpoint is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		c.close()
	}
}

// quiet tells whether the connection may take another request.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	tcp, ok := netcount.Unwrap(c.raw).(*net.TCPConn)
	return !ok || netdial.Quiet(tcp)
}
