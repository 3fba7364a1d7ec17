package node

import (
	"context"
	"sync"
	"time"
)

// startWait bounds how long a caller is kept by a process that has just started. It
// knows the fleet within a tenth of a second, or a scout or the store keeps it from
// that.
const startWait = 500 * time.Millisecond

// starting keeps callers of a process that has just started until it can serve them.
// After a kill of all processes the first callers come back to the moment at which
// the addresses answer again; refused, they have used up a try within milliseconds of
// being served. The zero value is not ready to be used; see newStarting.
type starting struct {
	ready chan struct{}
	once  sync.Once
}

func newStarting() *starting { return &starting{ready: make(chan struct{})} }

// done lets the callers on.
func (s *starting) done() { s.once.Do(func() { close(s.ready) }) }

// await returns once the process is ready, the caller leaves or has waited for so long.
func (s *starting) await(ctx context.Context, limit time.Duration) {
	select {
	case <-s.ready:
		return
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.ready:
	case <-ctx.Done():
	case <-timer.C:
	}
}
