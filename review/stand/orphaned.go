package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	orphanedJob = "7c41e09b52d6a3fa"
	// deadlineS is how long the trainer waits for its step.
	deadlineS = 45
	// darkTime is how long the machines that come back are down.
	darkTime = 3 * time.Second
	// recoverS and contactS are the bounds recoveryS and contactMs.
	recoverS, contactS = 12, 3
)

// ownerOf returns the process to which the store assigns a job.
func (s *store) ownerOf(job string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, "todo/") && strings.HasSuffix(key, "/"+job) {
			return strings.Split(key, "/")[1]
		}
	}
	return ""
}

// playOrphaned submits a step to a deployment with three workers. With the disruption all storage
// machines lose power after the first group has been read; the one that owns the job never comes
// back, and an empty one with another name and address takes its place.
func playOrphaned(record *recorder, trouble bool) (int, error) {
	routes := []map[string]any{
		{"name": "rollout", "host": host, "prefix": "/roll/", "kind": "rollout", "service": modelService, "timeoutMs": 10000, "sloMs": 400, "dueMs": 7500, "itemTtlS": 120, "priority": 1, "maxAttempts": 3},
	}
	var engines []*engine
	for i := 1; i <= 3; i++ {
		engines = append(engines, &engine{id: fmt.Sprintf("i-llm-%d", i), service: modelService, events: 100, pace: 60 * time.Millisecond, long: map[string]int{}})
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
	workers := map[string]*process{}
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("storage-%d", i)
		if workers[name], err = f.startProcess(name, "storage"); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(entry); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)

	items := []any{}
	for i := range 12 {
		id := fmt.Sprintf("e5b2907c14da7f%02d", i)
		if i < 4 { // the first group is done within half a second
			for _, e := range engines {
				e.long[id] = 6
			}
		}
		items = append(items, map[string]any{
			"id": id, "path": fmt.Sprintf("/roll/%d", i), "body": []byte("prompt"), "tokens": 200, "group": fmt.Sprintf("g%d", i/4),
			"headers": map[string]string{"Siskinloom-Model": modelName, "Siskinloom-Token-Count": "100,128", "Siskinloom-Prompt-Prefix": "9c2e41:100"},
		})
	}
	job := map[string]any{"step": 0, "model": modelName, "minVersion": 1, "groupCount": 3, "items": items}
	if err := submit(f, entry, orphanedJob, job); err != nil {
		return failed, err
	}
	accepted := time.Now()
	if n := awaitResults(f, entry, orphanedJob, 4, 5*time.Second); n < 4 {
		return failed, fmt.Errorf("%d results after 5 s", n)
	}
	back := accepted
	if trouble {
		if back, err = f.losePower(workers); err != nil {
			return failed, err
		}
	}
	return watchOrphaned(f, entry, accepted, back)
}

// losePower kills all workers and starts them again after darkTime, but for the owner of the job,
// which another machine replaces. It returns when all were started.
func (f *fleet) losePower(workers map[string]*process) (time.Time, error) {
	owner := f.store.ownerOf(orphanedJob)
	if workers[owner] == nil {
		return time.Time{}, fmt.Errorf("the job has no owner")
	}
	for name, p := range workers {
		f.record.note("%s loses power", name)
		_ = p.command.Process.Kill()
	}
	time.Sleep(darkTime)
	f.bootstrapped = true
	for name := range workers {
		if name == owner {
			f.record.note("%s owned the job and never comes back; storage-4 takes its place", name)
			name = "storage-4"
		}
		if _, err := f.startProcess(name, "storage"); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// watchOrphaned reads the step until it is complete or its trainer gives up.
func watchOrphaned(f *fleet, entry *process, accepted, back time.Time) (int, error) {
	last := -1
	for time.Since(accepted) < deadlineS*time.Second {
		r, err := read(entry, orphanedJob)
		if err != nil {
			return failed, err
		}
		if n := len(r.Results); n != last || r.status != 200 {
			f.record.note("read %.1f s after the 202: status %d, %d of %d results", time.Since(accepted).Seconds(), r.status, n, r.Total)
			last = n
		}
		if r.Total > 0 && len(r.Results) == r.Total {
			return held, nil
		}
		time.Sleep(time.Second)
	}
	idle := time.Since(f.record.lastRun())
	steady := time.Since(back) - (recoverS+contactS)*time.Second
	f.record.note("the trainer gives up its step %d s after the 202; all machines have been back for %.1f s; no engine has got an item for %.1f s; the store assigns the job to %q", deadlineS, time.Since(back).Seconds(), idle.Seconds(), f.store.ownerOf(orphanedJob))
	if idle > 5*time.Second && steady > 5*time.Second {
		f.record.note("LOST: the step has run out of time while its items were at no engine for more than 5 s of steady state")
		return broken, nil
	}
	return held, nil
}
