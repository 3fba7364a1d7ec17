package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	engineSlots   = 6
	engineQueue   = 18
	eventInterval = 25 * time.Millisecond
	prefillTime   = 150 * time.Millisecond // until the first token, with which the answer begins
	loadTime      = 900 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
)

// engine stands in for a model engine, or for a plain service if it has no models.
type engine struct {
	fleet             *fleet
	id, service, zone string
	address           string
	work              time.Duration // of a plain service

	mu       sync.Mutex
	versions map[string]int64
	loading  string // model whose weights are being loaded
	fence    int64
	orders   int64 // accepted
	beats    int64
	present  int // requests that run or wait
	slots    chan struct{}
	runaway  float64 // share of its answers that have no end
}

func (f *fleet) addEngine(id, service, zone string, models []string, work time.Duration) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{fleet: f, id: id, service: service, zone: zone, address: listener.Addr().String(), work: work, versions: map[string]int64{}, slots: make(chan struct{}, engineSlots)}
	for _, model := range models {
		e.versions[model] = 1
	}
	f.engines = append(f.engines, e)
	go func() { _ = http.Serve(listener, e) }()
	go func() {
		for {
			e.register()
			select {
			case <-f.done:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// register writes the engine's entry to the store.
func (e *engine) register() {
	e.mu.Lock()
	e.beats++
	models := []map[string]any{}
	for name, version := range e.versions {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "coldLeftMs": 0, "seq": e.beats,
		"stage": "mixed", "models": models,
	}
	e.mu.Unlock()
	e.fleet.put("servers/"+e.id, entry)
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("Siskinloom-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Siskinloom-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Siskinloom-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "mixed", "busy": e.loading != "", "seq": e.orders, "running": len(e.slots), "waiting": max(0, e.present-len(e.slots))})
	case "/-/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

// serveOrder accepts an order to load a version.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Opcode, Model, Holder string
		Version, Fence        int64
		Expected              *int64
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Opcode != "version" || o.Holder == "" || o.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.loading != "", o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
	case e.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	default:
		e.fence, e.loading = o.Fence, o.Model
		e.orders++
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.versions[o.Model], e.loading = o.Version, ""
			e.mu.Unlock()
			e.register()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// serveRequest runs a request once it has a slot.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("Siskinloom-Request-Id")
	model := r.Header.Get("Siskinloom-Model")
	w.Header().Set("Siskinloom-Request-Id", id)
	e.mu.Lock()
	full := e.present >= engineSlots+engineQueue || model != "" && e.loading == model
	if !full {
		e.present++
	}
	e.mu.Unlock()
	if full {
		notExecuted(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.present--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.fleet.noteRun(id, e)
	if len(e.versions) == 0 {
		select {
		case <-time.After(e.work):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Siskinloom-Server-Seal", "seal-"+id)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	e.generate(w, r, id, model)
}

// eventCount returns the number of events of an item's text.
func eventCount(id string) int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int64(h.Sum32()%24) + 4
}

// text returns the data of an event.
func text(id string, n int64) string { return fmt.Sprintf("%s-%d", id, n) }

// generate answers with the events of an item's text.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, id, model string) {
	e.mu.Lock()
	version := e.versions[model]
	endless := rand.Float64() < e.runaway
	e.mu.Unlock()
	if expected := r.Header.Get("Siskinloom-Expect-Version"); expected != "" && expected != strconv.FormatInt(version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(prefillTime):
	case <-r.Context().Done():
		return
	}
	next, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Siskinloom-Server-Seal", "seal-"+id)
	w.Header().Set("Siskinloom-Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	if endless {
		e.runAway(w, id)
		return
	}
	flush := http.NewResponseController(w).Flush
	for next++; next <= eventCount(id); next++ {
		_ = flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		change := ""
		e.mu.Lock()
		if now := e.versions[model]; now != version {
			version = now
			change = fmt.Sprintf("siskinloom-weight-versions: %d\n", now)
		}
		e.mu.Unlock()
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", change, next, text(id, next)); err != nil {
			return
		}
	}
}
