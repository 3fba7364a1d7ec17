package ctl

import (
	"context"
	"time"
)

// ReadLoadFailures returns the failures of reading the reports of processes.
func ReadLoadFailures(ctx context.Context, timeout time.Duration, processes ...string) []string {
	_, failures := readLoads(ctx, timeout, processes)
	return failures
}
