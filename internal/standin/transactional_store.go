package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

// TransactionalStore is an in-memory implementation of kv.TransactionalStore with
// switchable faults. It is safe for concurrent use.
type TransactionalStore struct {
	mu       sync.Mutex
	revision int64
	oldest   int64 // watches from an earlier revision get ErrHistoryGone
	records  map[string]kv.Record
	history  []kv.Change
	leases   map[kv.LeaseID]*lease
	changed  chan struct{}
	nextID   kv.LeaseID

	down           bool
	watchesStalled bool
	answersToLose  int // number of next commits whose answer is lost
	// Calls counts calls by kind.
	Calls map[string]int
}

// NewTransactionalStore returns an empty store.
func NewTransactionalStore() *TransactionalStore {
	return &TransactionalStore{revision: 1, records: map[string]kv.Record{}, leases: map[kv.LeaseID]*lease{}, changed: make(chan struct{}), Calls: map[string]int{}}
}

// SetDown makes the store refuse every call, or serve again.
func (s *TransactionalStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers makes the next n commits take effect without an answer.
func (s *TransactionalStore) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// StallWatches stops the delivery of changes to watches that wait, or resumes it.
func (s *TransactionalStore) StallWatches(watchesStalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled = watchesStalled
}

// DropHistory discards all changes so far.
func (s *TransactionalStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.revision
}

// Revoke deletes a key without notifying its writer.
func (s *TransactionalStore) Revoke(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// Count returns the number of calls of a kind.
func (s *TransactionalStore) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Calls[kind]
}

func (s *TransactionalStore) startCall(kind string) error {
	s.Calls[kind]++
	if s.down {
		return errors.Wrap(kv.ErrUnavailable, kind)
	}
	s.expire()
	return nil
}

func (s *TransactionalStore) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *TransactionalStore) endLease(id kv.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for key, r := range s.records {
		if r.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

func (s *TransactionalStore) remove(key string) {
	if _, found := s.records[key]; !found {
		return
	}
	delete(s.records, key)
	s.history = append(s.history, kv.Change{Record: kv.Record{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *TransactionalStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements kv.TransactionalStore.
func (s *TransactionalStore) Read(_ context.Context, key string) (kv.Record, error) {
	return s.read("read", key)
}

// ReadStale implements kv.TransactionalStore. Its records are current.
func (s *TransactionalStore) ReadStale(_ context.Context, key string) (kv.Record, error) {
	return s.read("read_stale", key)
}

// read returns the record at a key; kind is what the call counts as.
func (s *TransactionalStore) read(kind, key string) (kv.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(kind); err != nil {
		return kv.Record{}, err
	}
	r, found := s.records[key]
	if !found {
		return kv.Record{Key: key}, nil
	}
	return r, nil
}

// maxPageRecords is small, so that tests read several pages.
const maxPageRecords = 3

// ReadPage implements kv.TransactionalStore.
func (s *TransactionalStore) ReadPage(_ context.Context, prefix, after string) (kv.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("page"); err != nil {
		return kv.Page{}, err
	}
	page := kv.Page{AsOf: s.revision}
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Records = append(page.Records, r)
		}
	}
	sort.Slice(page.Records, func(i, j int) bool { return page.Records[i].Key < page.Records[j].Key })
	if len(page.Records) > maxPageRecords {
		page.Records, page.Truncated = page.Records[:maxPageRecords], true
	}
	return page, nil
}

// Await implements kv.TransactionalStore.
func (s *TransactionalStore) Await(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	waited := false
	for {
		s.mu.Lock()
		if err := s.startCall("watch"); err != nil {
			s.mu.Unlock()
			return kv.Changes{}, err
		}
		watchesStalled := s.watchesStalled && waited
		if after < s.oldest && !watchesStalled {
			s.mu.Unlock()
			return kv.Changes{}, kv.ErrHistoryGone
		}
		changes := kv.Changes{AsOf: s.revision}
		for _, c := range s.history {
			if c.Record.Revision > after && strings.HasPrefix(c.Record.Key, prefix) && !watchesStalled {
				changes.Changes = append(changes.Changes, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(changes.Changes) > 0 {
			return changes, nil
		}
		waited = true
		select {
		case <-changed:
		case <-timer.C:
			return kv.Changes{AsOf: after}, nil
		case <-ctx.Done():
			return kv.Changes{}, errors.Wrap(kv.ErrUnavailable, ctx.Err().Error())
		}
	}
}

// Commit implements kv.TransactionalStore.
func (s *TransactionalStore) Commit(_ context.Context, t kv.Transaction) (kv.Committed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("commit"); err != nil {
		return kv.Committed{}, err
	}
	committed, err := s.apply(t)
	if s.answersToLose > 0 {
		s.answersToLose--
		return kv.Committed{}, errors.Wrap(kv.ErrUnknown, "answer lost")
	}
	return committed, err
}

func (s *TransactionalStore) apply(t kv.Transaction) (kv.Committed, error) {
	for _, e := range t.Expect {
		if s.records[e.Key].Revision != e.Revision {
			return kv.Committed{}, nil
		}
	}
	for _, p := range t.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return kv.Committed{}, kv.ErrLeaseNotFound
		}
	}
	s.revision++
	for _, p := range t.Puts {
		r := kv.Record{Key: p.Key, Value: append([]byte(nil), p.Value...), Revision: s.revision, Lease: p.Lease}
		s.records[p.Key] = r
		s.history = append(s.history, kv.Change{Record: r})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notifyWatches()
	return kv.Committed{Done: true, Revision: s.revision}, nil
}

// GrantLease implements kv.TransactionalStore.
func (s *TransactionalStore) GrantLease(_ context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("lease"); err != nil {
		return 0, 0, err
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.nextID, ttl, nil
}

// KeepLease implements kv.TransactionalStore.
func (s *TransactionalStore) KeepLease(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("keep"); err != nil {
		return err
	}
	l, found := s.leases[id]
	if !found {
		return kv.ErrLeaseNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// RevokeLease implements kv.TransactionalStore.
func (s *TransactionalStore) RevokeLease(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("revoke"); err != nil {
		return err
	}
	if _, found := s.leases[id]; !found {
		return kv.ErrLeaseNotFound
	}
	s.endLease(id)
	return nil
}
