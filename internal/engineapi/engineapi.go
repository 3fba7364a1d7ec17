// Package engineapi defines the HTTP protocol of the endpoints: OpenAI-style
// completions, with or without server-sent events, and the orders and reports of a
// batching engine. Agents are its clients; the stand-in engine is a server for
// tests.
package engineapi

// URL paths of an engine.
const (
	PathCompletions = "/v1/completions"
	PathHealth      = "/health"
	PathLoad        = "/load"
	PathCancel      = "/cancel"
	PathOrder       = "/order"
	PathCacheEvents = "/cache-events"
	PathExport      = "/kv-export"
	PathImport      = "/kv-import"
)

// HeaderVersion is the header with the weight version that was loaded when a KV
// cache was exported.
const HeaderVersion = "X-Weight-Version"

// StreamDone is the last event of a stream, as in OpenAI's protocol.
const StreamDone = "[DONE]"

// CompletionRequest is the body of a completion request. The fields that OpenAI's
// protocol lacks are the engines' published extensions.
type CompletionRequest struct {
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens,omitempty"`
	Stream    bool     `json:"stream,omitempty"`
	Seed      int64    `json:"seed,omitempty"`
	RequestID string   `json:"request_id,omitempty"`
	Priority  int      `json:"priority,omitempty"`
	Resume    []string `json:"resume_tokens,omitempty"` // tokens already generated; the stream continues after them
	CacheID   string   `json:"cache_id,omitempty"`      // imported KV cache, used for this request only
}

// Choice is a completion or, in a stream, one or more of its tokens.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop", "length" or "cancelled"; empty: not finished
}

// Completion is an answer or, in a stream, an event.
type Completion struct {
	ID            string    `json:"id"`
	Object        string    `json:"object"`
	Model         string    `json:"model"`
	Choices       []Choice  `json:"choices"`
	WeightVersion int64     `json:"weight_version"`     // weight version that generated this event's tokens
	Segments      []Segment `json:"segments,omitempty"` // set in a complete answer only
	Tokens        int       `json:"tokens,omitempty"`   // number of tokens in this answer or event
}

// Segment is a range of tokens with the weight version that generated them.
type Segment struct {
	Version int64 `json:"version"`
	From    int   `json:"from"`
	To      int   `json:"to"`
}

// Load is an engine's report about itself. It may be older than the answer that
// contains it.
type Load struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	KVUsed        float64 `json:"kv_used"` // share of the KV cache that is in use, 0..1
	WeightVersion int64   `json:"weight_version"`
	AgeMilli      int64   `json:"age_ms"` // age of the report

	Adapters map[string]int64 `json:"adapters,omitempty"` // version of each loaded adapter
	Role     string           `json:"role,omitempty"`     // empty: the engine does not support roles or has none yet
}

// Order is an instruction to an engine.
type Order struct {
	Kind      string `json:"kind"` // a wire.OrderKind
	Model     string `json:"model"`
	Version   int64  `json:"version"`
	Adapter   string `json:"adapter,omitempty"`
	Role      string `json:"role,omitempty"` // role to take; only in an order for a role
	FenceDuty string `json:"fence_duty"`
	Fence     int64  `json:"fence"` // fencing token; engines with fencing reject one lower than the highest they have seen

	DeadlineMilli int64  `json:"deadline_ms,omitempty"` // the engine aborts a load that takes longer
	WeightsDir    string `json:"weights_dir,omitempty"` // folder in which the agent stores the version's chunks in files named by index
	// WeightsURL, followed by a chunk's index, is the URL at which the agent serves
	// the chunks that it holds in memory while this load runs.
	WeightsURL    string `json:"weights_url,omitempty"`
	WeightsChunks int    `json:"weights_chunks,omitempty"` // number of chunks at WeightsDir or WeightsURL
	WeightsSHA256 string `json:"weights_sha256,omitempty"` // hexadecimal digest of the chunks in order
}

// OrderResult is the answer to an order. The HTTP status is 409 if the fencing token
// was rejected.
type OrderResult struct {
	Version int64  `json:"version"`
	Detail  string `json:"detail,omitempty"`
}

// CancelRequest cancels a running request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CacheEvent reports that a prompt prefix was added to or removed from the engine's
// cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"` // gaps mean that events were lost
	Prefix   uint64 `json:"prefix"`   // hash of the beginning of the prompt
	Stored   bool   `json:"stored"`   // false: it was removed
}
