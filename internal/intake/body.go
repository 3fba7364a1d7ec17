package intake

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/payload"
	policy "siskinloom.example/siskinloom/internal/policy/intake"
)

const (
	// FreeBodyBytes is the part of each body that is not counted, so that ordinary bodies are read
	// also while others take all the memory.
	FreeBodyBytes = 16 << 10
	// reserveStepBytes is the least memory that is reserved at a time.
	reserveStepBytes = 4 << 10
	// minSegmentBytes and maxSegmentBytes bound the segments in which a body of unknown length is
	// read. They grow with it, so that one that ends early takes little.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 256 << 10
)

// ErrTooLarge is returned for a body that is longer than the operator allows.
var ErrTooLarge = errors.New("intake: body is longer than allowed")

// ReadBody reads the body of a request, of at most limit bytes, until the given time. The error is
// ErrTooLarge, ErrNoMemory or ErrTooSlow, or says why the body broke off; the request was not run
// then and the connection must be closed after its answer. The memory is held until the request ends.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) (payload.Body, error) {
	if r.ContentLength == 0 {
		return payload.Body{}, nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(until) // a recorder in a test has no deadlines
	body, err := connFrom(r.Context()).ReadBody(r.Body, r.ContentLength, limit)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// ReadBody reads a body from in. Its length was announced unless it is negative. A nil connection
// counts nothing.
func (c *Conn) ReadBody(in io.Reader, announced, limit int64) (payload.Body, error) {
	if announced > limit {
		return payload.Body{}, ErrTooLarge
	}
	reader := &bodyReader{conn: c, in: in, announced: announced, limit: limit}
	body, err := reader.read()
	switch {
	case c != nil && c.interrupted.Load():
		return payload.Body{}, ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.countSlow()
		return payload.Body{}, ErrTooSlow
	case err != nil:
		return payload.Body{}, err
	}
	if c == nil {
		return body, nil
	}
	c.bodyBytes = reader.reserved
	if !c.bodyArrived() {
		return payload.Body{}, ErrNoMemory
	}
	return body, nil
}

func (c *Conn) countSlow() {
	if c != nil {
		c.intake.count(tooSlow)
	}
}

// bodyReader reads one body.
type bodyReader struct {
	conn      *Conn
	in        io.Reader
	announced int64
	limit     int64
	reserved  int64
	body      payload.Body
}

// read reads the body to its end.
func (r *bodyReader) read() (payload.Body, error) {
	for {
		size := r.nextSegment()
		if size == 0 {
			return r.body, nil // all that was announced has arrived
		}
		if !r.reserve(int64(r.body.Len()) + size) {
			r.conn.intake.count(noMemory)
			return payload.Body{}, ErrNoMemory
		}
		segment := make([]byte, size)
		n, err := r.fill(segment)
		r.body.Append(segment[:n:n])
		switch {
		case int64(r.body.Len()) > r.limit:
			return payload.Body{}, ErrTooLarge
		case errors.Is(err, io.EOF) && r.announced < 0:
			return r.body, nil
		case errors.Is(err, io.EOF) && int64(r.body.Len()) < r.announced:
			return payload.Body{}, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return payload.Body{}, err
		}
	}
}

// nextSegment returns the size of the next segment; 0: the body is complete.
func (r *bodyReader) nextSegment() int64 {
	have := int64(r.body.Len())
	size := min(max(have, minSegmentBytes), maxSegmentBytes)
	if r.announced >= 0 {
		if have == 0 && r.announced <= FreeBodyBytes {
			return r.announced
		}
		return min(size, r.announced-have)
	}
	return min(size, r.limit+1-have) // a byte more than allowed tells that the body is too long
}

// fill reads until the segment is full or the body ends.
func (r *bodyReader) fill(segment []byte) (int, error) {
	n := 0
	for n < len(segment) {
		read, err := r.in.Read(segment[n:])
		n += read
		if read > 0 && r.conn != nil {
			r.conn.intake.record(func(l *policy.Ledger, now time.Time) { l.Received(r.conn.id, now) })
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// reserve takes the memory of a body of n bytes.
func (r *bodyReader) reserve(n int64) bool {
	more := n - FreeBodyBytes - r.reserved
	if r.conn == nil || more <= 0 {
		return true
	}
	if !r.conn.intake.reserve(r.conn, more) {
		return false
	}
	r.reserved += more
	return true
}

// Join returns a body in one piece. While it is copied both need memory; the error is ErrNoMemory if
// there is none.
func (c *Conn) Join(body payload.Body) ([]byte, error) {
	if len(body.Segments()) <= 1 || c == nil {
		return body.Bytes(), nil
	}
	n := int64(body.Len())
	if !c.intake.reserve(c, n) {
		c.intake.count(noMemory)
		return nil, ErrNoMemory
	}
	joined := body.Bytes()
	c.intake.record(func(l *policy.Ledger, _ time.Time) { l.Release(c.id, n) })
	return joined, nil
}
