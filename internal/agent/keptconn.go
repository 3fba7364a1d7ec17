package agent

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/netdial"
)

// errKeptClosed marks a request that was to go over a kept connection which the
// endpoint had closed before. No byte of the request was sent.
var errKeptClosed = errors.Wrap(errNotSent, "kept connection was closed")

// keptConn looks whether its endpoint has closed it before a further request is
// written to it. An endpoint that restarts, or that drops idle connections,
// leaves closed ones in the client's pool. A request written to one fails
// without a word whether it ran: a ledger sync would end as "unknown", an order
// as a load of open end, and a crash would be blamed on the request. What is
// found closed before the first byte was certainly not sent. A close that
// arrives after the look still ends as "unknown", which is then the truth.
type keptConn struct {
	net.Conn
	tcp      *net.TCPConn
	answered atomic.Bool // something was read since the last write
}

func newKeptConn(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &keptConn{Conn: conn, tcp: tcp}
}

// Read notes that the request before has an answer, at least a part of it.
func (c *keptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered.Store(true)
	}
	return n, err
}

// Write returns errKeptClosed instead of beginning a request on a connection
// that is closed. The later parts of a request are written without a look.
func (c *keptConn) Write(p []byte) (int, error) {
	if c.answered.Swap(false) && !netdial.Quiet(c.tcp) {
		return 0, errKeptClosed
	}
	return c.Conn.Write(p)
}

// doFresh has send send a request by the client, over a new connection if the
// kept one turns out to be closed. It repeats nothing that may have reached the
// endpoint.
func doFresh(client *fasthttp.HostClient, send func() error) error {
	err := send()
	for errors.Is(err, errKeptClosed) {
		client.CloseIdleConnections()
		err = send()
	}
	return err
}
