package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	policy "siskinloom.example/siskinloom/internal/policy/intake"
)

const (
	// freeHeadBytes is the part of a head that is not counted, as it lies in the connection's buffers.
	freeHeadBytes = 4 << 10
	// headCopies is how often the bytes of a head are held: as they arrived, as lines and as fields.
	headCopies = 3
	// requestLineBytes is allowed for the request line, which the operator's limit does not count.
	requestLineBytes = 16 << 10
	// sendStepBytes is the part of an answer whose sending counts as progress of a slow reader.
	sendStepBytes = 32 << 10
	// answerTimeout bounds the write of an answer that fits into an empty send buffer.
	answerTimeout = 100 * time.Millisecond
)

// Errors of a connection.
var (
	// ErrNoMemory is returned for a request that was given up, as others needed its memory.
	ErrNoMemory = errors.New("intake: requests of other callers take the memory")
	// ErrTooSlow is returned for a body that did not arrive before the request's time was over.
	ErrTooSlow     = errors.New("intake: body did not arrive in time")
	errHeadTooLong = errors.New("intake: head is longer than the operator allows")
)

// headTooLongAnswer answers a request whose head is longer than the operator allows.
const headTooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// progress is how much of the current request has arrived.
type progress int32

const (
	expected progress = iota // nothing
	inHead                   // a part of the head
	inBody                   // the head
	arrived                  // all
)

// Conn is a caller's connection. It counts the head of a request while it arrives; the body is
// counted by ReadBody.
type Conn struct {
	net.Conn
	intake *Intake
	id     policy.ID
	calls  *connCalls // set if the connection carries several calls at a time

	progress    atomic.Int32
	interrupted atomic.Bool // the request was given up, as others needed its memory
	headBytes   int64       // of the current request; used by the reader of the head only
	reserved    int64       // for the head
	bodyBytes   int64       // reserved for the body

	writeMu   sync.Mutex // held during a write
	answering bool       // a part of the answer to the current request was written

	onClose   func() // may be nil
	closeOnce sync.Once
	closeErr  error
}

func (c *Conn) at() progress { return progress(c.progress.Load()) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.interrupted.Load() {
		return 0, ErrNoMemory
	}
	if n == 0 {
		return n, err
	}
	switch {
	case c.calls != nil:
		if !c.calls.receive(int64(n)) {
			c.intake.count(noMemory)
			return 0, ErrNoMemory
		}
	case c.at() <= inHead:
		if headErr := c.receivedHead(int64(n)); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// receivedHead counts n bytes of a head. It closes the connection if there is no memory for them or the
// head is too long.
func (c *Conn) receivedHead(n int64) error {
	c.progress.CompareAndSwap(int32(expected), int32(inHead))
	c.intake.record(func(l *policy.Ledger, now time.Time) { l.Received(c.id, now) })
	c.headBytes += n
	if limit := c.maxHeadBytes(); limit > 0 && c.headBytes > limit {
		c.intake.count(headTooLong)
		c.answerAndClose([]byte(headTooLongAnswer))
		return errHeadTooLong
	}
	needed := headCopies * (c.headBytes - freeHeadBytes) / reserveStepBytes * reserveStepBytes
	if needed <= c.reserved {
		return nil
	}
	if !c.intake.reserve(c, needed-c.reserved) {
		c.intake.count(noMemory)
		_ = c.Close()
		return ErrNoMemory
	}
	c.reserved = needed
	return nil
}

// maxHeadBytes returns the limit of a head with its request line; 0: not bounded.
func (c *Conn) maxHeadBytes() int64 {
	if c.intake.headerBytes == nil {
		return 0
	}
	limit := c.intake.headerBytes()
	if limit <= 0 {
		return 0
	}
	return int64(limit) + requestLineBytes
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.answering = true
	c.intake.record(func(l *policy.Ledger, now time.Time) { l.Sending(c.id, now, true) })
	defer c.intake.record(func(l *policy.Ledger, now time.Time) { l.Sending(c.id, now, false) })
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+sendStepBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.intake.record(func(l *policy.Ledger, now time.Time) { l.Sending(c.id, now, true) })
	}
}

// CloseWrite closes the sending side, if the connection has one.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.intake.forget(c)
		if c.onClose != nil {
			c.onClose()
		}
	})
	return c.closeErr
}

// answerAndClose writes an answer, unless one is being written, and closes the connection. The answer
// may be lost if bytes have arrived that were not read.
func (c *Conn) answerAndClose(answer []byte) {
	if c.writeMu.TryLock() {
		if !c.answering {
			_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
			_, _ = c.Conn.Write(answer) // the caller sees a closed connection otherwise
		}
		c.writeMu.Unlock()
	}
	_ = c.Close()
}

// interrupt gives up the request that is arriving, whose memory another one needs. The reader of a
// body gets ErrNoMemory and answers it.
func (c *Conn) interrupt() {
	c.intake.count(noMemory)
	c.interrupted.Store(true)
	if c.calls != nil || c.at() <= inHead {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Context returns the context of the requests on a connection, for http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, ConnOf(conn))
}

// ConnOf returns the counted connection below conn, or nil if there is none.
func ConnOf(conn net.Conn) *Conn {
	if c, ok := conn.(*Conn); ok {
		return c
	}
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok { // TLS
		return ConnOf(wrapper.NetConn())
	}
	return nil
}

func connFrom(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler returns a handler that reports the arrival of each request before it calls h. A request whose
// connection has yielded in the meantime is not served.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !connFrom(r.Context()).HeadArrived(r.ContentLength != 0) {
			panic(http.ErrAbortHandler) // closes the connection
		}
		h.ServeHTTP(w, r)
	})
}

// ConnState reports the end of each request, for http.Server.ConnState.
func ConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		ConnOf(conn).Answered()
	}
}

// FastConnState reports the end of each request, for fasthttp.Server.ConnState.
func FastConnState(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		ConnOf(conn).Answered()
	}
}

// HeadArrived records that the head of a request has arrived, and whether a body follows. It returns
// false if the request has yielded and must not be served. A nil connection records nothing.
func (c *Conn) HeadArrived(bodyFollows bool) bool {
	if c == nil {
		return true
	}
	c.progress.Store(int32(inBody))
	c.intake.record(func(l *policy.Ledger, now time.Time) { l.Receiving(c.id, now) })
	return bodyFollows || c.bodyArrived()
}

// bodyArrived records that a request has arrived as a whole. It returns false if the request has yielded
// and must not be served.
func (c *Conn) bodyArrived() bool {
	ok := false
	c.intake.record(func(l *policy.Ledger, _ time.Time) { ok = l.Arrived(c.id) })
	c.progress.Store(int32(arrived))
	return ok
}

// Answered records the end of a request. A nil connection records nothing.
func (c *Conn) Answered() {
	if c == nil {
		return
	}
	c.headBytes, c.reserved, c.bodyBytes = 0, 0, 0
	c.writeMu.Lock()
	c.answering = false
	c.writeMu.Unlock()
	c.progress.Store(int32(expected))
	c.intake.record(func(l *policy.Ledger, now time.Time) { l.Answered(c.id, now) })
}
