package standin

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
)

// prefillChars is how much prompt text one step of prefill takes in.
const prefillChars = 512

// finish reasons of a choice.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// EngineOptions describes a batching engine. Zero values give a fast engine
// without lag or faults.
type EngineOptions struct {
	Model                  string
	Version                int64
	Slots                  int           // requests in the batch at most; 0: 8
	StepTime               time.Duration // of an empty batch; 0: 1 ms
	StepTimePerRequest     time.Duration // added by each request in the batch
	LoadReportLag          time.Duration // age of the load report
	CacheEventLag          time.Duration // age of the cache events
	CacheEventDropInterval int           // every such cache event is lost; 0: none
	CachePrefixes          int           // prompt prefixes kept; 0: 64
	Fencing                bool          // refuse orders with an old fencing number
	LoadTime               time.Duration // time that loading a version takes
	FailLoads              int           // loads that fail before one succeeds
	KVBytes                int           // of KV cache for each byte of context; 0: 1
	RefuseImports          bool          // take no KV cache
	PoisonText             string        // a prompt with this text crashes the engine; empty: none
	OnCrash                func()        // called once the connections are cut
}

type generation struct {
	request  engineapi.CompletionRequest
	arrived  int64
	prefill  int // steps before the first token
	position int // of the next token
	length   int
	segments []engineapi.Segment
	made     strings.Builder           // text since the request came
	events   chan engineapi.Completion // closed after the last
}

// Engine is a batching engine. It is safe for concurrent use.
type Engine struct {
	options EngineOptions
	server  *fasthttp.Server

	mu       sync.Mutex
	listener *listener
	version  int64
	adapters map[string]int64
	role     string

	weightsRead int // bytes, from the agent
	loading     int // version loads in progress; no token is made meanwhile
	arrivals    int64
	waiting     []*generation
	running     []*generation
	runs        map[string]int // generations begun by request id
	versions    []int64        // in the order they came into force
	fences      map[string]int64
	failLoads   int
	loads       []loadSample // oldest first, for the lagging report
	cache       *prefixCache
	imports     *importedCaches
	prefilled   map[string]int // bytes of context computed, by request id
	stopped     chan struct{}
}

type loadSample struct {
	at   time.Time
	load engineapi.Load
}

// NewEngine returns an engine that does not listen yet.
func NewEngine(o EngineOptions) *Engine {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.StepTime == 0 {
		o.StepTime = time.Millisecond
	}
	e := &Engine{
		options:   o,
		version:   o.Version,
		versions:  []int64{o.Version},
		adapters:  map[string]int64{},
		runs:      map[string]int{},
		fences:    map[string]int64{},
		failLoads: o.FailLoads,
		cache:     newPrefixCache(o.CachePrefixes, o.CacheEventDropInterval),
		imports:   newImportedCaches(),
		prefilled: map[string]int{},
	}
	e.server = &fasthttp.Server{Handler: e.handle, MaxRequestBodySize: 64 << 20}
	return e
}

// Start listens on address and returns the one bound. A crashed engine may be
// started again: its cache, requests, fences and loaded weights are gone, its
// counts stay.
func (e *Engine) Start(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	e.listener = l
	e.stopped = make(chan struct{})
	stopped := e.stopped
	e.mu.Unlock()
	go func() { _ = e.server.Serve(l) }()
	go e.generate(stopped)
	return l.Addr().String(), nil
}

// Crash cuts every connection and drops every request at once.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.listener == nil {
		e.mu.Unlock()
		return
	}
	e.listener.cut()
	e.listener = nil
	close(e.stopped)
	for _, g := range append(e.running, e.waiting...) {
		close(g.events)
	}
	e.running, e.waiting = nil, nil
	e.fences = map[string]int64{}
	e.version = e.options.Version
	e.adapters = map[string]int64{}
	e.role = ""
	e.cache = newPrefixCache(e.options.CachePrefixes, e.options.CacheEventDropInterval)
	e.imports = newImportedCaches()
	e.mu.Unlock()
}

// BlackholeConnections drops everything the engine writes to the connections open now.
func (e *Engine) BlackholeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.silence()
}

