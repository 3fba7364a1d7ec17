// Package memlimit keeps a process within the memory of its machine.
package memlimit

import "runtime/debug"

// heapRatio is the share of the machine's memory that is set as the soft memory limit, so that the
// garbage collector works harder before the process is killed.
const heapRatio = 0.6

// Set sets the soft memory limit of a process that may use so many bytes; 0: no limit.
func Set(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapRatio * float64(bytes)))
	}
}
