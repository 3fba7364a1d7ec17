package storepath

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

// Operation identifies a method of the store.
type Operation int

// Methods of the store. Their numbers are sent; new ones are appended.
const (
	Read Operation = iota
	ReadPage
	Await
	Commit
	GrantLease
	KeepLease
	RevokeLease
	ReadStale
)

// Query is one call to the store as it is relayed to another process.
type Query struct {
	Operation   Operation
	Key         string         // key of Read and ReadStale; prefix of ReadPage and Await
	AfterKey    string         // of ReadPage: last key of the page before
	Revision    int64          // of Await: only later changes are returned
	Wait        time.Duration  // of Await
	Transaction kv.Transaction // of Commit
	TTL         time.Duration  // of GrantLease
	Lease       kv.LeaseID     // of KeepLease and RevokeLease
}

// repeatable reports whether the call may be made twice. A transaction may not: if it
// took effect, its own conditions fail the second time.
func (q *Query) repeatable() bool { return q.Operation != Commit }

// Result is the store's answer to a Query. Only the fields of the query's operation are
// set.
type Result struct {
	Record    kv.Record
	Page      kv.Page
	Changes   kv.Changes
	Committed kv.Committed
	Lease     kv.LeaseID
	TTL       time.Duration
}

// execute makes the call to the given store.
func execute(ctx context.Context, store kv.TransactionalStore, q *Query) (r Result, err error) {
	switch q.Operation {
	case Read:
		r.Record, err = store.Read(ctx, q.Key)
	case ReadStale:
		r.Record, err = store.ReadStale(ctx, q.Key)
	case ReadPage:
		r.Page, err = store.ReadPage(ctx, q.Key, q.AfterKey)
	case Await:
		r.Changes, err = store.Await(ctx, q.Key, q.Revision, q.Wait)
	case Commit:
		r.Committed, err = store.Commit(ctx, q.Transaction)
	case GrantLease:
		r.Lease, r.TTL, err = store.GrantLease(ctx, q.TTL)
	case KeepLease:
		err = store.KeepLease(ctx, q.Lease)
	case RevokeLease:
		err = store.RevokeLease(ctx, q.Lease)
	default:
		err = errors.Wrapf(kv.ErrUnavailable, "operation %d", q.Operation)
	}
	return r, err
}

// Code is the outcome of a call to the store as it is sent between processes.
type Code int

// Outcomes of a call.
const (
	Served Code = iota
	Unavailable
	Unknown
	LeaseNotFound
	HistoryGone
)

var codeErrors = map[Code]error{
	Unavailable: kv.ErrUnavailable, Unknown: kv.ErrUnknown, LeaseNotFound: kv.ErrLeaseNotFound, HistoryGone: kv.ErrHistoryGone,
}

// codeOf returns the code for an error of the store.
func codeOf(err error) Code {
	if err == nil {
		return Served
	}
	for code, known := range codeErrors {
		if errors.Is(err, known) {
			return code
		}
	}
	return Unknown // nothing is certain about an error of unknown kind
}

// answered reports whether the store itself answered, even with a refusal.
func answered(err error) bool {
	return err == nil || errors.Is(err, kv.ErrLeaseNotFound) || errors.Is(err, kv.ErrHistoryGone)
}
