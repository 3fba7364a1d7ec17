package weights

import "time"

const (
	// ChunkHoldTimeout is how long an agent holds a request for a chunk that it has not
	// received yet. It is long enough for the chunk to arrive through the distribution
	// tree, and short enough that the requester does not wait long if an agent higher up
	// in the tree does not respond.
	ChunkHoldTimeout = time.Second
	// ChunkRequestTimeout is how long an agent waits for the answer to such a request.
	ChunkRequestTimeout = 3 * time.Second
)

// maxRequestsPerSource is the number of concurrent chunk requests to one source. With two,
// the link stays busy while one answer is in transit.
const maxRequestsPerSource = 2

// maxStoreAttempts is the number of requests to the store for a chunk after which the fetch
// fails. The rollout then orders it again.
const maxStoreAttempts = 8

// StoreSource is the source address that denotes the weight store.
const StoreSource = ""

// ChunkSource is a chunk and the source to request it from.
type ChunkSource struct {
	Index  int    // of the chunk in the version
	Source string // address of an agent, or StoreSource
}

// FetchPlan decides from which source an agent requests each chunk of a version. Chunk i
// is assigned to source i modulo the number of sources, in order, so that the sources
// serve disjoint stripes. If a source fails to deliver a chunk, the next source is tried,
// and finally the weight store. So the loss of an agent delays its children but does not
// make the version fail. The store comes last because it cannot serve all agents by
// itself. After its first failure a source is skipped for other chunks as long as there
// are other sources, because an unresponsive agent would otherwise cost a timeout for
// each of them.
type FetchPlan struct {
	sources     []string
	chunks      []chunkState
	received    int             // number of chunks
	outstanding map[string]int  // requests in flight by source
	failed      map[string]bool // sources that failed to deliver a chunk; never the store
}

type chunkState struct {
	received  bool
	requested bool // a request is in flight
	failures  int  // failed requests
}

// NewFetchPlan returns the plan for a version with the given number of chunks. If sources
// is empty, all chunks come from the store.
func NewFetchPlan(chunks int, sources []string) *FetchPlan {
	if len(sources) == 0 {
		sources = []string{StoreSource}
	}
	return &FetchPlan{sources: sources, chunks: make([]chunkState, chunks), outstanding: map[string]int{}, failed: map[string]bool{}}
}

// Next returns the chunks to request now. Each must be reported by MarkReceived or
// MarkFailed. Once all sources and all attempts at the store have failed for a chunk, Next
// returns nil.
func (f *FetchPlan) Next() []ChunkSource {
	var out []ChunkSource
	for i := range f.chunks {
		s := &f.chunks[i]
		source := f.source(i)
		if s.failures >= len(f.sources)+maxStoreAttempts {
			return nil
		}
		if s.received || s.requested || f.outstanding[source] >= maxRequestsPerSource {
			continue
		}
		s.requested = true
		f.outstanding[source]++
		out = append(out, ChunkSource{Index: i, Source: source})
	}
	return out
}

// source returns the source to request chunk i from next.
func (f *FetchPlan) source(i int) string {
	failures := f.chunks[i].failures
	if failures >= len(f.sources) {
		return StoreSource
	}
	for k := range f.sources {
		source := f.sources[(i+failures+k)%len(f.sources)]
		if !f.failed[source] {
			return source
		}
	}
	return f.sources[(i+failures)%len(f.sources)]
}

// MarkReceived records that a chunk was received.
func (f *FetchPlan) MarkReceived(c ChunkSource) {
	s := &f.chunks[c.Index]
	s.requested = false
	f.outstanding[c.Source]--
	if !s.received {
		s.received = true
		f.received++
	}
}

// MarkFailed records that a source failed to deliver a chunk.
func (f *FetchPlan) MarkFailed(c ChunkSource) {
	s := &f.chunks[c.Index]
	s.requested = false
	s.failures++
	f.outstanding[c.Source]--
	f.failed[c.Source] = c.Source != StoreSource
}

// Done reports whether every chunk was received.
func (f *FetchPlan) Done() bool { return f.received == len(f.chunks) }
