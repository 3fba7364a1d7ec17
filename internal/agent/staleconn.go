package agent

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/netdial"
)

// errStaleConn reports that a request was to be sent over a pooled connection
// that the endpoint had already closed. No byte of the request was sent.
var errStaleConn = errors.Wrap(errNotSent, "pooled connection was closed")

// staleCheckConn checks whether the endpoint has closed the connection before
// another request is written to it. An endpoint that restarts or drops idle
// connections leaves closed connections in the client's pool. A request written
// to one fails, and whether it ran is unknown: a ledger sync would end as
// "unknown", a weight order as a load with unknown outcome, and a crash would
// be attributed to the request. If the connection is found closed before the
// first byte, the request was certainly not sent. If it is closed after the
// check, the outcome is still "unknown", which is then correct.
type staleCheckConn struct {
	net.Conn
	tcp          *net.TCPConn
	responseSeen atomic.Bool // something was read since the last write
}

func newStaleCheckConn(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &staleCheckConn{Conn: conn, tcp: tcp}
}

// Read records that the previous request got at least part of its response.
func (c *staleCheckConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.responseSeen.Store(true)
	}
	return n, err
}

// Write returns errStaleConn instead of starting a request on a closed
// connection. Only the first write of a request is checked.
func (c *staleCheckConn) Write(p []byte) (int, error) {
	if c.responseSeen.Swap(false) && !netdial.IsReusable(c.tcp) {
		return 0, errStaleConn
	}
	return c.Conn.Write(p)
}

// retryOnStaleConn calls send, which sends a request by the client, and retries
// it over a new connection if the pooled one was already closed. It never
// retries a request that may have reached the endpoint.
func retryOnStaleConn(client *fasthttp.HostClient, send func() error) error {
	err := send()
	for errors.Is(err, errStaleConn) {
		client.CloseIdleConnections()
		err = send()
	}
	return err
}
