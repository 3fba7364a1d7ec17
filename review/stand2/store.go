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

// maxPageItems is the number of items of a page of a listing.
const maxPageItems = 500

// storeItem is an item of the store. A tombstone stands for a removed key.
type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// storeLease is a lease with its end.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

// storeServer stands in for the platform's metadata store. It is linearizable, forgets nothing and
// has no limits of rate.
type storeServer struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	lastID   int64
	changed  chan struct{} // closed and replaced with each change
}

func newStoreServer() *storeServer {
	return &storeServer{revision: 1, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

// lock locks the store and ends the leases whose time is over.
func (s *storeServer) lock() {
	s.mu.Lock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The lock must be held.
func (s *storeServer) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// remove removes a key at the current revision. The lock must be held.
func (s *storeServer) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// write writes a key at the current revision. The lock must be held.
func (s *storeServer) write(key string, value []byte, lease int64) {
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: lease}
	if before, found := s.items[key]; found {
		item.CreatedRev = before.CreatedRev
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *storeServer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key of the operator, of a trainer or of an engine.
func (s *storeServer) put(key string, value []byte) {
	s.lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.lock()
		item, found := s.items[q.Get("key")]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, http.StatusOK, item)
	case path == "/-/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.commit(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	default:
		id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.renewOrEnd(w, id, r.Method == http.MethodDelete)
	}
}

func (s *storeServer) list(w http.ResponseWriter, prefix, after string) {
	s.lock()
	items, asOf := []storeItem{}, s.revision
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > maxPageItems
	answerJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxPageItems)], "truncated": truncated, "asOf": asOf})
}

// watch answers with the changes after a revision, once there are any or the wait is over.
func (s *storeServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for waiting := true; ; {
		s.lock()
		found, asOf, changed := s.changesAfter(q.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || !waiting {
			answerJSON(w, http.StatusOK, map[string]any{"events": found, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a prefix after a revision. The lock must be held.
func (s *storeServer) changesAfter(prefix string, after int64) []storeItem {
	found := []storeItem{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, item := range s.history[first:] {
		if strings.HasPrefix(item.Key, prefix) {
			found = append(found, item)
		}
	}
	return found
}

func (s *storeServer) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock()
	defer s.mu.Unlock()
	holds, current := true, []storeItem{}
	for _, e := range body.Expected {
		item, found := s.items[e.Key]
		holds = holds && item.Revision == e.Revision
		if found {
			current = append(current, item)
		}
	}
	if !holds {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	answerJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *storeServer) grant(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTLMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	answerJSON(w, http.StatusOK, map[string]int64{"lease": s.lastID, "ttlMs": body.TTLMs})
}

// renewOrEnd renews a lease, or ends it.
func (s *storeServer) renewOrEnd(w http.ResponseWriter, id int64, end bool) {
	s.lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case end:
		s.endLease(id)
	default:
		l.end = time.Now().Add(l.ttl)
	}
	answerJSON(w, http.StatusOK, map[string]int64{"lease": id})
}
