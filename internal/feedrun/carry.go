package feedrun

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// carryLimit bounds how long a KV cache may travel.
	carryLimit = 30 * time.Second
	// carryPause is how long none travels after one did not arrive: engines that
	// do not export, or a link that is gone, are tried rarely.
	carryPause = time.Minute
	// carryWeight is how much one journey counts in the mean.
	carryWeight = 0.2
)

// assumedCarry is what the journey of a KV cache is taken to cost until one was
// seen.
var assumedCarry = rollout.MoveCost{Fixed: 200 * time.Millisecond, PerToken: 100 * time.Microsecond}

// importedCache is a KV cache that an engine holds for a sample's next attempt.
type importedCache struct {
	id      string
	version int64 // of the weights that computed its last part
}

// attemptMark tells one attempt at one engine from the next: the entry resumes a
// lost stream within an attempt, and a move begins another.
type attemptMark struct {
	stream string
	tries  int
}

// carryMeter estimates what the journey of a KV cache costs. It is safe for
// concurrent use.
type carryMeter struct {
	mu     sync.Mutex
	each   time.Duration // of a token; 0: none seen
	paused time.Time     // until then none travels
}

func (m *carryMeter) arrived(took time.Duration, tokens int) {
	each := max(0, took-assumedCarry.Fixed) / time.Duration(max(1, tokens))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.each == 0 {
		m.each = max(each, time.Nanosecond)
		return
	}
	m.each += time.Duration(carryWeight * float64(each-m.each))
}

func (m *carryMeter) failed(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = now.Add(carryPause)
}

// estimate returns the cost; zero: none may travel.
func (m *carryMeter) estimate(now time.Time) rollout.MoveCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case now.Before(m.paused):
		return rollout.MoveCost{}
	case m.each == 0:
		return assumedCarry
	default:
		return rollout.MoveCost{Fixed: assumedCarry.Fixed, PerToken: m.each}
	}
}

// carryTo has the sample go on at another engine with its KV cache. The sample
// runs on where it is until the cache has arrived. If the cache does not arrive,
// the other engine computes it anew.
func (r *run) carryTo(to, source string) {
	r.mu.Lock()
	attempt := attemptMark{stream: r.stream, tries: r.tries}
	tokens := r.tokens.Len()
	r.mu.Unlock()
	cache := importedCache{id: ulid.Make().String()}
	began := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, carryLimit)
	defer cancel()
	reply, err := r.owner.options.Caches.ImportCache(ctx, to, wire.ImportRequest{
		Cache: cache.id, Source: source, Request: attempt.stream, Remaining: carryLimit,
	})
	if r.ctx.Err() != nil {
		return // the sample is whole, or nobody wants it any more
	}
	if err != nil || !reply.Imported {
		r.generation.carry.failed(time.Now())
		r.owner.counter("cache.failed").Inc(1)
		r.goOnAt(to, attempt, importedCache{})
		return
	}
	r.generation.carry.arrived(time.Since(began), len(r.prompt)/charsPerToken+tokens)
	r.owner.counter("cache.imported").Inc(1)
	cache.version = reply.Version
	r.goOnAt(to, attempt, cache)
}

// goOnAt ends an attempt so that generate goes on at another engine. An attempt
// that was lost meanwhile has been resumed elsewhere, and is left there.
func (r *run) goOnAt(to string, attempt attemptMark, cache importedCache) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (attemptMark{stream: r.stream, tries: r.tries}) != attempt || r.moving {
		return
	}
	if r.made(cache.version) {
		r.cache = cache
	}
	r.moveLocked(to)
}

// made tells whether a version made any token so far. A cache of one that made
// none, as after a swap between the last token and the export, would shape the
// next tokens without being in the labels: the sample would look fresher than it
// is. Such a cache is left unused.
func (r *run) made(version int64) bool {
	for _, segment := range r.builder.Segments() {
		if segment.Version == version {
			return true
		}
	}
	return false
}
