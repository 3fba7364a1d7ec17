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

// Parameters of settling a write whose answer was lost.
const (
	settleAttempts = 4
	settleFirst    = 20 * time.Millisecond
	settleLongest  = 200 * time.Millisecond
)

// CompareAndSwap carries out w and settles it if its answer is lost.
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
		current, err := opened(response.Current)
		return response.Swapped, current, err
	}
	if certain(err) {
		return false, Record{}, writeError(err)
	}
	c.count("unsettled", use)
	return c.settle(ctx, use, request)
}

func (c *Client) swap(ctx context.Context, use Use, request *platformpb.CompareAndSwapRequest) (response *platformpb.CompareAndSwapResponse, err error) {
	err = c.call(ctx, use, func(ctx context.Context, kv platformpb.KeyValueClient) error {
		response, err = kv.CompareAndSwap(ctx, request)
		return err
	})
	return response, err
}

// settle finds out what became of a write whose answer was lost. A read that
// still shows the old revision proves nothing: the write may be on its way. So
// the very same write is sent again, with its nonce; once either has taken
// effect the revision has moved and the other cannot.
func (c *Client) settle(ctx context.Context, use Use, request *platformpb.CompareAndSwapRequest) (bool, Record, error) {
	for attempt := range settleAttempts {
		if !c.pause(ctx, attempt) {
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
				record, err := opened(current)
				return true, record, err
			}
		}
		return c.settled(use, request, current)
	}
	c.count("unknown", use)
	return false, Record{}, errors.Wrap(ErrUnknown, request.Key)
}

// settled judges a record that has moved on from the write's expected revision.
func (c *Client) settled(use Use, request *platformpb.CompareAndSwapRequest, current *platformpb.Record) (bool, Record, error) {
	record, err := opened(current)
	if err != nil {
		return false, record, err
	}
	if request.Delete && current.Revision == 0 {
		return true, record, nil
	}
	if !request.Delete && bytes.Equal(current.Value, request.Value) {
		return true, record, nil
	}
	// Another write stands. This one may have taken effect before it and been
	// written over, and no read can tell that any more.
	c.count("unknown", use)
	return false, record, errors.Wrap(ErrUnknown, request.Key)
}

func (c *Client) pause(ctx context.Context, attempt int) bool {
	c.mu.Lock()
	wait := platform.Backoff(attempt, settleFirst, settleLongest, c.rnd)
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

// certain tells whether a failed write certainly had no effect.
func certain(err error) bool {
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

func writeError(err error) error {
	switch status.Code(err) {
	case codes.NotFound:
		return ErrLeaseNotFound
	case codes.InvalidArgument, codes.FailedPrecondition:
		return errors.Wrap(err, "kv: write refused")
	default:
		return noEffect(err)
	}
}
