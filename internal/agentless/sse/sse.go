// Package sse reads server-sent events one at a time from a stream that may be cut off at any
// byte.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes is the limit of one event, so that an endpoint which never ends an event
// cannot exhaust the memory.
const maxEventBytes = 4 << 20

// ErrTooLong is returned for an event of more than maxEventBytes.
var ErrTooLong = errors.New("sse: event is too long")

// Event is one complete event.
type Event struct {
	ID     int64 // 0: the event has none
	Data   []byte
	Fields map[string]string // fields other than id, event, data and retry
	Raw    []byte            // as received, with the blank line that ends it
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	in *bufio.Reader
}

// NewReader returns a reader of the events in a stream.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 2048)} }

// Next returns the next complete event. The error is io.EOF if the stream ended between two
// events, and io.ErrUnexpectedEOF if it was cut off within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		begin := len(e.Raw)
		if err := r.readLine(&e); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(e.Raw[begin:], "\r\n")
		if len(line) == 0 {
			if isBlank(e.Raw) {
				e.Raw = e.Raw[:0]
				continue
			}
			return e, nil
		}
		e.addLine(line)
	}
}

// readLine appends the next line of the stream to the raw event. A line may never end.
func (r *Reader) readLine(e *Event) error {
	for {
		part, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, part...)
		switch {
		case len(e.Raw) > maxEventBytes:
			return ErrTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return endError(err, e.Raw)
		}
		return nil
	}
}

// endError returns the error for a stream that ended after the bytes of a partial event.
func endError(err error, partial []byte) error {
	if errors.Is(err, io.EOF) && !isBlank(partial) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isBlank returns whether b holds nothing but line ends.
func isBlank(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// addLine adds one line of the stream to the event.
func (e *Event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "":
		// A comment only keeps the connection alive.
	case "id":
		e.ID, _ = strconv.ParseInt(string(value), 10, 64) // a malformed ID counts as absent; one out of range becomes the nearest int64
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	case "event", "retry":
	default:
		if e.Fields == nil {
			e.Fields = map[string]string{}
		}
		e.Fields[string(name)] = string(value)
	}
}

// Integer parses a field's value as an integer and returns whether it is one.
func Integer(value string) (int64, bool) {
	n, err := strconv.ParseInt(value, 10, 64)
	return n, err == nil
}
