package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone is returned by a watch whose starting revision the service no
// longer keeps; list the prefix anew.
var ErrHistoryGone = errors.New("kv: history is no longer kept")

// MaxTransactionEntries bounds the expectations, puts and removals of a
// transaction together.
const MaxTransactionEntries = 32

// Expectation is a condition of a transaction: the key's revision, 0 for a key
// that must be absent.
type Expectation struct {
	Key      string
	Revision int64
}

// Put is one key written by a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction takes effect as a whole or not at all.
type Transaction struct {
	Expect []Expectation
	Puts   []Put
	Remove []string
}

// Committed is the answer to a transaction.
type Committed struct {
	Done     bool  // the conditions held and everything was written
	Revision int64 // of everything written
}

// Page is a part of a listing.
type Page struct {
	Records   []Record
	Truncated bool  // more follow after the last key
	AsOf      int64 // the service's revision
}

// Change is one change that a watch tells.
type Change struct {
	Record  Record
	Deleted bool
}

// Changes are what a watch heard; continue from AsOf.
type Changes struct {
	Changes []Change
	AsOf    int64
}

// TransactionalStore is a key-value service with transactions, listings by page and watches
// that continue from a revision. A write that returns ErrUnknown may have taken
// effect, or may yet as long as its conditions hold; ErrUnavailable means it
// certainly will not. All methods are safe for concurrent use.
type TransactionalStore interface {
	// Read returns the record at key; an absent key has revision 0 and no error.
	Read(ctx context.Context, key string) (Record, error)
	// ReadPage returns records of the prefix whose keys sort after the given one.
	ReadPage(ctx context.Context, prefix, after string) (Page, error)
	// Await returns changes under the prefix after a revision, or none once wait
	// is over; ErrHistoryGone if they are no longer kept.
	Await(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit carries out a transaction. ErrLeaseNotFound: a put names a lease
	// that ended, nothing was written.
	Commit(ctx context.Context, t Transaction) (Committed, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	KeepLease(ctx context.Context, id LeaseID) error
	RevokeLease(ctx context.Context, id LeaseID) error
}

// ReadAll reads every page of a prefix. AsOf is that of the first page, so that
// a watch from there misses nothing.
func ReadAll(ctx context.Context, s TransactionalStore, prefix string) (Page, error) {
	var all Page
	after := ""
	for {
		page, err := s.ReadPage(ctx, prefix, after)
		if err != nil {
			return Page{}, err
		}
		if after == "" {
			all.AsOf = page.AsOf
		}
		all.Records = append(all.Records, page.Records...)
		if !page.Truncated || len(page.Records) == 0 {
			return all, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
