package standin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinloom.example/siskinloom/internal/engineapi"
)

// PrefixBytes is the number of first bytes of a prompt whose xxhash identifies it in
// the engine's cache events.
const PrefixBytes = 128

const defaultMaxCachedPrefixes = 64

type cacheEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

// prefixCache keeps the most recently used prompt prefixes. The engine's mutex must
// be held to use it.
type prefixCache struct {
	limit        int
	dropInterval int
	used         []uint64 // least recently used first
	sequence     int64
	events       []cacheEvent
}

func newPrefixCache(limit, dropInterval int) *prefixCache {
	if limit == 0 {
		limit = defaultMaxCachedPrefixes
	}
	return &prefixCache{limit: limit, dropInterval: dropInterval}
}

func prefixOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// use records the use of a prompt and returns how many of its bytes need prefill.
func (c *prefixCache) use(prompt string, now time.Time) int {
	key := prefixOf(prompt)
	cached := c.touch(key)
	if cached {
		return max(0, len(prompt)-PrefixBytes) / 4 // most of the remaining prompt is cached too
	}
	c.addEvent(key, true, now)
	if len(c.used) > c.limit {
		c.addEvent(c.used[0], false, now)
		c.used = c.used[1:]
	}
	return len(prompt)
}

// touch marks key as the most recently used one and reports whether it was cached.
func (c *prefixCache) touch(key uint64) bool {
	for i, cached := range c.used {
		if cached == key {
			c.used = append(append(c.used[:i:i], c.used[i+1:]...), key)
			return true
		}
	}
	c.used = append(c.used, key)
	return false
}

func (c *prefixCache) addEvent(key uint64, stored bool, now time.Time) {
	c.sequence++
	if c.dropInterval > 0 && c.sequence%int64(c.dropInterval) == 0 {
		return
	}
	event := engineapi.CacheEvent{Sequence: c.sequence, Prefix: key, Stored: stored}
	c.events = append(c.events, cacheEvent{at: now, event: event})
}

// after returns the events after a sequence number whose age is at least lag.
func (c *prefixCache) after(sequence int64, lag time.Duration, now time.Time) []engineapi.CacheEvent {
	found := []engineapi.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && now.Sub(e.at) >= lag {
			found = append(found, e.event)
		}
	}
	return found
}
