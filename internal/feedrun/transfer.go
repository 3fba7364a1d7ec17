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
	// transferTimeout limits the duration of a KV cache transfer.
	transferTimeout = 30 * time.Second
	// transferBackoff is how long no transfers are made after one failed, so
	// that engines that don't export or a broken link are retried rarely.
	transferBackoff = time.Minute
	// transferSmoothing is the weight of one transfer in the exponential moving
	// average.
	transferSmoothing = 0.2
)

// defaultTransferCost is the assumed cost of a KV cache transfer until one has
// been measured.
var defaultTransferCost = rollout.MoveCost{Fixed: 200 * time.Millisecond, PerToken: 100 * time.Microsecond}

// importedCache is a KV cache that an engine holds for a sample's next attempt.
type importedCache struct {
	id      string
	version int64 // weight version that computed its last part
}

// attemptID identifies an attempt at one engine. The stream changes if the
// entry resumes a lost stream within an attempt; a move starts a new attempt.
type attemptID struct {
	stream   string
	attempts int
}

// transferEstimator estimates the cost of a KV cache transfer. It is safe for
// concurrent use.
type transferEstimator struct {
	mu             sync.Mutex
	perToken       time.Duration // 0: not measured yet
	suspendedUntil time.Time     // no transfers are made until then
}

// observe records the duration of a successful transfer.
func (m *transferEstimator) observe(duration time.Duration, tokens int) {
	perToken := max(0, duration-defaultTransferCost.Fixed) / time.Duration(max(1, tokens))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.perToken == 0 {
		m.perToken = max(perToken, time.Nanosecond)
		return
	}
	m.perToken += time.Duration(transferSmoothing * float64(perToken-m.perToken))
}

// suspend suspends transfers for transferBackoff after a failed one.
func (m *transferEstimator) suspend(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspendedUntil = now.Add(transferBackoff)
}

// estimate returns the cost, or the zero value if transfers are suspended.
func (m *transferEstimator) estimate(now time.Time) rollout.MoveCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case now.Before(m.suspendedUntil):
		return rollout.MoveCost{}
	case m.perToken == 0:
		return defaultTransferCost
	default:
		return rollout.MoveCost{Fixed: defaultTransferCost.Fixed, PerToken: m.perToken}
	}
}

// transferTo moves the sample with its KV cache to another engine. The sample
// keeps running at its engine until the cache has arrived. If the transfer
// fails, the other engine recomputes the cache.
func (r *run) transferTo(to, source string) {
	r.mu.Lock()
	attempt := attemptID{stream: r.stream, attempts: r.attempts}
	tokens := r.tokens.Len()
	r.mu.Unlock()
	cache := importedCache{id: ulid.Make().String()}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, transferTimeout)
	defer cancel()
	reply, err := r.owner.options.Caches.ImportCache(ctx, to, wire.ImportRequest{
		Cache: cache.id, Source: source, Request: attempt.stream, Remaining: transferTimeout,
	})
	if r.ctx.Err() != nil {
		return // the sample is complete or no longer needed
	}
	if err != nil || !reply.Imported {
		r.generation.transferCost.suspend(time.Now())
		r.owner.counter("cache.failed").Inc(1)
		r.resumeAt(to, attempt, importedCache{})
		return
	}
	r.generation.transferCost.observe(time.Since(startedAt), len(r.prompt)/charsPerToken+tokens)
	r.owner.counter("cache.imported").Inc(1)
	cache.version = reply.Version
	r.resumeAt(to, attempt, cache)
}

// resumeAt ends an attempt so that generate resumes at another engine. If the
// attempt was lost meanwhile, it has already been resumed elsewhere and stays
// there.
func (r *run) resumeAt(to string, attempt attemptID, cache importedCache) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (attemptID{stream: r.stream, attempts: r.attempts}) != attempt || r.moving {
		return
	}
	if r.hasTokensOf(cache.version) {
		r.nextCache = cache
	}
	r.moveLocked(to)
}

// hasTokensOf reports whether a weight version generated any token so far. If a
// swap took place between the last token and the export, the cache is of a
// version that generated none. It would influence the next tokens without being
// in the labels, so that the sample would look fresher than it is. Such a cache
// is not used.
func (r *run) hasTokensOf(version int64) bool {
	for _, segment := range r.builder.Segments() {
		if segment.Version == version {
			return true
		}
	}
	return false
}
