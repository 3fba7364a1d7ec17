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

// playEntryOwned submits a step while all workers are down, so that an entry owns it. With the
// disruption that entry is lost for good after the workers are back.
func playEntryOwned(record *recorder, trouble bool) (int, error) {
	routes := []map[string]any{
		{"name": "rollout", "host": host, "prefix": "/roll/", "kind": "rollout", "service": modelService, "timeoutMs": 10000, "sloMs": 400, "dueMs": 7500, "itemTtlS": 120, "priority": 1, "maxAttempts": 3},
	}
	var engines []*engine
	for i := 1; i <= 3; i++ {
		engines = append(engines, &engine{id: fmt.Sprintf("i-llm-%d", i), service: modelService, events: 150, pace: 60 * time.Millisecond})
	}
	f, err := newFleet(record, engines, config(defaultCapacity, routes...))
	if err != nil {
		return failed, err
	}
	defer f.stop()
	started := map[string]*process{}
	for _, name := range []string{"edge-1", "edge-2", "edge-3", "storage-1", "storage-2"} {
		class := "edge"
		if strings.HasPrefix(name, "storage") {
			class = "storage"
		}
		if started[name], err = f.startProcess(name, class); err != nil {
			return failed, err
		}
	}
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		if err := f.awaitReady(started[name]); err != nil {
			return failed, err
		}
	}
	time.Sleep(5 * time.Second)
	for _, name := range []string{"storage-1", "storage-2"} {
		record.note("%s loses power", name)
		_ = started[name].command.Process.Kill()
	}
	time.Sleep(3500 * time.Millisecond)
	items := []any{}
	for i := range 6 {
		items = append(items, map[string]any{
			"id": fmt.Sprintf("e5b2907c14da8f%02d", i), "path": fmt.Sprintf("/roll/%d", i), "body": []byte("prompt"), "tokens": 300, "group": "g0",
			"headers": map[string]string{"Siskinloom-Model": modelName, "Siskinloom-Token-Count": "100,160", "Siskinloom-Prompt-Prefix": "9c2e41:100"},
		})
	}
	job := map[string]any{"step": 0, "model": modelName, "minVersion": 1, "groupCount": 1, "items": items}
	if err := submit(f, started["edge-1"], orphanedJob, job); err != nil {
		return failed, err
	}
	accepted := time.Now()
	f.bootstrapped = true
	for _, name := range []string{"storage-1", "storage-2"} {
		if _, err := f.startProcess(name, "storage"); err != nil {
			return failed, err
		}
	}
	time.Sleep(4 * time.Second)
	owner := f.store.ownerOf(orphanedJob)
	record.note("the store assigns the job to %q", owner)
	reader := started["edge-1"]
	if owner == "edge-1" {
		reader = started["edge-2"]
	}
	if trouble && strings.HasPrefix(owner, "edge") {
		record.note("%s is lost for good", owner)
		_ = started[owner].command.Process.Kill()
	}
	return watchOrphaned(f, reader, accepted, time.Now())
}
