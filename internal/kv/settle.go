package kv

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/policy/platform"
)

// Attempts to determine the outcome of a write whose response was lost, and the
// backoff between them.
const (
	settleAttempts       = 4
	settleInitialBackoff = 20 * time.Millisecond
	settleMaxBackoff     = 200 * time.Millisecond
)

// CompareAndSwap executes w. If the response is lost, it determines the outcome
// by reading the key and, if needed, repeating the write.
func (c *Client) CompareAndSwap(ctx context.Context, use Use, w Write) (bool, Record, error) {
	if len(w.Value) > MaxPayloadBytes {
		return false, Record{}, errors.Errorf("kv: value of %s has %d bytes, more than %d", w.Key, len(w.Value), MaxPayloadBytes)
	}
	request := &platformpb.CompareAndSwapRequest{
		Key:              w.Key,
		ExpectedRevision: w.ExpectedRevision,
		Delete:           w.Delete,
		LeaseId:          int64(w.Lease),
	}
	if !w.Delete {
		request.Value = wrap(c.options.Writer, rand.Uint64(), w.Value)
	}
	response, err := c.swap(ctx, use, request)
	if err == nil {
		current, err := decodeRecord(response.Current)
		return response.Swapped, current, err
	}
	if hadNoEffect(err) {
		return false, Record{}, writeError(err)
	}
	c.count("unsettled", use)
	return c.settle(ctx, use, request)
}

// swap sends one compare-and-swap and does not settle its outcome.
func (c *Client) swap(ctx context.Context, use Use, request *platformpb.CompareAndSwapRequest) (response *platformpb.CompareAndSwapResponse, err error) {
	err = c.call(ctx, use, func(ctx context.Context, kv platformpb.KeyValueClient) error {
		response, err = kv.CompareAndSwap(ctx, request)
		return err
	})
	return response, err
}

// settle determines the outcome of a write whose response was lost. A read that
// still returns the expected revision proves nothing, because the write may still
// be in transit. settle then sends the identical write again, with the same nonce:
// as soon as one of the two takes effect the revision has changed, so the other
// cannot take effect.
func (c *Client) settle(ctx context.Context, use Use, request *platformpb.CompareAndSwapRequest) (bool, Record, error) {
	for attempt := range settleAttempts {
		if !c.waitBackoff(ctx, attempt) {
			break
		}
		current, err := c.get(ctx, use, request.Key)
		if err != nil {
			continue
		}
		if current.Revision == request.ExpectedRevision && !(request.Delete && current.Revision == 0) {
			response, err := c.swap(ctx, use, request)
			if err != nil {
				continue
			}
			current = response.Current
			if response.Swapped {
				record, err := decodeRecord(current)
				return true, record, err
			}
		}
		return c.outcomeOf(use, request, current)
	}
	c.count("unknown", use)
	return false, Record{}, errors.Wrap(ErrUnknown, request.Key)
}

// outcomeOf returns the outcome of a write from the key's current record, whose
// revision is no longer the expected one.
func (c *Client) outcomeOf(use Use, request *platformpb.CompareAndSwapRequest, current *platformpb.Record) (bool, Record, error) {
	record, err := decodeRecord(current)
	if err != nil {
		return false, record, err
	}
	if request.Delete && current.Revision == 0 {
		return true, record, nil
	}
	if !request.Delete && bytes.Equal(current.Value, request.Value) {
		return true, record, nil
	}
	// The key holds another write. This one may have taken effect before and been
	// overwritten, which no read can tell any more.
	c.count("unknown", use)
	return false, record, errors.Wrap(ErrUnknown, request.Key)
}

// waitBackoff waits before the next attempt and reports false if ctx ended.
func (c *Client) waitBackoff(ctx context.Context, attempt int) bool {
	c.mu.Lock()
	wait := platform.Backoff(attempt, settleInitialBackoff, settleMaxBackoff, c.rnd)
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// hadNoEffect reports whether a failed write certainly had no effect.
func hadNoEffect(err error) bool {
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBudget) {
		return true
	}
	switch status.Code(err) {
	case codes.InvalidArgument, codes.NotFound, codes.ResourceExhausted, codes.FailedPrecondition:
		return true
	default:
		return false
	}
}

// writeError converts the error of a write that had no effect.
func writeError(err error) error {
	switch status.Code(err) {
	case codes.NotFound:
		return ErrLeaseNotFound
	case codes.InvalidArgument, codes.FailedPrecondition:
		return errors.Wrap(err, "kv: write refused")
	default:
		return asUnavailable(err)
	}
}
