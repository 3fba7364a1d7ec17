package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/kv"
)

const leaseSweepInterval = 20 * time.Millisecond

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// keyValue is the state of the key-value service. It keeps the revision of the
// deletion of each deleted key, so that watches can report it.
type keyValue struct {
	platformpb.UnimplementedKeyValueServer
	faults *faults

	mu       sync.Mutex
	revision int64
	records  map[string]*platformpb.Record
	deleted  map[string]int64
	leases   map[int64]*lease
	changed  chan struct{} // closed and replaced on each change
}

func newKeyValue(f *faults) *keyValue {
	return &keyValue{
		faults:  f,
		records: map[string]*platformpb.Record{},
		deleted: map[string]int64{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

func (s *keyValue) Get(_ context.Context, r *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &platformpb.GetResponse{Record: s.current(r.Key)}, nil
}

func (s *keyValue) current(key string) *platformpb.Record {
	if found, ok := s.records[key]; ok {
		return found
	}
	return &platformpb.Record{Key: key}
}

func (s *keyValue) List(_ context.Context, r *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &platformpb.ListResponse{Records: s.since(r.Prefix, 0), Revision: s.revision}, nil
}

// since returns the records under prefix that changed after the revision, sorted by
// key. It includes deletions only if the revision is above 0.
func (s *keyValue) since(prefix string, revision int64) []*platformpb.Record {
	var found []*platformpb.Record
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) && record.Revision > revision {
			found = append(found, record)
		}
	}
	for key, at := range s.deleted {
		if revision > 0 && at > revision && strings.HasPrefix(key, prefix) {
			found = append(found, &platformpb.Record{Key: key})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func (s *keyValue) CompareAndSwap(_ context.Context, r *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapResponse, error) {
	if len(r.Value) > kv.MaxValueBytes {
		return nil, status.Error(codes.InvalidArgument, "value too large")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.current(r.Key)
	if record.Revision != r.ExpectedRevision {
		return &platformpb.CompareAndSwapResponse{Current: record}, nil
	}
	if _, ok := s.leases[r.LeaseId]; r.LeaseId != 0 && !ok {
		return nil, status.Error(codes.NotFound, "lease not found")
	}
	s.put(r)
	if s.faults.loseAnswer() {
		return nil, status.Error(codes.Unavailable, "answer lost")
	}
	return &platformpb.CompareAndSwapResponse{Swapped: true, Current: s.current(r.Key)}, nil
}

func (s *keyValue) put(r *platformpb.CompareAndSwapRequest) {
	if r.Delete {
		s.remove(r.Key)
		return
	}
	s.revision++
	delete(s.deleted, r.Key)
	s.records[r.Key] = &platformpb.Record{
		Key: r.Key, Value: r.Value, Revision: s.revision, LeaseId: r.LeaseId,
	}
	s.notifyWatches()
}

func (s *keyValue) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	s.revision++
	delete(s.records, key)
	s.deleted[key] = s.revision
	s.notifyWatches()
}

func (s *keyValue) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *keyValue) GrantLease(_ context.Context, r *platformpb.GrantLeaseRequest) (*platformpb.LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(r.TtlMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return &platformpb.LeaseResponse{LeaseId: s.revision, TtlMs: r.TtlMs}, nil
}

func (s *keyValue) KeepLease(_ context.Context, r *platformpb.LeaseRequest) (*platformpb.LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.leases[r.LeaseId]
	if !ok {
		return nil, status.Error(codes.NotFound, "lease not found")
	}
	held.expires = time.Now().Add(held.ttl)
	return &platformpb.LeaseResponse{LeaseId: r.LeaseId, TtlMs: held.ttl.Milliseconds()}, nil
}

func (s *keyValue) RevokeLease(_ context.Context, r *platformpb.LeaseRequest) (*platformpb.LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(r.LeaseId)
	return &platformpb.LeaseResponse{LeaseId: r.LeaseId}, nil
}

func (s *keyValue) endLease(id int64) {
	delete(s.leases, id)
	for key, record := range s.records {
		if record.LeaseId == id {
			s.remove(key)
		}
	}
}

// expireLeasesUntil ends expired leases until ctx is done. Leases expire during an
// outage too.
func (s *keyValue) expireLeasesUntil(ctx context.Context) {
	ticker := time.NewTicker(leaseSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.expireLeases(now)
		}
	}
}

func (s *keyValue) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.endLease(id)
		}
	}
}

func (s *keyValue) Watch(r *platformpb.WatchRequest, stream grpc.ServerStreamingServer[platformpb.WatchResponse]) error {
	last := r.FromRevision
	for {
		s.mu.Lock()
		records, revision, changed := s.since(r.Prefix, last), s.revision, s.changed
		s.mu.Unlock()
		if len(records) > 0 {
			if err := stream.Send(&platformpb.WatchResponse{Records: records, Revision: revision}); err != nil {
				return err
			}
		}
		last = max(last, revision)
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.faults.outageStarted():
			return status.Error(codes.Unavailable, "outage")
		case <-changed:
		}
	}
}
