// Package rpcconn protects net/rpc connections between siskinloom's processes
// against peers that hang.
package rpcconn

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
)

// writeTimeout is the timeout of a write to a peer that accepts no more bytes.
// net/rpc writes while holding a lock, so a write that hangs would block every
// later call.
const writeTimeout = 5 * time.Second

// Dial connects to an address over TCP.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// WithWriteTimeout returns a connection that closes itself when a write fails or
// takes longer than writeTimeout, because a partial write cannot be continued.
func WithWriteTimeout(c net.Conn) net.Conn {
	return &timeoutConn{c}
}

type timeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		_ = c.Conn.Close()
	}
	return n, err
}

// Call calls a method. It returns when ctx ends, even if the write itself hangs. The
// response may then still arrive, so the caller must not read reply after an error.
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

// IsServerError reports whether the peer's method returned the error. After such an
// error the connection is still usable; any other error comes from the connection.
func IsServerError(err error) bool {
	var server rpc.ServerError
	return errors.As(err, &server)
}
