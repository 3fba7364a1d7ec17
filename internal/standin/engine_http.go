package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
)

// PathStats is the path at which engines and plain services serve their counts.
const PathStats = "/stats"

// EngineStats holds the counts of an engine.
type EngineStats struct {
	Runs     map[string]int `json:"runs"`     // generations started, by request ID
	Versions []int64        `json:"versions"` // in the order in which they took effect

	Prefilled map[string]int `json:"prefilled"` // bytes of context computed, by request ID
}

// Stats returns the counts of the engine.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStats{Runs: maps.Clone(e.runs), Versions: append([]int64(nil), e.versions...), Prefilled: maps.Clone(e.prefilled)}
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case engineapi.PathCompletions:
		e.handleCompletion(ctx)
	case engineapi.PathHealth:
		ctx.SetStatusCode(fasthttp.StatusOK)
	case engineapi.PathLoad:
		reply(ctx, fasthttp.StatusOK, e.load())
	case engineapi.PathCancel:
		e.handleCancel(ctx)
	case engineapi.PathOrder:
		e.handleOrder(ctx)
	case engineapi.PathCacheEvents:
		e.handleCacheEvents(ctx)
	case engineapi.PathExport:
		e.handleExport(ctx)
	case engineapi.PathImport:
		e.handleImport(ctx)
	case PathStats:
		reply(ctx, fasthttp.StatusOK, e.Stats())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// decode decodes the body of a request into v. It replies with status 400 and
// returns false if that fails.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var r engineapi.CompletionRequest
	if !decode(ctx, &r) {
		return
	}
	g, ok := e.submit(r)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if e.options.PoisonText != "" && strings.Contains(r.Prompt, e.options.PoisonText) {
		e.Crash()
		if e.options.OnCrash != nil {
			e.options.OnCrash()
		}
		return
	}
	if r.Stream {
		e.stream(ctx, g)
		return
	}
	answer, ok := collect(g)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	reply(ctx, fasthttp.StatusOK, answer)
}

// collect joins the events of a generation. It returns false if the engine crashed
// before the last event.
func collect(g *generation) (engineapi.Completion, bool) {
	var text strings.Builder
	tokens := 0
	for event := range g.events {
		text.WriteString(event.Choices[0].Text)
		tokens += event.Tokens
		if event.Choices[0].FinishReason != "" {
			event.Choices[0].Text = text.String()
			event.Tokens = tokens
			return event, true
		}
	}
	return engineapi.Completion{}, false
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, g *generation) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for event := range g.events {
			encoded, _ := json.Marshal(event)
			fmt.Fprintf(w, "data: %s\n\n", encoded)
			if event.Choices[0].FinishReason != "" {
				fmt.Fprintf(w, "data: %s\n\n", engineapi.StreamDone)
			}
			if w.Flush() != nil {
				e.cancel(func(other *generation) bool { return other == g })
				return
			}
		}
	})
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	var r engineapi.CancelRequest
	if !decode(ctx, &r) {
		return
	}
	if !e.cancel(func(g *generation) bool { return g.request.RequestID == r.RequestID }) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := ctx.QueryArgs().GetUint("after")
	e.mu.Lock()
	found := e.cache.after(int64(after), e.options.CacheEventLag, time.Now())
	e.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, found)
}
