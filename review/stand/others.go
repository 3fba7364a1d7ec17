package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Findings that are not among the three cases. Play them by hand: review/bin/stand CASE FOLDER.

const (
	// refusingPath is the path of requests that an engine runs and then answers with 503.
	refusingPath = "/file/refusing"
	// largePath is the path of requests with a large answer of largeBytes.
	largePath  = "/desk/large"
	largeBytes = 65 << 20
)

// plainAnswer answers a request of a plain service.
func plainAnswer(w http.ResponseWriter, r *http.Request, id string) {
	answer := "answer to " + id + "\n"
	switch r.URL.Path {
	case largePath:
		answer = strings.Repeat("0123456789abcdef", largeBytes/16)
	case refusingPath:
		w.Header().Set("Siskinloom-Server-Seal", seal(answer))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, answer)
		return
	}
	w.Header().Set("Siskinloom-Server-Seal", seal(answer))
	_, _ = io.WriteString(w, answer)
}

// startPlain starts a deployment with one entry and two engines of a plain service.
func startPlain(record *recorder) (*fleet, *process, error) {
	routes := []map[string]any{
		{"name": "desk", "host": host, "prefix": "/desk/", "kind": "idempotent", "service": plainService, "timeoutMs": 10000, "sloMs": 400, "priority": 2, "maxAttempts": 3},
		{"name": "file", "host": host, "prefix": "/file/", "kind": "non_idempotent", "service": plainService, "timeoutMs": 10000, "sloMs": 400, "priority": 2, "maxAttempts": 3},
	}
	engines := []*engine{{id: "i-desk-1", service: plainService}, {id: "i-desk-2", service: plainService}}
	f, err := newFleet(record, engines, config(defaultCapacity, routes...))
	if err != nil {
		return nil, nil, err
	}
	entry, err := f.startProcess("edge-1", "edge")
	if err == nil {
		_, err = f.startProcess("storage-1", "storage")
	}
	if err == nil {
		err = f.awaitReady(entry)
	}
	if err != nil {
		f.stop()
		return nil, nil, err
	}
	time.Sleep(time.Second)
	return f, entry, nil
}

// ask sends one request and returns the answer's status and body.
func ask(entry *process, path, id string) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.front+path, strings.NewReader("filing"))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set(requestID, id)
	request.Header.Set("Siskinloom-Deadline-Ms", "10000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// playRefused sends a request of a non-idempotent route that an engine runs and answers with 503,
// but without Siskinloom-Not-Executed.
func playRefused(record *recorder, trouble bool) (int, error) {
	f, entry, err := startPlain(record)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	path := "/file/plain"
	if trouble {
		path = refusingPath
	}
	status, _, err := ask(entry, path, "refused-1")
	if err != nil {
		return failed, err
	}
	record.note("status %d; the request ran %d times", status, record.runsOf("refused-1"))
	if status == http.StatusServiceUnavailable && record.runsOf("refused-1") > 0 {
		record.note("REFUSED: a request that isn't idempotent is answered 503 and has run")
		return broken, nil
	}
	return held, nil
}

// playLarge sends a request whose answer is larger than 64 MiB.
func playLarge(record *recorder, trouble bool) (int, error) {
	f, entry, err := startPlain(record)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	path, want := "/desk/plain", 0
	if trouble {
		path, want = largePath, largeBytes
	}
	status, body, err := ask(entry, path, "large-1")
	record.note("status %d, %d bytes of %d, error %v", status, len(body), want, err)
	if err != nil {
		return failed, fmt.Errorf("no whole answer: %w", err)
	}
	if status == http.StatusOK && trouble && len(body) != want {
		record.note("MIXED: a success with a body that isn't the engine's whole body")
		return broken, nil
	}
	return held, nil
}
