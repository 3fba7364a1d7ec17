package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

// storeServer serves the project's stand-in of the key-value service over the platform's HTTP
// interface.
type storeServer struct{ store *standin.TransactionalStore }

// storeItem is a record, or a deleted key, as it is sent.
type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func encodeItem(r kv.Record) storeItem {
	return storeItem{Key: r.Key, Value: base64.StdEncoding.EncodeToString(r.Value), Revision: r.Revision, Lease: int64(r.Lease)}
}

func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, kv.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, kv.ErrLeaseNotFound):
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		record, err := s.store.Read(r.Context(), q.Get("key"))
		if err == nil && record.Revision == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, encodeItem(record), err)
	case path == "/-/kv-range":
		page, err := s.store.ReadPage(r.Context(), q.Get("prefix"), q.Get("after"))
		items := []storeItem{}
		for _, record := range page.Records {
			items = append(items, encodeItem(record))
		}
		answer(w, map[string]any{"items": items, "truncated": page.Truncated, "asOf": page.AsOf}, err)
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.commit(w, r)
	case path == "/-/kv-lease":
		var body struct{ TTLMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&body)
		id, ttl, err := s.store.GrantLease(r.Context(), time.Duration(body.TTLMs)*time.Millisecond)
		answer(w, map[string]int64{"lease": int64(id), "ttlMs": ttl.Milliseconds()}, err)
	default:
		id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		if r.Method == http.MethodDelete {
			answer(w, struct{}{}, s.store.RevokeLease(r.Context(), kv.LeaseID(id)))
			return
		}
		answer(w, struct{}{}, s.store.KeepLease(r.Context(), kv.LeaseID(id)))
	}
}

func (s *storeServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	changes, err := s.store.Await(r.Context(), q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	items := []storeItem{}
	for _, c := range changes.Changes {
		item := encodeItem(c.Record)
		item.Tombstone = c.Deleted
		items = append(items, item)
	}
	answer(w, map[string]any{"events": items, "asOf": changes.AsOf}, err)
}

func (s *storeServer) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []kv.Expectation
		Puts     []kv.Put
		Remove   []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	committed, err := s.store.Commit(r.Context(), kv.Transaction{Expect: body.Expected, Puts: body.Puts, Remove: body.Remove})
	if err != nil || committed.Done {
		answer(w, map[string]int64{"revision": committed.Revision}, err)
		return
	}
	items := []storeItem{}
	for _, e := range body.Expected {
		if record, err := s.store.Read(r.Context(), e.Key); err == nil && record.Revision != 0 {
			items = append(items, encodeItem(record))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
}
