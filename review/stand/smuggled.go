package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// smuggledID is the ID of a request that no consumer sends.
const smuggledID = "5a5a5a5a0000ffff"

// playSmuggled submits a batch job with one item whose body holds a second request. With the
// disruption the item's headers name a transfer coding.
func playSmuggled(record *recorder, trouble bool) (int, error) {
	routes := []map[string]any{
		{"name": "rollout", "host": host, "prefix": "/roll/", "kind": "rollout", "service": modelService, "timeoutMs": 10000, "sloMs": 400, "dueMs": 7500, "itemTtlS": 40, "priority": 1, "maxAttempts": 3},
		{"name": "desk", "host": host, "prefix": "/desk/", "kind": "idempotent", "service": plainService, "timeoutMs": 2000, "sloMs": 400, "priority": 2, "maxAttempts": 3},
	}
	engines := []*engine{
		{id: "i-llm-1", service: modelService, events: 6, pace: 20 * time.Millisecond},
		{id: "i-desk-1", service: plainService},
	}
	f, err := newFleet(record, engines, config(defaultCapacity, routes...))
	if err != nil {
		return failed, err
	}
	defer f.stop()
	entry, err := f.startProcess("edge-1", "edge")
	if err != nil {
		return failed, err
	}
	if _, err := f.startProcess("storage-1", "storage"); err != nil {
		return failed, err
	}
	if err := f.awaitReady(entry); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)

	inner := "0\r\n\r\nPOST /roll/other HTTP/1.1\r\nHost: " + host + "\r\n" + requestID + ": " + smuggledID + "\r\nContent-Length: 0\r\n\r\n"
	headers := map[string]string{"Siskinloom-Model": modelName, "Siskinloom-Token-Count": "16,8", "Siskinloom-Prompt-Prefix": "9c2e41:16"}
	if trouble {
		headers["Transfer-Encoding"] = "chunked"
	}
	job := map[string]any{
		"step": 0, "model": modelName, "minVersion": 1, "groupCount": 1,
		"items": []any{map[string]any{"id": "e5b2907c14da6f38", "path": "/roll/1", "headers": headers, "body": []byte(inner), "tokens": 24, "group": "g1"}},
	}
	if err := submit(f, entry, "7c41e09b52d6a3f8", job); err != nil {
		return failed, err
	}
	listed := awaitResults(f, entry, "7c41e09b52d6a3f8", 1, 5*time.Second)
	time.Sleep(500 * time.Millisecond)
	record.note("results read: %d; runs of the item: %d; runs of the request that nobody sent: %d", listed, record.runsOf("e5b2907c14da6f38"), record.runsOf(smuggledID))
	if record.runsOf("e5b2907c14da6f38") == 0 && listed == 0 && !trouble {
		return failed, fmt.Errorf("the item didn't run")
	}
	if record.runsOf(smuggledID) > 0 {
		record.note("UNASKED: an engine ran %s, which no consumer sent; it lay in the body of the item", smuggledID)
		return broken, nil
	}
	return held, nil
}

// submit submits a batch job and repeats it after a refusal.
func submit(f *fleet, entry *process, id string, job any) error {
	raw, err := json.Marshal(job)
	if err != nil {
		return err
	}
	for range 5 {
		request, err := http.NewRequest(http.MethodPost, "http://"+entry.front+"/roll/"+id, bytes.NewReader(raw))
		if err != nil {
			return err
		}
		request.Host = host
		request.Header.Set(requestID, id)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		f.record.note("batch job %s submitted: status %d", id, response.StatusCode)
		if response.StatusCode == http.StatusAccepted {
			return nil
		}
		if response.StatusCode < 500 {
			return nil // the job was refused for good
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("batch job %s isn't accepted", id)
}

// awaitResults reads a job's results until there are enough, and returns their number.
func awaitResults(f *fleet, entry *process, id string, want int, limit time.Duration) int {
	listed := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodGet, "http://"+entry.front+"/-/lots/"+id+"?after=0", nil)
		if err != nil {
			return listed
		}
		request.Host = host
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var reading struct {
			Results []json.RawMessage `json:"results"`
		}
		_ = json.Unmarshal(raw, &reading)
		if listed = len(reading.Results); listed >= want {
			f.record.note("results of %s: %s", id, bytes.TrimSpace(raw))
			return listed
		}
	}
	return listed
}
