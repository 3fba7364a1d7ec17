// Package dispatch defines requests to one endpoint and their answers. Each platform has an
// adapter that implements Sender.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"siskinloom.example/siskinloom/internal/agentless/sse"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/payload"
)

// Request is a request to one endpoint.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query
	Host        string
	Header      http.Header // passed on; not changed
	Body        payload.Body
	Timeout     time.Duration // time within which the answer is of use; the endpoint stops the run after it
	ResumeAfter int64         // ID of the event after which a stream resumes; 0: from its start
	Version     int64         // weight version that must serve it; 0: any
	Urgency     int           // 0 is the most urgent, 9 the least; -1: not declared

	Customer string // customer on whose behalf it is sent; empty: none
}

// Answer is the status and header of an endpoint's answer, with a reader of its body. Body must
// be closed.
type Answer struct {
	Status   int
	Header   http.Header // without hop-by-hop headers
	Body     io.ReadCloser
	NotRun   bool   // the endpoint states that it did not run the request
	Replaced bool   // another instance has the address now, or other weights are loaded
	Signed   bool   // the answer carries the endpoint's signature
	Seal     string // the signature itself; empty if Signed is false
	Version  int64  // weight version at the start of the answer; 0: not declared
	// VersionField is the name of the event field that announces a change of the weight version.
	VersionField string
	// Encoded is true if an intermediary changed the body.
	Encoded bool
}

// Sender sends a request to an endpoint. The request must only be run by the given incarnation
// of the endpoint. An error is an *upstream.SendError. The request is cancelled when ctx ends.
type Sender interface {
	Send(ctx context.Context, endpoint *deployment.Endpoint, request *Request) (*Answer, error)
}

// Event is one complete event of a stream.
type Event struct {
	ID      int64
	Data    []byte
	Raw     []byte // as received
	Version int64  // weight version that generated the event; 0: unknown
}

// EventReader reads the events of an answer and assigns each its weight version.
type EventReader struct {
	reader       *sse.Reader
	versionField string
	version      int64
}

// NewEventReader returns a reader of the events in the answer's body.
func NewEventReader(a *Answer) *EventReader {
	return &EventReader{reader: sse.NewReader(a.Body), versionField: a.VersionField, version: a.Version}
}

// Next returns the next event. The error is io.EOF after the last event of a complete stream.
func (e *EventReader) Next() (Event, error) {
	event, err := e.reader.Next()
	if err != nil {
		return Event{}, err
	}
	if version, found := sse.Integer(event.Fields[e.versionField]); found {
		e.version = version
	}
	return Event{ID: event.ID, Data: event.Data, Raw: event.Raw, Version: e.version}, nil
}
