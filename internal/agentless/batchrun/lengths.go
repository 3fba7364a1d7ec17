package batchrun

import (
	"sync"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// sharedLengths is the length estimator shared by a model's jobs, each of which has its own
// lock.
type sharedLengths struct {
	mu      sync.Mutex
	lengths *batch.LengthEstimator
}

func newSharedLengths() *sharedLengths { return &sharedLengths{lengths: batch.NewLengthEstimator()} }

// Observe implements batch.Estimator.
func (s *sharedLengths) Observe(item *batch.Item, events int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lengths.Observe(item, events)
}

// RemainingWork implements batch.Estimator.
func (s *sharedLengths) RemainingWork(item *batch.Item, generated int64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lengths.RemainingWork(item, generated)
}
