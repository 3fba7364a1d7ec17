package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	sweptJob = "7c41e09b52d6a3f9"
	// longEvents is the length of the text of the long item: at the engine's pace it takes 96 s.
	longEvents = 1600
)

// sweptStatusS returns the bound statusS of the deployment.
func sweptStatusS() int {
	if n, err := strconv.Atoi(os.Getenv("STATUS_S")); err == nil {
		return n
	}
	return 25
}

// reading is the answer to a read of results.
type reading struct {
	status  int
	Total   int `json:"total"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"results"`
}

// read reads a job's results from the start.
func read(entry *process, job string) (reading, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.front+"/-/lots/"+job+"?after=0", nil)
	if err != nil {
		return reading{}, err
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reading{}, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	r := reading{status: response.StatusCode}
	if r.status == http.StatusOK && err == nil {
		err = json.Unmarshal(raw, &r)
	}
	return r, err
}

// end ends a job.
func end(entry *process, job string) (int, error) {
	request, err := http.NewRequest(http.MethodDelete, "http://"+entry.front+"/-/lots/"+job, nil)
	if err != nil {
		return 0, err
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// playSwept submits a batch job of three items and reads it about once a second. With the
// disruption one of the items is long, and the job stays open until it is done. Without it all
// items are short, the trainer ends the job after it has read all results, and the reads go on
// for statusS.
func playSwept(record *recorder, trouble bool) (int, error) {
	statusS := sweptStatusS()
	routes := []map[string]any{
		{"name": "rollout", "host": host, "prefix": "/roll/", "kind": "rollout", "service": modelService, "timeoutMs": 10000, "sloMs": 400, "dueMs": 7500, "itemTtlS": 600, "priority": 1, "maxAttempts": 3},
	}
	var engines []*engine
	for i := 1; i <= 3; i++ {
		engines = append(engines, &engine{id: fmt.Sprintf("i-llm-%d", i), service: modelService, events: 12, pace: 60 * time.Millisecond, long: map[string]int{}})
	}
	items := []any{}
	for i := range 3 {
		id := fmt.Sprintf("e5b2907c14da6f%02d", i)
		items = append(items, map[string]any{
			"id": id, "path": fmt.Sprintf("/roll/%d", i), "body": []byte("prompt"), "tokens": 2000, "group": "g1",
			"headers": map[string]string{"Siskinloom-Model": modelName, "Siskinloom-Token-Count": "16,1700", "Siskinloom-Prompt-Prefix": "9c2e41:16"},
		})
		if trouble && i == 2 {
			for _, e := range engines {
				e.long[id] = longEvents * max(1, statusS/25)
			}
		}
	}
	f, err := newFleet(record, engines, config(defaultCapacity, routes...))
	if err != nil {
		return failed, err
	}
	defer f.stop()
	f.statusS = statusS
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
	record.note("statusS of the deployment: %d", statusS)
	job := map[string]any{"step": 0, "model": modelName, "minVersion": 1, "groupCount": 1, "items": items}
	if err := submit(f, entry, sweptJob, job); err != nil {
		return failed, err
	}
	return watchSwept(f, entry, statusS, trouble)
}

// watchSwept reads the job until its reads break the rule or the case is over.
func watchSwept(f *fleet, entry *process, statusS int, trouble bool) (int, error) {
	accepted, most, ended := time.Now(), 0, false
	limit := time.Duration(statusS-1) * time.Second
	if trouble {
		limit = time.Duration(statusS)*time.Second + 65*time.Second
	}
	for last := -1; time.Since(accepted) < limit; time.Sleep(900 * time.Millisecond) {
		r, err := read(entry, sweptJob)
		age := time.Since(accepted)
		switch {
		case err != nil:
			return failed, err
		case r.status == http.StatusNotFound && age > time.Second:
			f.record.note("read %.1f s after the 202: status 404; results read before: %d; ended by its trainer: %t", age.Seconds(), most, ended)
			f.record.note("LOST: the open batch job and its results are gone")
			return broken, nil
		case r.status != http.StatusOK:
			f.record.note("read %.1f s after the 202: status %d", age.Seconds(), r.status)
			continue
		case len(r.Results) < most:
			f.record.note("read %.1f s after the 202: %d results, %d had been read", age.Seconds(), len(r.Results), most)
			f.record.note("LOST: results that had been read are gone")
			return broken, nil
		}
		most = len(r.Results)
		if last != most || int(age.Seconds())%10 == 0 {
			f.record.note("read %.1f s after the 202: %d of %d results", age.Seconds(), most, r.Total)
		}
		last = most
		if most == r.Total && !ended {
			status, err := end(entry, sweptJob)
			f.record.note("job ended by its trainer: status %d", status)
			if err != nil {
				return failed, err
			}
			ended = true
		}
	}
	if !trouble && !ended {
		return failed, fmt.Errorf("the job wasn't done")
	}
	return held, nil
}
