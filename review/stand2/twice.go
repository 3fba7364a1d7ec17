package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// Each window is one disturbance "garble" with how = "extra late", as the users' site files
	// have it: at most 0.6 of the engines send a second copy of a share of 0.03 of their answers,
	// for 5 s. Here one engine of three does so.
	garbleShare   = 0.03
	garbleTime    = 5 * time.Second
	garblePause   = 2 * time.Second
	garbled       = 1 // engine of deskEngines: a share of 0.33
	deskEntries   = 10
	deskWorkers   = 2
	burstFilings  = 3
	burstInterval = 800 * time.Millisecond
)

// filingConfig returns a config with one route that may run a request once at most, and a tenant.
func filingConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "filing", "host": host, "prefix": "/filing/", "kind": "non_idempotent", "service": "settle-app", "priority": 1,
			"timeoutMs": 3000, "sloMs": 800, "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "settle-app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "agency-1", "apiKeys": []string{"key-1"}}},
	}
}

// runTwice plays the case in which filings run twice.
func (f *fleet) runTwice(seconds int, trouble bool) int {
	f.edgeMb = 184
	if err := f.startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f.put("op/config", filingConfig())
	zones := []string{"kigali-nyarugenge", "kigali-gasabo", "kigali-kicukiro"}
	for i := range deskEngines {
		if err := f.addDesk(fmt.Sprintf("i-desk-%d", i+1), zones[i%3], deskWork); err != nil {
			return failed
		}
	}
	for i := range deskEntries {
		if err := f.addMachine(fmt.Sprintf("edge-%d", i+1), zones[i%3], false); err != nil {
			return failed
		}
	}
	for i := range deskWorkers {
		if err := f.addMachine(fmt.Sprintf("storage-%d", i+1), zones[i%3], true); err != nil {
			return failed
		}
	}
	time.Sleep(4 * time.Second)
	for i := range deskEntries {
		go f.file(i, burstFilings)
	}
	time.Sleep(3 * time.Second)
	end := f.record.begin.Add(time.Duration(seconds) * time.Second)
	for time.Now().Add(garbleTime).Before(end) {
		if trouble {
			f.garble(garbled, garbleShare)
		}
		time.Sleep(garbleTime)
		f.garble(garbled, 0)
		time.Sleep(garblePause)
	}
	time.Sleep(time.Until(end))
	return f.judgeFilings()
}

// garble sets the share of answers of the first engines of which a second copy follows.
func (f *fleet) garble(engines int, share float64) {
	for _, d := range f.desks[:engines] {
		d.mu.Lock()
		d.extra = share
		d.mu.Unlock()
	}
}

// judgeFilings writes the totals and returns the exit code.
func (f *fleet) judgeFilings() int {
	q := f.filings
	q.mu.Lock()
	defer q.mu.Unlock()
	twice, refused := 0, 0
	byStatus := map[int]int{}
	for id, n := range q.runs {
		if n > 1 {
			twice++
			f.record.add("request %s has run %d times, its answer was %d", id, n, q.answers[id])
		}
	}
	for id, status := range q.answers {
		byStatus[status]++
		if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && q.runs[id] > 0 {
			refused++
			f.record.add("request %s was answered %d and has run", id, status)
		}
	}
	f.record.add("attempts by status: %v; engines were full %d times; %d second copies of answers", byStatus, q.refusals, q.extras)
	f.record.add("requests that ran more than once: %d; requests that were refused and ran: %d", twice, refused)
	switch {
	case byStatus[http.StatusOK] == 0:
		return failed
	case twice > 0:
		return broken
	}
	return held
}
