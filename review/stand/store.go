package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a record of the store. A tombstone stands for a deleted key.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It is
// linearizable, forgets nothing and has no limits of rate.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go s.expire()
	return s
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The lock must be held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

// remove deletes a key at the current revision. The lock must be held.
func (s *store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
}

// write sets a key at the current revision. The lock must be held.
func (s *store) write(key string, value []byte, id int64) {
	i := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: id}
	if old, found := s.items[key]; found {
		i.CreatedRev = old.CreatedRev
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator, a trainer or an engine.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // only values of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, raw, 0)
	s.notify()
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.readKey(w, r)
	case path == "/-/kv-range":
		s.readRange(w, r)
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.transact(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, number(strings.TrimPrefix(path, "/-/kv-keep/")))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.mu.Lock()
		id := number(strings.TrimPrefix(path, "/-/kv-lease-end/"))
		_, found := s.leases[id]
		s.endLease(id)
		s.mu.Unlock()
		if !found {
			answerJSON(w, http.StatusNotFound, struct{}{})
			return
		}
		answerJSON(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		answerJSON(w, http.StatusNotFound, map[string]int64{"asOf": asOf})
		return
	}
	answerJSON(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, asOf})
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	truncated := len(list) > pageItems
	if truncated {
		list = list[:pageItems]
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": list, "truncated": truncated, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), number(q.Get("after"))
	timer := time.NewTimer(time.Duration(number(q.Get("waitMs"))) * time.Millisecond)
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		changes, asOf, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				changes = append(changes, i)
			}
		}
		s.mu.Unlock()
		if len(changes) > 0 || over {
			answerJSON(w, http.StatusOK, map[string]any{"events": changes, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a call of kv-txn.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, differs := []item{}, false
	for _, e := range t.Expected {
		i := s.items[e.Key]
		differs = differs || i.Revision != e.Revision
		i.Key = e.Key
		current = append(current, i)
	}
	if differs {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			answerJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	answerJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := 70000 + s.revision
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": body.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	answerJSON(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}
