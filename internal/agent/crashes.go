package agent

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

// crashTracker records which requests ran when the endpoint crashed, and which
// requests are in quarantine. It is safe for concurrent use.
type crashTracker struct {
	endpoint string // ID of this agent

	mu          sync.Mutex
	registry    *poison.Registry
	suspects    []wire.Suspicion // of crashes within suspicionTTL
	lastCrashAt time.Time        // when the last crash was noticed
	lastBatch   int              // distinct requests that ran during the last crash
	running     map[poison.ID]int
}

func newCrashTracker(endpoint string) *crashTracker {
	return &crashTracker{endpoint: endpoint, registry: poison.New(poison.DefaultConfig(), endpoint), running: map[poison.ID]int{}}
}

func poisonID(req wire.Request) poison.ID {
	return poison.ID{Service: req.Service, Fingerprint: req.Fingerprint}
}

// begin records that a request is sent to the endpoint. A call of end must
// follow.
func (c *crashTracker) begin(req wire.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[poisonID(req)]++
}

func (c *crashTracker) end(req wire.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := poisonID(req)
	if c.running[id]--; c.running[id] <= 0 {
		delete(c.running, id)
	}
}

// distinctRunning returns the number of distinct requests that are running.
// Copies of one request count once, because entries consider a crash complete
// once they know as many fingerprints as its batch.
func (c *crashTracker) distinctRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// recordCrash records that the endpoint broke off a request that started at
// startedAt while the given number of distinct requests were running, and
// returns the crash. The requests of one crash break off one after the other,
// so a request that started before the last crash was noticed belongs to that
// crash and gets its batch. If each counted only what still runs, the last one
// would seem to have been alone.
func (c *crashTracker) recordCrash(now, startedAt time.Time, req wire.Request, running int) wire.Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastCrashAt.IsZero() || startedAt.After(c.lastCrashAt) {
		c.lastCrashAt = now
		c.lastBatch = max(1, running)
	}
	crash := wire.Suspicion{
		Fingerprint: req.Fingerprint,
		Service:     req.Service,
		Endpoint:    c.endpoint,
		Batch:       c.lastBatch,
		UnixMilli:   c.lastCrashAt.UnixMilli(),
		Crash:       c.lastCrashAt.UnixNano(),
	}
	c.suspects = append(c.suspects, crash)
	return crash
}

// recent returns the suspicions within suspicionTTL, for heartbeats.
func (c *crashTracker) recent(now time.Time) []wire.Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := now.Add(-suspicionTTL).UnixMilli()
	kept := c.suspects[:0]
	for _, s := range c.suspects {
		if s.UnixMilli >= limit {
			kept = append(kept, s)
		}
	}
	c.suspects = kept
	return append([]wire.Suspicion(nil), kept...)
}

// mergeQuarantine merges an entry's quarantine list and returns all known
// entries of it, so that entries learn the quarantine from the agents after a
// restart.
func (c *crashTracker) mergeQuarantine(now time.Time, entries []wire.QuarantineEntry) []wire.QuarantineEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Merge(now, entries)
	return c.registry.List(now)
}

// isQuarantined reports whether the request is in quarantine.
func (c *crashTracker) isQuarantined(now time.Time, req wire.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Verdict(now, poisonID(req)) == poison.Blocked
}
