// Package kv defines the interfaces through which siskinloom uses the platform's
// key-value service: compare-and-swap, leases and watches over small values.
// Client implements Store over the published protocol of api/platform.proto.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the size limit of a value in the service, its envelope included.
const MaxValueBytes = 1 << 20

var (
	// ErrUnknown is returned when a write may or may not have taken effect: its
	// response was lost and no later read determined the outcome. It never means
	// that the write failed.
	ErrUnknown = errors.New("kv: outcome of the write is unknown")
	// ErrUnavailable is returned when a call certainly had no effect, because it
	// was not sent or was a read.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrBudget is returned when the process's call budget is exhausted at the
	// call's priority. The call was not sent.
	ErrBudget = errors.New("kv: call budget exhausted")
	// ErrLeaseNotFound is returned for a lease that has expired or was revoked.
	ErrLeaseNotFound = errors.New("kv: lease not found")
)

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Record is a key with its value. Revision 0 means that the key does not exist.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
}

// Write is a compare-and-swap. It takes effect only if the key's revision is
// ExpectedRevision; 0 means that the key must not exist.
type Write struct {
	Key              string
	ExpectedRevision int64
	Value            []byte
	Delete           bool
	Lease            LeaseID
}

// Use is the purpose of a call. Metrics are kept per use, and the use determines
// the call's priority in the call budget.
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

// Store is the interface to the key-value service. All methods are safe for
// concurrent use.
type Store interface {
	// Get returns the record at key. For a key that does not exist it returns a
	// record with revision 0 and no error.
	Get(ctx context.Context, use Use, key string) (Record, error)
	// List returns the records whose keys start with prefix, sorted by key.
	List(ctx context.Context, use Use, prefix string) ([]Record, error)
	// CompareAndSwap executes w. If swapped is true, current is the record as
	// written, with its new revision. If swapped is false and err is nil, the
	// write lost against another one and current is the stored record. If err is
	// ErrUnknown the write may have taken effect; with any other error it
	// certainly did not.
	CompareAndSwap(ctx context.Context, use Use, w Write) (swapped bool, current Record, err error)
	// GrantLease creates a lease. The keys attached to it are deleted when it
	// expires.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepLease renews a lease for its full TTL.
	KeepLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch calls fn with the changed records under prefix until ctx ends or the
	// watch fails. A deleted key is passed with revision 0.
	Watch(ctx context.Context, use Use, prefix string, fromRevision int64, fn func([]Record)) error
}
