package standin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinloom.example/siskinloom/internal/engineapi"
)

// PrefixBytes is how much of a prompt the engine's cache events identify: they
// carry the xxhash of so many first bytes.
const PrefixBytes = 128

const defaultCachePrefixes = 64

type cacheEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

// prefixCache keeps the most recently used prompt prefixes. The engine's lock
// guards it.
type prefixCache struct {
	limit    int
	gap      int
	used     []uint64 // least recently used first
	sequence int64
	events   []cacheEvent
}

func newPrefixCache(limit, gap int) *prefixCache {
	if limit == 0 {
		limit = defaultCachePrefixes
	}
	return &prefixCache{limit: limit, gap: gap}
}

func prefixOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// use looks a prompt up, keeps it, and returns how many bytes need prefill.
func (c *prefixCache) use(prompt string, now time.Time) int {
	key := prefixOf(prompt)
	cached := c.touch(key)
	if cached {
		return max(0, len(prompt)-PrefixBytes) / 4 // most of the rest is cached too
	}
	c.tell(key, true, now)
	if len(c.used) > c.limit {
		c.tell(c.used[0], false, now)
		c.used = c.used[1:]
	}
	return len(prompt)
}

// touch makes key the most recently used and tells whether it was there.
func (c *prefixCache) touch(key uint64) bool {
	for i, have := range c.used {
		if have == key {
			c.used = append(append(c.used[:i:i], c.used[i+1:]...), key)
			return true
		}
	}
	c.used = append(c.used, key)
	return false
}

func (c *prefixCache) tell(key uint64, stored bool, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%int64(c.gap) == 0 {
		return
	}
	event := engineapi.CacheEvent{Sequence: c.sequence, Prefix: key, Stored: stored}
	c.events = append(c.events, cacheEvent{at: now, event: event})
}

// after returns the events past a sequence number that are at least lag old.
func (c *prefixCache) after(sequence int64, lag time.Duration, now time.Time) []engineapi.CacheEvent {
	found := []engineapi.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && now.Sub(e.at) >= lag {
			found = append(found, e.event)
		}
	}
	return found
}
