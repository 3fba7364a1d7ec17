package weights

import "time"

const (
	// ChunkHoldTimeout is how long an agent keeps a question for a chunk that it has not
	// got yet: long enough for the chunk to come down the tree, short enough that
	// the asker does not wait behind an agent that fell silent further up.
	ChunkHoldTimeout = time.Second
	// ChunkRequestTimeout is how long an agent waits for an answer to such a question.
	ChunkRequestTimeout = 3 * time.Second
)

// fetchWindow is how many chunks an agent asks each of its sources for at once.
// Two keep a link busy while one answer is on its way.
const fetchWindow = 2

// storeAttempts is how often the store is asked for a chunk before the fetch is
// given up, to be ordered again.
const storeAttempts = 8

// StoreSource is the source that stands for the weight store.
const StoreSource = ""

// ChunkSource is one chunk to ask a source for.
type ChunkSource struct {
	Index  int
	Source string // address of an agent, or Store
}

// FetchPlan decides which chunk an agent asks for where. Chunk i comes from source i
// modulo their number, in order, so that the sources serve disjoint stripes. A
// chunk that a source fails to give moves on to the next source and at last to
// the store, so that an agent that dies costs its children a detour, not the
// version; the store is last because it alone cannot serve a fleet. A source that
// failed is passed over for the chunks after it: an agent that fell silent would
// otherwise cost its time limit again and again.
type FetchPlan struct {
	sources []string
	state   []pieceState
	held    int
	asked   map[string]int // outstanding by source
	failed  map[string]bool
}

type pieceState struct {
	held   bool
	asked  bool
	misses int
}

// NewFetchPlan returns the fetch of a version of so many chunks. No sources means
// the store.
func NewFetchPlan(chunks int, sources []string) *FetchPlan {
	if len(sources) == 0 {
		sources = []string{StoreSource}
	}
	return &FetchPlan{sources: sources, state: make([]pieceState, chunks), asked: map[string]int{}, failed: map[string]bool{}}
}

// Next returns the pieces to ask for now; each must end in Got or Missed. It
// returns none any more once a chunk was asked for everywhere in vain.
func (f *FetchPlan) Next() []ChunkSource {
	var out []ChunkSource
	for i := range f.state {
		s := &f.state[i]
		source := f.source(i)
		if s.misses >= len(f.sources)+storeAttempts {
			return nil
		}
		if s.held || s.asked || f.asked[source] >= fetchWindow {
			continue
		}
		s.asked = true
		f.asked[source]++
		out = append(out, ChunkSource{Index: i, Source: source})
	}
	return out
}

func (f *FetchPlan) source(i int) string {
	misses := f.state[i].misses
	if misses >= len(f.sources) {
		return StoreSource
	}
	for k := range f.sources {
		source := f.sources[(i+misses+k)%len(f.sources)]
		if !f.failed[source] {
			return source
		}
	}
	return f.sources[(i+misses)%len(f.sources)]
}

// MarkReceived notes that a piece arrived.
func (f *FetchPlan) MarkReceived(p ChunkSource) {
	s := &f.state[p.Index]
	s.asked = false
	f.asked[p.Source]--
	if !s.held {
		s.held = true
		f.held++
	}
}

// MarkFailed notes that a source did not give a piece.
func (f *FetchPlan) MarkFailed(p ChunkSource) {
	s := &f.state[p.Index]
	s.asked = false
	s.misses++
	f.asked[p.Source]--
	f.failed[p.Source] = p.Source != StoreSource
}

// Done tells whether every chunk is held.
func (f *FetchPlan) Done() bool { return f.held == len(f.state) }