// FailLoads makes the next n version loads fail.
func (e *Engine) FailLoads(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failLoads = n
}

func (e *Engine) generate(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(e.step()):
		}
	}
}

// step makes one token for each request in the batch and returns the time the
// next step takes.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample()
	if e.loading > 0 {
		return e.options.StepTime
	}
	e.admit()
	still := e.running[:0]
	for _, g := range e.running {
		if e.advance(g) {
			still = append(still, g)
		}
	}
	e.running = still
	return e.options.StepTime + time.Duration(len(e.running))*e.options.StepTimePerRequest
}

// admit fills the batch by priority, then arrival.
func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.request.Priority != b.request.Priority {
			return a.request.Priority > b.request.Priority
		}
		return a.arrived < b.arrived
	})
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		compute := e.contextToCompute(g.request)
		e.prefilled[g.request.RequestID] += compute
		g.prefill = compute / prefillChars
		e.running = append(e.running, g)
	}
}

// advance makes one token and tells whether the request goes on.
func (e *Engine) advance(g *generation) bool {
	if g.prefill > 0 {
		g.prefill--
		return true
	}
	if g.position >= g.length {
		e.finish(g, finishStop)
		return false
	}
	text := Token(g.request.Prompt, g.request.Seed, g.position, e.version)
	g.made.WriteString(text)
	g.segments = extend(g.segments, e.version, g.position)
	g.position++
	g.events <- e.event(g, text, 1)
	if g.position < g.length {
		return true
	}
	reason := finishStop
	if g.length == g.request.MaxTokens {
		reason = finishLength
	}
	e.finish(g, reason)
	return false
}

func extend(segments []engineapi.Segment, version int64, position int) []engineapi.Segment {
	last := len(segments) - 1
	if last >= 0 && segments[last].Version == version {
		segments[last].To = position + 1
		return segments
	}
	return append(segments, engineapi.Segment{Version: version, From: position, To: position + 1})
}

func (e *Engine) event(g *generation, text string, tokens int) engineapi.Completion {
	return engineapi.Completion{
		ID:            g.request.RequestID,
		Object:        "text_completion",
		Model:         g.request.Model,
		Choices:       []engineapi.Choice{{Text: text}},
		WeightVersion: e.version,
		Tokens:        tokens,
	}
}

func (e *Engine) finish(g *generation, reason string) {
	end := e.event(g, "", 0)
	end.Choices[0].FinishReason = reason
	end.Segments = g.segments
	g.events <- end
	close(g.events)
}

// submit queues a request. The channel holds every event there can be, so that
// the batch never waits for a slow reader.
func (e *Engine) submit(r engineapi.CompletionRequest) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return nil, false
	}
	e.arrivals++
	e.runs[r.RequestID]++
	g := &generation{
		request:  r,
		arrived:  e.arrivals,
		position: len(r.Resume),
		length:   TokenCount(r.Prompt, r.Seed, r.MaxTokens),
	}
	g.events = make(chan engineapi.Completion, max(0, g.length-g.position)+1)
	e.waiting = append(e.waiting, g)
	return g, true
}

// cancel ends a request's generations and tells whether there were any.
func (e *Engine) cancel(match func(*generation) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	keep := func(all []*generation) []*generation {
		var rest []*generation
		for _, g := range all {
			if !match(g) {
				rest = append(rest, g)
				continue
			}
			found = true
			e.finish(g, finishCancelled)
		}
		return rest
	}
	e.waiting = keep(e.waiting)
	e.running = keep(e.running)
	return found
}

func (e *Engine) sample() {
	now := time.Now()
	e.loads = append(e.loads, loadSample{at: now, load: engineapi.Load{
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		KVUsed:        float64(len(e.running)) / float64(e.options.Slots),
		WeightVersion: e.version,
		Adapters:      maps.Clone(e.adapters),
		Role:          e.role,
	}})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.options.LoadReportLag {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) load() engineapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loads) == 0 {
		return engineapi.Load{WeightVersion: e.version}
	}
	oldest := e.loads[0]
	oldest.load.AgeMilli = time.Since(oldest.at).Milliseconds()
	return oldest.load
}
