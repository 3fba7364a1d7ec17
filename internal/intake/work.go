package intake

import (
	"context"
	"time"

	policy "siskinloom.example/siskinloom/internal/policy/intake"
)

// workShare is the share of a process's memory for what requests become while they are decoded and
// passed on, beside the bytes that arrived.
const workShare = 1.0 / 4

// FitsWork returns whether the process has as much memory for what requests become.
func FitsWork(ctx context.Context, bytes int64) bool {
	c := connFrom(ctx)
	return c == nil || bytes <= c.intake.workBytes
}

// AcquireWork waits for memory for what the request of ctx becomes. More than there is counts as all
// of it, so that a request of any size is served when it is alone. The error is ErrNoMemory if ctx
// ends first; otherwise release must be called.
func AcquireWork(ctx context.Context, bytes int64) (release func(), err error) {
	c := connFrom(ctx)
	if c == nil {
		return func() {}, nil
	}
	bytes = min(bytes, c.intake.workBytes)
	if err := c.intake.work.Acquire(ctx, bytes); err != nil {
		c.intake.count(noMemory)
		return nil, ErrNoMemory
	}
	return func() { c.intake.work.Release(bytes) }, nil
}

// ReleaseBody returns the memory of the body of the request of ctx, once nothing refers to it.
func ReleaseBody(ctx context.Context) {
	c := connFrom(ctx)
	if c == nil {
		return
	}
	c.intake.record(func(l *policy.Ledger, _ time.Time) { l.Release(c.id, c.bodyBytes) })
	c.bodyBytes = 0
}
