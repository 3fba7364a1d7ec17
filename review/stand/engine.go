package main

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelName    = "m0"
	modelService = "llm"
	plainService = "desk"
	requestID    = "Siskinloom-Request-Id"
)

// engine is a stand-in of an engine, as PROTOCOL.md describes it: an HTTP/1.1 server that runs
// each request once it has read it. Model engines answer items and streams with events.
type engine struct {
	id      string
	service string
	address string
	record  *recorder
	orders  atomic.Int64
	running atomic.Int64
	events  int            // of a stream
	pace    time.Duration  // between two events
	long    map[string]int // number of events by request ID, where it differs
	// capacity is the engine's memory in tokens; 0: enough for all. A request takes promptTokens and
	// one more with each event.
	capacity int

	mu      sync.Mutex
	streams []*running // in the order in which they began
	changed chan struct{}
}

// promptTokens is the size of a prompt.
const promptTokens = 100

// running is a stream that the engine works on.
type running struct {
	id        string
	tokens    int
	preempted bool
}

// memory returns the size of the engine's memory in tokens.
func (e *engine) memory() int {
	if e.capacity > 0 {
		return e.capacity
	}
	return defaultCapacity
}

// defaultCapacity is the memory of an engine in tokens, if it suffices for all streams of a case.
const defaultCapacity = 84110

// begin adds a stream.
func (e *engine) begin(id string) *running {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &running{id: id, tokens: promptTokens}
	e.streams = append(e.streams, s)
	return s
}

// ended removes a stream, which makes room for a preempted one.
func (e *engine) ended(s *running) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = slices.DeleteFunc(e.streams, func(other *running) bool { return other == s })
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// grow takes the memory of one more token. If there is none left, the newest stream is preempted. A
// stream that is or becomes preempted gets a channel that is closed when another one ends.
func (e *engine) grow(s *running) (wait <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := 1
	for _, other := range e.streams {
		if !other.preempted || other == s {
			used += other.tokens
		}
	}
	for i := len(e.streams) - 1; i >= 0 && e.capacity > 0 && used > e.capacity; i-- {
		newest := e.streams[i]
		if newest.preempted && newest != s {
			continue
		}
		if !newest.preempted {
			e.record.note("engine %s: memory has run out, %s is preempted", e.id, newest.id)
		}
		newest.preempted = true
		used -= newest.tokens
		if newest == s {
			if e.changed == nil {
				e.changed = make(chan struct{})
			}
			return e.changed
		}
	}
	s.preempted = false
	s.tokens++
	return nil
}

// start serves the engine's address and registers it in the store.
func (e *engine) start(s *store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	server := &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for seq := 1; ; seq++ {
			s.put("servers/"+e.id, e.entry(seq))
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// entry is the engine's entry in the store.
func (e *engine) entry(seq int) map[string]any {
	entry := map[string]any{"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 32, "state": "ready", "coldLeftMs": 0, "seq": seq}
	if e.service == modelService {
		entry["stage"] = "mixed"
		entry["models"] = []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
	}
	return entry
}

// seal is the engine's digest of an answer.
func seal(body string) string { return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))) }

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(requestID)
	w.Header().Set(requestID, id)
	if expected := r.Header.Get("Siskinloom-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Siskinloom-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		answerJSON(w, http.StatusOK, map[string]any{"stage": "mixed", "models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}, "busy": false, "seq": e.orders.Load(), "waiting": 0, "running": e.running.Load(), "kvUsed": 0, "kvTotal": e.memory(), "handles": 0})
		return
	case r.URL.Path == "/-/order":
		w.WriteHeader(http.StatusOK)
		return
	case id == "":
		w.Header().Set("Siskinloom-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.record.ran(e, r, body)
	if e.service == modelService {
		e.stream(w, r, id)
		return
	}
	plainAnswer(w, r, id)
}

// streamOf returns the whole body of the stream that answers a request.
func streamOf(id string, events int) []string {
	var list []string
	for i := 1; i <= events; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i))
	}
	return list
}

// produce waits until the stream's next event is made, and returns false if its caller has left.
func (e *engine) produce(ctx context.Context, s *running) bool {
	for {
		next := e.grow(s)
		if next == nil {
			break
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
	select {
	case <-time.After(e.pace):
		return true
	case <-ctx.Done():
		return false
	}
}

// stream answers with events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	events := e.events
	if n, found := e.long[id]; found {
		events = n
	}
	list := streamOf(id, events)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Siskinloom-Server-Seal", seal(strings.Join(list, "")))
	w.Header().Set("Siskinloom-Weight-Versions", "1")
	after := int(number(r.Header.Get("Last-Event-Id")))
	s := e.begin(id)
	defer e.ended(s)
	for i := min(after, len(list)); i < len(list); i++ {
		if !e.produce(r.Context(), s) {
			e.record.note("engine %s: its caller closed the connection of %s after event %d of %d", e.id, id, i, len(list))
			return
		}
		if _, err := io.WriteString(w, list[i]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
