package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone is returned by a watch that starts at a revision whose history
// the service no longer keeps. The caller has to list the prefix again.
var ErrHistoryGone = errors.New("kv: history is no longer kept")

// MaxTransactionEntries limits the total number of expectations, puts and removals
// of a transaction.
const MaxTransactionEntries = 32

// Expectation is a condition of a transaction: the key has the given revision. 0
// means that the key must not exist.
type Expectation struct {
	Key      string
	Revision int64
}

// Put is a key written by a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is a set of writes that take effect atomically, if all expectations
// hold.
type Transaction struct {
	Expect []Expectation
	Puts   []Put
	Remove []string // keys to delete
}

// Committed is the result of a transaction.
type Committed struct {
	Done     bool  // the expectations held and everything was written
	Revision int64 // of all keys written
}

// Page is one page of a listing.
type Page struct {
	Records   []Record
	Truncated bool  // more records follow the last one
	AsOf      int64 // revision of the service at the time of the read
}

// Change is one change returned by a watch.
type Change struct {
	Record  Record
	Deleted bool
}

// Changes is the result of one watch call. The next call continues from AsOf.
type Changes struct {
	Changes []Change
	AsOf    int64
}

// TransactionalStore is a key-value service with transactions, paged listings and
// watches that resume from a revision. A write that returns ErrUnknown may have
// taken effect, or may still take effect as long as its expectations hold. A write
// that returns ErrUnavailable has not and will not take effect. All methods are
// safe for concurrent use.
type TransactionalStore interface {
	// Read returns the record at key. For a key that does not exist it returns a
	// record with revision 0 and no error.
	Read(ctx context.Context, key string) (Record, error)
	// ReadStale is Read, but the record may be some seconds old. It costs the
	// service little.
	ReadStale(ctx context.Context, key string) (Record, error)
	// ReadPage returns records under the prefix whose keys sort after the given
	// key.
	ReadPage(ctx context.Context, prefix, after string) (Page, error)
	// Await blocks until there are changes under the prefix after a revision, and
	// returns them, or none after wait has passed. It returns ErrHistoryGone if
	// the service no longer keeps them.
	Await(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit executes a transaction. It returns ErrLeaseNotFound, and writes
	// nothing, if a put names a lease that has ended.
	Commit(ctx context.Context, t Transaction) (Committed, error)
	// GrantLease creates a lease and returns its ID and the TTL that the service
	// granted, which may be shorter than ttl. The keys attached to the lease are
	// deleted when it expires.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepLease renews a lease for its full TTL.
	KeepLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// ReadAll reads all pages of a prefix. The result has the AsOf of the first page,
// so that a watch from that revision misses no change.
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
