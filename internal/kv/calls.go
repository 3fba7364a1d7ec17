package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/platformpb"
)

// Get returns the record at key.
func (c *Client) Get(ctx context.Context, use Use, key string) (Record, error) {
	record, err := c.get(ctx, use, key)
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(record)
}

// get returns the record with its value still in the envelope.
func (c *Client) get(ctx context.Context, use Use, key string) (*platformpb.Record, error) {
	var response *platformpb.GetResponse
	err := c.call(ctx, use, func(ctx context.Context, kv platformpb.KeyValueClient) (err error) {
		response, err = kv.Get(ctx, &platformpb.GetRequest{Key: key})
		return err
	})
	return response.GetRecord(), asUnavailable(err)
}

// List returns the records whose keys start with prefix, sorted by key.
func (c *Client) List(ctx context.Context, use Use, prefix string) ([]Record, error) {
	var response *platformpb.ListResponse
	err := c.call(ctx, use, func(ctx context.Context, kv platformpb.KeyValueClient) (err error) {
		response, err = kv.List(ctx, &platformpb.ListRequest{Prefix: prefix})
		return err
	})
	if err != nil {
		return nil, asUnavailable(err)
	}
	return decodeRecords(response.Records)
}

// GrantLease creates a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var granted *platformpb.LeaseResponse
	err := c.call(ctx, UseLease, func(ctx context.Context, kv platformpb.KeyValueClient) (err error) {
		granted, err = kv.GrantLease(ctx, &platformpb.GrantLeaseRequest{TtlMs: ttl.Milliseconds()})
		return err
	})
	return LeaseID(granted.GetLeaseId()), leaseError(err)
}

// KeepLease renews a lease.
func (c *Client) KeepLease(ctx context.Context, id LeaseID) error {
	err := c.call(ctx, UseLease, func(ctx context.Context, kv platformpb.KeyValueClient) error {
		_, err := kv.KeepLease(ctx, &platformpb.LeaseRequest{LeaseId: int64(id)})
		return err
	})
	return leaseError(err)
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	err := c.call(ctx, UseLease, func(ctx context.Context, kv platformpb.KeyValueClient) error {
		_, err := kv.RevokeLease(ctx, &platformpb.LeaseRequest{LeaseId: int64(id)})
		return err
	})
	return leaseError(err)
}

// Watch calls fn with the changed records until ctx ends, the watch fails or has
// run for Options.MaxWatchDuration. The limit makes callers reopen their watches
// regularly, so that a watch does not stay forever on a connection that has gone
// silent.
func (c *Client) Watch(ctx context.Context, use Use, prefix string, fromRevision int64, fn func([]Record)) error {
	conn, err := c.admit(ctx, use)
	if err != nil {
		return err
	}
	c.count("watches", use)
	// A context deadline would be sent to the service, which could then end the
	// watch slightly earlier by its own clock; that would look like a failed watch.
	ctx, cancel := context.WithCancel(withUse(ctx, use))
	defer cancel()
	defer time.AfterFunc(c.options.MaxWatchDuration, cancel).Stop()
	stream, err := platformpb.NewKeyValueClient(conn).Watch(ctx, &platformpb.WatchRequest{Prefix: prefix, FromRevision: fromRevision})
	if err != nil {
		return asUnavailable(err)
	}
	for {
		changed, err := stream.Recv()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return asUnavailable(err)
		}
		records, err := decodeRecords(changed.Records)
		if err != nil {
			return err
		}
		fn(records)
	}
}

// decodeRecord returns the record with its value taken out of the envelope.
func decodeRecord(r *platformpb.Record) (Record, error) {
	payload, err := unwrap(r.GetValue())
	if err != nil {
		return Record{}, errors.Wrap(err, r.GetKey())
	}
	return Record{Key: r.GetKey(), Value: payload, Revision: r.GetRevision(), Lease: LeaseID(r.GetLeaseId())}, nil
}

func decodeRecords(encoded []*platformpb.Record) ([]Record, error) {
	records := make([]Record, 0, len(encoded))
	for _, r := range encoded {
		record, err := decodeRecord(r)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// asUnavailable converts the error of a call that had no effect to
// ErrUnavailable, and returns ErrUnavailable and ErrBudget unchanged.
func asUnavailable(err error) error {
	if err == nil || errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBudget) {
		return err
	}
	return errors.Wrap(ErrUnavailable, status.Convert(err).Message())
}

// leaseError converts the error of a lease call.
func leaseError(err error) error {
	if status.Code(err) == codes.NotFound {
		return ErrLeaseNotFound
	}
	return asUnavailable(err)
}
