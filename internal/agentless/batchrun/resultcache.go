package batchrun

import (
	"slices"
	"sync"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// maxCachedBytes limits the results that one process caches: the open steps of a few trainers
// and their last ones, at half a megabyte to a megabyte each.
const maxCachedBytes = 8 << 20

// resultCache caches the results that were read at this process; durable results never change.
// A job is read at every entry, by some readers repeatedly from its start. Without a cache
// these results were most of the bytes between failure domains. It is safe for concurrent use;
// the zero value is empty.
type resultCache struct {
	mu    sync.Mutex
	jobs  map[string]*cachedJob
	order []string // of jobs, least recently read first
	bytes int
}

type cachedJob struct {
	total   int            // items of the job
	results []batch.Result // from position 0 on
	bytes   int
}

// get returns the cached results from a position on, and the position after the last.
func (c *resultCache) get(id string, position int) (cached Reading, next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || position >= len(j.results) {
		return Reading{}, position
	}
	c.touch(id)
	return Reading{Total: j.total, Results: slices.Clip(j.results[position:])}, len(j.results)
}

// add caches results that continue the cached ones; results after a gap are ignored.
func (c *resultCache) add(id string, position int, r Reading) {
	results := r.Results
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		j = &cachedJob{}
	}
	if len(results) == 0 || position > len(j.results) || position+len(results) <= len(j.results) {
		return
	}
	if c.jobs == nil {
		c.jobs = map[string]*cachedJob{}
	}
	c.jobs[id] = j
	j.total = r.Total
	for _, r := range results[len(j.results)-position:] {
		j.results = append(j.results, r)
		size := sizeOfResult(&r)
		j.bytes += size
		c.bytes += size
	}
	c.touch(id)
	c.evict()
}

func (c *resultCache) touch(id string) {
	if at := slices.Index(c.order, id); at >= 0 {
		c.order = slices.Delete(c.order, at, at+1)
	}
	c.order = append(c.order, id)
}

func (c *resultCache) evict() {
	for c.bytes > maxCachedBytes && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.bytes -= c.jobs[oldest].bytes
		delete(c.jobs, oldest)
	}
}

func sizeOfResult(r *batch.Result) int {
	return len(r.Item) + len(r.Output) + len(r.Score) + 8*len(r.Versions) + 96
}
