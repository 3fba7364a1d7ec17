package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	lookupEngines   = 6
	lookupGarbled   = 3 // a share of 0.5
	lookupEntries   = 3
	lookupWork      = 25 * time.Millisecond
	lookupsOfASite  = 20 // a second
	lookupEdgeMb    = 284
	lookupConsumers = 10
)

// lookupConfig returns the config of a plain service with idempotent lookups.
func lookupConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "status-lookup", "host": host, "prefix": "/filing/", "kind": "idempotent", "service": "settle-app", "priority": 2,
			"timeoutMs": 800, "sloMs": 150, "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "settle-app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// runMixed plays the case in which consumers get the answers of others.
func (f *fleet) runMixed(seconds int, trouble bool) int {
	f.edgeMb, f.spoiled = lookupEdgeMb, true
	if err := f.startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f.put("op/config", lookupConfig())
	zones := []string{"vvn-hall-a", "vvn-hall-b", "karamsad-hall"}
	for i := range lookupEngines {
		if err := f.addDesk(fmt.Sprintf("i-desk-%d", i+1), zones[i%3], lookupWork); err != nil {
			return failed
		}
	}
	for i := range lookupEntries {
		if f.addMachine(fmt.Sprintf("edge-%d", i+1), zones[i], false) != nil || f.addMachine(fmt.Sprintf("storage-%d", i+1), zones[i], true) != nil {
			return failed
		}
	}
	time.Sleep(4 * time.Second)
	go f.askLookups()
	time.Sleep(3 * time.Second)
	end := f.record.begin.Add(time.Duration(seconds) * time.Second)
	for time.Now().Add(garbleTime).Before(end) {
		if trouble {
			f.garble(lookupGarbled, garbleShare)
		}
		time.Sleep(garbleTime)
		f.garble(lookupGarbled, 0)
		time.Sleep(garblePause)
	}
	time.Sleep(time.Until(end))
	q := f.filings
	q.mu.Lock()
	defer q.mu.Unlock()
	byStatus := map[int]int{}
	for _, status := range q.answers {
		byStatus[status]++
	}
	f.record.add("attempts by status: %v; %d second copies of answers", byStatus, q.extras)
	f.record.add("successes with the body of another request: %d", q.foreign)
	switch {
	case byStatus[http.StatusOK] == 0:
		return failed
	case q.foreign > 0:
		return broken
	}
	return held
}

// askLookups sends lookups to all entries in turn, on connections that consumers keep.
func (f *fleet) askLookups() {
	entries := f.entries()
	client := &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: lookupConsumers}}
	for i := 0; ; i++ {
		select {
		case <-f.done:
			return
		case <-time.After(time.Second / lookupsOfASite):
		}
		go f.fileOnce(client, entries[i%len(entries)], fmt.Sprintf("lookup-%d", i))
	}
}
