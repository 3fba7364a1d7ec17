package agent

import (
	"sync"

	"siskinloom.example/siskinloom/internal/wire"
)

// fenceTable keeps the highest epoch seen of every duty. A holder that was
// paused past the end of its lease still uses its old epoch. Its requests are
// refused here, even if the endpoint itself ignores fencing tokens.
type fenceTable struct {
	mu     sync.Mutex
	epochs map[string]int64
}

func newFenceTable() *fenceTable {
	return &fenceTable{epochs: map[string]int64{}}
}

// accept records a fence and reports whether it is current.
func (f *fenceTable) accept(fence wire.Fence) bool {
	if fence.Duty == "" {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if fence.Epoch < f.epochs[fence.Duty] {
		return false
	}
	f.epochs[fence.Duty] = fence.Epoch
	return true
}

// observe records epochs received with a heartbeat.
func (f *fenceTable) observe(all []wire.Fence) {
	for _, fence := range all {
		f.accept(fence)
	}
}
