// Package periodic repeats work at a fixed pace.
package periodic

import (
	"context"
	"time"
)

// Run calls work every d until ctx ends; the first time after d.
func Run(ctx context.Context, d time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(d)
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
