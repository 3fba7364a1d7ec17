// Package rpcpool keeps one net/rpc connection per address and gives up one on
// which an answer stayed out.
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

const dialLimit = 2 * time.Second

// DialFunc opens a connection of the inner protocol.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialError means that no connection could be made, so the other side certainly
// never saw the call.
type DialError struct {
	Address string // ip:port
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Pool is a set of connections. It is safe for concurrent use.
type Pool struct {
	dial DialFunc
	most int // connections kept; 0: as many as there are addresses

	mu      sync.Mutex
	clients map[string]*rpc.Client
	order   []string // least recently opened first
}

// New returns a pool without connections; a nil dial stands for plain TCP.
func New(dial DialFunc) *Pool {
	if dial == nil {
		dial = rpcconn.Dial
	}
	return &Pool{dial: dial, clients: map[string]*rpc.Client{}}
}

// NewBounded returns a pool that closes the oldest of more than so many
// connections, whatever calls are in flight on it.
func NewBounded(dial DialFunc, most int) *Pool {
	p := New(dial)
	p.most = most
	return p
}

// Call calls a method and waits for its answer until ctx ends. The reply must
// not be read after an error: the answer may still come.
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

// CallFresh is Call on a new connection, which later calls use as well. The
// calls in flight on the one before it go on.
func (p *Pool) CallFresh(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.open(ctx, address, true)
	if err != nil {
		return err
	}
	return p.callOn(ctx, client, address, method, args, reply)
}

func (p *Pool) callOn(ctx context.Context, client *rpc.Client, address, method string, args, reply any) error {
	err := rpcconn.Call(ctx, client, method, args, reply)
	if lost(err) {
		p.forget(address, client)
	}
	return err
}

// lost tells whether a call's end shows its connection to be lost: no answer came
// in time, so it may be silent for good while a new one works, and no other call
// may wait on it. A call that its caller ended shows nothing. To close the
// connection for it broke off the other calls there: each reader that left cost
// a process its news and the reads of all others.
func lost(err error) bool {
	return err != nil && !rpcconn.IsServerError(err) && !errors.Is(err, context.Canceled)
}

// Retain closes the connections to all but the addresses given.
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

// open makes a connection. Unless it has to be fresh, one that another call made
// meanwhile is used instead.
func (p *Pool) open(ctx context.Context, address string, fresh bool) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	standing, found := p.clients[address]
	if found && !fresh {
		_ = conn.Close()
		return standing, nil
	}
	if !found {
		p.order = append(p.order, address)
	}
	client := rpc.NewClient(rpcconn.WithWriteTimeout(conn))
	p.clients[address] = client
	if p.most > 0 && len(p.order) > p.most {
		p.close(p.order[0])
	}
	return client, nil
}

func (p *Pool) forget(address string, client *rpc.Client) {
	_ = client.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		p.close(address)
	}
}

// close closes the standing connection to an address; mu is held.
func (p *Pool) close(address string) {
	_ = p.clients[address].Close()
	delete(p.clients, address)
	p.order = slices.DeleteFunc(p.order, func(a string) bool { return a == address })
}
