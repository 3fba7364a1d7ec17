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

// prefillBytesPerStep is the number of context bytes that one step of prefill
// processes.
const prefillBytesPerStep = 512

// Finish reasons of a choice.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// EngineOptions configures a batching engine. Zero values give a fast engine without
// lag or faults.
type EngineOptions struct {
	Model                  string
	Version                int64
	Slots                  int           // largest number of requests in the batch; 0 means 8
	StepTime               time.Duration // duration of a step with an empty batch; 0 means 1 ms
	StepTimePerRequest     time.Duration // added to the duration for each request in the batch
	LoadReportLag          time.Duration // age of the load report
	CacheEventLag          time.Duration // age of the cache events
	CacheEventDropInterval int           // every n-th cache event is lost; 0 for none
	CachePrefixes          int           // largest number of cached prompt prefixes; 0 means 64
	Fencing                bool          // refuse orders whose fencing token is lower than the highest one received for their duty
	LoadTime               time.Duration // time that loading a version takes
	FailLoads              int           // number of loads that fail before one succeeds
	KVBytes                int           // size of the KV cache for each byte of context; 0 means 1
	RefuseImports          bool          // refuse to import KV caches
	PoisonText             string        // a prompt that contains it crashes the engine; empty for none
	OnCrash                func()        // called after the connections were closed
}

// generation is the state of one request.
type generation struct {
	request   engineapi.CompletionRequest
	arrived   int64
	prefill   int // remaining prefill steps before the first token
	position  int // position of the next token
	length    int
	segments  []engineapi.Segment
	generated strings.Builder           // text generated since the request arrived
	events    chan engineapi.Completion // closed after the last event
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

	weightsRead int // bytes read from the agent
	loading     int // number of version loads in progress; no tokens are generated meanwhile
	arrivals    int64
	waiting     []*generation
	running     []*generation
	runs        map[string]int // generations started, by request ID
	versions    []int64        // in the order in which they took effect
	fences      map[string]int64
	failLoads   int
	loads       []loadSample // oldest first, for the delayed load report
	cache       *prefixCache
	imports     *importedCaches
	prefilled   map[string]int // bytes of context computed, by request ID
	stopped     chan struct{}
}

type loadSample struct {
	at   time.Time
	load engineapi.Load
}

// NewEngine returns an engine that doesn't listen yet.
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

// Start listens on address and returns the bound address. A crashed engine can be
// started again. It has lost its cache, requests, fences and loaded weights, and
// keeps its counts.
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

// Crash closes every connection and drops every request at once.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.listener == nil {
		e.mu.Unlock()
		return
	}
	e.listener.closeAll()
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

// BlackholeConnections discards all further writes to the open connections.
func (e *Engine) BlackholeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.blackhole()
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

// step generates one token for each request in the batch and returns the duration of
// the next step.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	if e.loading > 0 {
		return e.options.StepTime
	}
	e.admit()
	unfinished := e.running[:0]
	for _, g := range e.running {
		if e.advance(g) {
			unfinished = append(unfinished, g)
		}
	}
	e.running = unfinished
	return e.options.StepTime + time.Duration(len(e.running))*e.options.StepTimePerRequest
}

// admit fills the batch in the order of priority, then of arrival.
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
		g.prefill = compute / prefillBytesPerStep
		e.running = append(e.running, g)
	}
}

// advance generates one token and reports whether the request is unfinished.
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
	g.generated.WriteString(text)
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

// extend adds a token of the version at the position to the segments.
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

// submit queues a request. The channel has room for all events of the request, so
// that the batch never waits for a slow reader.
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

// cancel ends the matching generations and reports whether there were any.
func (e *Engine) cancel(match func(*generation) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	removeMatching := func(all []*generation) []*generation {
		var remaining []*generation
		for _, g := range all {
			if !match(g) {
				remaining = append(remaining, g)
				continue
			}
			found = true
			e.finish(g, finishCancelled)
		}
		return remaining
	}
	e.waiting = removeMatching(e.waiting)
	e.running = removeMatching(e.running)
	return found
}

func (e *Engine) recordLoad() {
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
