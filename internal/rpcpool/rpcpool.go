// Package rpcpool keeps one net/rpc connection per address, and closes a connection
// on which a call was not answered in time.
package rpcpool

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/rpcconn"
)

const dialTimeout = 2 * time.Second

// DialFunc opens a connection of the inner protocol.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialError means that no connection could be established, so the peer certainly
// did not receive the call.
type DialError struct {
	Address string // ip:port
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Pool is a pool of connections, one per address. It is safe for concurrent use.
type Pool struct {
	dial           DialFunc
	maxConnections int // 0: no limit

	mu      sync.Mutex
	clients map[string]*rpc.Client
	order   []string // addresses of clients in the order in which they were added
}

// New returns an empty pool. If dial is nil the pool uses plain TCP.
func New(dial DialFunc) *Pool {
	if dial == nil {
		dial = rpcconn.Dial
	}
	return &Pool{dial: dial, clients: map[string]*rpc.Client{}}
}

// NewBounded returns a pool that keeps at most maxConnections. When it opens another
// one, it closes the connection to the address that was added first, even if calls
// are in flight on it.
func NewBounded(dial DialFunc, maxConnections int) *Pool {
	p := New(dial)
	p.maxConnections = maxConnections
	return p
}

// Call calls a method and waits for the response until ctx ends. The caller must
// not read reply after an error, because the response may still arrive and be
// written to it.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	p.mu.Lock()
	client, found := p.clients[address]
	p.mu.Unlock()
	if !found {
		var err error
		if client, err = p.open(ctx, address, false); err != nil {
			return err
		}
	}
	return p.callOn(ctx, client, address, method, args, reply)
}

// CallFresh is Call on a new connection, which replaces the address's existing one
// for later calls. Calls in flight on the replaced connection continue.
func (p *Pool) CallFresh(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.open(ctx, address, true)
	if err != nil {
		return err
	}
	return p.callOn(ctx, client, address, method, args, reply)
}

func (p *Pool) callOn(ctx context.Context, client *rpc.Client, address, method string, args, reply any) error {
	err := rpcconn.Call(ctx, client, method, args, reply)
	if isConnectionLost(err) {
		p.closeClient(address, client)
	}
	return err
}

// isConnectionLost reports whether a call's error means that its connection may be
// lost. If no response arrived in time, the connection may stay silent forever
// while a new one works, so no other call may wait on it. A call that its caller
// cancelled says nothing about the connection. Closing the connection in that case
// would interrupt the other calls on it: each reader of results that disconnects
// would interrupt its process's watches and the reads of all other readers.
func isConnectionLost(err error) bool {
	return err != nil && !rpcconn.IsServerError(err) && !errors.Is(err, context.Canceled)
}

// Retain closes the connections to all addresses but the given ones.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.clients {
		if !addresses[address] {
			p.close(address)
		}
	}
}

// Close closes every connection.
func (p *Pool) Close() { p.Retain(nil) }

// open opens a connection. Unless fresh is set, it returns the existing connection
// if another call has opened one in the meantime.
func (p *Pool) open(ctx context.Context, address string, fresh bool) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	existing, found := p.clients[address]
	if found && !fresh {
		_ = conn.Close()
		return existing, nil
	}
	if !found {
		p.order = append(p.order, address)
	}
	client := rpc.NewClient(rpcconn.WithWriteTimeout(conn))
	p.clients[address] = client
	if p.maxConnections > 0 && len(p.order) > p.maxConnections {
		p.close(p.order[0])
	}
	return client, nil
}

// closeClient closes a client and removes it if it is still the address's current
// one.
func (p *Pool) closeClient(address string, client *rpc.Client) {
	_ = client.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		p.close(address)
	}
}

// close closes and removes the connection to an address. mu must be held.
func (p *Pool) close(address string) {
	_ = p.clients[address].Close()
	delete(p.clients, address)
	p.order = slices.DeleteFunc(p.order, func(a string) bool { return a == address })
}
