// Package periodic calls a function at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls work at each interval until ctx ends. The first call is after one
// interval.
func Run(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		work(time.Now())
	}
}
