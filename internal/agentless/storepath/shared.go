package storepath

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/kv"
)

// Read implements kv.TransactionalStore.
func (s *Store) Read(ctx context.Context, key string) (kv.Record, error) {
	r, err := s.do(ctx, &Query{Operation: Read, Key: key})
	return r.Record, err
}

// ReadStale implements kv.TransactionalStore.
func (s *Store) ReadStale(ctx context.Context, key string) (kv.Record, error) {
	r, err := s.do(ctx, &Query{Operation: ReadStale, Key: key})
	return r.Record, err
}

// ReadPage implements kv.TransactionalStore.
func (s *Store) ReadPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	r, err := s.do(ctx, &Query{Operation: ReadPage, Key: prefix, AfterKey: after})
	return r.Page, err
}

// Await implements kv.TransactionalStore.
func (s *Store) Await(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	r, err := s.do(ctx, &Query{Operation: Await, Key: prefix, Revision: after, Wait: wait})
	return r.Changes, err
}

// Commit implements kv.TransactionalStore.
func (s *Store) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	r, err := s.do(ctx, &Query{Operation: Commit, Transaction: t})
	return r.Committed, err
}

// GrantLease implements kv.TransactionalStore.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	r, err := s.do(ctx, &Query{Operation: GrantLease, TTL: ttl})
	return r.Lease, r.TTL, err
}

// KeepLease implements kv.TransactionalStore.
func (s *Store) KeepLease(ctx context.Context, id kv.LeaseID) error {
	_, err := s.do(ctx, &Query{Operation: KeepLease, Lease: id})
	return err
}

// RevokeLease implements kv.TransactionalStore.
func (s *Store) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	_, err := s.do(ctx, &Query{Operation: RevokeLease, Lease: id})
	return err
}
