package main

import (
	"fmt"
	"os"
	"time"
)

const (
	chatsPerSecond   = 40
	lookupsPerSecond = 12
	smallEdgeMb      = 144
	maxLost          = 3 // the rule is broken beyond it
	faultyEngines    = 4 // of 9
	endlessShare     = 0.1
)

// chatConfig returns the config with a streaming route beside the lookups.
func chatConfig() map[string]any {
	route := func(name, prefix, kind, service string, timeoutMs, sloMs, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "priority": 1, "timeoutMs": timeoutMs, "sloMs": sloMs, "maxAttempts": attempts}
	}
	chat := route("chat", "/chat/", "streaming", "guide-models", 10000, int(chatObjective.Milliseconds()), 2)
	chat["sticky"] = true
	return map[string]any{
		"version": 7,
		"routes":  []any{route("lookup", "/lookup/", "idempotent", "booking-desk", 800, 150, 2), chat},
		"services": []any{
			map[string]any{"name": "booking-desk", "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false},
			map[string]any{"name": "guide-models", "healthPath": "/healthz", "maxConns": 240, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kvCapacity": 66896, "models": []any{map[string]any{"name": "m0"}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// runLost plays the case in which entries end under answers without end.
func (f *fleet) runLost(seconds int, trouble bool) int {
	f.edgeMb = smallEdgeMb
	if err := f.startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f.put("op/config", chatConfig())
	zones := []string{"bkk-a", "bkk-b", "bkk-c"}
	for i := range 9 { // the first ones are the faulty ones
		if f.addEngine(fmt.Sprintf("i-llm-%d", i), "guide-models", zones[i%3], []string{"m0"}, 0) != nil {
			return failed
		}
	}
	for i := range 3 {
		if f.addEngine(fmt.Sprintf("i-desk-%d", i), "booking-desk", zones[i], nil, 25*time.Millisecond) != nil || f.addMachine(fmt.Sprintf("edge-%d", i+1), zones[i], false) != nil {
			return failed
		}
	}
	for i := range 2 {
		if f.addMachine(fmt.Sprintf("storage-%d", i+1), zones[i], true) != nil {
			return failed
		}
	}
	time.Sleep(4 * time.Second)
	t := &tally{}
	go f.consumers("lookup", lookupsPerSecond, t)
	go f.consumers("chat", chatsPerSecond, t)
	time.Sleep(4 * time.Second)
	if trouble {
		f.record.add("from now on, %d engines of 9 answer a share of %.2f of the requests without end", faultyEngines, endlessShare)
		for _, e := range f.engines[:faultyEngines] {
			e.mu.Lock()
			e.runaway = endlessShare
			e.mu.Unlock()
		}
	}
	time.Sleep(time.Until(f.record.begin.Add(time.Duration(seconds) * time.Second)))
	ends := 0
	for _, m := range f.machines {
		m.mu.Lock()
		ends += m.ownEnds
		f.record.add("machine %s: %d ends by itself, at most %d MB of %d", m.name, m.ownEnds, m.peakMb, m.memoryMb)
		m.mu.Unlock()
	}
	f.record.add("attempts: %d served, %d not; on kept connections, run by a sound engine: %d without an answer, %d cut off in the answer", t.served.Load(), t.unserved.Load(), t.lost.Load(), t.cut.Load())
	switch {
	case t.served.Load() == 0:
		return failed
	case t.lost.Load() > maxLost:
		return broken
	}
	return held
}
