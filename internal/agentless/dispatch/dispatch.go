// Package dispatch defines how a request goes to one endpoint and what comes
// back. An adapter implements Sender for each kind of platform.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"siskinloom.example/siskinloom/internal/agentless/sse"
	"siskinloom.example/siskinloom/internal/deployment"
)

// Request is a request to an endpoint.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query
	Host        string
	Header      http.Header // passed on; not changed
	Body        []byte
	Timeout     time.Duration // how long an answer is of use; the endpoint stops then
	ResumeAfter int64         // go on after this event; 0: from the start
	Version     int64         // only weights of this version may serve it; 0: any
	Urgency     int           // 0 is the most urgent, 9 the least; -1: not said

	Customer string // on whose behalf; empty: nobody's
}

// Answer is the beginning of an endpoint's answer. Body must be closed.
type Answer struct {
	Status   int
	Header   http.Header // without those that concern only the connection
	Body     io.ReadCloser
	NotRun   bool // the endpoint says that it did not run the request
	Replaced bool // another instance has the address, or other weights are loaded
	Signed   bool // it carries the endpoint's signature
	Seal     string
	Version  int64 // weight version at the start of the answer; 0: not said
	// VersionField is the event field that tells a change of version.
	VersionField string
	// Encoded: an intermediary changed the body.
	Encoded bool
}

// Sender sends a request to an endpoint, which must be the incarnation given.
// An error is an *upstream.SendError. The request is ended when ctx ends.
type Sender interface {
	Send(ctx context.Context, endpoint *deployment.Endpoint, request *Request) (*Answer, error)
}

// Event is one whole event of a stream.
type Event struct {
	ID      int64
	Data    []byte
	Raw     []byte // as received
	Version int64  // weight version that generated it; 0: not known
}

// EventReader reads the events of an answer.
type EventReader struct {
	reader  *sse.Reader
	field   string
	version int64
}

// NewEventReader returns a reader of the answer's body.
func NewEventReader(a *Answer) *EventReader {
	return &EventReader{reader: sse.NewReader(a.Body), field: a.VersionField, version: a.Version}
}

// Next returns the next event; io.EOF after the last one of a whole stream.
func (e *EventReader) Next() (Event, error) {
	event, err := e.reader.Next()
	if err != nil {
		return Event{}, err
	}
	if version, found := sse.Integer(event.Fields[e.field]); found {
		e.version = version
	}
	return Event{ID: event.ID, Data: event.Data, Raw: event.Raw, Version: e.version}, nil
}
