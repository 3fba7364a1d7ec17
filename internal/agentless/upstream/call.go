package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/payload"
)

const (
	readBufferBytes = 4096
	// maxHeadBytes is the limit of the status line and the headers of an answer. A faulty endpoint may
	// send a head without end, at the speed of the link.
	maxHeadBytes = 64 << 10

	// maxStrayAnswers is how many answers to other requests are skipped on one connection
	// before it is closed.
	maxStrayAnswers = 2
	// maxStrayBodyBytes is the limit of the body of such an answer; if the body is longer, the
	// connection is closed.
	maxStrayBodyBytes = 1 << 20
)

// ErrHeadTooLong is returned for an answer whose head is longer than maxHeadBytes.
var ErrHeadTooLong = errors.New("upstream: head of the answer is too long")

// errStray is returned when the connection delivers only answers to other requests.
var errStray = errors.New("upstream: received only answers to other requests")

// Call is one request to an endpoint.
type Call struct {
	Method string
	Target string // path and query, as written in the request line
	Host   string
	Header http.Header
	Body   payload.Body
	// Matches returns whether an answer belongs to this request; nil accepts the first answer.
	// An endpoint may send a late second answer to an earlier request.
	Matches func(http.Header) bool
}

// SendError is the error of a call without an answer.
type SendError struct {
	Sent bool // the endpoint may have received and run the request
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return "upstream: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Answer is the status and header of an answer, with a reader of its body. Body must be read
// to its end or closed; a body that is cut off ends with an error other than io.EOF.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // of the body in bytes; -1 if the endpoint didn't declare it
}

// conn is a connection to an endpoint.
type conn struct {
	raw         net.Conn
	address     string
	head        headLimiter
	in          *bufio.Reader // reads raw through head
	usableUntil time.Time     // end of the time for which it is kept idle
	once        sync.Once
}

func newConn(raw net.Conn, address string) *conn {
	c := &conn{raw: raw, address: address, head: headLimiter{in: raw}}
	c.in = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// headLimiter limits the bytes that are read while the head of an answer is expected.
type headLimiter struct {
	in      io.Reader
	limited bool
	left    int // if limited
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.in.Read(b)
	}
	if l.left == 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.in.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// close closes the connection, so that the endpoint notices it at once and stops the run
// even while it is writing.
func (c *conn) close() {
	c.once.Do(func() { _ = c.raw.Close() })
}

// Do sends the call and returns the answer once its header was received. When ctx ends the
// connection is closed, also while the body is being read. The error is a *SendError.
func (p *Pool) Do(ctx context.Context, address string, call *Call) (*Answer, error) {
	head, err := call.head()
	if err != nil {
		return nil, &SendError{Err: err}
	}
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if ctx.Err() != nil {
		p.put(c)
		return nil, &SendError{Err: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, c.close)
	if err := c.write(head, call.Body); err != nil {
		stop()
		c.close()
		return nil, &SendError{Sent: true, Err: err}
	}
	response, err := c.read(call)
	if err != nil {
		stop()
		c.close()
		return nil, &SendError{Sent: true, Err: err}
	}
	body := &body{pool: p, conn: c, stop: stop, response: response}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength}, nil
}

// head returns the request line and the headers as sent.
func (call *Call) head() ([]byte, error) {
	if err := call.check(); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	if call.Body.Len() > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(call.Body.Len()))
		b.WriteString("\r\n")
	}
	if err := call.Header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// write sends the head and the body of a request.
func (c *conn) write(head []byte, body payload.Body) error {
	buffers := append(net.Buffers{head}, body.Segments()...)
	_, err := buffers.WriteTo(c.raw)
	return err
}

// read returns the first answer that belongs to the call.
func (c *conn) read(call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method, URL: &url.URL{}}
	for range maxStrayAnswers + 1 {
		c.head.limited, c.head.left = true, maxHeadBytes
		response, err := http.ReadResponse(c.in, request)
		c.head.limited = false
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue // 1xx: the final answer follows
		}
		if call.Matches == nil || call.Matches(response.Header) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBodyBytes); !errors.Is(err, io.EOF) {
			return nil, errStray
		}
	}
	return nil, errStray
}

// body is an answer's body. It returns the connection to the pool once it was read to its end.
type body struct {
	pool     *Pool
	conn     *conn
	stop     func() bool // ends the watch of the context; false if the call was cancelled before
	response *http.Response
	done     bool
	end      error // returned by reads after the end
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, b.end
	}
	n, err := b.response.Body.Read(p)
	if err != nil {
		b.finish(err)
	}
	return n, err
}

// finish records the end of the body and returns the connection to the pool or closes it.
func (b *body) finish(err error) {
	b.done = true
	b.end = err
	notCancelled := b.stop()
	if !errors.Is(err, io.EOF) || !notCancelled || !b.connReusable() {
		b.conn.close()
		return
	}
	b.conn.usableUntil = time.Now().Add(idleTimeout(b.response.Header.Get("Keep-Alive")))
	b.pool.put(b.conn)
}

// connReusable returns whether the endpoint keeps the connection open and nothing follows the
// answer on it.
func (b *body) connReusable() bool {
	return !b.response.Close && b.conn.in.Buffered() == 0
}

// Close implements io.Closer. If the body was not read to its end, it closes the connection,
// which stops the endpoint's work.
func (b *body) Close() error {
	if !b.done {
		b.done = true
		b.end = net.ErrClosed
		b.stop()
		b.conn.close()
	}
	return nil
}

// idleTimeout returns how long a connection is kept idle. header is the answer's Keep-Alive
// header, whose timeout is in whole seconds.
func idleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(0, min(time.Duration(seconds)*time.Second-idleMargin, defaultIdleTimeout))
		}
	}
	return defaultIdleTimeout
}
