// Package sse reads server-sent events one at a time from a stream that may
// break off anywhere.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event, so that an endpoint which never ends one
// cannot fill the memory.
const maxEventBytes = 4 << 20

// ErrTooLong is returned for an event over maxEventBytes.
var ErrTooLong = errors.New("sse: event is too long")

// Event is one whole event.
type Event struct {
	ID     int64 // 0: the event has none
	Data   []byte
	Fields map[string]string // fields other than id, event, data and retry
	Raw    []byte            // as received, with the blank line that ends it
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	in *bufio.Reader
}

// NewReader returns a reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 2048)} }

// Next returns the next whole event. io.EOF means that the stream ended
// between two events; io.ErrUnexpectedEOF that it broke off within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.in.ReadBytes('\n')
		e.Raw = append(e.Raw, line...)
		if err != nil {
			return Event{}, ended(err, e.Raw)
		}
		if len(e.Raw) > maxEventBytes {
			return Event{}, ErrTooLong
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if isBlank(e.Raw) {
				e.Raw = e.Raw[:0]
				continue
			}
			return e, nil
		}
		e.take(line)
	}
}

func ended(err error, partial []byte) error {
	if errors.Is(err, io.EOF) && !isBlank(partial) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isBlank(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

func (e *Event) take(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "":
		// A comment keeps the connection alive and says nothing.
	case "id":
		e.ID, _ = strconv.ParseInt(string(value), 10, 64) // an id that is no number counts as none
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

// Integer reads a field's value as a whole number.
func Integer(value string) (int64, bool) {
	n, err := strconv.ParseInt(value, 10, 64)
	return n, err == nil
}
