// Package rpcconn makes net/rpc connections between siskinloom's processes
// safe against peers that hang.
package rpcconn

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
)

// writeLimit ends a connection whose peer takes no more bytes. The RPC library
// writes under a lock, so one write that hangs would hang every later call.
const writeLimit = 5 * time.Second

// Dial connects to an address within the context's time.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// WithWriteTimeout returns a connection that closes itself when a write does not get
// through: what was written in part cannot be continued.
func WithWriteTimeout(c net.Conn) net.Conn {
	return &limited{c}
}

type limited struct{ net.Conn }

// Write writes within writeLimit.
func (c *limited) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		_ = c.Conn.Close()
	}
	return n, err
}

// Call calls and returns when ctx ends even if the write itself hangs. The
// answer may then still arrive, so the reply must not be read after an error.
func Call(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
	done := make(chan error, 1)
	go func() { done <- client.Call(method, args, reply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// IsServerError tells an error that the other side's method returned from one
// of the connection: after the former the connection is still good.
func IsServerError(err error) bool {
	var server rpc.ServerError
	return errors.As(err, &server)
}
