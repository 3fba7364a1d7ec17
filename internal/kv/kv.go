// Package kv defines what siskinloom needs from the platform's key-value
// service: compare-and-swap, leases and watches over small values. The client
// in kv/client.go speaks the published protocol of api/platform.proto.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value the service holds.
const MaxValueBytes = 1 << 20

var (
	// ErrUnknown is returned when a write may or may not have taken effect:
	// its answer was lost and no read has settled it. It never means "failed".
	ErrUnknown = errors.New("kv: outcome of the write is unknown")
	// ErrUnavailable is returned when a call certainly had no effect: it was
	// not sent, or it was a read.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrBudget is returned when the process's call budget is spent for the
	// call's priority. The call was not sent.
	ErrBudget = errors.New("kv: call budget exhausted")
	// ErrLeaseNotFound is returned for a lease that lapsed or was revoked.
	ErrLeaseNotFound = errors.New("kv: lease not found")
)

// LeaseID names a lease; 0 means no lease.
type LeaseID int64

// Record is one key with its value. Revision 0 means that the key is absent.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
}

// Write is one compare-and-swap. It takes effect only if the key's revision is
// Expected (0: the key is absent).
type Write struct {
	Key              string
	ExpectedRevision int64
	Value            []byte
	Delete           bool
	Lease            LeaseID
}

// Use names what a call is for; metrics and the call budget are kept per use.
type Use string

// The uses of the key-value service, highest priority first.
const (
	UseLease      Use = "lease"
	UseClaim      Use = "claim"
	UseHandover   Use = "handover"
	UseConfig     Use = "config"
	UseWeights    Use = "weights"
	UseQuarantine Use = "quarantine"
	UseStatus     Use = "status"
)

// Store is the key-value service as the rest of siskinloom sees it. All
// methods are safe for concurrent use.
type Store interface {
	// Get returns the record at key; an absent key has revision 0 and no error.
	Get(ctx context.Context, use Use, key string) (Record, error)
	// List returns the records whose keys start with prefix, sorted by key.
	List(ctx context.Context, use Use, prefix string) ([]Record, error)
	// CompareAndSwap carries out w. With swapped true, current is the record as
	// written, with its new revision. Swapped false with a nil error means that
	// another writer was first; current is then the record that stands. An
	// error that is ErrUnknown leaves the outcome open; with any other error
	// the write certainly had no effect.
	CompareAndSwap(ctx context.Context, use Use, w Write) (swapped bool, current Record, err error)
	// GrantLease creates a lease. Keys bound to it vanish when it lapses.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepLease renews a lease for its whole time to live.
	KeepLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch calls fn with changed records under prefix until ctx ends or the
	// watch breaks; a deleted key is told with revision 0.
	Watch(ctx context.Context, use Use, prefix string, fromRevision int64, fn func([]Record)) error
}
